package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// TestStalledRunsMove guards against a task that stands still on a hanging
// endpoint, and against a task that is itself long and would be moved for ever.
func TestStalledRunsMove(t *testing.T) {
	s := newScene(t)
	s.join(1, "vm-1", 1)
	s.join(2, "vm-2", 1)
	s.board.Add(s.now, oneStep("job", 1), Earlier{})
	starts, _ := s.assign()
	moves := 0
	for range 100 {
		s.after(500 * time.Millisecond)
		next, stops := s.assign()
		if len(stops) > 0 {
			moves++
			s.end(starts[0], work.Stopped)
			next, _ = s.assign()
		}
		if len(next) > 0 {
			starts = next
		}
	}
	assert.Equal(t, moves, maxMoves)
}

// longPair starts two tasks of a second on vm-1, beside a free vm-2.
func (s *scene) longPair() []Order {
	s.join(1, "vm-1", 2)
	job := oneStep("job", 2)
	job.Steps[0].Estimate = time.Second
	s.board.Add(s.now, job, Earlier{})
	starts, _ := s.assign()
	s.join(2, "vm-2", 4)
	s.after(200 * time.Millisecond)
	return starts
}

// list shows the runs of an endpoint with the same progress.
// TestStandingRunsMoveEarly guards against jobs that wait for an endpoint that
// lets its tasks stand still while it answers everything.
func TestStandingRunsMoveEarly(t *testing.T) {
	s := newScene(t)
	s.join(1, "vm-1", 1)
	job := oneStep("job", 1)
	job.Steps[0].Estimate = 2 * time.Second
	s.board.Add(s.now, job, Earlier{})
	starts, _ := s.assign()
	s.join(2, "vm-2", 1)
	for range 4 {
		s.after(150 * time.Millisecond)
		s.list(1, 7, starts[0].Run)
	}
	s.after(0)
	_, stops := s.assign()
	assert.Equal(t, len(stops), 1)
	s.end(starts[0], work.Stopped)
	starts, _ = s.assign()
	assert.Equal(t, starts[0].Session, SessionID(2))
}

// TestSlowEndpointIsLeft guards against jobs that wait for an endpoint that turned
// slow: its runs move where they end sooner, and new ones go elsewhere.
func TestSlowEndpointIsLeft(t *testing.T) {
	s := newScene(t)
	starts := s.longPair()
	s.list(1, 4, starts[0].Run, starts[1].Run) // 5 s in all
	s.after(0)
	_, stops := s.assign()
	assert.Equal(t, len(stops), 2)
	s.board.Add(s.now, oneStep("next", 1), Earlier{})
	starts, _ = s.assign()
	assert.Equal(t, starts[0].Session, SessionID(2))
}

// TestOldListingIsNoSlowness guards against runs that are moved on a calm day because
// a list from just after their start arrives 0.2 s later (37 runs of dala-coop
// quiet-1).
func TestOldListingIsNoSlowness(t *testing.T) {
	s := newScene(t)
	starts := s.longPair()
	listedAt := s.now.Add(-190 * time.Millisecond) // 10 ms after the starts
	s.board.Seen(listedAt, 1, []ListedRun{{Run: starts[0].Run, Percent: 1}, {Run: starts[1].Run, Percent: 1}})
	s.after(0)
	_, stops := s.assign()
	assert.Equal(t, len(stops), 0)
}

// TestLongTaskIsNotMoved guards against progress that is thrown away because one
// task is longer than its estimate, on an endpoint whose other runs are in time.
func TestLongTaskIsNotMoved(t *testing.T) {
	s := newScene(t)
	starts := s.longPair()
	s.list(1, 4, starts[0].Run)
	s.list(1, 20, starts[1].Run)
	s.after(0)
	_, stops := s.assign()
	assert.Equal(t, len(stops), 0)
}
