package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["search-core"] = searchCore }

// searchCore changes the core again and again, inside the tolerance of one machine, and checks
// that control returns and that the newest acknowledged configuration is read.
func searchCore(s *system, _ bool) (int, error) {
	if err := s.start(3, 2, 3, workerOptions{cpu: 16000, memMB: 32768}); err != nil {
		return failed, err
	}
	if err := s.configure(route("lohu930", 1500, 4)); err != nil {
		return failed, err
	}
	if err := s.awaitService("lohu930"); err != nil {
		return failed, err
	}
	seconds, _ := strconv.Atoi(os.Getenv("SECONDS"))
	if seconds == 0 {
		seconds = 80
	}
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	const catchUp = 4 * time.Second
	next := 4
	var mu sync.Mutex
	acked := s.version
	lastAck := time.Now()
	controls := func() []*process {
		mu.Lock()
		defer mu.Unlock()
		return append([]*process(nil), s.controls...)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { // the operator
		version := s.version
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			version += 2
			body, _ := json.Marshal(map[string]any{"version": version, "routes": []any{route("lohu930", 1500, 4)}, "services": []any{map[string]any{"name": pool}}, "limits": map[string]any{}})
			for {
				list := controls()
				c := list[rand.IntN(len(list))]
				a := call(http.MethodPut, "http://"+c.ip+":8166/cicadapulley/config", "", body, time.Second, 0)
				if a.status == http.StatusOK {
					mu.Lock()
					acked = version
					if gap := time.Since(lastAck); gap > 2*time.Second {
						s.rec.notef("no acknowledgement for %d ms", gap.Milliseconds())
					}
					lastAck = time.Now()
					mu.Unlock()
					break
				}
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	wg.Go(func() { // a reader
		for {
			select {
			case <-stop:
				return
			case <-time.After(30 * time.Millisecond):
			}
			mu.Lock()
			before := acked
			mu.Unlock()
			list := controls()
			a := call(http.MethodGet, "http://"+list[rand.IntN(len(list))].ip+":8166/cicadapulley/config", "", nil, time.Second, 0)
			if a.status != http.StatusOK {
				continue
			}
			var c struct{ Version int }
			if json.Unmarshal([]byte(a.body), &c) != nil || c.Version < before {
				s.breakf("CONFIG", "read version %d after %d was acknowledged", c.Version, before)
			}
		}
	})
	wipe := func(p *process) { _ = os.RemoveAll(filepath.Join(s.dir, p.name+"-data")) }
	add := func() *process {
		p := s.newProcess("control", fmt.Sprintf("core-%d", next), fmt.Sprintf("%s%d", s.base, 30+next), zones[next%3])
		next++
		s.rec.notef("%s starts with an empty disk", p.name)
		_ = p.start(false)
		mu.Lock()
		s.controls = append(s.controls, p)
		mu.Unlock()
		return p
	}
	remove := func(p *process) {
		mu.Lock()
		defer mu.Unlock()
		var rest []*process
		for _, c := range s.controls {
			if c != p {
				rest = append(rest, c)
			}
		}
		s.controls = rest
		s.retired = append(s.retired, p)
	}
	for time.Now().Before(end) && next < 20 {
		list := controls()
		p := list[rand.IntN(len(list))]
		switch op := rand.IntN(6); op {
		case 0:
			s.rec.notef("wipe %s", p.name)
			p.kill()
			wipe(p)
			time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
			_ = p.start(false)
		case 1:
			p.kill()
			time.Sleep(time.Duration(100+rand.IntN(6000)) * time.Millisecond)
			_ = p.start(false)
		case 2:
			p.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(100+rand.IntN(6000)) * time.Millisecond)
			p.signal(syscall.SIGCONT)
		case 3:
			s.rec.notef("%s is gone", p.name)
			p.kill()
			wipe(p)
			remove(p)
			time.Sleep(time.Duration(rand.IntN(2000)) * time.Millisecond)
			add()
		case 4:
			add()
			time.Sleep(catchUp)
			s.rec.notef("%s is removed as planned", p.name)
			p.signal(syscall.SIGTERM)
			for p.running() {
				time.Sleep(10 * time.Millisecond)
			}
			remove(p)
		case 5:
			s.rec.notef("all lose their processes")
			for _, c := range list {
				c.kill()
			}
			time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
			for _, c := range list {
				_ = c.start(false)
			}
		}
		time.Sleep(catchUp + time.Duration(rand.IntN(300))*time.Millisecond)
		mu.Lock()
		gap := time.Since(lastAck)
		mu.Unlock()
		if gap > 3*time.Second {
			time.Sleep(12 * time.Second)
			mu.Lock()
			gap = time.Since(lastAck)
			mu.Unlock()
			if gap > 12*time.Second {
				s.breakf("LOST", "control is gone")
				break
			}
		}
	}
	a := s.post(s.entries[0], "lohu930", newID(), job{spec: "50", tasks: []int{3}, estimate: 50, cpu: 1600}, 1500*time.Millisecond)
	s.rec.notef("a stored job at the end: %d", a.status)
	close(stop)
	wg.Wait()
	for _, b := range s.runs.breaks {
		fmt.Println(b)
	}
	return s.verdict("core", len(s.runs.breaks), fmt.Sprintf("%d breaks, %d acknowledged, job %d", len(s.runs.breaks), acked, a.status)), nil
}
