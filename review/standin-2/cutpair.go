package main

import (
	"sync"
	"time"
)

// playCutPair cuts an entry and an agent off from the control VMs for 5.5 s, while stored
// jobs and best-effort jobs are handed in. Checked is the rule TWICE.
func playCutPair(rec *record, trouble bool) error {
	const (
		cutFor  = 5500 * time.Millisecond
		traffic = 4 * time.Second
		taskCPU = 3000 // five tasks at a time on a worker
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
	stored := map[string]bool{}
	var mu sync.Mutex
	var jobs []*submission
	var clients sync.WaitGroup
	begin := time.Now()
	until := begin.Add(traffic + cutFor + 3*time.Second)
	clients.Go(func() { // stored jobs: sixteen a second, each of two tasks of 0.35 s
		for time.Now().Before(until) {
			j := s.newJob("orders", false, taskCPU)
			mu.Lock()
			stored[j.id] = true
			jobs = append(jobs, j)
			mu.Unlock()
			clients.Go(func() { s.submit(j, nil, "ms=350", []map[string]any{step(2, taskCPU, 350)}, until) })
			time.Sleep(62 * time.Millisecond)
		}
	})
	clients.Go(func() { // best-effort jobs: thirty a second, each of two tasks of 0.2 s
		for time.Now().Before(until) {
			j := s.newJob("quotes", true, taskCPU)
			clients.Go(func() { s.submit(j, nil, "ms=200", []map[string]any{step(2, taskCPU, 200)}, until) })
			time.Sleep(33 * time.Millisecond)
		}
	})
	time.Sleep(traffic)
	if trouble {
		rec.printf("entry-1 and agent-1 are cut off from the control machines for %s", cutFor)
		pair := map[string]bool{"entry-1": true, "agent-1": true}
		control := map[string]bool{"control-1": true, "control-2": true, "control-3": true}
		s.network.set(func(a, b string) bool { return pair[a] && control[b] || pair[b] && control[a] })
	}
	time.Sleep(cutFor)
	s.network.set(nil)
	rec.printf("no cut any more")
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

// twoKinds labels every third worker with another kind; three share a rack.
func twoKinds(i int) (kind, rack string) {
	kind = "a"
	if i%3 == 2 {
		kind = "b"
	}
	return kind, "r1-" + string(rune('1'+i/3))
}
