package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// scene is a board with a clock, for tests of single patterns.
type scene struct {
	*testing.T
	board *Board
	now   time.Time
}

const gone = 1400 * time.Millisecond

func newScene(t *testing.T, expected ...string) *scene {
	now := time.Unix(1000, 0)
	return &scene{T: t, board: NewBoard(1, now.Add(gone), expected), now: now}
}

func (s *scene) after(d time.Duration) {
	s.now = s.now.Add(d)
	s.board.Tick(s.now)
}

// join adds an endpoint with room for the given number of one-core tasks.
func (s *scene) join(session SessionID, vm string, cores int, running ...ListedRun) {
	s.board.Join(s.now, Endpoint{
		Session: session, VM: vm, Instance: vm + "-life", Pool: "desk", Labels: []string{"a", "rack-" + vm},
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

// assign places what waits and returns the starts and stops.
func (s *scene) assign() (starts, stops []Order) {
	s.board.Assign(s.now)
	for _, o := range s.board.TakeOrders() {
		if o.Stop {
			stops = append(stops, o)
		} else {
			starts = append(starts, o)
		}
	}
	return starts, stops
}

// settled checks that exactly one job has ended, and how.
func (s *scene) settled(id work.JobID, state work.State) {
	s.Helper()
	list := s.board.TakeSettled()
	assert.Equal(s, len(list), 1)
	assert.Equal(s, list[0].ID, id)
	assert.Equal(s, list[0].State, state)
}

func (s *scene) end(o Order, how work.How) {
	s.board.Ended(s.now, o.Session, work.End{Run: o.Run, How: how})
}

// TestRoomCountsStoppingRuns guards against a start into the room of a run that
// was told to stop but hasn't ended.
func TestRoomCountsStoppingRuns(t *testing.T) {
	s := newScene(t)
	s.join(1, "vm-1", 2)
	s.board.Add(s.now, oneStep("first", 2), Earlier{})
	starts, _ := s.assign()
	assert.Equal(t, len(starts), 2)
	s.board.Abandon(s.now, "first")
	s.board.Add(s.now, oneStep("second", 2), Earlier{})
	starts2, stops := s.assign()
	assert.Equal(t, len(stops), 2)
	assert.Equal(t, len(starts2), 0, "the stopped runs still hold their room")
	s.end(starts[0], work.Stopped)
	starts2, _ = s.assign()
	assert.Equal(t, len(starts2), 1)
}

// TestLostEndpointKeepsItsRuns guards against two runs of one task at a time: a
// run on an unreachable endpoint may go on until its lease has ended.
func TestLostEndpointKeepsItsRuns(t *testing.T) {
	s := newScene(t)
	s.join(1, "vm-1", 1)
	s.board.Add(s.now, oneStep("job", 1), Earlier{})
	first, _ := s.assign()
	assert.Equal(t, len(first), 1)
	s.join(2, "vm-2", 1)
	s.board.Lost(1, s.now.Add(gone))
	s.after(gone - time.Millisecond)
	starts, _ := s.assign()
	assert.Equal(t, len(starts), 0)
	s.after(time.Millisecond)
	starts, _ = s.assign()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Session, SessionID(2))
	assert.Assert(t, starts[0].Run.Run > first[0].Run.Run, "run numbers rise")
}

// TestNewSessionShowsWhatBecameOfRuns guards against a lost task after an agent's
// restart: runs that the endpoint doesn't list any more start again at once, and
// those that it lists go on.
func TestNewSessionShowsWhatBecameOfRuns(t *testing.T) {
	s := newScene(t)
	s.join(1, "vm-1", 2)
	s.board.Add(s.now, oneStep("job", 2), Earlier{})
	starts, _ := s.assign()
	s.board.Lost(1, s.now.Add(gone))
	s.join(2, "vm-1", 2, ListedRun{Run: starts[0].Run})
	again, stops := s.assign()
	assert.Equal(t, len(stops), 0)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Run.Task, starts[1].Run.Task)
	s.end(Order{Session: 2, Run: starts[0].Run}, work.Done)
	s.end(again[0], work.Done)
	s.settled("job", work.Completed)
}

// TestOfferedJobsWaitForUnseenRuns guards against a second run after a change of
// the leader: a job that the earlier leader had is held until all endpoints have
// joined; a job that no leader had isn't.
func TestOfferedJobsWaitForUnseenRuns(t *testing.T) {
	s := newScene(t, "vm-1", "vm-2")
	s.join(1, "vm-1", 4)
	s.board.Add(s.now, oneStep("offered", 1), Earlier{Offered: true})
	s.board.Add(s.now, oneStep("fresh", 1), Earlier{})
	starts, _ := s.assign()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Run.Task.Job, work.JobID("fresh"))
	s.join(2, "vm-2", 4, ListedRun{Run: work.Run{Task: work.TaskID{Job: "offered"}, Run: 1}})
	s.after(0)
	starts, _ = s.assign()
	assert.Equal(t, len(starts), 0, "the run on vm-2 was adopted")
	s.end(Order{Session: 2, Run: work.Run{Task: work.TaskID{Job: "offered"}, Run: 1}}, work.Done)
	s.settled("offered", work.Completed)
}

