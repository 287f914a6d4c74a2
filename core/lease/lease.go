// Package lease computes the deadlines until which an agent's endpoint may run
// tasks while the agent is in contact with the leader, and the time after which
// the leader may assume that nothing runs there any more. Times on the endpoint
// are readings of the endpoint's own monotonic clock; the agent's clock is only
// used for the short time since the last reading.
package lease

import "time"

const (
	// Grant is how long after its last contact with the leader an agent may let
	// its endpoint run tasks. It covers an election and a new session, and ends
	// before a caller without an answer submits its job again, after 1.3 s.
	Grant = 1200 * time.Millisecond
	// maxLagPercent is how much the endpoint's clock may be behind, in percent.
	maxLagPercent = 2
	// margin covers the agent's rounding and the time that a killed run takes to
	// end.
	margin = 120 * time.Millisecond
	// ExpiresAfter is how long after its last answer to an agent the owner of runs
	// (the leader, or an entry that places jobs itself) assumes that they have
	// ended.
	ExpiresAfter = Grant + Grant*maxLagPercent/100 + margin
	// AbandonAfter is how long after an entry's last message a leader goes on with the entry's
	// best-effort jobs. It ends before a caller without an answer submits its job again.
	AbandonAfter = 1100 * time.Millisecond
	// ExpiresAfterLeaderLoss is how long after it has lost its leader an entry assumes that runs
	// of that leader may go on. If only the entry was cut off, the leader renews the leases until
	// it abandons the entry's jobs, and may be lost itself right then.
	ExpiresAfterLeaderLoss = AbandonAfter + ExpiresAfter
	// ExpiresAfterTakeover is how long an entry assumes that its runs may go on at an endpoint
	// that a leader has taken over before the leader has their job: the leader stops runs
	// that no job claims after 0.4 s, or the agent's lease from the leader expires.
	ExpiresAfterTakeover = ExpiresAfter + 600*time.Millisecond
	// StopAfter is how long after its last contact with an owner an agent stops
	// that owner's runs if runs of other owners share the endpoint. The rest of
	// Grant is for the stops and their answers, since the lease of the other runs
	// ends with it too.
	StopAfter = 900 * time.Millisecond
)

// EndpointClock estimates an endpoint's clock and computes the deadlines that
// the agent sends to the endpoint.
type EndpointClock struct {
	// maxAhead is how far ahead a deadline may lie for the endpoint to accept it.
	maxAhead time.Duration
	// reading is the endpoint's clock at observedAt on the agent's clock.
	reading    time.Duration
	observedAt time.Time
}

// NewEndpointClock returns a clock without a reading, for an endpoint that
// accepts deadlines up to ahead in the future.
func NewEndpointClock(ahead time.Duration) *EndpointClock { return &EndpointClock{maxAhead: ahead} }

// Observe records a reading of the endpoint's clock that arrived at the agent's
// time at. A reading lower than the recorded one arrived out of order and is
// ignored.
func (c *EndpointClock) Observe(reading time.Duration, at time.Time) {
	if reading >= c.reading {
		c.reading = reading
		c.observedAt = at
	}
}

// At estimates the endpoint's clock at the agent's time now, 0 before the first
// reading. The estimate is never ahead by more than the drift since the last
// reading.
func (c *EndpointClock) At(now time.Time) time.Duration {
	if c.observedAt.IsZero() {
		return 0
	}
	elapsed := max(now.Sub(c.observedAt), 0)
	return c.reading + elapsed - elapsed*maxLagPercent/100
}

// Deadline returns the time on the endpoint's clock until which runs may
// continue. contact is the endpoint's clock when the last ping was sent that the
// owner of the runs answered. An endpoint has one deadline for all its runs, so
// the caller passes the contact of the owner that has been out of contact for the
// longest time. The deadline lies in the past once Grant has passed since contact.
func (c *EndpointClock) Deadline(now time.Time, contact time.Duration) time.Duration {
	return min(c.At(now)+c.maxAhead, contact+Grant)
}

// Stale reports whether the runs of an owner must be stopped if runs of other
// owners share the endpoint.
func (c *EndpointClock) Stale(now time.Time, contact time.Duration) bool {
	return c.At(now) >= contact+StopAfter
}
