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
	s.board.Add(s.now, missed, false)
	s.after(missed.Objective())
	s.board.Add(s.now, oneStep("fresh", 1), false)
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
	assert.Assert(t, s.board.Admit(s.now, oneStep("first", 1), false).Accepted)
	s.board.Add(s.now, oneStep("backlog", 50), false)
	s.assign()
	a := s.board.Admit(s.now, oneStep("second", 1), false)
	assert.Assert(t, !a.Accepted)
	assert.Assert(t, a.RetryAfter >= retryLeast && a.RetryAfter <= retryMost)
	urgent := oneStep("urgent", 1)
	urgent.Priority = -1
	assert.Assert(t, s.board.Admit(s.now, urgent, false).Accepted, "more urgent work doesn't wait for the backlog")
}

// TestUrgentArrivalsCount guards against jobs of a low priority that are accepted
// under a burst of urgent ones and then wait until their callers leave (dala-coop
// trouble-3: order-place jobs that waited for 4.6 s).
func TestUrgentArrivalsCount(t *testing.T) {
	s := newScene(t)
	s.join(1, "vm-1", 4)
	low := func(id string) *work.Job {
		j := oneStep(id, 6)
		j.Priority = 2
		return j
	}
	s.board.Add(s.now, low("first"), false)
	s.assign()
	calm := s.board.Admit(s.now, low("second"), false)
	for i := range 60 { // 40 a second, 0.1 core-seconds each: as much as there is
		s.after(25 * time.Millisecond)
		s.board.Add(s.now, oneStep(string(rune('a'+i%26))+string(rune('a'+i/26)), 1), false)
		starts, _ := s.assign()
		for _, o := range starts {
			s.end(o, work.Done)
		}
	}
	s.board.Add(s.now, low("third"), false)
	busy := s.board.Admit(s.now, low("fourth"), false)
	assert.Assert(t, busy.Wait > 3*calm.Wait, "busy %v, calm %v", busy.Wait, calm.Wait)
}

// TestOfferedJobsAreNotRefused guards against a refusal that is untrue: a job that
// an earlier leader had may have started there, so overload is no reason to say
// that it has not run (dala-coop trouble-3, job daeca533f2d7b4cb).
func TestOfferedJobsAreNotRefused(t *testing.T) {
	s := newScene(t)
	s.join(1, "vm-1", 1)
	s.board.Add(s.now, oneStep("backlog", 50), false)
	s.assign()
	assert.Assert(t, !s.board.Admit(s.now, oneStep("fresh", 1), false).Accepted)
	assert.Assert(t, s.board.Admit(s.now, oneStep("offered", 1), true).Accepted)
}
