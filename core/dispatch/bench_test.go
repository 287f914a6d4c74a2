package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkNextDone measures the start and end of one task, with a long queue of
// 100 callers and about 70% of the slots in use.
func BenchmarkNextDone(b *testing.B) {
	for _, n := range []int{11, 150, 1500} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) { benchmarkNextDone(b, n) })
	}
}

func benchmarkNextDone(b *testing.B, n int) {
	s := New(Options{MaxQueued: 1 << 30})
	s.SetEndpoints(start, fleet(n, "quote", "batch"))
	now := start
	id := uint64(1)
	add := func(count int) {
		kind := [...]string{"quote", "batch"}[id%2]
		s.Enqueue(now, newItems(fmt.Sprint("c", id%100), fmt.Sprint("j", id%1000), kind, id, count, now))
		id += uint64(count)
	}
	for range 1000 {
		add(3)
	}
	var inFlight []Assignment
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(20 * time.Microsecond)
		for len(inFlight) < n*6 {
			a, ok := s.Next(now)
			if !ok {
				break
			}
			inFlight = append(inFlight, a)
			add(1)
		}
		if len(inFlight) == 0 {
			b.Fatal("nothing in flight")
		}
		a := inFlight[0]
		inFlight = inFlight[1:]
		s.Done(now, a, success(50*time.Millisecond))
	}
}

// BenchmarkAdmit measures the admission of a call while 100 callers have queued
// tasks.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{11, 150, 1500} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			s := New(Options{})
			s.SetEndpoints(start, fleet(n, "quote"))
			for i := range 100 {
				s.Enqueue(start, newItems(fmt.Sprint("c", i), "j", "quote", uint64(i*10+1), 10, start))
			}
			a, _ := s.Next(start)
			s.Done(start, a, success(50*time.Millisecond))
			kinds := []KindCount{{Kind: "quote", Count: 1}}
			for b.Loop() {
				s.Admit(start, "c5", "shop", kinds, start.Add(time.Second), 0)
			}
		})
	}
}
