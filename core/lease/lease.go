// Package lease has the arithmetic by which an agent's endpoint keeps running
// tasks while the agent is in touch with the leader, and by which the leader
// knows when nothing can run there any more. Times on the endpoint are readings
// of the endpoint's own steady clock; the agent's clock only bridges the short
// time since the last reading.
package lease

import "time"

const (
	// Grant is how long after its last contact with the leader an agent may let
	// its endpoint run tasks. It covers an election and a new session, and ends
	// before a caller without an answer submits its job again, after 1.3 s.
	Grant = 1200 * time.Millisecond
	// maxLagPercent is how much the endpoint's clock may be behind, in percent.
	maxLagPercent = 2
	// margin covers the agent's rounding and the end of a killed run.
	margin = 120 * time.Millisecond
	// ExpiresAfter is how long after its last answer to an agent a holder of runs
	// counts them as gone.
	ExpiresAfter = Grant + Grant*maxLagPercent/100 + margin
	// StopAfter is how long after its last contact with a holder an agent stops
	// that holder's runs if others run beside them. The rest of the grant is for
	// the stops and their answers, since the lease of the others ends with it too.
	StopAfter = 900 * time.Millisecond
)

// EndpointClock computes the deadlines that an agent gives its endpoint.
type EndpointClock struct {
	// maxAhead is the longest time that the endpoint accepts.
	maxAhead time.Duration
	// reading is the endpoint's clock at the agent's time observedAt.
	reading    time.Duration
	observedAt time.Time
}

// NewEndpointClock returns a clock for an endpoint that accepts deadlines up to maxAhead
// ahead.
func NewEndpointClock(maxAhead time.Duration) *EndpointClock {
	return &EndpointClock{maxAhead: maxAhead}
}

// Observe takes a reading of the endpoint's clock; at is when the answer came.
// A reading that was overtaken by a later one is left out.
func (c *EndpointClock) Observe(reading time.Duration, at time.Time) {
	if reading >= c.reading {
		c.reading = reading
		c.observedAt = at
	}
}

// At estimates the endpoint's clock, never ahead of it by more than its
// drift since the last reading.
func (c *EndpointClock) At(now time.Time) time.Duration {
	if c.observedAt.IsZero() {
		return 0
	}
	elapsed := max(now.Sub(c.observedAt), 0)
	return c.reading + elapsed - elapsed*maxLagPercent/100
}

// Deadline returns the time on the endpoint's clock until which runs may go on.
// contact is the clock when the last ping was sent that the holder of the runs
// answered. An endpoint has one deadline for all that runs there, so it is that of
// the holder that has been out of touch for longest. The deadline lies in the past
// once that has been for too long.
func (c *EndpointClock) Deadline(now time.Time, contact time.Duration) time.Duration {
	return min(c.At(now)+c.maxAhead, contact+Grant)
}

// Stale tells whether the runs of a holder must be stopped because others run
// beside them.
func (c *EndpointClock) Stale(now time.Time, contact time.Duration) bool {
	return c.At(now) >= contact+StopAfter
}
