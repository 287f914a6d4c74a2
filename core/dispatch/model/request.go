package model

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/job"
)

// request is one call or job.
type request struct {
	spec      requestSpec
	caller    string
	id        string
	arrived   time.Time
	work      []float64
	remaining int
	ended     bool
	// otherSpeed is set if a task ran on an endpoint far from the mean speed.
	atypicalSpeed bool
}

func (r *request) key() job.Key { return job.Key{Caller: r.caller, ID: r.id} }

func (r *request) totalWork() float64 {
	total := 0.0
	for _, w := range r.work {
		total += w
	}
	return total
}

// ideal returns the larger of the longest task and the total work over all
// slots, in seconds.
func (r *request) idealTime(slots int) float64 {
	longest := 0.0
	for _, w := range r.work {
		longest = max(longest, w)
	}
	return max(longest, r.totalWork()/float64(slots))
}
