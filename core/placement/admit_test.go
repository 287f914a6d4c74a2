package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// TestOverloadKeepsSomeJobsInTime guards against an overload that makes every job
// late: a job that has missed its objective comes after those that can meet it.
func TestOverloadKeepsSomeJobsInTime(t *testing.T) {
	f := newFixture(t)
	missed := oneStep("missed", 1)
	f.planner.Add(f.now, missed, PriorState{})
	f.advance(missed.Objective())
	f.planner.Add(f.now, oneStep("fresh", 1), PriorState{})
	f.join(1, "vm-1", 1)
	f.advance(time.Millisecond)
	for _, want := range []work.JobID{"fresh", "missed"} {
		starts, _ := f.assign()
		assert.Equal(t, len(starts), 1)
		assert.Equal(t, starts[0].Run.Task.Job, want)
		f.end(starts[0], work.Done)
	}
}

// TestOverloadIsRefusedAtOnce guards against jobs that are accepted and then wait
// until the caller has no use for the result.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 1)
	assert.Assert(t, f.planner.Admit(f.now, oneStep("first", 1), PriorState{}).Accepted)
	f.planner.Add(f.now, oneStep("backlog", 50), PriorState{})
	f.assign()
	a := f.planner.Admit(f.now, oneStep("second", 1), PriorState{})
	assert.Assert(t, !a.Accepted)
	assert.Assert(t, a.RetryAfter >= minRetryAfter && a.RetryAfter <= maxRetryAfter)
	urgent := oneStep("urgent", 1)
	urgent.Priority = -1
	assert.Assert(t, f.planner.Admit(f.now, urgent, PriorState{}).Accepted, "more urgent work doesn't wait for the backlog")
}

// TestJobsOfEarlierLeaderAreNotRefused guards against a wrong verdict: a refusal
// reports that the job has not run, but a job that was sent to an earlier leader may
// have started there (dala-coop trouble-3, job daeca533f2d7b4cb).
func TestJobsOfEarlierLeaderAreNotRefused(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 1)
	f.planner.Add(f.now, oneStep("backlog", 50), PriorState{})
	f.assign()
	assert.Assert(t, !f.planner.Admit(f.now, oneStep("fresh", 1), PriorState{}).Accepted)
	assert.Assert(t, f.planner.Admit(f.now, oneStep("offered", 1), PriorState{SentToLeader: true}).Accepted)
}
