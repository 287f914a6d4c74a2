package main

import "time"

// smallWorkers returns the workers of a small deployment: 11 of 16 cores and 32 GB.
func smallWorkers() []workerKind {
	kinds := make([]workerKind, 11)
	for i := range kinds {
		kinds[i] = workerKind{cpu: 16000, mem: 32768, guards: true}
	}
	return kinds
}

// begin starts a small deployment with the queues, and waits until it serves.
func begin(rec *recorder, entries int, kinds []workerKind, proxies bool, routes ...route) *system {
	s := newSystem(rec, entries, kinds, proxies)
	s.configure(routes...)
	s.awaitReady()
	time.Sleep(2500 * time.Millisecond) // all workers have sent a heartbeat
	return s
}

// suspendedWorkers hands in jobs of one long task, and among them one job whose tasks
// always fail.
func suspendedWorkers(rec *recorder, trouble bool) (*system, string) {
	queue := route{name: "orders", priority: 0, maxAttempts: 4, targetMS: 60, stretch: 1.6}
	s := begin(rec, 3, smallWorkers(), false, queue)
	const before, after, long = 5, 35, 45000
	for i := range before {
		s.submit(i%3, oneStep(queue, 1, long, 1600))
		time.Sleep(60 * time.Millisecond)
	}
	if trouble { // 1 of 41 jobs
		poison := oneStep(queue, 16, 60, 1600)
		poison.spec.FailPercent = 100
		poison.spec.MS = 20
		s.submit(0, poison)
	}
	for i := range after {
		s.submit(i%3, oneStep(queue, 1, long, 1600))
		time.Sleep(60 * time.Millisecond)
	}
	s.checkIdle(rec.at())
	return s, "LOST"
}

// spreadJobs hands in large jobs that allow one task on each worker, and plain jobs of
// another queue. With the disruption, 1.8 times as many large jobs come in 4 s.
func spreadJobs(rec *recorder, trouble bool) (*system, string) {
	urgent := route{name: "urgent", priority: 0, maxAttempts: 4, targetMS: 60, stretch: 1.6}
	orders := route{name: "orders", priority: 2, maxAttempts: 4, targetMS: 60, stretch: 1.6}
	s := begin(rec, 3, smallWorkers(), false, urgent, orders)
	large := 10
	if trouble {
		large = 18
	}
	for i := range large {
		j := oneStep(urgent, 32, 40000, 100)
		j.steps[0].AntiAffinity = 1
		s.submit(i%3, j)
		time.Sleep(4 * time.Second / time.Duration(large))
	}
	for i := range 6 {
		s.submit(i%3, oneStep(orders, 1, 20000, 1600))
		time.Sleep(100 * time.Millisecond)
	}
	s.checkIdle(rec.at())
	return s, "LOST"
}
