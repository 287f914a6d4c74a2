package dispatch

import (
	"container/heap"
	"time"
)

// timer is the time at which an endpoint's state may change without an event.
type timer struct {
	at       time.Time
	endpoint *endpoint
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := len(old) - 1
	t := old[last]
	old[last] = timer{}
	*h = old[:last]
	return t
}

// setTimer sets the endpoint's timer, unless it is already set to an earlier
// time or the time is zero. When the timer fires, reindex sets it again if
// needed.
func (s *Scheduler) setTimer(at time.Time, e *endpoint) {
	if at.IsZero() || (!e.timerAt.IsZero() && !at.Before(e.timerAt)) {
		return
	}
	e.timerAt = at
	heap.Push(&s.timers, timer{at, e})
}

// advance moves the scheduler's clock, which never goes back, and applies the
// deadlines, trials and ends of backoffs that have become due.
func (s *Scheduler) advance(now time.Time) {
	if now.After(s.now) {
		s.now = now
	}
	s.expire(s.now)
	for len(s.timers) > 0 && !s.timers[0].at.After(s.now) {
		t := heap.Pop(&s.timers).(timer)
		if t.endpoint.removed() || !t.at.Equal(t.endpoint.timerAt) {
			continue
		}
		t.endpoint.timerAt = time.Time{}
		s.noneStartable = false
		s.reindex(t.endpoint)
	}
}

// NextWake returns the time at which Next or TakeExpired should be called if no
// event comes before, because of a deadline, a trial or the end of a backoff.
// It is zero if there is none.
func (s *Scheduler) NextWake(now time.Time) time.Time {
	if len(s.expired) > 0 {
		return now
	}
	var at time.Time
	if len(s.queue.deadlines) > 0 {
		at = s.queue.deadlines[0].latestStart
	}
	if len(s.timers) > 0 && s.queue.size > 0 && (at.IsZero() || s.timers[0].at.Before(at)) {
		at = s.timers[0].at
	}
	return at
}
