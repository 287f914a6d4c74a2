package placement

import (
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// query is the search for the endpoint that is expected to finish a task first.
// Among equals it prefers the one with more free CPU.
type query struct {
	now    time.Time
	job    *job
	index  int
	step   *work.Step
	task   *task
	shared bool
	// avoid has the preferences by the runs on the endpoints, nil for none.
	avoid *avoidance
	// outsideRack is set while the search covers endpoints outside the preferred rack,
	// where the task takes longer.
	outsideRack bool
	// ignoreRamps is set while the search covers the capacity that ramps withhold.
	ignoreRamps bool
	best        *endpoint
	// bestFreeCPU is what a run may take of best, and expected is the expected run time
	// there, increased by the penalties.
	bestFreeCPU int
	expected    time.Duration
}

// lowerBound returns the lowest expected run time on an endpoint of this slowdown.
func (q *query) lowerBound(ratio float64) time.Duration {
	return expectedRunTime(q.step, ratio, q.outsideRack)
}

// better reports whether an endpoint with this expected run time and free CPU is
// preferred to the best one so far.
func (q *query) better(expected time.Duration, freeCPU int) bool {
	return q.best == nil || expected < q.expected || expected == q.expected && freeCPU > q.bestFreeCPU
}

// consider makes an endpoint the best one if it accepts the task and is preferred.
func (q *query) consider(e *endpoint) {
	free := e.free
	if e.ramp != nil && !q.ignoreRamps {
		free = e.available()
	}
	if !e.accepts(q.now, q.job, q.index, q.shared, &free) {
		return
	}
	expected := e.expectedRunTime(q.step)
	if slices.Contains(q.task.failedOn, e.VM) {
		expected *= failedPenalty
	}
	expected = q.addInterference(e, expected)
	expected = e.health.penalize(q.now, expected)
	if q.better(expected, free.CPU) {
		q.best, q.bestFreeCPU, q.expected = e, free.CPU, expected
	}
}