// TestHoldEnds guards against a job that waits for ever for a VM that is gone.
func TestHoldEnds(t *testing.T) {
	s := newScene(t, "vm-gone")
	s.join(1, "vm-1", 4)
	s.board.Add(s.now, oneStep("offered", 1), Earlier{Offered: true})
	starts, _ := s.assign()
	assert.Equal(t, len(starts), 0)
	s.after(gone)
	starts, _ = s.assign()
	assert.Equal(t, len(starts), 1)
	assert.DeepEqual(t, s.board.Absent(s.now, []string{"vm-1", "vm-gone"}), []string{"vm-gone"})
}

// TestStrangersAreClaimedOrStopped guards against work thrown away after a change
// of the leader, and against runs that go on for nobody.
func TestStrangersAreClaimedOrStopped(t *testing.T) {
	s := newScene(t, "vm-1")
	claimed := ListedRun{Run: work.Run{Task: work.TaskID{Job: "claimed"}, Run: 3}}
	orphan := ListedRun{Run: work.Run{Task: work.TaskID{Job: "orphan"}, Run: 3}}
	s.join(1, "vm-1", 4, claimed, orphan)
	s.board.Add(s.now, oneStep("claimed", 1), Earlier{Offered: true})
	s.after(strangerPatience + time.Millisecond)
	starts, stops := s.assign()
	assert.Equal(t, len(starts), 0)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Run, orphan.Run)
}

// TestLateEndsCount guards against a task that runs again although its endpoint
// listed it as done before the job was submitted to the new leader.
func TestLateEndsCount(t *testing.T) {
	s := newScene(t, "vm-1")
	done := work.End{Run: work.Run{Task: work.TaskID{Job: "job"}, Run: 2}, How: work.Done}
	s.board.Join(s.now, Endpoint{Session: 1, VM: "vm-1", Pool: "desk", Capacity: work.Resources{CPU: 4000, MemoryMB: 512}}, nil, []work.End{done})
	s.board.Add(s.now, oneStep("job", 2), Earlier{Offered: true})
	starts, _ := s.assign()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Run.Task.Index, 1)
}

// TestResubmittedJobInheritsRuns guards against a second run when a job is
// submitted again while the runs of its abandoned life are still being stopped.
func TestResubmittedJobInheritsRuns(t *testing.T) {
	s := newScene(t)
	s.join(1, "vm-1", 4)
	s.board.Add(s.now, oneStep("job", 1), Earlier{})
	first, _ := s.assign()
	s.board.Abandon(s.now, "job")
	s.board.Add(s.now, oneStep("job", 1), Earlier{})
	starts, stops := s.assign()
	assert.Equal(t, len(starts), 0)
	assert.Equal(t, len(stops), 1)
	s.end(first[0], work.Stopped)
	starts, _ = s.assign()
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, starts[0].Run.Run > first[0].Run.Run)
}

// TestStoppingStrangersAreInherited guards against a second run when a job is
// submitted again just after its unclaimed run was told to stop.
func TestStoppingStrangersAreInherited(t *testing.T) {
	s := newScene(t, "vm-1")
	old := work.Run{Task: work.TaskID{Job: "job"}, Run: 3}
	s.join(1, "vm-1", 4, ListedRun{Run: old})
	s.after(strangerPatience + time.Millisecond)
	_, stops := s.assign()
	assert.Equal(t, len(stops), 1)
	s.board.Add(s.now, oneStep("job", 1), Earlier{Offered: true})
	starts, _ := s.assign()
	assert.Equal(t, len(starts), 0)
	s.board.Ended(s.now, 1, work.End{Run: old, How: work.Stopped})
	starts, _ = s.assign()
	assert.Equal(t, len(starts), 1)
}

