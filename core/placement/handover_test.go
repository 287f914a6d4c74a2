package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/lease"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// TestHandedOverJobWaitsForUnconfirmedRuns guards against two concurrent runs of a
// task when an entry hands over a job with runs that the leader has no list of: the
// endpoint's latest list may be older than the runs.
func TestHandedOverJobWaitsForUnconfirmedRuns(t *testing.T) {
	unconfirmed := func(fence SessionID) PriorState {
		return PriorState{Unconfirmed: []UnconfirmedRuns{{VM: "vm-1", Fence: fence, Remaining: time.Second}}}
	}
	t.Run("list is older", func(t *testing.T) {
		f := newFixture(t)
		f.join(10, "vm-1", 2)
		f.planner.Add(f.now, oneStep("job", 1), unconfirmed(10))
		starts, _ := f.assign()
		assert.Equal(t, len(starts), 0)
		f.join(11, "vm-1", 2)
		starts, _ = f.assign()
		assert.Equal(t, len(starts), 1, "the list of a later session has no such run")
	})
	t.Run("list is newer", func(t *testing.T) {
		f := newFixture(t)
		f.join(10, "vm-1", 2)
		f.planner.Add(f.now, oneStep("job", 1), unconfirmed(9))
		starts, _ := f.assign()
		assert.Equal(t, len(starts), 1)
	})
	t.Run("no list in time", func(t *testing.T) {
		f := newFixture(t)
		f.join(10, "vm-2", 2)
		f.planner.Add(f.now, unhurried("job", 1), unconfirmed(9))
		f.advance(time.Second - time.Millisecond)
		starts, _ := f.assign()
		assert.Equal(t, len(starts), 0)
		f.advance(time.Millisecond)
		starts, _ = f.assign()
		assert.Equal(t, len(starts), 1)
	})
}

// TestRunsOutlastAnEntrysLossOfItsLeader guards against two concurrent runs of a task: a leader from which
// only the entry was cut off goes on with the entry's job and renews the lease, until it is lost itself.
// Its run may then go on for longer than lease.ExpiresAfter after the entry's loss (review/12).
func TestRunsOutlastAnEntrysLossOfItsLeader(t *testing.T) {
	f := newFixture(t)
	f.planner = NewSharedPlanner(1, f.now, []string{"vm-1", "vm-2"})
	f.join(1, "vm-2", 2)
	f.planner.Add(f.now, unhurried("job", 1), PriorState{SentToLeader: true})
	f.advance(lease.AbandonAfter + lease.ExpiresAfter - time.Millisecond)
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 0, "the endpoint of vm-1 may have a run")
	f.advance(time.Millisecond)
	starts, _ = f.assign()
	assert.Equal(t, len(starts), 1)
}

// TestHandOverKeepsThatTheJobMayHaveRun guards against a refusal that says that a job has not run, although
// a lost leader had started it: an entry held the job until the runs had ended, and then
// handed it over as one that never ran (review/13).
func TestHandOverKeepsThatTheJobMayHaveRun(t *testing.T) {
	f := newFixture(t)
	f.planner = NewSharedPlanner(1, f.now, []string{"vm-1"})
	f.planner.Add(f.now, unhurried("job", 1), PriorState{SentToLeader: true})
	f.planner.Add(f.now, unhurried("other", 1), PriorState{})
	f.advance(lease.ExpiresAfterLeaderLoss - time.Millisecond)
	f.assign()
	prior := f.planner.HandOver(f.now, "job", leaseTimeout)
	assert.Assert(t, prior.SentToLeader, "its runs may go on")
	f.advance(time.Millisecond)
	f.assign()
	prior = f.planner.HandOver(f.now, "job", leaseTimeout)
	assert.Assert(t, prior.MayHaveRun() && !prior.SentToLeader, "its runs have ended: %+v", prior)
	assert.Assert(t, !f.planner.HandOver(f.now, "other", leaseTimeout).MayHaveRun())

	f.planner = NewPlanner(2, f.now, nil)
	late := oneStep("job", 1)
	assert.Assert(t, f.planner.Admit(f.now, late, prior).Accepted)
	f.planner.Add(f.now, late, prior)
	assert.Assert(t, f.planner.HandOver(f.now, "job", leaseTimeout).MayHaveRun(), "the next leader keeps it")
	f.join(20, "vm-1", 1, ListedRun{Run: work.Run{Task: work.TaskID{Job: "job of others"}, Number: 1}})
	f.advance(10 * time.Second)
	rejected := f.planner.TakeRejected()
	assert.Equal(t, len(rejected), 1, "a job without runs is given up when its result has no value")
	assert.Assert(t, rejected[0].MayHaveRun, "and not as one that has not run")
}

