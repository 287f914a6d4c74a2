package main

import (
	"sync"
	"sync/atomic"
	"time"
)

// stop ends background work and waits for it.
type background struct {
	done chan struct{}
	wg   sync.WaitGroup
}

func newBackground() *background { return &background{done: make(chan struct{})} }

// every calls fn at each interval until the end.
func (b *background) every(interval time.Duration, fn func(n int)) {
	b.wg.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-b.done:
				return
			case <-ticker.C:
				b.wg.Go(func() { fn(n) })
			}
		}
	})
}

func (b *background) end() {
	close(b.done)
	b.wg.Wait()
}

// lostFailures hands in jobs, and stops and starts the leader again and again, each time
// while jobs come that always fail: one in 20, for less than 3 s.
func lostFailures(rec *recorder, trouble bool) (*system, string) {
	queue := route{name: "orders", priority: 0, maxAttempts: 2, targetMS: 60, stretch: 1.6}
	s := begin(rec, 3, smallWorkers(), true, queue)
	for _, p := range s.controls {
		p.proxy.peerDelay = syncDelay
	}
	var poison atomic.Bool
	failing := make(chan struct{}, 1)
	b := newBackground()
	b.every(12500*time.Microsecond, func(n int) {
		if n%20 != 7 || !poison.Load() {
			s.submit(n%3, oneStep(queue, 4, 60, 1600))
			return
		}
		j := oneStep(queue, 8, 60, 1600)
		j.spec.FailPercent = 100
		s.submit(n%3, j)
		select {
		case failing <- struct{}{}:
		default:
		}
	})
	const stops = 20
	for stop := 0; stop < stops && len(s.check.broken("BUDGET")) == 0; stop++ {
		time.Sleep(3500 * time.Millisecond)
		s.check.finalChecks("BUDGET")
		leader := s.leader()
		if !trouble || leader == nil {
			continue
		}
		select {
		case <-failing:
		default:
		}
		poison.Store(true)
		<-failing
		time.Sleep(time.Duration(40+5*(stop%5)) * time.Millisecond)
		leader.term()
		leader.restart()
		poison.Store(false)
	}
	b.end()
	time.Sleep(4 * time.Second)
	s.askAll()
	return s, "BUDGET"
}
