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
	// GoneAfter is how long after its last answer to an agent the leader counts
	// the agent's runs as gone.
	GoneAfter = Grant + Grant*slowest/100 + margin
)

// Keeper computes the deadlines that an agent gives its endpoint.
type Keeper struct {
	// most is the longest time that the endpoint accepts.
	most time.Duration
	// reading is the endpoint's clock at the agent's time at.
	reading time.Duration
	at      time.Time
	// contact is the endpoint's clock at the last contact with the leader.
	contact time.Duration
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

// Contact notes that the leader answered a ping that was sent when the
// endpoint's clock showed sent.
func (k *Keeper) Contact(sent time.Duration) { k.contact = max(k.contact, sent) }

// Deadline returns the time on the endpoint's clock until which runs may go on.
// It lies in the past once the leader has been out of touch for too long.
func (k *Keeper) Deadline(now time.Time) time.Duration {
	return min(k.Clock(now)+k.most, k.contact+Grant)
}
