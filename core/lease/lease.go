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
	// slowest is how much the endpoint's clock may be behind, in percent.
	slowest = 2
	// margin covers the agent's rounding and the end of a killed run.
	margin = 120 * time.Millisecond
	// GoneAfter is how long after its last answer to an agent a holder of runs
	// counts them as gone.
	GoneAfter = Grant + Grant*slowest/100 + margin
	// StopAfter is how long after its last contact with a holder an agent stops
	// that holder's runs if others run beside them. The rest of the grant is for
	// the stops and their answers, since the lease of the others ends with it too.
	StopAfter = 900 * time.Millisecond
)

// Keeper computes the deadlines that an agent gives its endpoint.
type Keeper struct {
	// most is the longest time that the endpoint accepts.
	most time.Duration
	// reading is the endpoint's clock at the agent's time at.
	reading time.Duration
	at      time.Time
}

// NewKeeper returns a keeper for an endpoint that accepts deadlines up to most
// ahead.
func NewKeeper(most time.Duration) *Keeper { return &Keeper{most: most} }

// Observe takes a reading of the endpoint's clock; at is when the answer came.
// A reading that was overtaken by a later one is left out.
func (k *Keeper) Observe(reading time.Duration, at time.Time) {
	if reading >= k.reading {
		k.reading = reading
		k.at = at
	}
}

// Clock estimates the endpoint's clock, never ahead of it by more than its
// drift since the last reading.
func (k *Keeper) Clock(now time.Time) time.Duration {
	if k.at.IsZero() {
		return 0
	}
	since := max(now.Sub(k.at), 0)
	return k.reading + since - since*slowest/100
}

// Deadline returns the time on the endpoint's clock until which runs may go on.
// contact is the clock when the last ping was sent that the holder of the runs
// answered. An endpoint has one deadline for all that runs there, so it is that of
// the holder that has been out of touch for longest. The deadline lies in the past
// once that has been for too long.
func (k *Keeper) Deadline(now time.Time, contact time.Duration) time.Duration {
	return min(k.Clock(now)+k.most, contact+Grant)
}

// Stale tells whether the runs of a holder must be stopped because others run
// beside them.
func (k *Keeper) Stale(now time.Time, contact time.Duration) bool {
	return k.Clock(now) >= contact+StopAfter
}
