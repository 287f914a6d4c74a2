package placement

import (
	"slices"
	"time"
)

const (
	// A run has stalled when its endpoint has listed it without progress for longer
	// than stallAfter plus expected/stallDivisor. Listings come every 0.2 s.
	stallAfter   = 350 * time.Millisecond
	stallDivisor = 20
	// A run is overdue after overdueFactor times its expected run time plus
	// overdueMin; estimates are off by 40% and run times vary as much.
	overdueFactor = 3
	overdueMin    = 300 * time.Millisecond
	// An endpoint is slow when all of its runs, slowMinRuns at least, are slower
	// than expected by slowFactor. A single run may be a long task, so it has to be
	// slower by slowFactorSingle.
	slowMinRuns      = 2
	slowFactor       = 2.5
	slowFactorSingle = 4.0
	// slowMinElapsed is how long a run must have gone on for its run time to be
	// projected.
	slowMinElapsed = 120 * time.Millisecond
	// minMoveGain is the minimum time that a move must save, beyond twice the run
	// time elsewhere; a move costs a stop of 50 ms and a start.
	minMoveGain = 100 * time.Millisecond
	// maxMoves bounds the moves of a task that takes far longer than its estimate;
	// the overdue limit doubles with each.
	maxMoves = 3
)

// recordProgress records the progress from a listing made at the given time.
func (r *run) recordProgress(at time.Time, percent int) {
	if percent != r.percent || r.progressAt.IsZero() {
		r.percent = percent
		r.progressAt = at
	}
	r.listedAt = at
}

// hasStalled reports whether listings have shown no progress for too long.
func (r *run) hasStalled() bool {
	return r.listedAt.Sub(r.progressAt) > stallAfter+r.expected/stallDivisor
}

// projectedRunTime extrapolates the total run time from the progress so far. It
// returns zero if there is too little to go by.
func (r *run) projectedRunTime() time.Duration {
	elapsed := r.listedAt.Sub(r.since)
	if r.listedAt.IsZero() || elapsed < slowMinElapsed || r.percent >= 100 {
		return 0
	}
	return elapsed * 100 / time.Duration(max(r.percent, 1))
}

// slowness returns the ratio of projected to expected run time of the endpoint's
// fastest run, 1 if the endpoint does not count as slow.
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

// moveStalled stops runs that have stalled, are overdue, or would end much sooner
// elsewhere, so that their tasks start again.
func (p *Planner) moveStalled(now time.Time) {
	for _, e := range p.order {
		if !e.leaseExpiry.IsZero() || e.unreachable {
			continue
		}
		slowness := e.slowness()
		if slowness > 1 {
			e.slowdown.raise(slowness)
			if e.ramp != nil {
				e.ramp.slow()
			}
			p.pools.mark(e)
		}
		var moves []*run
		for _, r := range e.runs {
			if p.movable(r) && (p.stalledOrOverdue(now, r) || p.fasterElsewhere(now, r, slowness)) && p.hasAlternative(now, r) {
				moves = append(moves, r)
			}
		}
		slices.SortFunc(moves, compareRuns)
		for _, r := range moves {
			p.move(now, r)
		}
	}
}

func (p *Planner) movable(r *run) bool {
	return !r.stopping && p.jobs[r.Task.Job] == r.job && r.job.task(r.Task).moves < maxMoves
}

func (p *Planner) stalledOrOverdue(now time.Time, r *run) bool {
	limit := (overdueFactor*r.expected + overdueMin) << r.job.task(r.Task).moves
	return r.hasStalled() || now.Sub(r.since) >= limit
}

// fasterElsewhere reports whether a run on a slow endpoint would end much sooner on
// another one that has capacity now.
func (p *Planner) fasterElsewhere(now time.Time, r *run, slowness float64) bool {
	if slowness <= 1 {
		return false
	}
	other := p.chooseEndpoint(now, r.job, r.Task.Step, r.Task.Index)
	if other == nil || other == r.endpoint {
		return false
	}
	if other.ramp != nil && !r.need.Fits(other.available()) {
		return false // a move is no reason to exceed the limit of a ramp
	}
	remaining := r.projectedRunTime() - now.Sub(r.since)
	return remaining > 2*other.expectedRunTime(&r.job.spec.Steps[r.Task.Step])+minMoveGain
}

// move stops a run so that its task starts elsewhere.
func (p *Planner) move(now time.Time, r *run) {
	t := r.job.task(r.Task)
	t.failedOn = append(t.failedOn, r.endpoint.VM)
	t.moves++
	if r.hasStalled() {
		r.endpoint.health.failed(now)
		p.pools.mark(r.endpoint)
	}
	p.Stats.Moves++
	p.stop(r)
}
