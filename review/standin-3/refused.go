package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["entry-cut-refused"] = entryCutRefused }

// entryCutRefused: an entry is cut off from the core for some seconds while its jobs run, and many users
// come through the other entries. Each client submits its job once.
func entryCutRefused(s *system, trouble bool) (int, error) {
	s.proxied = true
	if err := s.start(3, 3, 11, workerOptions{cpu: 16000, memMB: 32768}); err != nil {
		return failed, err
	}
	if err := s.configure(route("lohu930", 15000, 4)); err != nil {
		return failed, err
	}
	if err := s.awaitService("lohu930"); err != nil {
		return failed, err
	}
	const (
		jobs     = 10
		deadline = 6 * time.Second
		cut      = 2600 * time.Millisecond
		// The burst offers 1.3 times what the workers can do: 143 of 110 slots.
		burst      = 3500 * time.Millisecond
		burstEvery = 42 * time.Millisecond
	)
	e := s.entries[0]
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]int{}
	for range jobs {
		id := newID()
		wg.Go(func() {
			s.rec.notef("client sends POST %s to %s", id, e.name)
			a := s.post(e, "lohu930", id, job{spec: "1500", tasks: []int{2}, estimate: 1100, cpu: 1600, bestEffort: true}, deadline)
			s.rec.notef("client gets %d %s for POST %s", a.status, a.body, id)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = a.status
		})
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		s.rec.notef("%s is cut off from the core", e.name)
		s.cuts.set(func(a, b string) bool { return a == e.name && strings.HasPrefix(b, "core-") })
		wg.Go(func() {
			s.rec.notef("many users come at %s and %s", s.entries[1].name, s.entries[2].name)
			for i := 0; i < int(burst/burstEvery); i++ {
				wg.Go(func() {
					s.post(s.entries[1+i%2], "lohu930", newID(), job{spec: "1500", tasks: []int{4}, estimate: 1100, cpu: 1600, bestEffort: true}, deadline)
				})
				time.Sleep(burstEvery)
			}
		})
		time.Sleep(cut)
		s.rec.notef("the cut ends")
		s.cuts.set(nil)
	}
	wg.Wait()
	breaks := 0
	for id, status := range answers {
		runs := s.runs.of(id)
		if (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) && len(runs) > 0 {
			breaks++
			s.rec.notef("REFUSED: the only submission of %s was answered %d, and %d runs of its tasks have begun", id, status, len(runs))
		}
		if !trouble && status != http.StatusOK {
			return failed, fmt.Errorf("a job was answered %d", status)
		}
	}
	return s.verdict("REFUSED", breaks, fmt.Sprintf("%d of %d jobs were rejected although their tasks had started", breaks, jobs)), nil
}
