package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// oddInputs sends bytes, bodies and paths that can't be read, and checks that no process ends.
func oddInputs(rec *recorder, trouble bool) (*system, string) {
	queue := route{name: "orders", priority: 0, maxAttempts: 4, targetMS: 500, stretch: 1.6}
	s := begin(rec, 3, smallWorkers(), false, queue)
	b := newBackground()
	b.every(50*time.Millisecond, func(n int) { s.submit(n%3, oneStep(queue, 3, 60, 1600)) })
	deep := strings.Repeat("[", 200000)
	bodies := []string{"", "{", "null", "[]", "\xff\xfe\x00", deep, `{"a":` + deep, `{"steps":[{"count":-1}]}`, `{"steps":[{"count":1e30}]}`, `{"spec":5,"steps":[]}`, `{"spec":"x","steps":[{"count":1,"after":[0]}]}`,
		`{"spec":"x","steps":[{"count":10000,"cpu":99999999999999999999}]}`, `{"spec":"x","steps":[{"count":1,"estimated_ms":1e300}]}`, `{"spec":"x","steps":[{"count":1,"anti_affinity":-5,"mem_mb":-1}]}`,
		`{"backend":"desk","address":"x","state":"ready","sequence":-1,"capacity":{}}`, `{"backend":"desk","address":"127.0.0.1:99999","state":"ready","sequence":1,"capacity":{"cpu":1}}`, `{"backend":"desk","address":"127.0.0.1:80","state":"odd","sequence":1,"capacity":{"cpu":1}}`,
		`{"backend":"desk","address":"127.0.0.1:80","state":"ready","sequence":1e400,"capacity":{"cpu":1}}`, `{"backend":"other","address":"127.0.0.1:80","state":"ready","sequence":1,"capacity":{"cpu":1}}`,
		`{"version":1e99,"routes":[],"services":[]}`, `{"version":99,"routes":[{}],"services":[{}]}`, `{"version":99,"routes":[null],"services":[null]}`, `{"version":-1,"routes":[],"services":[]}`, strings.Repeat("a", 9<<20)}
	call := func(url, method, body string) {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
		if err != nil {
			return
		}
		r.Host = clientHost
		r.Header.Set("X-Cicadapulley-Deadline-Ms", []string{"", "-5", "99999999999999999999", "1e9", "9223372036854775807"}[rand.IntN(5)])
		if resp, err := http.DefaultClient.Do(r); err == nil {
			rec.note("%s %s: %d", method, url, resp.StatusCode)
			_ = resp.Body.Close()
		}
	}
	if trouble {
		for range 6 {
			for _, body := range bodies {
				a := s.agents[rand.IntN(len(s.agents))]
				call(fmt.Sprintf("http://%s:%d/cicadapulley/instances/i-odd", a.ip, s.ports.control), "PUT", body)
				call(fmt.Sprintf("http://%s:%d/orders/%s", s.entries[rand.IntN(3)].ip, s.ports.callers, newJobID()), "POST", body)
				call(fmt.Sprintf("http://%s:%d/cicadapulley/config", s.controls[rand.IntN(3)].ip, s.ports.control), "PUT", body)
			}
			for _, p := range []string{"/orders/%zz", "/orders/..", "//", "/orders/" + strings.Repeat("a", 9000), "/orders/0000000000000000/x"} {
				for _, m := range []string{"GET", "DELETE", "PUT", "POST", "PATCH", "OPTIONS"} {
					call(fmt.Sprintf("http://%s:%d%s", s.entries[rand.IntN(3)].ip, s.ports.callers, p), m, "")
				}
			}
		}
	}
	time.Sleep(5 * time.Second)
	for _, p := range s.all() {
		select {
		case <-p.exited:
			s.check.violate("FAULT", "%s ended", p.name())
			p.expected = true
		default:
			_ = p.cmd.Process.Signal(syscall.Signal(0))
		}
	}
	b.end()
	time.Sleep(3 * time.Second)
	s.askAll()
	return s, "ANY"
}
