package placement

import (
	"math"
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

const (
	// maxFasterWait bounds the wait for a faster endpoint, counted from when the first task of the
	// step found no endpoint. Callers may expect a start within 3 s wherever there is room.
	maxFasterWait = 2 * time.Second
	// maxFasterExamined bounds the endpoints that are examined for one decision.
	maxFasterExamined = 32
)

// onlyFasterInTime reports whether a task would be late with a run time, and in time on the fastest
// endpoint, whether or not that has capacity.
func (p *Planner) onlyFasterInTime(now time.Time, j *job, step int, runTime time.Duration) bool {
	return now.Add(runTime).After(j.due) && !now.Add(p.minRunTime(now, j, step)).After(j.due)
}

// worthWaiting reports whether a task that would be late on the endpoints that have capacity is
// expected to be in time on a faster one, which gets room when runs there end.
func (p *Planner) worthWaiting(now time.Time, j *job, step int, runTime time.Duration) bool {
	if !p.onlyFasterInTime(now, j, step, runTime) {
		return false
	}
	q := fasterQuery{now: now, job: j, index: step, step: &j.spec.Steps[step], until: now.Add(maxFasterWait), shared: p.shared}
	if g := j.groups[step]; g != nil && !g.heldBackSince.IsZero() {
		q.until = g.heldBackSince.Add(maxFasterWait)
	}
	index := p.index(now, j.spec.Pool, q.step.RequiredLabel)
	return index != nil && now.Before(q.until) && index.anyFaster(1, &q)
}

// fasterQuery looks for an endpoint on which a task would be in time.
type fasterQuery struct {
	now   time.Time
	job   *job
	index int
	step  *work.Step
	// until is the end of the wait.
	until    time.Time
	shared   bool
	examined int
}

// anyFaster reports whether an endpoint below node n is expected to get room in time.
func (x *endpointIndex) anyFaster(n int, q *fasterQuery) bool {
	ratio := x.nodes[n].usableRatio // infinite without usable endpoints
	if q.examined >= maxFasterExamined || math.IsInf(ratio, 1) || ratio*float64(q.step.Estimate) > float64(q.job.due.Sub(q.now)) {
		return false
	}
	if n >= x.size() {
		q.examined++
		return q.getsRoom(x.endpoints[n-x.size()])
	}
	return x.anyFaster(2*n, q) || x.anyFaster(2*n+1, q)
}

// getsRoom reports whether a task would be in time on the endpoint after runs there have ended. One
// that has room now was not chosen for another reason.
func (q *fasterQuery) getsRoom(e *endpoint) bool {
	free := e.available()
	if e.open(q.now, q.shared) && q.step.Need.Fits(free) {
		return false
	}
	start := q.job.due.Add(-e.expectedRunTime(q.step))
	if q.until.Before(start) {
		start = q.until
	}
	others := 0
	for _, r := range e.runs {
		if r.stopping || !r.since.Add(r.expected).After(start) {
			free = free.Plus(r.need)
		} else if r.job == q.job && r.Task.Step == q.index {
			others++
		}
	}
	return q.step.Need.Fits(free) && (q.step.MaxPerEndpoint == 0 || others < q.step.MaxPerEndpoint)
}
