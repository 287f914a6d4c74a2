package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// TestUnderOverloadSomeAreInTime guards against an overload in which every job is
// late: one that has missed its objective comes after those that can meet it.
func TestUnderOverloadSomeAreInTime(t *testing.T) {
	s := newScene(t)
	missed := oneStep("missed", 1)
	s.board.Add(s.now, missed, Earlier{})
	s.after(missed.Objective())
	s.board.Add(s.now, oneStep("fresh", 1), Earlier{})
	s.join(1, "vm-1", 1)
	s.after(time.Millisecond)
	for _, want := range []work.JobID{"fresh", "missed"} {
		starts, _ := s.assign()
		assert.Equal(t, len(starts), 1)
		assert.Equal(t, starts[0].Run.Task.Job, want)
		s.end(starts[0], work.Done)
	}
}

// TestOverloadIsRefusedAtOnce guards against jobs that are accepted and then wait
// until nobody needs them.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	s := newScene(t)
	s.join(1, "vm-1", 1)
	assert.Assert(t, s.board.Admit(s.now, oneStep("first", 1), Earlier{}).Accepted)
	s.board.Add(s.now, oneStep("backlog", 50), Earlier{})
	s.assign()
	a := s.board.Admit(s.now, oneStep("second", 1), Earlier{})
	assert.Assert(t, !a.Accepted)
	assert.Assert(t, a.RetryAfter >= retryLeast && a.RetryAfter <= retryMost)
	urgent := oneStep("urgent", 1)
	urgent.Priority = -1
	assert.Assert(t, s.board.Admit(s.now, urgent, Earlier{}).Accepted, "more urgent work doesn't wait for the backlog")
}

// TestOfferedJobsAreNotRefused guards against a refusal that is untrue: a job that
// an earlier leader had may have started there, so overload is no reason to say
// that it has not run (dala-coop trouble-3, job daeca533f2d7b4cb).
func TestOfferedJobsAreNotRefused(t *testing.T) {
	s := newScene(t)
	s.join(1, "vm-1", 1)
	s.board.Add(s.now, oneStep("backlog", 50), Earlier{})
	s.assign()
	assert.Assert(t, !s.board.Admit(s.now, oneStep("fresh", 1), Earlier{}).Accepted)
	assert.Assert(t, s.board.Admit(s.now, oneStep("offered", 1), Earlier{Offered: true}).Accepted)
}
