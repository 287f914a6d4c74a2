package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// fixture is a planner with a clock, for tests of single cases.
type fixture struct {
	*testing.T
	planner *Planner
	now     time.Time
}

const leaseTimeout = 1400 * time.Millisecond

func newFixture(t *testing.T, awaitedVMs ...string) *fixture {
	now := time.Unix(1000, 0)
	return &fixture{T: t, planner: NewPlanner(1, now.Add(leaseTimeout), awaitedVMs), now: now}
}

func (f *fixture) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.planner.Tick(f.now)
}

// join adds an endpoint that can run the given number of one-core tasks at a time.
func (f *fixture) join(session SessionID, vm string, cores int, running ...ListedRun) {
	f.planner.Join(f.now, Endpoint{
		Session: session, VM: vm, Instance: vm + "-incarnation", Pool: "desk", Labels: []string{"a", "rack-" + vm},
		Capacity: work.Resources{CPU: 1000 * cores, MemoryMB: 4096},
	}, running, nil)
}

// oneStep returns a best-effort job of one step with one-core tasks of 100 ms.
func oneStep(id string, tasks int) *work.Job {
	return &work.Job{
		ID: work.JobID(id), Queue: "q", Pool: "desk", MaxAttempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond, BestEffort: true,
		Steps: []work.Step{{Tasks: tasks, Need: work.Resources{CPU: 1000, MemoryMB: 64}, Estimate: 100 * time.Millisecond}},
	}
}

// unhurried returns a job as oneStep does whose objective is too far off for it to be
// refused while it waits.
func unhurried(id string, tasks int) *work.Job {
	j := oneStep(id, tasks)
	j.Target = time.Hour
	return j
}

// assign places waiting tasks and returns the starts and stops.
func (f *fixture) assign() (starts, stops []Order) {
	f.planner.Assign(f.now)
	for _, o := range f.planner.TakeOrders() {
		if o.Stop {
			stops = append(stops, o)
		} else {
			starts = append(starts, o)
		}
	}
	return starts, stops
}

// assertFinished checks that exactly one job has ended, and how.
func (f *fixture) assertFinished(id work.JobID, state work.State) {
	f.Helper()
	list := f.planner.TakeFinished()
	assert.Equal(f, len(list), 1)
	assert.Equal(f, list[0].ID, id)
	assert.Equal(f, list[0].State, state)
}

func (f *fixture) end(o Order, reason work.EndReason) {
	f.planner.Ended(f.now, o.Session, work.End{Run: o.Run, Reason: reason})
}

// TestStoppingRunsKeepTheirResources guards against a start that uses the resources
// of a run that was ordered to stop but has not ended.
func TestStoppingRunsKeepTheirResources(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 2)
	f.planner.Add(f.now, oneStep("first", 2), PriorState{})
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 2)
	f.planner.Abandon(f.now, "first")
	f.planner.Add(f.now, oneStep("second", 2), PriorState{})
	starts2, stops := f.assign()
	assert.Equal(t, len(stops), 2)
	assert.Equal(t, len(starts2), 0, "the stopping runs still hold their resources")
	f.end(starts[0], work.Stopped)
	starts2, _ = f.assign()
	assert.Equal(t, len(starts2), 1)
}

// TestLostEndpointKeepsItsRuns guards against two concurrent runs of one task: a
// run on an unreachable endpoint may go on until its lease has expired.
func TestLostEndpointKeepsItsRuns(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 1)
	f.planner.Add(f.now, unhurried("job", 1), PriorState{})
	first, _ := f.assign()
	assert.Equal(t, len(first), 1)
	f.join(2, "vm-2", 1)
	f.planner.Lost(1, f.now.Add(leaseTimeout))
	f.advance(leaseTimeout - time.Millisecond)
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 0)
	f.advance(time.Millisecond)
	starts, _ = f.assign()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Session, SessionID(2))
	assert.Assert(t, starts[0].Run.Number > first[0].Run.Number, "run numbers increase")
}

