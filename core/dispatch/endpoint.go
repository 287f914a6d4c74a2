package dispatch

import (
	"math"
	"time"
)

const (
	// grantLife is how long a grant is used without a new report. Agents
	// reclaim the slots of an entry after slots.EntryLife, which is longer.
	grantTTL = 800 * time.Millisecond
	// busyPause is how long an endpoint that refused a task gets no other
	// start, unless a task ends there before.
	busyBackoff = 20 * time.Millisecond
	// spareMargin is the number of slots that stay free of starts beyond the
	// grant, because they may be granted to other entries.
	speculationReserve = 1
)

// flight is one start without an end.
type attempt struct {
	itemID   uint64
	endpoint *endpoint
	kind     *kind
	caller   *caller
	flow     *flow
	started  time.Time
	// work is what the flow was charged, in seconds.
	work float64
	// spare marks a start beyond the grant, which took a token.
	speculative bool
	trial       bool
	// bulk marks a task that counts against the part of bulk work.
	bulk bool
}

// endpoint is what an entry knows of one endpoint.
type endpoint struct {
	Endpoint
	pool     *pool
	set      *bucketSet
	bucket   int
	position int

	attempts []*attempt
	granted  int
	// free is the endpoint's part of the scheduler's free granted slots.
	freeSlots int
	// capacity is the endpoint's part of the scheduler's capacity.
	throughput float64
	// others is the last known number of tasks of other entries there.
	usedByOthers int
	lastReport   time.Time
	busyUntil    time.Time
	// wake is the time of the endpoint's pending timer, zero if there is none.
	timerAt time.Time

	logSpeed     float64
	speedSamples int
	// penalty lowers the logarithm of the speed while a task is overdue.
	penalty float64

	health health
}

func (e *endpoint) effectiveLogSpeed() float64 { return e.logSpeed - e.penalty }

func (e *endpoint) inFlight() int { return len(e.attempts) }

// initialGrant is used before the first report.
func initialGrant(slots int) int { return max(1, slots/4) }

// apply takes over an agent's report.
func (e *endpoint) applyLoad(now time.Time, l Load) {
	e.Slots = max(l.Slots, 0)
	e.granted = min(max(l.Granted, 0), e.Slots)
	e.usedByOthers = max(l.Running-e.inFlight(), 0)
	e.lastReport = now
}

// expireGrant falls back to one slot after a time without a report. The agent
// may have granted more to other entries, or may have become idle.
func (e *endpoint) expireGrant(now time.Time) {
	if e.lastReport.IsZero() || now.Sub(e.lastReport) < grantTTL {
		return
	}
	e.granted = 1
	e.usedByOthers = min(e.usedByOthers, max(e.Slots-1, 0))
}

// nextChange returns when an endpoint without a free granted slot may have one
// without an event; zero if only an event can change that.
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

// dropFlight removes a flight from the endpoint's list.
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
	// overdueFactor is how many times its expected run time a task runs before
	// its endpoint counts as slower than its estimate.
	overdueFactor = 3.0
	// overdueGrace is added to the limit, so that jitter of short tasks is ignored.
	overdueGrace = 20 * time.Millisecond
)

// updatePenalty lowers the endpoint's speed while one of its tasks is overdue.
// This finds a slow or silent endpoint before its tasks end.
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