// TestHandOverKeepsEnds guards against tasks that run again, and a job that never
// ends, because the next planner does not receive which tasks are done.
func TestHandOverKeepsEnds(t *testing.T) {
	f := newFixture(t)
	f.planner = NewSharedPlanner(1, f.now, nil)
	f.join(1, "vm-1", 2)
	f.planner.Add(f.now, oneStep("job", 2), PriorState{})
	starts, _ := f.assign()
	f.end(starts[0], work.Done)
	prior := f.planner.HandOver(f.now, "job", leaseTimeout)
	assert.DeepEqual(t, prior.Done, []work.TaskID{starts[0].Run.Task})
	assert.DeepEqual(t, prior.Unconfirmed, []UnconfirmedRuns{{VM: "vm-1", Remaining: leaseTimeout}})

	f.planner = NewPlanner(2, f.now, nil)
	f.join(20, "vm-1", 2, ListedRun{Run: starts[1].Run})
	f.planner.Add(f.now, oneStep("job", 2), prior)
	again, _ := f.assign()
	assert.Equal(t, len(again), 0, "one task is done, the other runs")
	f.planner.Ended(f.now, 20, work.End{Run: starts[1].Run, Reason: work.Done})
	f.assertFinished("job", work.Completed)
}

// TestHeldJobStartsNoLaterStep guards against two concurrent runs of a task of a later
// step: a kept end of the first step must not start the second while an earlier
// leader's runs of the second may be unconfirmed.
func TestHeldJobStartsNoLaterStep(t *testing.T) {
	f := newFixture(t, "vm-1", "vm-2")
	job := oneStep("job", 1)
	job.Steps = append(job.Steps, work.Step{Tasks: 1, Need: job.Steps[0].Need, Estimate: time.Second, After: []int{0}})
	f.planner.Join(f.now, Endpoint{Session: 1, VM: "vm-1", Pool: "desk", Capacity: work.Resources{CPU: 4000, MemoryMB: 4096}}, nil,
		[]work.End{{Run: work.Run{Task: work.TaskID{Job: "job"}, Number: 1}, Reason: work.Done}})
	f.planner.Add(f.now, job, PriorState{SentToLeader: true})
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 0)
	f.advance(leaseTimeout)
	starts, _ = f.assign()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Run.Task.Step, 1)
}

// TestSharedPlannerIgnoresRunsOfOthers guards against an entry that stops the runs of
// other planners, waits for them, or starts runs on the resources that they use.
func TestSharedPlannerIgnoresRunsOfOthers(t *testing.T) {
	f := newFixture(t)
	f.planner = NewSharedPlanner(3, f.now, nil)
	foreign := ListedRun{Run: work.Run{Task: work.TaskID{Job: "foreign"}, Number: 7}}
	f.planner.Join(f.now, Endpoint{
		Session: 1, VM: "vm-1", Pool: "desk", Capacity: work.Resources{CPU: 3000, MemoryMB: 4096}, UsedByOthers: work.Resources{CPU: 2000},
	}, []ListedRun{foreign}, nil)
	f.planner.Add(f.now, oneStep("job", 3), PriorState{})
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, starts[0].Run.Number > 2*runsPerTerm && starts[0].Run.Number < 3*runsPerTerm, "between the leaders of terms 3 and 4")
	f.advance(unknownRunTimeout + 50*time.Millisecond)
	_, stops := f.assign()
	assert.Equal(t, len(stops), 0)
	f.planner.SetUsedByOthers(1, work.Resources{CPU: 1000})
	starts, _ = f.assign()
	assert.Equal(t, len(starts), 1)
}
