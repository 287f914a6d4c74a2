package model

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is an action at a virtual time. Events at the same time run in the order
// in which they were added, so that a run depends only on its seed.
type event struct {
	at    time.Time
	order uint64
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = event{}
	*h = old[:last]
	return e
}

// simulator holds the virtual clock and the event queue.
type simulator struct {
	now    time.Time
	order  uint64
	events eventHeap
	random *rand.Rand
}

func newSimulator(seed uint64) *simulator {
	return &simulator{
		now:    time.Unix(1_700_000_000, 0),
		random: rand.New(rand.NewPCG(seed, 1)),
	}
}

// after schedules an action after a delay.
func (s *simulator) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now.Add(d), order: s.order, run: run})
}

// runUntil runs all events up to a time, inclusive.
func (s *simulator) runUntil(end time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}