// TestNewSessionReconcilesRuns guards against a lost task after an agent's restart:
// tasks whose runs the endpoint no longer lists start again at once, and listed runs
// go on.
func TestNewSessionReconcilesRuns(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 2)
	f.planner.Add(f.now, oneStep("job", 2), PriorState{})
	starts, _ := f.assign()
	f.planner.Lost(1, f.now.Add(leaseTimeout))
	f.join(2, "vm-1", 2, ListedRun{Run: starts[0].Run})
	again, stops := f.assign()
	assert.Equal(t, len(stops), 0)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Run.Task, starts[1].Run.Task)
	f.end(Order{Session: 2, Run: starts[0].Run}, work.Done)
	f.end(again[0], work.Done)
	f.assertFinished("job", work.Completed)
}

// TestUnreachableEndpointsDoNotHoldJobs guards against a change of the leader that
// holds all jobs of the earlier leader for the length of a lease because a few
// endpoints don't answer their agents (large site, trouble-1: 21 of 240 endpoints reset
// their connections, and 430 jobs were held for 1.3 s).
func TestUnreachableEndpointsDoNotHoldJobs(t *testing.T) {
	f := newFixture(t, "vm-1", "vm-2")
	f.planner.Add(f.now, oneStep("running", 2), PriorState{SentToLeader: true})
	f.planner.Add(f.now, oneStep("other", 1), PriorState{SentToLeader: true})
	f.join(1, "vm-1", 4)
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 0, "vm-2 may run any of the tasks")
	possible := work.Run{Task: work.TaskID{Job: "running", Index: 1}, Number: 7}
	f.planner.JoinUnreachable(f.now, Endpoint{Session: 2, VM: "vm-2", Pool: "desk"}, []work.Run{possible}, nil, f.now.Add(leaseTimeout))
	starts, _ = f.assign()
	assert.Equal(t, len(starts), 2)
	for _, o := range starts {
		assert.Equal(t, o.Session, SessionID(1))
		assert.Assert(t, o.Run.Task != possible.Task, "this task may still be running on vm-2")
	}
	f.advance(leaseTimeout)
	starts, _ = f.assign()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Run.Task, possible.Task)
}

// TestJobsOfEarlierLeaderWaitForUnconfirmedRuns guards against a second run after a
// change of the leader: a job that was sent to the earlier leader is held until all
// endpoints have joined; a new job is not held.
func TestJobsOfEarlierLeaderWaitForUnconfirmedRuns(t *testing.T) {
	f := newFixture(t, "vm-1", "vm-2")
	f.join(1, "vm-1", 4)
	f.planner.Add(f.now, oneStep("offered", 1), PriorState{SentToLeader: true})
	f.planner.Add(f.now, oneStep("fresh", 1), PriorState{})
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Run.Task.Job, work.JobID("fresh"))
	f.join(2, "vm-2", 4, ListedRun{Run: work.Run{Task: work.TaskID{Job: "offered"}, Number: 1}})
	f.advance(0)
	starts, _ = f.assign()
	assert.Equal(t, len(starts), 0, "the run on vm-2 was adopted")
	f.end(Order{Session: 2, Run: work.Run{Task: work.TaskID{Job: "offered"}, Number: 1}}, work.Done)
	f.assertFinished("offered", work.Completed)
}

// TestHoldEnds guards against a job that is held forever because a VM never joins.
func TestHoldEnds(t *testing.T) {
	f := newFixture(t, "vm-gone")
	f.join(1, "vm-1", 4)
	f.planner.Add(f.now, unhurried("offered", 1), PriorState{SentToLeader: true})
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 0)
	f.advance(leaseTimeout)
	starts, _ = f.assign()
	assert.Equal(t, len(starts), 1)
	assert.DeepEqual(t, f.planner.Absent(f.now, []string{"vm-1", "vm-gone"}), []string{"vm-gone"})
}

