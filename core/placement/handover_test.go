package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// TestHandedOverJobWaitsForUnseenRuns guards against two runs of a task at a time
// when an entry hands a job over whose runs the leader can't see: the endpoint's
// latest list may be older than they are.
func TestHandedOverJobWaitsForUnseenRuns(t *testing.T) {
	unseen := func(after SessionID) Earlier {
		return Earlier{Unseen: []Unseen{{VM: "vm-1", After: after, For: time.Second}}}
	}
	t.Run("list is older", func(t *testing.T) {
		s := newScene(t)
		s.join(10, "vm-1", 2)
		s.board.Add(s.now, oneStep("job", 1), unseen(10))
		starts, _ := s.assign()
		assert.Equal(t, len(starts), 0)
		s.join(11, "vm-1", 2)
		starts, _ = s.assign()
		assert.Equal(t, len(starts), 1, "the list of a later session has no such run")
	})
	t.Run("list is newer", func(t *testing.T) {
		s := newScene(t)
		s.join(10, "vm-1", 2)
		s.board.Add(s.now, oneStep("job", 1), unseen(9))
		starts, _ := s.assign()
		assert.Equal(t, len(starts), 1)
	})
	t.Run("no list in time", func(t *testing.T) {
		s := newScene(t)
		s.join(10, "vm-2", 2)
		s.board.Add(s.now, oneStep("job", 1), unseen(9))
		s.after(time.Second - time.Millisecond)
		starts, _ := s.assign()
		assert.Equal(t, len(starts), 0)
		s.after(time.Millisecond)
		starts, _ = s.assign()
		assert.Equal(t, len(starts), 1)
	})
}

// TestHandOverKeepsEnds guards against work that is done again, and a job that
// never ends, because the next holder doesn't know which tasks are done.
func TestHandOverKeepsEnds(t *testing.T) {
	s := newScene(t)
	s.board = NewSharedBoard(1, s.now, nil)
	s.join(1, "vm-1", 2)
	s.board.Add(s.now, oneStep("job", 2), Earlier{})
	starts, _ := s.assign()
	s.end(starts[0], work.Done)
	earlier := s.board.HandOver(s.now, "job", gone)
	assert.DeepEqual(t, earlier.Done, []work.TaskID{starts[0].Run.Task})
	assert.DeepEqual(t, earlier.Unseen, []Unseen{{VM: "vm-1", For: gone}})

	s.board = NewBoard(2, s.now, nil)
	s.join(20, "vm-1", 2, ListedRun{Run: starts[1].Run})
	s.board.Add(s.now, oneStep("job", 2), earlier)
	again, _ := s.assign()
	assert.Equal(t, len(again), 0, "one task is done, the other runs")
	s.board.Ended(s.now, 20, work.End{Run: starts[1].Run, How: work.Done})
	s.settled("job", work.Completed)
}

// TestHeldJobStartsNoLaterStep guards against two runs of a task of a later step:
// a kept end of the first step must not start the second while an earlier leader's
// runs of it may go on unseen.
func TestHeldJobStartsNoLaterStep(t *testing.T) {
	s := newScene(t, "vm-1", "vm-2")
	job := oneStep("job", 1)
	job.Steps = append(job.Steps, work.Step{Tasks: 1, Need: job.Steps[0].Need, Estimate: time.Second, After: []int{0}})
	s.board.Join(s.now, Endpoint{Session: 1, VM: "vm-1", Pool: "desk", Capacity: work.Resources{CPU: 4000, MemoryMB: 4096}}, nil,
		[]work.End{{Run: work.Run{Task: work.TaskID{Job: "job"}, Run: 1}, How: work.Done}})
	s.board.Add(s.now, job, Earlier{Offered: true})
	starts, _ := s.assign()
	assert.Equal(t, len(starts), 0)
	s.after(gone)
	starts, _ = s.assign()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Run.Task.Step, 1)
}

// TestSharedBoardLeavesOthersAlone guards against an entry that stops the runs of
// others, waits for them, or starts into their room.
func TestSharedBoardLeavesOthersAlone(t *testing.T) {
	s := newScene(t)
	s.board = NewSharedBoard(3, s.now, nil)
	foreign := ListedRun{Run: work.Run{Task: work.TaskID{Job: "foreign"}, Run: 7}}
	s.board.Join(s.now, Endpoint{
		Session: 1, VM: "vm-1", Pool: "desk", Capacity: work.Resources{CPU: 3000, MemoryMB: 4096}, Others: work.Resources{CPU: 2000},
	}, []ListedRun{foreign}, nil)
	s.board.Add(s.now, oneStep("job", 3), Earlier{})
	starts, _ := s.assign()
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, starts[0].Run.Run > 2*runsPerTerm && starts[0].Run.Run < 3*runsPerTerm, "between the leaders of terms 3 and 4")
	s.after(strangerPatience + 50*time.Millisecond)
	_, stops := s.assign()
	assert.Equal(t, len(stops), 0)
	s.board.SetOthers(1, work.Resources{CPU: 1000})
	starts, _ = s.assign()
	assert.Equal(t, len(starts), 1)
}