// TestAttemptsAreBounded guards against a start after the last allowed failure.
func TestAttemptsAreBounded(t *testing.T) {
	s := newScene(t)
	s.join(1, "vm-1", 4)
	s.join(2, "vm-2", 4)
	s.board.Add(s.now, oneStep("job", 1), Earlier{})
	first, _ := s.assign()
	s.end(first[0], work.Failed)
	second, _ := s.assign()
	assert.Equal(t, len(second), 1)
	assert.Assert(t, second[0].Session != first[0].Session, "the task goes elsewhere after a failure")
	s.end(second[0], work.Failed)
	starts, _ := s.assign()
	assert.Equal(t, len(starts), 0)
	s.settled("job", work.JobFailed)
}

// TestFailingEndpointRests guards against an endpoint that fails everything at
// once and so attracts all work.
func TestFailingEndpointRests(t *testing.T) {
	s := newScene(t)
	s.join(1, "vm-1", 1)
	for _, id := range []string{"a", "b"} {
		s.board.Add(s.now, oneStep(id, 1), Earlier{})
		starts, _ := s.assign()
		assert.Equal(t, len(starts), 1)
		s.end(starts[0], work.Failed)
		s.board.Abandon(s.now, work.JobID(id))
	}
	s.board.Add(s.now, oneStep("c", 2), Earlier{})
	starts, _ := s.assign()
	assert.Equal(t, len(starts), 0)
	s.after(suspendFirst)
	starts, _ = s.assign()
	assert.Equal(t, len(starts), 1, "one trial after the rest")
}

// TestUnansweredStartsSayNothingOfHealth guards against sound endpoints that are
// suspended while orders stay unanswered.
func TestUnansweredStartsSayNothingOfHealth(t *testing.T) {
	s := newScene(t)
	s.join(1, "vm-1", 1)
	s.board.Add(s.now, oneStep("job", 1), Earlier{})
	for range 5 {
		starts, _ := s.assign()
		assert.Equal(t, len(starts), 1)
		s.board.Refused(s.now, 1, starts[0].Run, RefusedUnanswered)
	}
}

// TestStepsFollowEachOther guards against a step that starts before the ends of
// the steps that it waits for are recorded.
func TestStepsFollowEachOther(t *testing.T) {
	s := newScene(t)
	s.join(1, "vm-1", 8)
	job := oneStep("job", 2)
	job.BestEffort = false
	job.Steps = append(job.Steps, work.Step{Tasks: 1, Need: work.Resources{CPU: 1000}, After: []int{0}})
	s.board.Add(s.now, job, Earlier{})
	starts, _ := s.assign()
	assert.Equal(t, len(starts), 2)
	for _, o := range starts {
		s.end(o, work.Done)
	}
	later, _ := s.assign()
	assert.Equal(t, len(later), 0, "the ends aren't recorded yet")
	s.board.Recorded([]work.End{{Run: starts[0].Run, How: work.Done}, {Run: starts[1].Run, How: work.Done}})
	later, _ = s.assign()
	assert.Equal(t, len(later), 1)
	assert.Equal(t, later[0].Run.Task.Step, 1)
}

// TestOrderOfQueues guards against low priorities that run first, and against
// worthless work that delays work of use.
func TestOrderOfQueues(t *testing.T) {
	s := newScene(t)
	low, high := oneStep("low", 1), oneStep("high", 1)
	low.Priority, high.Priority = 2, 0
	old := oneStep("old", 1)
	s.board.Add(s.now, old, Earlier{})
	s.after(ExpiredAfter*old.Objective() + time.Millisecond)
	s.board.Add(s.now, low, Earlier{})
	s.board.Add(s.now, high, Earlier{})
	s.join(1, "vm-1", 1)
	for _, want := range []work.JobID{"high", "low", "old"} {
		starts, _ := s.assign()
		assert.Equal(t, len(starts), 1)
		assert.Equal(t, starts[0].Run.Task.Job, want)
		s.end(starts[0], work.Done)
	}
}

