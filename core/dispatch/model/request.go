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
	// atypicalSpeed is set if a task ran on a faulty endpoint or on one that is
	// not within 15% of the mean speed.
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

// idealTime returns the shortest possible response time in seconds at the mean
// speed: the longest task, or the total work divided by all slots if that is
// larger.
func (r *request) idealTime(slots int) float64 {
	longest := 0.0
	for _, w := range r.work {
		longest = max(longest, w)
	}
	return max(longest, r.totalWork()/float64(slots))
}
