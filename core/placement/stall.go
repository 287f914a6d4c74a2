package placement

import "time"

const (
	// A run stands still when its endpoint lists it for standAfter, and a part of
	// its expected time more, without progress. Listings come every 0.2 s.
	stallAfter   = 350 * time.Millisecond
	stallDivisor = 20
	// A run is overdue when it takes overdueFactor times as long as expected and
	// overdueLeast longer; estimates are off by 40% and run times vary as much.
	overdueFactor = 3
	overdueMin    = 300 * time.Millisecond
	// An endpoint is slow when all of its runs, slowRuns at least, go slowFactor
	// times as slowly as expected. One run alone may itself be long; it has to be
	// slowAlone times as slow.
	slowMinRuns      = 2
	slowFactor       = 2.5
	slowFactorSingle = 4.0
	// slowAfter is how long a run must have gone on to tell its speed.
	slowMinElapsed = 120 * time.Millisecond
	// moveGain is the least time that a move must save beside the time of the run
	// elsewhere; a move costs a stop of 50 ms and a start.
	minMoveGain = 100 * time.Millisecond
	// maxMoves bounds the restarts of a task that is itself far longer than its
	// estimate; the limit doubles with each.
	maxMoves = 3
)

// listed notes the progress that a listing shows.
func (r *run) recordProgress(at time.Time, percent int) {
	if percent != r.percent || r.progressAt.IsZero() {
		r.percent = percent
		r.progressAt = at
	}
	r.listedAt = at
}

// standsStill tells whether listings have shown no progress for too long.
func (r *run) hasStalled() bool {
	return r.listedAt.Sub(r.progressAt) > stallAfter+r.expected/stallDivisor
}

// projected returns the time that the run takes in all at its present pace, zero
// while that can't be told.
func (r *run) projectedRunTime() time.Duration {
	elapsed := r.listedAt.Sub(r.since)
	if r.listedAt.IsZero() || elapsed < slowMinElapsed || r.percent >= 100 {
		return 0
	}
	return elapsed * 100 / time.Duration(max(r.percent, 1))
}

// slowness returns by how much the fastest of the endpoint's runs is slower than
// expected; 1 if nothing speaks for a slow endpoint.
func (e *endpoint) slowness() float64 {
	lowest, runs := 0.0, 0
	for _, r := range e.runs {
		projected := r.projectedRunTime()
		if projected == 0 || r.expected <= 0 {
			continue
		}
		runs++
		ratio := float64(projected) / float64(r.expected)
		if runs == 1 || ratio < lowest {
			lowest = ratio
		}
	}
	if runs >= slowMinRuns && lowest >= slowFactor || runs == 1 && lowest >= slowFactorSingle {
		return lowest
	}
	return 1
}

// moveStalled stops runs that stand still, or take far longer than they would
// elsewhere, so that they start again.
func (p *Planner) moveStalled(now time.Time) {
	for _, e := range p.order {
		if !e.leaseExpiry.IsZero() || e.unreachable {
			continue
		}
		slowness := e.slowness()
		if slowness > 1 {
			e.slowdown.raise(slowness)
		}
		for _, r := range e.sortedRuns() {
			if p.movable(r) && (p.stalledOrOverdue(now, r) || p.fasterElsewhere(now, r, slowness)) {
				p.move(now, r)
			}
		}
	}
}

func (p *Planner) movable(r *run) bool {
	return !r.stopping && p.jobs[r.Task.Job] == r.job && r.job.task(r.Task).moves < maxMoves
}

// stalled tells whether a run stands still or is overdue.
func (p *Planner) stalledOrOverdue(now time.Time, r *run) bool {
	limit := (overdueFactor*r.expected + overdueMin) << r.job.task(r.Task).moves
	return r.hasStalled() || now.Sub(r.since) >= limit
}

// fasterElsewhere tells whether a run on a slow endpoint would end much sooner on
// another one that has room now.
func (p *Planner) fasterElsewhere(now time.Time, r *run, slowness float64) bool {
	if slowness <= 1 {
		return false
	}
	other := p.chooseEndpoint(now, r.job, r.Task.Step, r.Task.Index)
	if other == nil || other == r.endpoint {
		return false
	}
	remaining := r.projectedRunTime() - now.Sub(r.since)
	return remaining > 2*other.expectedRunTime(r.job.spec.Steps[r.Task.Step])+minMoveGain
}

// move stops a run so that its task starts elsewhere.
func (p *Planner) move(now time.Time, r *run) {
	t := r.job.task(r.Task)
	t.failedOn = append(t.failedOn, r.endpoint.VM)
	t.moves++
	if r.hasStalled() {
		r.endpoint.health.failed(now)
	}
	p.Stats.Moves++
	p.stop(r)
}