// TestUnknownRunsAreClaimedOrStopped guards against runs that are lost after a change
// of the leader although their job is submitted again, and against runs that go on
// without a job.
func TestUnknownRunsAreClaimedOrStopped(t *testing.T) {
	f := newFixture(t, "vm-1")
	claimed := ListedRun{Run: work.Run{Task: work.TaskID{Job: "claimed"}, Number: 3}}
	orphan := ListedRun{Run: work.Run{Task: work.TaskID{Job: "orphan"}, Number: 3}}
	f.join(1, "vm-1", 4, claimed, orphan)
	f.planner.Add(f.now, oneStep("claimed", 1), PriorState{SentToLeader: true})
	f.advance(unknownRunTimeout + time.Millisecond)
	starts, stops := f.assign()
	assert.Equal(t, len(starts), 0)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Run, orphan.Run)
}

// TestOvertakenSessionEndsNoRuns guards against a task that runs twice at the same time (TestMixedSoak
// 5203): the list of an agent's former session, which waited for the agent's enrolment on its old connection,
// joined after that of the present session, whose runs seemed to have ended.
func TestOvertakenSessionEndsNoRuns(t *testing.T) {
	f := newFixture(t)
	f.planner.Add(f.now, oneStep("job", 1), PriorState{})
	f.join(2, "vm-1", 4)
	f.join(9, "vm-2", 4)
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Session, SessionID(2))
	f.join(1, "vm-1", 4)
	f.planner.JoinUnreachable(f.now, Endpoint{Session: 1, VM: "vm-1"}, nil, nil, f.now)
	again, stops := f.assign()
	assert.Equal(t, len(again)+len(stops), 0)
	f.end(starts[0], work.Done)
	f.planner.Leave(f.now, 2)
	f.join(1, "vm-1", 4)
	assert.DeepEqual(t, f.planner.Absent(f.now.Add(leaseTimeout), []string{"vm-1"}), []string{"vm-1"})
}

// TestUnclaimedRunsEndBeforeTheirEntryForgetsThem guards against a task that runs twice at the same
// time: an entry out of contact with an agent starts it again after lease.ExpiresAfter, while a
// leader that has taken the agent over lets the run go on.
func TestUnclaimedRunsEndBeforeTheirEntryForgetsThem(t *testing.T) {
	run := ListedRun{Run: work.Run{Task: work.TaskID{Job: "job"}, Number: 3}, OwnerSilence: 1100 * time.Millisecond}
	f := newFixture(t, "vm-1")
	f.join(1, "vm-1", 4, run)
	_, stops := f.assign()
	assert.Equal(t, len(stops), 1)
	for silence, after := range map[time.Duration]time.Duration{
		300 * time.Millisecond: unknownRunTimeout,
		700 * time.Millisecond: 200 * time.Millisecond,
	} {
		run.OwnerSilence = silence
		f := newFixture(t, "vm-1")
		f.join(1, "vm-1", 4, run)
		f.advance(after)
		_, stops := f.assign()
		assert.Equal(t, len(stops), 0, "%s", silence)
		f.advance(time.Millisecond)
		_, stops = f.assign()
		assert.Equal(t, len(stops), 1, "%s", silence)
	}
}

// TestUnclaimedEndsCount guards against a task that runs again although its endpoint
// listed it as done before the job was submitted to the new leader.
func TestUnclaimedEndsCount(t *testing.T) {
	f := newFixture(t, "vm-1")
	done := work.End{Run: work.Run{Task: work.TaskID{Job: "job"}, Number: 2}, Reason: work.Done}
	f.planner.Join(f.now, Endpoint{Session: 1, VM: "vm-1", Pool: "desk", Capacity: work.Resources{CPU: 4000, MemoryMB: 512}}, nil, []work.End{done})
	f.planner.Add(f.now, oneStep("job", 2), PriorState{SentToLeader: true})
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Run.Task.Index, 1)
}

