package dispatch

import (
	"math"
	"time"
)

const (
	// grantTTL is how long a grant is used without a new report. Agents
	// reclaim the slots of an entry after slots.EntryTTL, which is longer.
	grantTTL = 800 * time.Millisecond
	// busyBackoff is how long no task is started on an endpoint that refused
	// one as busy, unless a task ends there before.
	busyBackoff = 20 * time.Millisecond
	// speculationReserve is the number of an endpoint's slots that speculative
	// starts leave free, because they may be granted to other entries.
	speculationReserve = 1
)

// attempt is one started task whose end has not been reported.
type attempt struct {
	itemID   uint64
	endpoint *endpoint
	kind     *kind
	caller   *caller
	flow     *flow
	started  time.Time
	// work is the amount that the flow was charged, in seconds.
	work float64
	// speculative marks a start beyond the grant, which took a token.
	speculative bool
	trial       bool
	// bulk marks a task that counts towards the slot limit of bulk work.
	bulk bool
}

// endpoint is an entry's state of one endpoint.
type endpoint struct {
	Endpoint
	pool     *pool
	set      *bucketSet
	bucket   int
	position int

	attempts []*attempt
	granted  int
	// freeSlots is the endpoint's part of Scheduler.freeSlots.
	freeSlots int
	// throughput is the endpoint's part of Scheduler.throughput.
	throughput float64
	// usedByOthers is the last known number of slots used by other entries.
	usedByOthers int
	lastReport   time.Time
	busyUntil    time.Time
	// timerAt is the time of the endpoint's pending timer, zero if there is none.
	timerAt time.Time

	logSpeed     float64
	speedSamples int
	// penalty is subtracted from logSpeed while a task is overdue.
	penalty float64

	health health
}

func (e *endpoint) effectiveLogSpeed() float64 { return e.logSpeed - e.penalty }

func (e *endpoint) inFlight() int { return len(e.attempts) }

// initialGrant returns the grant that is assumed before the first report.
func initialGrant(slots int) int { return max(1, slots/4) }

// applyLoad updates the endpoint from an agent's report.
func (e *endpoint) applyLoad(now time.Time, l Load) {
	e.Slots = max(l.Slots, 0)
	e.granted = min(max(l.Granted, 0), e.Slots)
	e.usedByOthers = max(l.Running-e.inFlight(), 0)
	e.lastReport = now
}

// expireGrant sets the grant to one slot after grantTTL without a report: the
// agent may have granted the slots to other entries since, or may have become
// idle.
func (e *endpoint) expireGrant(now time.Time) {
	if e.lastReport.IsZero() || now.Sub(e.lastReport) < grantTTL {
		return
	}
	e.granted = 1
	e.usedByOthers = min(e.usedByOthers, max(e.Slots-1, 0))
}

// nextChange returns the time at which an endpoint without a free granted slot
// may get one merely because time passes; zero if that takes an event.
func (e *endpoint) nextChange(now time.Time) time.Time {
	if e.Drain || e.inFlight() >= e.Slots {
		return time.Time{}
	}
	var next time.Time
	candidates := [...]time.Time{e.busyUntil, e.lastReport.Add(grantTTL)}
	if e.health.quarantined {
		candidates = [...]time.Time{e.health.nextTrial, {}}
	}
	for _, at := range candidates {
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

func (e *endpoint) removeAttempt(a *attempt) {
	for i, other := range e.attempts {
		if other == a {
			last := len(e.attempts) - 1
			e.attempts[i] = e.attempts[last]
			e.attempts[last] = nil
			e.attempts = e.attempts[:last]
			return
		}
	}
}

const (
	// overdueFactor is the multiple of its expected run time after which a
	// running task makes its endpoint count as slower than estimated.
	overdueFactor = 3.0
	// overdueGrace is added to the limit so that jitter of short tasks is ignored.
	overdueGrace = 20 * time.Millisecond
)

// updatePenalty lowers the endpoint's speed while one of its tasks is overdue.
// This detects a slow or unresponsive endpoint before its tasks end.
func (e *endpoint) updatePenalty(now time.Time) {
	e.penalty = 0
	for _, a := range e.attempts {
		if !a.kind.hasSamples() {
			continue
		}
		limit := overdueFactor * expectedRunTime(a.kind, e)
		elapsed := (now.Sub(a.started) - overdueGrace).Seconds()
		if elapsed > limit {
			e.penalty = max(e.penalty, math.Log(elapsed/limit*overdueFactor))
		}
	}
}
