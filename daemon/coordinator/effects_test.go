package coordinator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// commit commits a command whose proposer takes no part in its effects, as one that has
// stopped waiting.
func (s *Service) commit(t testing.TB, c ledger.Command) {
	t.Helper()
	data, err := mesh.EncodeCommand(c)
	assert.NilError(t, err)
	_, err = s.driver.Propose(t.Context(), data)
	assert.NilError(t, err)
}

// inPlanner reports whether the planner has a job.
func (s *Service) inPlanner(id work.JobID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term != nil && s.term.Planner.Has(id)
}

// TestCommittedJobsWhoseProposerLeft guards against an accepted job that no leader places
// before the next term, and against a cancelled or completed one that goes on, because
// the goroutine that proposed the command had stopped waiting when it was committed.
func TestCommittedJobsWhoseProposerLeft(t *testing.T) {
	c := newCluster(t, 3)
	c.configure(c.leader(), 1)
	job := func(id work.JobID) *work.Job {
		return &work.Job{ID: id, Queue: "q", Pool: "desk", MaxAttempts: 1, Steps: []work.Step{{Tasks: 1, Need: work.Resources{CPU: 1000}, Estimate: time.Second}}}
	}
	attempts := 0
	c.withStableLeader(func(t testing.TB, leader int) {
		attempts++
		s := c.managers[leader].service.Load()
		cancelled, completed := work.JobID(fmt.Sprintf("%014xa1", attempts)), work.JobID(fmt.Sprintf("%014xa2", attempts))
		for _, id := range []work.JobID{cancelled, completed} {
			s.commit(t, ledger.Command{Accept: job(id)})
			c.eventually("the planner has the accepted job", func() bool { return s.inPlanner(id) })
		}
		s.commit(t, ledger.Command{Cancel: cancelled})
		c.eventually("the planner has dropped the cancelled job", func() bool { return !s.inPlanner(cancelled) })
		s.commit(t, ledger.Command{Ends: []work.End{{Run: work.Run{Task: work.TaskID{Job: completed}, Number: 1}, Reason: work.Done}}})
		c.eventually("the planner has dropped the completed job", func() bool { return !s.inPlanner(completed) })
		assert.Equal(t, s.visibleState(target{id: completed, state: work.Completed}), work.Completed)
	})
}

// TestCancellationFollowsItsJob guards against a job that runs although it was cancelled:
// its cancellation was carried out before the goroutine that had proposed the job added
// it to the planner.
func TestCancellationFollowsItsJob(t *testing.T) {
	c := newCluster(t, 3)
	c.configure(c.leader(), 1)
	attempts := 0
	c.withStableLeader(func(t testing.TB, leader int) {
		attempts++
		id := work.JobID(fmt.Sprintf("%016x", attempts))
		s := c.managers[leader].service.Load()
		c.eventually("the term has begun", func() bool { return s.whileLeading(func(*term, time.Time) {}) })
		s.mu.Lock() // neither proposer nor tick acts before both commands are committed
		defer s.mu.Unlock()
		s.commit(t, ledger.Command{Accept: &work.Job{ID: id, Queue: "q", Pool: "desk", Steps: []work.Step{{Tasks: 1, Need: work.Resources{CPU: 1000}}}}})
		s.commit(t, ledger.Command{Cancel: id})
		s.applyEffects()
		assert.Assert(t, s.term != nil && !s.term.Planner.Has(id))
	})
}

// TestEntriesReceiveAgentsWhoseProposerLeft guards against entries that place jobs without
// waiting for the runs of an agent, or without using it, because its enrolment was
// committed after the agent's connection had ended.
func TestEntriesReceiveAgentsWhoseProposerLeft(t *testing.T) {
	c := newCluster(t, 3)
	c.configure(c.leader(), 1)
	attempts := 0
	c.withStableLeader(func(t testing.TB, leader int) {
		attempts++
		vm := fmt.Sprintf("side-%d", attempts)
		entry := c.dialEntry(leader)
		defer entry.Close()
		assert.Assert(t, entry.awaitVersion(1, 5*time.Second))
		c.managers[leader].service.Load().commit(t, ledger.Command{Enrol: &ledger.Agent{VM: vm, Address: someAgent.Address}})
		for await[*mesh.Enrolled](entry).Agent.VM != vm { // that of a former attempt may be committed now
		}
	})
}

// TestPanicInOneEffectKeepsTheOthers guards against a leader that stands still, while no
// other VM takes over, after a panic in its planner: the tick kept the lock. The commands
// behind the one that caused it must take effect.
func TestPanicInOneEffectKeepsTheOthers(t *testing.T) {
	c := newCluster(t, 1)
	leader := c.leader()
	c.configure(leader, 1)
	s := c.managers[leader].service.Load()
	c.eventually("the term has begun", func() bool { return s.whileLeading(func(*term, time.Time) {}) })
	s.mu.Lock()
	const beyondSteps = 5
	s.commit(t, ledger.Command{Accept: &work.Job{ID: "00000000000000b1", Queue: "q", Pool: "desk", Steps: []work.Step{{Tasks: 1, After: []int{beyondSteps}}}}})
	s.commit(t, ledger.Command{Accept: &work.Job{ID: someJob, Queue: "q", Pool: "desk", Steps: []work.Step{{Tasks: 1, Need: work.Resources{CPU: 1000}}}}})
	s.mu.Unlock()
	c.eventually("the planner has the second job", func() bool {
		if !s.mu.TryLock() {
			return false // the tick may have kept it
		}
		defer s.mu.Unlock()
		return s.term != nil && s.term.Planner.Has(someJob)
	})
}
