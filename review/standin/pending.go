package main

import "time"

// refusedStart fills all workers but one with long jobs, and hands in one more job. With
// the disruption, the last worker answers all starts with 503 for 6.5 s.
func refusedStart(rec *recorder, trouble bool) (*system, string) {
	orders := route{name: "orders", priority: 0, maxAttempts: 4, targetMS: 60, stretch: 1.6}
	quotes := route{name: "quotes", priority: 1, maxAttempts: 4, targetMS: 60, stretch: 1.6}
	s := begin(rec, 3, smallWorkers(), false, orders, quotes)
	for i := range len(s.workers) - 1 {
		s.submit(i%3, oneStep(orders, 1, 30000, 16000))
	}
	time.Sleep(500 * time.Millisecond)
	var last *worker
	for _, w := range s.workers {
		w.mu.Lock()
		if cpu, _ := w.used(); cpu == 0 {
			last = w
		}
		w.mu.Unlock()
	}
	if last == nil {
		cannotRun("no worker is free")
	}
	if trouble {
		last.mu.Lock()
		last.unhealthy = true
		last.mu.Unlock()
		rec.note("worker %s is unhealthy: it answers starts with 503", last.id)
	}
	begun := rec.at()
	id, _ := s.submit(0, oneStep(quotes, 1, 5000, 1600))
	for rec.at()-begun < 6400*time.Millisecond {
		time.Sleep(200 * time.Millisecond)
		s.checkPending(quotes, id)
	}
	if trouble {
		last.mu.Lock()
		last.unhealthy = false
		last.mu.Unlock()
		rec.note("worker %s is healthy again", last.id)
	}
	time.Sleep(3 * time.Second)
	return s, "MIXED"
}

// checkPending checks the pending_count of a queue that has one job.
func (s *system) checkPending(queue route, id string) {
	var job jobRecord
	s.check.update(id, func(j *jobRecord) { job = *j })
	due := job.accepted > 0 && s.rec.at() > job.accepted+visibleBound+2*time.Second
	count := s.pendingCount(1, queue.name)
	if s.check.begun(id) {
		return
	}
	s.rec.note("client: GET /%s/: pending_count %d", queue.name, count)
	if due && count == 0 {
		s.check.violate("MIXED", "pending_count of /%s/ is 0, and job %s, accepted %.1f s before, has not begun", queue.name, id, (s.rec.at() - job.accepted).Seconds())
	}
}
