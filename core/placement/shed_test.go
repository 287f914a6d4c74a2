package placement

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// TestHopelessJobsAreAnsweredAtOnce guards against callers that wait until their own
// time-outs after half of the endpoints were lost beside a burst: their jobs had been
// admitted, never began, and could no longer be of use (in one such load 286 jobs were
// held for 1.5 s or more and answered with an uncertain outcome).
func TestHopelessJobsAreAnsweredAtOnce(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 1)
	f.planner.Add(f.now, oneStep("ahead", 40), PriorState{})
	f.planner.Add(f.now, oneStep("behind", 1), PriorState{})
	f.assign()
	f.planner.Tick(f.now)
	rejected := f.planner.TakeRejected()
	assert.Equal(t, len(rejected), 1)
	assert.Equal(t, rejected[0].Job.ID, work.JobID("behind"))
	assert.Assert(t, !rejected[0].MayHaveRun)
	assert.Assert(t, rejected[0].Admission.RetryAfter >= minRetryAfter)
	assert.Assert(t, !f.planner.Has("behind"))
	assert.Equal(t, f.planner.Stats.Shed, uint64(1))
}

// TestJobsThatHaveBegunAreNotShed guards against the loss of work that was done, and
// against a refusal of a job of which a task has run.
func TestJobsThatHaveBegunAreNotShed(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 1)
	begun := oneStep("begun", 40)
	f.planner.Add(f.now, begun, PriorState{})
	starts, _ := f.assign()
	f.end(starts[0], work.Done)
	f.advance(2 * ExpiryFactor * begun.Objective())
	f.planner.Tick(f.now)
	assert.Equal(t, len(f.planner.TakeRejected()), 0)
	stored := oneStep("stored", 1)
	stored.BestEffort = false
	f.planner.Add(f.now, stored, PriorState{})
	f.advance(2 * ExpiryFactor * stored.Objective())
	f.planner.Tick(f.now)
	assert.Equal(t, len(f.planner.TakeRejected()), 0, "a stored job was accepted and is completed")
}

// TestShedJobOfEarlierLeaderMayHaveRun guards against a refusal that says that a job has
// not run although an earlier leader may have started it on an endpoint that is cut off.
// Another request for the same job may carry that knowledge.
func TestShedJobOfEarlierLeaderMayHaveRun(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 1)
	f.planner.Add(f.now, oneStep("ahead", 40), PriorState{})
	f.planner.Add(f.now, oneStep("sent", 1), PriorState{})
	f.planner.Add(f.now, oneStep("sent", 1), PriorState{SentToLeader: true})
	f.assign()
	f.planner.Tick(f.now)
	rejected := f.planner.TakeRejected()
	assert.Equal(t, len(rejected), 1)
	assert.Assert(t, rejected[0].MayHaveRun)
}

// TestShedJobOfLostEndpointMayHaveRun guards against a refusal that says that a job has not
// run although its task was started on an endpoint that was lost before it listed the run.
func TestShedJobOfLostEndpointMayHaveRun(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 1)
	f.planner.Add(f.now, oneStep("job", 1), PriorState{})
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 1)
	f.planner.Lost(1, f.now.Add(leaseTimeout))
	f.advance(leaseTimeout)
	rejected := f.planner.TakeRejected()
	assert.Equal(t, len(rejected), 1)
	assert.Assert(t, rejected[0].MayHaveRun)
}
