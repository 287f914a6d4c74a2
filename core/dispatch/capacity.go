package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/state"
)

func (s *Scheduler) lookup(service, name string) *kind {
	return s.kinds[state.ServedKind{Service: service, Kind: name}]
}

// flowWait returns the time in seconds until a flow has finished what it has
// queued and an additional amount of work, at its fair share of the slots.
func (s *Scheduler) flowWait(name, service string, extra float64) float64 {
	own := extra
	weight := max(1, s.weights[name])
	f := s.fair.flows[flowKey{service, name}]
	if f != nil {
		own += f.work()
	}
	shares := float64(s.fair.active)
	if f == nil || f.heapIndex < 0 {
		shares += float64(weight)
	}
	all := extra + s.queuedWork()
	capacity := max(s.capacity, 1)
	byShare := own * shares / float64(weight) / capacity
	return min(byShare, all/capacity)
}

// oldestWait returns for how long, in seconds, the oldest item of a flow's
// kinds has waited. It bounds the queue even where the estimates are wrong.
func (s *Scheduler) oldestWait(now time.Time, name, service string, kinds []KindCount) float64 {
	f := s.fair.flows[flowKey{service, name}]
	if f == nil {
		return 0
	}
	wait := 0.0
	for _, c := range f.classes {
		asked := slices.ContainsFunc(kinds, func(k KindCount) bool { return k.Kind == c.key.kind })
		if asked {
			wait = max(wait, now.Sub(c.first.item.Enqueued).Seconds())
		}
	}
	return wait
}

// work returns the estimated work in seconds that is queued in a flow.
func (f *flow) work() float64 {
	if f == nil {
		return 0
	}
	total := 0.0
	for _, c := range f.classes {
		total += c.kind.work * float64(c.size)
	}
	return total
}

// updateCapacity updates the work per second that the entry can expect: the
// granted or used slots of usable endpoints at their speeds.
func (s *Scheduler) updateCapacity(e *endpoint) {
	capacity := 0.0
	if !e.Drain && !e.health.quarantined && !e.removed() {
		capacity = float64(s.usableSlots(e)) * math.Exp(e.logSpeed)
	}
	s.capacity += capacity - e.capacity
	e.capacity = capacity
	s.fastest = max(s.fastest, e.logSpeed)
}

// usableSlots returns the slots of an endpoint that the entry can expect to use.
// Only grants say how many; without them half is assumed.
func (s *Scheduler) usableSlots(e *endpoint) int {
	if s.opts.Strategy != Grants {
		return max(e.Slots/2, e.inFlight())
	}
	return max(e.granted, e.inFlight())
}

// queuedWork returns the estimated work in seconds of the whole queue.
func (s *Scheduler) queuedWork() float64 {
	work := 0.0
	for _, k := range s.kindList {
		work += float64(k.queued) * k.work
	}
	return work
}

// queueWait returns the time in seconds in which the whole queue is worked off.
func (s *Scheduler) queueWait() float64 { return s.queuedWork() / max(s.capacity, 1) }
