package main

import (
	"sync"
	"time"
)

// playLate lets the workers leave a share of their start orders unanswered and carry them out
// late, while stored jobs are handed in. The answers of all workers to hold take up to
// holdJitter, so that they may overtake each other. Checked is the rule TWICE.
func playLate(rec *record, trouble bool) error {
	const (
		share      = 0.5
		lateFor    = 5500 * time.Millisecond
		holdJitter = 100 * time.Millisecond
		taskCPU    = 3000
		rounds     = 9
		pause      = time.Second
	)
	s, err := newSystem(rec, sizes{controls: 3, entries: 3, agents: 6}, twoKinds, 16000)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return err
	}
	if err := s.configure(route("orders", 0, 4, 1.6), route("quotes", 1, 4, 1.6)); err != nil {
		return err
	}
	if err := s.warmUp("quotes"); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // catch_up_s
	for _, w := range s.workers {
		w.setHoldJitter(holdJitter)
	}
	var mu sync.Mutex
	stored := map[string]bool{}
	var jobs []*submission
	var clients sync.WaitGroup
	until := time.Now().Add(rounds * (lateFor + pause))
	clients.Go(func() { // thirty jobs a second, each of two tasks of 0.3 s
		for time.Now().Before(until) {
			j := s.newJob("orders", false, taskCPU)
			mu.Lock()
			stored[j.id] = true
			jobs = append(jobs, j)
			mu.Unlock()
			clients.Go(func() { s.submit(j, nil, "ms=300", []map[string]any{step(2, taskCPU, 300)}, until) })
			time.Sleep(33 * time.Millisecond)
		}
	})
	for range rounds {
		time.Sleep(pause)
		if trouble {
			s.setLateShare(share)
		}
		time.Sleep(lateFor)
		s.setLateShare(0)
	}
	clients.Wait()
	end := time.Now().Add(14 * time.Second) // finish_s
	for _, j := range jobs {
		if j.accepted {
			s.awaitFinal(j, end)
		}
	}
	rec.checkTwice(func(job string) bool { return stored[job] })
	return nil
}

func (s *system) setLateShare(share float64) {
	for _, w := range s.workers {
		w.mu.Lock()
		w.lateShare = share
		w.mu.Unlock()
	}
	s.rec.printf("workers leave a share of %.2f of their start orders unanswered and carry them out late", share)
}

func (w *worker) setHoldJitter(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holdJitter = d
}