// TestResubmittedJobInheritsRuns guards against a second run when a job is submitted
// again after it was abandoned, while its earlier runs are still being stopped.
func TestResubmittedJobInheritsRuns(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 4)
	f.planner.Add(f.now, oneStep("job", 1), PriorState{})
	first, _ := f.assign()
	f.planner.Abandon(f.now, "job")
	f.planner.Add(f.now, oneStep("job", 1), PriorState{})
	starts, stops := f.assign()
	assert.Equal(t, len(starts), 0)
	assert.Equal(t, len(stops), 1)
	f.end(first[0], work.Stopped)
	starts, _ = f.assign()
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, starts[0].Run.Number > first[0].Run.Number)
}

// TestStoppingUnknownRunsAreInherited guards against a second run when a job is
// submitted again just after its unclaimed run was ordered to stop.
func TestStoppingUnknownRunsAreInherited(t *testing.T) {
	f := newFixture(t, "vm-1")
	old := work.Run{Task: work.TaskID{Job: "job"}, Number: 3}
	f.join(1, "vm-1", 4, ListedRun{Run: old})
	f.advance(unknownRunTimeout + time.Millisecond)
	_, stops := f.assign()
	assert.Equal(t, len(stops), 1)
	f.planner.Add(f.now, oneStep("job", 1), PriorState{SentToLeader: true})
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 0)
	f.planner.Ended(f.now, 1, work.End{Run: old, Reason: work.Stopped})
	starts, _ = f.assign()
	assert.Equal(t, len(starts), 1)
}

// TestTaskWaitsForRunThatIsBeingStopped guards against a task that starts again while
// another run of it is still being stopped: an endpoint lists a run of a task that was
// placed elsewhere, and the start there is refused before the listed run has ended.
func TestTaskWaitsForRunThatIsBeingStopped(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 1)
	f.planner.Add(f.now, oneStep("job", 1), PriorState{})
	first, _ := f.assign()
	assert.Equal(t, len(first), 1)
	listed := work.Run{Task: first[0].Run.Task, Number: 3}
	f.join(2, "vm-2", 1, ListedRun{Run: listed})
	_, stops := f.assign()
	assert.Equal(t, len(stops), 1)
	f.planner.Refused(f.now, 1, first[0].Run, RefusedLease)
	f.join(3, "vm-3", 1)
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 0, "the listed run has not ended")
	f.planner.Ended(f.now, 2, work.End{Run: listed, Reason: work.Stopped})
	starts, _ = f.assign()
	assert.Equal(t, len(starts), 1)
}

// TestAttemptsAreBounded guards against a start after the last allowed failure.
func TestAttemptsAreBounded(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 4)
	f.join(2, "vm-2", 4)
	f.planner.Add(f.now, oneStep("job", 1), PriorState{})
	first, _ := f.assign()
	f.end(first[0], work.Failed)
	second, _ := f.assign()
	assert.Equal(t, len(second), 1)
	assert.Assert(t, second[0].Session != first[0].Session, "the task is placed elsewhere after a failure")
	f.end(second[0], work.Failed)
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 0)
	f.assertFinished("job", work.JobFailed)
}

// TestFailingEndpointIsSuspended guards against an endpoint that fails every run
// immediately and therefore attracts all work.
func TestFailingEndpointIsSuspended(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 1)
	for _, id := range []string{"a", "b"} {
		f.planner.Add(f.now, unhurried(id, 1), PriorState{})
		starts, _ := f.assign()
		assert.Equal(t, len(starts), 1)
		f.end(starts[0], work.Failed)
		f.planner.Abandon(f.now, work.JobID(id))
	}
	f.planner.Add(f.now, unhurried("c", 2), PriorState{})
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 0)
	f.advance(minSuspension)
	starts, _ = f.assign()
	assert.Equal(t, len(starts), 1, "one trial after the suspension")
}

