package main

import (
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// storm hands in stored jobs of many kinds under random faults.
func storm(rec *recorder, trouble bool) (*system, string) {
	seed, _ := strconv.Atoi(os.Getenv("SEED"))
	random := rand.New(rand.NewPCG(uint64(seed), 7))
	kinds := strings.Split(os.Getenv("FAULTS"), ",")
	urgent := route{name: "urgent", priority: 0, maxAttempts: 3, targetMS: 200, stretch: 3}
	orders := route{name: "orders", priority: 2, maxAttempts: 2, targetMS: 2000, stretch: 5}
	workers := smallWorkers()
	for i := range workers {
		workers[i].cpu = 8000
		workers[i].guards = i%3 != 2
	}
	s := begin(rec, 3, workers, true, urgent, orders)
	for _, p := range s.controls {
		p.proxy.peerDelay = syncDelay
	}
	b := newBackground()
	b.every(30*time.Millisecond, func(n int) {
		queue := urgent
		if n%3 == 0 {
			queue = orders
		}
		ms := []int{20, 60, 200, 900}[rand.IntN(4)]
		j := oneStep(queue, 1+rand.IntN(6), ms, 1000)
		if n%7 == 0 {
			j.steps = append(j.steps, step{Count: 2, CPU: 1000, MemMB: 64, EstimatedMS: ms, After: []int{0}})
			j.steps = append(j.steps, step{Count: 3, CPU: 1000, MemMB: 64, EstimatedMS: ms, After: []int{0, 1}})
		}
		if n%11 == 0 {
			j.spec.FailPercent = 30
		}
		if n%5 == 0 && len(j.steps) == 1 && ms < 900 {
			j.bestEffort = true
			j.attempts = 4
		}
		id, status := s.submit(n%3, j)
		if n%9 == 1 && status == 200 && !j.bestEffort {
			time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
			s.cancel(n%3, queue.name, id)
		}
	})
	for s.rec.at() < 60*time.Second && trouble {
		time.Sleep(time.Duration(500+random.IntN(2500)) * time.Millisecond)
		kind := kinds[random.IntN(len(kinds))]
		any := append(append(append([]*process(nil), s.controls...), s.entries...), s.agents...)
		p := any[random.IntN(len(any))]
		switch kind {
		case "leader":
			if p = s.leader(); p == nil {
				continue
			}
			fallthrough
		case "kill":
			p.kill()
			time.Sleep(time.Duration(300+random.IntN(1500)) * time.Millisecond)
			p.restart()
		case "agents":
			var list []*process
			for _, a := range s.agents {
				if random.IntN(2) == 0 {
					list = append(list, a)
				}
			}
			for _, a := range list {
				a.kill()
			}
			time.Sleep(time.Duration(300+random.IntN(1500)) * time.Millisecond)
			for _, a := range list {
				a.restart()
			}
		case "stopleader":
			if p = s.leader(); p == nil {
				continue
			}
			p.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(100+random.IntN(2500)) * time.Millisecond)
			p.signal(syscall.SIGCONT)
		case "stopagents":
			for _, a := range s.agents[:4] {
				a.signal(syscall.SIGSTOP)
			}
			time.Sleep(time.Duration(300+random.IntN(2500)) * time.Millisecond)
			for _, a := range s.agents[:4] {
				a.signal(syscall.SIGCONT)
			}
		case "wipe":
			p = s.controls[random.IntN(3)]
			if l := s.leader(); l != nil && random.IntN(2) == 0 {
				p = l
			}
			p.kill()
			_ = os.RemoveAll(p.settings["data_dir"].(string))
			_ = os.MkdirAll(p.settings["data_dir"].(string), 0o755)
			rec.note("platform: %s loses its disk", p.name())
			time.Sleep(time.Duration(300+random.IntN(2500)) * time.Millisecond)
			p.restart()
			time.Sleep(4500 * time.Millisecond)
		case "freeze":
			p.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(200+random.IntN(3000)) * time.Millisecond)
			p.signal(syscall.SIGCONT)
		case "term":
			p.signal(syscall.SIGTERM)
			p.expected = true
			select {
			case <-p.exited:
			case <-time.After(6 * time.Second):
				p.kill()
			}
			p.restart()
		case "grey", "late", "lost":
			w := s.workers[random.IntN(len(s.workers))]
			share := []float64{0.05, 0.2, 0.6, 0.9}[random.IntN(4)]
			rec.note("worker %s: %s %.2f", w.id, kind, share)
			set := func(share float64) {
				w.mu.Lock()
				defer w.mu.Unlock()
				switch kind {
				case "grey":
					w.failShare = share
				case "late":
					w.lateShare = share
				case "lost":
					w.lostShare = share
				}
			}
			set(share)
			time.AfterFunc(5*time.Second, func() { set(0) })
		case "leave":
			go s.workers[random.IntN(len(s.workers))].leave()
		case "crash":
			s.workers[random.IntN(len(s.workers))].crash()
		case "cut":
			if p.proxy == nil {
				continue
			}
			rec.note("platform: cut of %s", p.name())
			p.proxy.setCut(true)
			time.Sleep(time.Duration(200+random.IntN(3000)) * time.Millisecond)
			p.proxy.setCut(false)
			rec.note("platform: cut of %s ends", p.name())
		case "reset":
			rec.note("platform: resets")
			for _, p := range any {
				if p.proxy != nil {
					p.proxy.reset(func(*proxyConn) bool { return rand.IntN(2) == 0 })
				}
			}
		case "all":
			for _, p := range s.controls {
				p.kill()
			}
			time.Sleep(time.Duration(300+random.IntN(2000)) * time.Millisecond)
			for _, p := range s.controls {
				p.restart()
			}
		}
	}
	rec.note("end of the traffic")
	b.end()
	rec.note("all clients have ended")
	s.checkIdle(rec.at())
	return s, "ANY"
}
