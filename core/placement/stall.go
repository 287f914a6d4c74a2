package placement

import "time"

const (
	// A run stands still when its endpoint lists it for standAfter, and a part of
	// its expected time more, without progress. Listings come every 0.2 s.
	standAfter = 350 * time.Millisecond
	standParts = 20
	// A run is overdue when it takes overdueFactor times as long as expected and
	// overdueLeast longer; estimates are off by 40% and run times vary as much.
	overdueFactor = 3
	overdueLeast  = 300 * time.Millisecond
	// An endpoint is slow when all of its runs, slowRuns at least, go slowFactor
	// times as slowly as expected. One run alone may itself be long; it has to be
	// slowAlone times as slow.
	slowRuns   = 2
	slowFactor = 2.5
	slowAlone  = 4.0
	// slowAfter is how long a run must have gone on to tell its speed.
	slowAfter = 120 * time.Millisecond
	// moveGain is the least time that a move must save beside the time of the run
	// elsewhere; a move costs a stop of 50 ms and a start.
	moveGain = 100 * time.Millisecond
	// maxMoves bounds the restarts of a task that is itself far longer than its
	// estimate; the limit doubles with each.
	maxMoves = 3
)

// listed notes the progress that a listing shows.
func (r *run) listed(at time.Time, percent int) {
	if percent != r.percent || r.progressAt.IsZero() {
		r.percent = percent
		r.progressAt = at
	}
	r.listedAt = at
}

// standsStill tells whether listings have shown no progress for too long.
func (r *run) standsStill() bool {
	return r.listedAt.Sub(r.progressAt) > standAfter+r.expected/standParts
}

// projected returns the time that the run takes in all at its present pace, zero
// while that can't be told.
func (r *run) projected() time.Duration {
	elapsed := r.listedAt.Sub(r.since)
	if r.listedAt.IsZero() || elapsed < slowAfter || r.percent >= 100 {
		return 0
	}
	return elapsed * 100 / time.Duration(max(r.percent, 1))
}

// slowness returns by how much the fastest of the endpoint's runs is slower than
// expected; 1 if nothing speaks for a slow endpoint.
func (e *endpoint) slowness() float64 {
	least, runs := 0.0, 0
	for _, r := range e.runs {
		projected := r.projected()
		if projected == 0 || r.expected <= 0 {
			continue
		}
		runs++
		ratio := float64(projected) / float64(r.expected)
		if runs == 1 || ratio < least {
			least = ratio
		}
	}
	if runs >= slowRuns && least >= slowFactor || runs == 1 && least >= slowAlone {
		return least
	}
	return 1
}

// moveStalled stops runs that stand still, or take far longer than they would
// elsewhere, so that they start again.
func (b *Board) moveStalled(now time.Time) {
	for _, e := range b.order {
		if !e.goneAt.IsZero() || e.unreachable {
			continue
		}
		slowness := e.slowness()
		if slowness > 1 {
			e.speed.slowed(slowness)
		}
		for _, r := range e.sorted() {
			if b.movable(r) && (b.stalled(now, r) || b.fasterElsewhere(now, r, slowness)) {
				b.move(now, r)
			}
		}
	}
}

func (b *Board) movable(r *run) bool {
	return !r.stopping && b.jobs[r.Task.Job] == r.job && r.job.task(r.Task).moves < maxMoves
}

// stalled tells whether a run stands still or is overdue.
func (b *Board) stalled(now time.Time, r *run) bool {
	limit := (overdueFactor*r.expected + overdueLeast) << r.job.task(r.Task).moves
	return r.standsStill() || now.Sub(r.since) >= limit
}

// fasterElsewhere tells whether a run on a slow endpoint would end much sooner on
// another one that has room now.
func (b *Board) fasterElsewhere(now time.Time, r *run, slowness float64) bool {
	if slowness <= 1 {
		return false
	}
	other := b.choose(now, r.job, r.Task.Step, r.Task.Index)
	if other == nil || other == r.at {
		return false
	}
	left := r.projected() - now.Sub(r.since)
	return left > 2*other.expect(r.job.spec.Steps[r.Task.Step])+moveGain
}

// move stops a run so that its task starts elsewhere.
func (b *Board) move(now time.Time, r *run) {
	t := r.job.task(r.Task)
	t.failedOn = append(t.failedOn, r.at.VM)
	t.moves++
	if r.standsStill() {
		r.at.health.failed(now)
	}
	b.Stats.Moves++
	b.stop(r)
}