// TestFailingJobSuspendsFewEndpoints guards against one job that always fails and idles all
// endpoints of its pool.
func TestFailingJobSuspendsFewEndpoints(t *testing.T) {
	const endpoints = 11
	f := newFixture(t)
	for i := range endpoints {
		f.join(SessionID(i+1), fmt.Sprintf("vm-%d", i), 4)
	}
	failing := oneStep("failing", 16)
	failing.MaxAttempts = 4
	failing.BestEffort = false
	f.planner.Add(f.now, failing, PriorState{})
	for starts, _ := f.assign(); len(starts) > 0; starts, _ = f.assign() {
		for _, o := range starts {
			f.end(o, work.Failed)
		}
	}
	suspended := 0
	for _, e := range f.planner.order {
		if !e.health.available(f.now) {
			suspended++
		}
	}
	assert.Assert(t, suspended <= maxBlamedEndpoints, "%d of %d endpoints are suspended", suspended, endpoints)
}

// TestFailuresBesideSuccessesCount guards against a faulty endpoint that stays in use
// because a job with tasks on several faulty endpoints is taken for the cause, although
// its tasks succeed elsewhere.
func TestFailuresBesideSuccessesCount(t *testing.T) {
	var o stepOutcomes
	assert.Assert(t, o.blames("vm-1") && o.blames("vm-2") && o.blames("vm-1"))
	assert.Assert(t, !o.blames("vm-3"))
	o.succeeded = true
	assert.Assert(t, o.blames("vm-3"))
}

// TestTrialEndsWithItsPeriod guards against an endpoint that gets one run at a time for as
// long as the first run after its suspension goes on, which may be hours.
func TestTrialEndsWithItsPeriod(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 4)
	for _, id := range []string{"a", "b"} {
		f.planner.Add(f.now, oneStep(id, 1), PriorState{})
		starts, _ := f.assign()
		f.end(starts[0], work.Failed)
		f.planner.Abandon(f.now, work.JobID(id))
	}
	long := oneStep("long", 4)
	long.Steps[0].Estimate = time.Hour
	f.planner.Add(f.now, long, PriorState{})
	f.advance(minSuspension)
	trial, _ := f.assign()
	assert.Equal(t, len(trial), 1)
	f.advance(trialPeriod - time.Millisecond)
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 0)
	f.advance(time.Millisecond)
	starts, _ = f.assign()
	assert.Equal(t, len(starts), 3)
	f.end(starts[0], work.Failed)
	assert.Assert(t, !f.planner.order[0].health.available(f.now), "the next failure suspends it again")
}

// TestUnansweredStartsDoNotSuspendEndpoint guards against healthy endpoints that are
// suspended because orders stay unanswered.
func TestUnansweredStartsDoNotSuspendEndpoint(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 1)
	f.planner.Add(f.now, oneStep("job", 1), PriorState{})
	for range 5 {
		starts, _ := f.assign()
		assert.Equal(t, len(starts), 1)
		f.planner.Refused(f.now, 1, starts[0].Run, RefusedUnanswered)
	}
}

// TestStepsFollowEachOther guards against a step that starts before the ends of the
// steps that it depends on are recorded.
func TestStepsFollowEachOther(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 8)
	job := oneStep("job", 2)
	job.BestEffort = false
	job.Steps = append(job.Steps, work.Step{Tasks: 1, Need: work.Resources{CPU: 1000}, After: []int{0}})
	f.planner.Add(f.now, job, PriorState{})
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 2)
	for _, o := range starts {
		f.end(o, work.Done)
	}
	later, _ := f.assign()
	assert.Equal(t, len(later), 0, "the ends aren't recorded yet")
	f.planner.Recorded([]work.End{{Run: starts[0].Run, Reason: work.Done}, {Run: starts[1].Run, Reason: work.Done}})
	later, _ = f.assign()
	assert.Equal(t, len(later), 1)
	assert.Equal(t, later[0].Run.Task.Step, 1)
}

