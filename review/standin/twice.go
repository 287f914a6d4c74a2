package main

import (
	"math/rand/v2"
	"time"
)

// syncDelay stands for the 9 ms that a sync takes on the site's disks, and for the
// 1 ms of a round trip between zones: half of it each way.
const syncDelay = 5 * time.Millisecond

// returningAgents kills 6 of 11 agents at the same moment, again and again, starts them
// again 1.16 to 1.29 s later, and kills the leader 2.5 s after that.
func returningAgents(rec *recorder, trouble bool) (*system, string) {
	queue := route{name: "orders", priority: 0, maxAttempts: 4, targetMS: 2000, stretch: 3}
	s := begin(rec, 3, smallWorkers(), true, queue)
	for _, p := range s.controls {
		p.proxy.peerDelay = syncDelay
	}
	b := newBackground()
	b.every(40*time.Millisecond, func(n int) { s.submit(n%3, oneStep(queue, 4, 900, 1600)) })
	const rounds = 15
	for round := 0; round < rounds && len(s.check.broken("TWICE")) == 0; round++ {
		time.Sleep(1500 * time.Millisecond)
		if !trouble {
			continue
		}
		order := rand.Perm(len(s.agents))[:6]
		begun := time.Now()
		for _, i := range order {
			s.agents[i].kill()
		}
		for n, i := range order {
			time.Sleep(time.Until(begun.Add(1160*time.Millisecond + time.Duration(n)*25*time.Millisecond)))
			s.agents[i].restart()
		}
		time.Sleep(2500 * time.Millisecond)
		leader := s.leader()
		if leader == nil {
			continue
		}
		leader.kill()
		time.Sleep(500 * time.Millisecond)
		leader.restart()
	}
	b.end()
	time.Sleep(4 * time.Second)
	s.askAll()
	return s, "TWICE"
}
