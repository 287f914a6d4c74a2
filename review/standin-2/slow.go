package main

import "time"

// playSlow is a trial without a folder of its own: the only worker of a rack is slow for 7 s,
// and 4 s after that a job that needs this rack is handed in. Checked is the rule LOST: no
// job without a run for 3 s while there is capacity for it.
func playSlow(rec *record, trouble bool) error {
	const (
		slowdown = 6.5
		slowFor  = 7 * time.Second
		calm     = 4100 * time.Millisecond
		bound    = 3 * time.Second
		taskCPU  = 1000
	)
	s, err := newSystem(rec, sizes{controls: 3, entries: 3, agents: 10}, twoKinds, 16000)
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
	last := s.workers[len(s.workers)-1]
	onRack := func(count, estimatedMS int) []map[string]any {
		wanted := step(count, taskCPU, estimatedMS)
		wanted["requires"] = last.rack
		return []map[string]any{wanted}
	}
	if trouble {
		last.setSlowdown(slowdown)
	}
	for end := time.Now().Add(slowFor); time.Now().Before(end); time.Sleep(150 * time.Millisecond) {
		j := s.newJob("quotes", true, taskCPU)
		go s.submit(j, nil, "ms=200", onRack(2, 200), time.Now())
	}
	last.setSlowdown(1)
	time.Sleep(calm)
	j := s.newJob("orders", false, taskCPU)
	from := time.Now()
	s.submit(j, nil, "ms=7000", onRack(1, 7000), time.Now().Add(5*time.Second))
	s.awaitFinal(j, time.Now().Add(25*time.Second))
	gap, begun := rec.longestGap(j.id, from, rec.lastStart(j.id))
	rec.update(func() {
		if gap >= bound {
			rec.breaks("LOST: job %s has nothing running for %.3f s from %s on, while its only worker is sound and empty", j.id, gap.Seconds(), rec.at(begun))
		}
	})
	return nil
}