// TestOrderOfQueues guards against low priorities that run first, and against expired
// jobs that delay others.
func TestOrderOfQueues(t *testing.T) {
	f := newFixture(t)
	low, high := oneStep("low", 1), oneStep("high", 1)
	low.Priority, high.Priority = 2, 0
	old := oneStep("old", 1)
	old.BestEffort = false // a best-effort job that has expired is refused
	f.planner.Add(f.now, old, PriorState{})
	f.advance(ExpiryFactor*old.Objective() + time.Millisecond)
	f.planner.Add(f.now, low, PriorState{})
	f.planner.Add(f.now, high, PriorState{})
	f.join(1, "vm-1", 1)
	for _, want := range []work.JobID{"high", "low", "old"} {
		starts, _ := f.assign()
		assert.Equal(t, len(starts), 1)
		assert.Equal(t, starts[0].Run.Task.Job, want)
		f.end(starts[0], work.Done)
	}
}

// TestTasksWaitForFastEndpoints guards against a job that is late because one task
// was placed on a slow endpoint although a fast one had capacity soon after. A task
// that would be late on any endpoint does not wait.
func TestTasksWaitForFastEndpoints(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-fast", 1)
	f.join(2, "vm-slow", 1)
	f.planner.endpoints[2].slowdown.raise(6)
	f.planner.Add(f.now, oneStep("first", 1), PriorState{})
	first, _ := f.assign()
	assert.Equal(t, first[0].Session, SessionID(1))
	f.planner.Add(f.now, oneStep("second", 1), PriorState{})
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 0)
	f.end(first[0], work.Done)
	starts, _ = f.assign()
	assert.Equal(t, starts[0].Session, SessionID(1))
	f.planner.Add(f.now, oneStep("third", 1), PriorState{})
	f.advance(200 * time.Millisecond)
	starts, _ = f.assign()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Session, SessionID(2))
}

// listRuns reports the runs of an endpoint, all with the same progress.
func (f *fixture) listRuns(session SessionID, percent int, runs ...work.Run) {
	var listed []ListedRun
	for _, r := range runs {
		listed = append(listed, ListedRun{Run: r, Percent: percent})
	}
	f.planner.UpdateProgress(f.now, session, listed)
}

// TestDrainingEndpointGetsNoRuns guards against starts on a draining endpoint.
func TestDrainingEndpointGetsNoRuns(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 4)
	f.planner.SetDraining(1)
	f.planner.Add(f.now, oneStep("job", 1), PriorState{})
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 0)
}

// TestBlockedGroupsHideNoOthers guards against jobs that wait beside free endpoints because
// the groups before them in the queue can't be placed: steps that have reached their own
// limit on each endpoint, jobs of a full pool, and jobs that fit on no endpoint.
func TestBlockedGroupsHideNoOthers(t *testing.T) {
	limited := func(j *work.Job) {
		j.Steps[0].MaxPerEndpoint = 1
		j.Steps[0].Need = work.Resources{CPU: 1, MemoryMB: 1}
	}
	otherPool := func(j *work.Job) { j.Pool = "full" }
	large := func(j *work.Job) { j.Steps[0].Need.CPU = 5000 }
	for name, block := range map[string]func(*work.Job){"own limit": limited, "full pool": otherPool, "large": large} {
		t.Run(name, func(t *testing.T) {
			const blocked = 300
			f := newFixture(t)
			f.join(1, "vm-1", 4)
			f.join(2, "vm-2", 4)
			f.planner.Join(f.now, Endpoint{Session: 3, VM: "vm-3", Pool: "full"}, nil, nil)
			for i := range blocked {
				j := oneStep(fmt.Sprintf("blocked-%d", i), 3)
				j.Target = time.Second
				j.Steps[0].Estimate = time.Hour
				block(j)
				f.planner.Add(f.now, j, PriorState{})
			}
			behind := oneStep("behind", 1)
			behind.Priority = 1
			f.planner.Add(f.now, behind, PriorState{})
			// Passes follow each event, and each tick of 50 ms.
			const passes = 60
			for range passes {
				starts, _ := f.assign()
				for _, o := range starts {
					if o.Run.Task.Job == "behind" {
						return
					}
				}
			}
			t.Fatalf("the job was not placed in %d passes", passes)
		})
	}
}

