package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// TestStalledRunsMove guards against a task that stays on a hanging endpoint, and
// against a long task that is moved again and again.
func TestStalledRunsMove(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 1)
	f.join(2, "vm-2", 1)
	f.planner.Add(f.now, oneStep("job", 1), PriorState{})
	starts, _ := f.assign()
	moves := 0
	for range 100 {
		f.advance(500 * time.Millisecond)
		next, stops := f.assign()
		if len(stops) > 0 {
			moves++
			f.end(starts[0], work.Stopped)
			next, _ = f.assign()
		}
		if len(next) > 0 {
			starts = next
		}
	}
	assert.Equal(t, moves, maxMoves)
}

// longPair starts two tasks of one second on vm-1 while vm-2 is free.
func (f *fixture) longPair() []Order {
	f.join(1, "vm-1", 2)
	job := oneStep("job", 2)
	job.Steps[0].Estimate = time.Second
	f.planner.Add(f.now, job, PriorState{})
	starts, _ := f.assign()
	f.join(2, "vm-2", 4)
	f.advance(200 * time.Millisecond)
	return starts
}

// TestRunsWithoutProgressMoveEarly guards against jobs that wait for an endpoint that
// answers all requests while its runs make no progress.
func TestRunsWithoutProgressMoveEarly(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 1)
	job := oneStep("job", 1)
	job.Steps[0].Estimate = 2 * time.Second
	f.planner.Add(f.now, job, PriorState{})
	starts, _ := f.assign()
	f.join(2, "vm-2", 1)
	for range 4 {
		f.advance(150 * time.Millisecond)
		f.listRuns(1, 7, starts[0].Run)
	}
	f.advance(0)
	_, stops := f.assign()
	assert.Equal(t, len(stops), 1)
	f.end(starts[0], work.Stopped)
	starts, _ = f.assign()
	assert.Equal(t, starts[0].Session, SessionID(2))
}

// TestSlowEndpointIsAvoided guards against jobs that wait for an endpoint that has
// become slow: its runs move to an endpoint where they end sooner, and new runs are
// placed elsewhere.
func TestSlowEndpointIsAvoided(t *testing.T) {
	f := newFixture(t)
	starts := f.longPair()
	f.listRuns(1, 4, starts[0].Run, starts[1].Run) // 5 s in all
	f.advance(0)
	_, stops := f.assign()
	assert.Equal(t, len(stops), 2)
	f.planner.Add(f.now, oneStep("next", 1), PriorState{})
	starts, _ = f.assign()
	assert.Equal(t, starts[0].Session, SessionID(2))
}

// TestDelayedListingIsNotSlowness guards against runs that are moved without load or
// faults because a list from just after their start arrives 0.2 s later (37 runs of
// dala-coop quiet-1).
func TestDelayedListingIsNotSlowness(t *testing.T) {
	f := newFixture(t)
	starts := f.longPair()
	listedAt := f.now.Add(-190 * time.Millisecond) // 10 ms after the starts
	f.planner.UpdateProgress(listedAt, 1, []ListedRun{{Run: starts[0].Run, Percent: 1}, {Run: starts[1].Run, Percent: 1}})
	f.advance(0)
	_, stops := f.assign()
	assert.Equal(t, len(stops), 0)
}

// TestLongTaskIsNotMoved guards against progress that is lost because one task takes
// longer than its estimate, on an endpoint whose other runs are in time.
func TestLongTaskIsNotMoved(t *testing.T) {
	f := newFixture(t)
	starts := f.longPair()
	f.listRuns(1, 4, starts[0].Run)
	f.listRuns(1, 20, starts[1].Run)
	f.advance(0)
	_, stops := f.assign()
	assert.Equal(t, len(stops), 0)
}
