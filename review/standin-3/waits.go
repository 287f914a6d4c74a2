package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["waits-for-faster"] = waitsForFaster }

// waitsForFaster: the fast workers of a rack are full of large jobs, its slow one is empty. A job that
// needs the rack is accepted.
func waitsForFaster(s *system, trouble bool) (int, error) {
	if err := s.start(3, 3, 11, workerOptions{cpu: 16000, memMB: 32768}); err != nil {
		return failed, err
	}
	// As on the sheet: kinds a, a, b with speeds 0.7, 0.7, 1.7 and sizes 1, 1, 1.5, three workers a rack.
	capacity := 0
	for i, w := range s.workers {
		w.mu.Lock()
		w.rack = fmt.Sprintf("r1-%d", 1+i/3)
		w.speed = 0.7
		if i%3 == 2 {
			w.kind, w.speed, w.opts.cpu, w.freeCPU, w.opts.memMB = "b", 1.7, 24000, 24000, 49152
		}
		capacity += w.opts.cpu
		w.mu.Unlock()
	}
	for _, w := range s.workers { // begin a new life, so that the agents learn what has changed
		kind := w.kind
		w.crash(0)
		w.mu.Lock()
		w.kind = kind
		w.mu.Unlock()
	}
	if err := s.configure(route("lohu930", 15000, 4)); err != nil {
		return failed, err
	}
	if err := s.awaitService("lohu930"); err != nil {
		return failed, err
	}
	// Ordinary jobs on all workers.
	rack := s.workers[:3]
	for range 40 {
		id := newID()
		j := job{spec: "100", tasks: []int{125}, estimate: 100, cpu: 1600}
		submit(s, id, j)
		time.Sleep(250 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		submit(s, newID(), job{spec: "20000", tasks: []int{20}, estimate: 20000, cpu: 1600, requires: "r1-1"})
	}
	time.Sleep(4500 * time.Millisecond)
	id := newID()
	a := submit(s, id, job{spec: "7000", tasks: []int{1}, estimate: 7000, cpu: 1600, requires: "r1-1"})
	if a.status != http.StatusOK {
		return failed, fmt.Errorf("the job was answered %d", a.status)
	}
	// Three seconds in a row without a run, while there is room for the task twice over on a worker that it
	// may use and under half of the service is in use.
	var since time.Time
	longest := time.Duration(0)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		started := len(s.runs.of(id)) > 0
		used, room := 0, false
		for _, w := range s.workers {
			w.mu.Lock()
			used += w.opts.cpu - w.freeCPU
			w.mu.Unlock()
		}
		for _, w := range rack {
			w.mu.Lock()
			room = room || w.freeCPU >= 2*1600
			w.mu.Unlock()
		}
		if started || !room || 2*used >= capacity {
			since = time.Time{}
			if started {
				break
			}
			continue
		}
		if since.IsZero() {
			since = time.Now()
		}
		longest = max(longest, time.Since(since))
	}
	for i, w := range rack {
		w.mu.Lock()
		s.rec.notef("worker %d of the rack (%s): kind %s, %d of %d free", i+1, w.id, w.kind, w.freeCPU, w.opts.cpu)
		w.mu.Unlock()
	}
	breaks := 0
	if longest >= 3*time.Second {
		breaks = 1
	}
	return s.verdict("LOST", breaks, fmt.Sprintf("the job had nothing running for %d ms beside free capacity", longest.Milliseconds())), nil
}

func submit(s *system, id string, j job) answer {
	registry.Store(id, &submitted{id: id, def: j, attempts: 4})
	a := s.post(s.entries[0], "lohu930", id, j, 1500*time.Millisecond)
	s.rec.notef("POST %s (%v tasks of %s ms): %d %s", id, j.tasks, j.spec, a.status, a.body)
	return a
}