// TestPlacementLimits guards against starts on endpoints without the required label
// and beyond the step's maximum per endpoint.
func TestPlacementLimits(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 8)
	f.join(2, "vm-2", 8)
	job := oneStep("job", 4)
	job.Steps[0].MaxPerEndpoint = 1
	f.planner.Add(f.now, job, PriorState{})
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 2)
	labelled := oneStep("labelled", 1)
	labelled.Steps[0].RequiredLabel = "rack-vm-2"
	f.planner.Add(f.now, labelled, PriorState{})
	starts, _ = f.assign()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Session, SessionID(2))
}

// TestPendingCount guards against a count that includes jobs that have started.
func TestPendingCount(t *testing.T) {
	f := newFixture(t)
	f.planner.Add(f.now, oneStep("a", 1), PriorState{})
	f.planner.Add(f.now, oneStep("b", 1), PriorState{})
	assert.Equal(t, f.planner.Pending("q"), 2)
	f.join(1, "vm-1", 1)
	f.assign()
	assert.Equal(t, f.planner.Pending("q"), 1)
	f.planner.Abandon(f.now, "b")
	f.planner.Abandon(f.now, "a")
	assert.Equal(t, f.planner.Pending("q"), 0)
}

// TestJobsWithRefusedStartsArePending guards against a queue whose pending jobs are not
// counted because an endpoint has refused their starts, or has never begun their runs.
func TestJobsWithRefusedStartsArePending(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 1)
	f.planner.Add(f.now, oneStep("job", 1), PriorState{})
	refuse := map[string]func(Order){
		"refused":  func(o Order) { f.planner.Refused(f.now, o.Session, o.Run, RefusedStale) },
		"vanished": func(o Order) { f.planner.Vanished(f.now, o.Session, []work.Run{o.Run}) },
	}
	for name, end := range refuse {
		starts, _ := f.assign()
		assert.Equal(t, len(starts), 1, name)
		assert.Equal(t, f.planner.Pending("q"), 0, name)
		assert.Assert(t, f.planner.Running("job"), name)
		end(starts[0])
		assert.Equal(t, f.planner.Pending("q"), 1, name)
		assert.Assert(t, !f.planner.Running("job"), name)
		assert.Assert(t, f.planner.Started("job"), "%s: answers to callers count the start", name)
	}
	starts, _ := f.assign()
	f.planner.UpdateProgress(f.now, 1, []ListedRun{{Run: starts[0].Run}})
	f.planner.Leave(f.now, 1)
	assert.Equal(t, f.planner.Pending("q"), 0, "the run had begun")
	f.planner.Abandon(f.now, "job")
	assert.Equal(t, f.planner.Pending("q"), 0)
}

// TestFailuresCountInAnyOrder guards against a start after all attempts have failed: after
// a change of the leader, the agent with the failure of a later run joins first. It also
// guards against a failure that counts twice because its endpoint lists it again.
func TestFailuresCountInAnyOrder(t *testing.T) {
	for _, restored := range []TaskRecord{{}, {Failures: 1, LastRun: 1}, {Failures: 1, LastRun: 7, FailedRuns: []uint64{7}}} {
		f := newFixture(t, "vm-1", "vm-2")
		job := oneStep("job", 1)
		job.BestEffort = false
		job.MaxAttempts = 2 + restored.Failures
		if len(restored.FailedRuns) > 0 {
			job.MaxAttempts = 2 // the failure of run 7 below is the recorded one
		}
		f.planner.Restore(f.now, job, []TaskRecord{restored})
		failed := func(run uint64) work.End {
			return work.End{Run: work.Run{Task: work.TaskID{Job: "job"}, Number: run}, Reason: work.Failed}
		}
		info := Endpoint{Pool: "desk", Capacity: work.Resources{CPU: 4000, MemoryMB: 512}}
		info.Session, info.VM = 1, "vm-2"
		f.planner.Join(f.now, info, nil, []work.End{failed(7)})
		info.Session = 2
		f.planner.Join(f.now, info, nil, []work.End{failed(7)})
		assert.Equal(t, f.planner.jobs["job"].tasks[0][0].failures, job.MaxAttempts-1)
		info.Session, info.VM = 3, "vm-1"
		f.planner.Join(f.now, info, nil, []work.End{failed(3)})
		f.advance(leaseTimeout)
		starts, _ := f.assign()
		assert.Equal(t, len(starts), 0, "%+v", restored)
	}
}