// TestTasksWaitForFastEndpoints guards against a job that is late because one task
// went to a slow endpoint although a fast one had room soon after; a task that is
// late anyway takes what there is.
func TestTasksWaitForFastEndpoints(t *testing.T) {
	s := newScene(t)
	s.join(1, "vm-fast", 1)
	s.join(2, "vm-slow", 1)
	s.board.endpoints[2].speed.slowed(6)
	s.board.Add(s.now, oneStep("first", 1), Earlier{})
	first, _ := s.assign()
	assert.Equal(t, first[0].Session, SessionID(1))
	s.board.Add(s.now, oneStep("second", 1), Earlier{})
	starts, _ := s.assign()
	assert.Equal(t, len(starts), 0)
	s.end(first[0], work.Done)
	starts, _ = s.assign()
	assert.Equal(t, starts[0].Session, SessionID(1))
	s.board.Add(s.now, oneStep("third", 1), Earlier{})
	s.after(200 * time.Millisecond)
	starts, _ = s.assign()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Session, SessionID(2))
}

func (s *scene) list(session SessionID, percent int, runs ...work.Run) {
	var listed []ListedRun
	for _, r := range runs {
		listed = append(listed, ListedRun{Run: r, Percent: percent})
	}
	s.board.Seen(s.now, session, listed)
}

// TestDrainingEndpointGetsNothing guards against new work on a leaving endpoint.
func TestDrainingEndpointGetsNothing(t *testing.T) {
	s := newScene(t)
	s.join(1, "vm-1", 4)
	s.board.SetDraining(1)
	s.board.Add(s.now, oneStep("job", 1), Earlier{})
	starts, _ := s.assign()
	assert.Equal(t, len(starts), 0)
}

// TestPlacementLimits guards against starts without the required label and beyond
// the bound for one endpoint.
func TestPlacementLimits(t *testing.T) {
	s := newScene(t)
	s.join(1, "vm-1", 8)
	s.join(2, "vm-2", 8)
	job := oneStep("job", 4)
	job.Steps[0].MaxPerEndpoint = 1
	s.board.Add(s.now, job, Earlier{})
	starts, _ := s.assign()
	assert.Equal(t, len(starts), 2)
	labelled := oneStep("labelled", 1)
	labelled.Steps[0].RequiredLabel = "rack-vm-2"
	s.board.Add(s.now, labelled, Earlier{})
	starts, _ = s.assign()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Session, SessionID(2))
}

// TestPendingCount guards against a count that includes jobs that have begun.
func TestPendingCount(t *testing.T) {
	s := newScene(t)
	s.board.Add(s.now, oneStep("a", 1), Earlier{})
	s.board.Add(s.now, oneStep("b", 1), Earlier{})
	assert.Equal(t, s.board.Pending("q"), 2)
	s.join(1, "vm-1", 1)
	s.assign()
	assert.Equal(t, s.board.Pending("q"), 1)
	s.board.Abandon(s.now, "b")
	s.board.Abandon(s.now, "a")
	assert.Equal(t, s.board.Pending("q"), 0)
}

// TestRestoredProgressCounts guards against a recorded end that is forgotten by
// the next leader.
func TestRestoredProgressCounts(t *testing.T) {
	s := newScene(t)
	job := oneStep("job", 3)
	job.BestEffort = false
	s.board.Restore(s.now, job, []Progress{{Done: true, LastRun: 1}, {Failures: 2, LastRun: 2}, {LastRun: 0}})
	s.join(1, "vm-1", 4)
	s.after(0)
	starts, _ := s.assign()
	assert.Equal(t, len(starts), 1, "one task is done and one has used up its attempts")
	assert.Equal(t, starts[0].Run.Task.Index, 2)
}

// TestTrailExplainsTheEnd guards against a failed job of which nobody can tell
// where its tasks were.
func TestTrailExplainsTheEnd(t *testing.T) {
	s := newScene(t)
	s.join(1, "vm-1", 4)
	s.join(2, "vm-2", 4)
	s.board.Add(s.now, oneStep("job", 1), Earlier{})
	for _, took := range []time.Duration{30 * time.Millisecond, 40 * time.Millisecond} {
		starts, _ := s.assign()
		s.after(took)
		s.end(starts[0], work.Failed)
	}
	account := s.board.TakeSettled()[0].Account
	assert.Equal(t, account.Took, 70*time.Millisecond)
	assert.Equal(t, len(account.Trail), 2)
	assert.Equal(t, account.Trail[0].Outcome, "failed")
	assert.Equal(t, account.Trail[1].Ordered, 30*time.Millisecond)
	assert.Assert(t, account.Trail[0].VM != account.Trail[1].VM)
}
