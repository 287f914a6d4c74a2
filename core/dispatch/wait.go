package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/state"
)

func (s *Scheduler) lookupKind(service, name string) *kind {
	return s.kinds[state.ServedKind{Service: service, Kind: name}]
}

// flowWait returns the time in seconds in which a flow finishes its queued work
// and an additional amount of work, at its fair share of the slots.
func (s *Scheduler) flowWait(callerName, service string, extraWork float64) float64 {
	flowWork := extraWork
	weight := max(1, s.weights[callerName])
	f := s.fair.flows[flowKey{service, callerName}]
	if f != nil {
		flowWork += f.queuedWork()
	}
	totalWeight := float64(s.fair.activeWeight)
	if f == nil || f.heapIndex < 0 {
		totalWeight += float64(weight)
	}
	totalWork := extraWork + s.queuedWork()
	throughput := max(s.throughput, 1)
	fairWait := flowWork * totalWeight / float64(weight) / throughput
	return min(fairWait, totalWork/throughput)
}

// oldestWait returns how long, in seconds, the oldest queued item of the given
// kinds has waited in a flow. It limits the queue even if the estimates are
// wrong.
func (s *Scheduler) oldestWait(now time.Time, callerName, service string, kinds []KindCount) float64 {
	f := s.fair.flows[flowKey{service, callerName}]
	if f == nil {
		return 0
	}
	wait := 0.0
	for _, c := range f.classes {
		requested := slices.ContainsFunc(kinds, func(k KindCount) bool { return k.Kind == c.key.kind })
		if requested {
			wait = max(wait, now.Sub(c.first.item.Enqueued).Seconds())
		}
	}
	return wait
}

// queuedWork returns the estimated work in seconds that is queued in a flow.
func (f *flow) queuedWork() float64 {
	if f == nil {
		return 0
	}
	total := 0.0
	for _, c := range f.classes {
		total += c.kind.work * float64(c.size)
	}
	return total
}

// updateThroughput updates an endpoint's part of the work per second that the
// entry can expect to get done: its granted or used slots times its speed.
func (s *Scheduler) updateThroughput(e *endpoint) {
	throughput := 0.0
	if !e.Drain && !e.health.quarantined && !e.removed() {
		throughput = float64(s.usableSlots(e)) * math.Exp(e.logSpeed)
	}
	s.throughput += throughput - e.throughput
	e.throughput = throughput
	s.maxLogSpeed = max(s.maxLogSpeed, e.logSpeed)
}

// usableSlots returns the number of an endpoint's slots that the entry can
// expect to use. Strategies without grants assume half of the slots.
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

// queueWait returns the time in seconds in which the queued work is done.
func (s *Scheduler) queueWait() float64 { return s.queuedWork() / max(s.throughput, 1) }