// TestHeldJobsQueueNoTasks guards against a start before all failures of a task are known: a
// run that a new leader has adopted fails while its job is held, because the endpoint
// with the failure of an earlier run has not joined yet.
func TestHeldJobsQueueNoTasks(t *testing.T) {
	f := newFixture(t, "vm-1", "vm-2")
	job := oneStep("job", 1)
	job.BestEffort = false
	f.planner.Restore(f.now, job, []TaskRecord{{}})
	id := work.TaskID{Job: "job"}
	second := work.Run{Task: id, Number: 7}
	f.join(1, "vm-2", 4, ListedRun{Run: second})
	f.planner.Ended(f.now, 1, work.End{Run: second, Reason: work.Failed})
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 0, "the job is held")
	info := Endpoint{Session: 2, VM: "vm-1", Pool: "desk", Capacity: work.Resources{CPU: 4000, MemoryMB: 512}}
	f.planner.Join(f.now, info, nil, []work.End{{Run: work.Run{Task: id, Number: 3}, Reason: work.Failed}})
	starts, _ = f.assign()
	assert.Equal(t, len(starts), 0, "both attempts have failed")
}

// TestLateFailureEndsAttempts guards against a start between the report of the last
// failure and its record: the failure is reported while its task is queued.
func TestLateFailureEndsAttempts(t *testing.T) {
	f := newFixture(t)
	job := oneStep("job", 1)
	job.BestEffort = false
	f.planner.Restore(f.now, job, []TaskRecord{{Failures: 1, LastRun: 7, FailedRuns: []uint64{7}}})
	late := work.End{Run: work.Run{Task: work.TaskID{Job: "job"}, Number: 3}, Reason: work.Failed}
	f.planner.Join(f.now, Endpoint{Session: 1, VM: "vm-1", Pool: "desk", Capacity: work.Resources{CPU: 4000, MemoryMB: 512}}, nil, []work.End{late})
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 0)
}

// TestRestoredTaskRecordsCount guards against a next leader that ignores recorded
// ends.
func TestRestoredTaskRecordsCount(t *testing.T) {
	f := newFixture(t)
	job := oneStep("job", 3)
	job.BestEffort = false
	f.planner.Restore(f.now, job, []TaskRecord{{Done: true, LastRun: 1}, {Failures: 2, LastRun: 2}, {LastRun: 0}})
	f.join(1, "vm-1", 4)
	f.advance(0)
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 1, "one task is done and one has used up its attempts")
	assert.Equal(t, starts[0].Run.Task.Index, 2)
}

// TestHistoryExplainsFailure guards against a failed job whose summary does not show
// where its tasks ran.
func TestHistoryExplainsFailure(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 4)
	f.join(2, "vm-2", 4)
	f.planner.Add(f.now, oneStep("job", 1), PriorState{})
	for _, took := range []time.Duration{30 * time.Millisecond, 40 * time.Millisecond} {
		starts, _ := f.assign()
		f.advance(took)
		f.end(starts[0], work.Failed)
	}
	summary := f.planner.TakeFinished()[0].Summary
	assert.Equal(t, summary.Took, 70*time.Millisecond)
	assert.Equal(t, len(summary.History), 2)
	assert.Equal(t, summary.History[0].Outcome, "failed")
	assert.Equal(t, summary.History[1].Ordered, 30*time.Millisecond)
	assert.Assert(t, summary.History[0].VM != summary.History[1].VM)
}
