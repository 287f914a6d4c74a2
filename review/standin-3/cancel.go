package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["cancel-running"] = cancelRunning }

// cancelled is a job whose cancelling was acknowledged.
type cancelled struct {
	id string
	at time.Time
}

// asked checks the rule UNASKED for cancelled jobs.
func (s *system) asked(list []cancelled) (breaks int, text string) {
	for _, c := range list {
		for _, r := range s.runs.of(c.id) {
			if late := r.began.Sub(c.at); late > cancelBound {
				breaks++
				s.rec.notef("UNASKED: task %s run %d was started %d ms after the cancelling of its job was acknowledged", r.task, r.number, late.Milliseconds())
			}
		}
	}
	return breaks, fmt.Sprintf("%d starts later than %d ms after the acknowledgement, of %d cancelled jobs", breaks, cancelBound.Milliseconds(), len(list))
}

// cancelRunning: clients cancel some of their best-effort jobs while these run.
func cancelRunning(s *system, trouble bool) (int, error) {
	if err := s.start(3, 3, 5, workerOptions{cpu: 16000, memMB: 32768}); err != nil {
		return failed, err
	}
	if err := s.configure(route("lohu930", 15000, 4)); err != nil {
		return failed, err
	}
	if err := s.awaitService("lohu930"); err != nil {
		return failed, err
	}
	const jobs, deadline = 16, 12 * time.Second
	j := job{spec: "2500,2500,500", tasks: []int{1, 1, 1}, estimates: []int{2500, 2500, 500}, cpu: 1600, bestEffort: true}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var list []cancelled
	completed := 0
	for i := range jobs {
		id := newID()
		e := s.entries[i%len(s.entries)]
		wg.Go(func() {
			s.rec.notef("client sends POST %s to %s", id, e.name)
			a := s.post(e, "lohu930", id, j, deadline)
			s.rec.notef("client gets %d %s for POST %s", a.status, a.body, id)
			mu.Lock()
			defer mu.Unlock()
			if a.status == http.StatusOK {
				completed++
			}
		})
		if trouble && i%4 == 0 { // a quarter of the clients
			other := s.entries[(i+1)%len(s.entries)]
			wg.Go(func() {
				time.Sleep(500 * time.Millisecond)
				s.rec.notef("client sends DELETE %s to %s", id, other.name)
				a := s.request(other, http.MethodDelete, "lohu930", id, 1500*time.Millisecond)
				s.rec.notef("client gets %d %s for DELETE %s", a.status, a.body, id)
				if a.status/100 == 2 || a.status == http.StatusGone {
					mu.Lock()
					defer mu.Unlock()
					list = append(list, cancelled{id, a.at})
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	if !trouble && completed < jobs {
		return failed, fmt.Errorf("%d of %d jobs completed", completed, jobs)
	}
	if trouble && len(list) == 0 {
		return failed, fmt.Errorf("no cancelling was acknowledged")
	}
	breaks, text := s.asked(list)
	return s.verdict("UNASKED", breaks, text), nil
}
