package leaderless

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/placement"
)

// LeaderTimeout bounds the wait for a leader; it covers two elections.
const LeaderTimeout = 1500 * time.Millisecond

// Wait decides how long a caller's request waits for a leader, or for its entry to place
// jobs itself.
type Wait struct {
	// Arrived is when the request arrived.
	Arrived time.Time
	// Objective is that of a submitted job; 0 if it is not known.
	Objective time.Duration
	// LeaderLostAt is when the first leader that may have started the job was found to be
	// lost; zero if there is none.
	LeaderLostAt time.Time
}

// Until returns the end of the wait. A request that no leader has received waits until
// its objective has passed. A job that may have run is not given up before another leader
// can have taken over its runs, however long it ran before: its tasks go on meanwhile. It
// is given up when the result has no more value.
func (w Wait) Until() time.Time {
	if w.LeaderLostAt.IsZero() {
		if w.Objective == 0 {
			return w.Arrived.Add(LeaderTimeout)
		}
		return w.Arrived.Add(min(w.Objective, LeaderTimeout))
	}
	takenOver := w.LeaderLostAt.Add(LeaderTimeout)
	if worthless := w.Arrived.Add(placement.ExpiryFactor * w.Objective); worthless.After(takenOver) {
		return worthless
	}
	return takenOver
}
