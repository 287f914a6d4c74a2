package placement

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// TestAdmitKnowsOwnRuns guards against a refusal that says that a job has not run, although this planner has runs of
// it: those of an earlier submission that no request waits for any more.
func TestAdmitKnowsOwnRuns(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 1)
	f.planner.Add(f.now, oneStep("job", 1), PriorState{})
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 1)
	f.planner.Abandon(f.now, "job")
	f.planner.Add(f.now, unhurried("ahead", 400), PriorState{})
	assert.Equal(t, len(f.planner.runs["job"]), 1, "the planner knows of the run")
	a := f.planner.Admit(f.now, oneStep("job", 1), PriorState{})
	assert.Assert(t, a.Accepted, "refused as not run: %+v", a)
}

// TestAdmitKnowsListedRuns is the same for a run that an endpoint has listed to this leader.
func TestAdmitKnowsListedRuns(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 1, ListedRun{Run: work.Run{Task: work.TaskID{Job: "job"}, Number: 7}})
	f.planner.Add(f.now, unhurried("ahead", 400), PriorState{})
	assert.Equal(t, len(f.planner.unknown["job"]), 1, "the planner knows of the run")
	a := f.planner.Admit(f.now, oneStep("job", 1), PriorState{})
	assert.Assert(t, a.Accepted, "refused as not run: %+v", a)
}

// TestShedJobWithInheritedRun is the same for a job that was submitted again, whose inherited run was lost with its endpoint.
func TestShedJobWithInheritedRun(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 1)
	f.planner.Add(f.now, oneStep("job", 1), PriorState{})
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 1)
	f.planner.Abandon(f.now, "job")
	f.planner.Add(f.now, oneStep("job", 1), PriorState{})
	assert.Equal(t, f.planner.runs["job"][0].job, f.planner.jobs["job"], "the run belongs to the job")
	f.planner.Lost(1, f.now.Add(leaseTimeout))
	f.advance(leaseTimeout)
	f.advance(leaseTimeout)
	rejected := f.planner.TakeRejected()
	assert.Equal(t, len(rejected), 1)
	assert.Assert(t, rejected[0].MayHaveRun, "this planner started the run itself")
}

// TestAddKeepsUnconfirmedRuns guards against two concurrent runs of a task, because a second request of a queued job
// carries that a lost leader may run it.
func TestAddKeepsUnconfirmedRuns(t *testing.T) {
	f := newFixture(t, "vm-1", "vm-2")
	f.planner.Add(f.now, oneStep("job", 1), PriorState{})
	f.planner.Add(f.now, oneStep("job", 1), PriorState{SentToLeader: true})
	f.join(1, "vm-1", 1)
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 0, "vm-2 may run the task")
}
