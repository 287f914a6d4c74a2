package main

import "time"

// playShed lets the only worker of a rack refuse starts with 503 for a second, while a job
// that needs this rack is handed in. Checked is the rule LOST: no job without a run for 3 s,
// after 4 s of calm, while there is capacity for it.
func playShed(rec *record, trouble bool) error {
	const (
		shedFor = time.Second
		calm    = 4 * time.Second
		bound   = 3 * time.Second
		taskCPU = 800 // eight of them take less than half of the worker
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
	rec.printf("%s is the only worker of rack %s", last.id, last.rack)
	if trouble {
		last.setShedding(true)
	}
	time.Sleep(shedFor / 2)
	wanted := step(8, taskCPU, 900)
	wanted["requires"] = last.rack
	j := s.newJob("orders", false, taskCPU)
	s.submit(j, nil, "ms=900", []map[string]any{wanted}, time.Now().Add(5*time.Second))
	if !j.accepted {
		rec.printf("the job was not accepted")
		return nil
	}
	time.Sleep(shedFor / 2)
	if trouble {
		last.setShedding(false)
	}
	calmSince := time.Now().Add(calm)
	state := s.awaitFinal(j, time.Now().Add(14*time.Second))
	gap, begun := rec.longestGap(j.id, calmSince, time.Now())
	if state == "completed" {
		gap, begun = rec.longestGap(j.id, calmSince, rec.lastStart(j.id))
	}
	rec.update(func() {
		rec.line("the longest time without a run of the job, from %s after the fault on: %.3f s", calm, gap.Seconds())
		if gap >= bound {
			rec.breaks("LOST: job %s has nothing running for %.3f s from %s on, while its only worker is sound and empty", j.id, gap.Seconds(), rec.at(begun))
		}
		if state != "completed" {
			rec.breaks("LOST: job %s is %q 14 s after the traffic", j.id, state)
		}
	})
	return nil
}
