package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// overloaded returns a planner of one core with so much queued work that jobs are refused.
func overloaded(t *testing.T) *fixture {
	f := newFixture(t)
	f.join(1, "vm-1", 1)
	f.planner.Add(f.now, unhurried("backlog", 30), PriorState{})
	f.assign()
	return f
}

func (f *fixture) refuse(id string) time.Duration {
	f.Helper()
	a := f.planner.Admit(f.now, oneStep(id, 5), PriorState{})
	assert.Assert(f, !a.Accepted)
	return a.RetryAfter
}

// awaitRefused refuses a job, and goes to the time of its return, after many callers have
// returned at theirs. The queue then has one task, beside which there is room for one more.
func (f *fixture) awaitRefused() *work.Job {
	for range 10 * returnsWindow {
		f.planner.refused.learn(allReturn)
	}
	f.now = f.now.Add(f.refuse("refused"))
	f.planner.Abandon(f.now, "backlog")
	f.planner.Add(f.now, oneStep("queued", 1), PriorState{})
	f.planner.refused.advance(f.now)
	return oneStep("refused", 5)
}

func (f *fixture) admits(j *work.Job) bool {
	return f.planner.admission(f.now, j, PriorState{}).Accepted
}

// TestReturnsOfRefusedCallersAreSpread guards against refused callers that all return in the
// same second: each is told when the work queued now and that of the callers refused before it
// will have been placed.
func TestReturnsOfRefusedCallersAreSpread(t *testing.T) {
	f := overloaded(t)
	for i, want := range []time.Duration{2900, 3400, 3900, 4400} {
		assert.Equal(t, f.refuse(fmt.Sprint(i)), want*time.Millisecond)
	}
	assert.Equal(t, f.refuse("0"), 2900*time.Millisecond, "a caller that returns too early keeps its time")
	for i := range 30 {
		assert.Assert(t, f.refuse(fmt.Sprint("more ", i)) <= maxRetryAfter)
	}
}

// TestReturningCallerComesBeforeNewcomers guards against refused callers that compete with
// newcomers when they return, and against work that is counted ahead of newcomers although its
// caller has returned, and has cancelled the job then.
func TestReturningCallerComesBeforeNewcomers(t *testing.T) {
	f := overloaded(t)
	refused, newcomer, lower, higher := f.awaitRefused(), oneStep("newcomer", 1), oneStep("lower", 1), oneStep("higher", 1)
	lower.Priority, higher.Priority = 1, -1
	assert.Assert(t, !f.admits(newcomer) && !f.admits(lower) && f.admits(higher) && f.admits(refused))
	f.now = f.now.Add(returnGrace)
	assert.Assert(t, f.planner.Admit(f.now, refused, PriorState{}).Accepted)
	f.planner.Add(f.now, refused, PriorState{})
	f.planner.Abandon(f.now, refused.ID)
	assert.Assert(t, f.admits(newcomer))
	assert.Equal(t, len(f.planner.refused.byID), 0)
}

// TestCallersThatDoNotReturnKeepNothingIdle guards against a pool that refuses all newcomers
// for callers that never return (in a simulated overload 2% of all callers were in time).
func TestCallersThatDoNotReturnKeepNothingIdle(t *testing.T) {
	f := overloaded(t)
	f.awaitRefused()
	newcomer := oneStep("newcomer", 1)
	assert.Assert(t, !f.admits(newcomer))
	f.planner.Abandon(f.now, "queued")
	assert.Assert(t, f.admits(newcomer), "nothing is queued")
	f.planner.Add(f.now, oneStep("queued", 1), PriorState{})
	for range 10 * returnsWindow {
		f.planner.refused.learn(0)
	}
	assert.Assert(t, f.admits(newcomer), "no caller returns")
	f.now = f.now.Add(returnGrace + time.Millisecond)
	assert.Assert(t, f.planner.Admit(f.now, newcomer, PriorState{}).Accepted)
}

// TestReturnsAreNewcomersToNextLeader guards against a leader that needs the records of its
// predecessor: a caller that it refused is admitted by the next one as any other, and its work
// is ahead of nobody.
func TestReturnsAreNewcomersToNextLeader(t *testing.T) {
	f := overloaded(t)
	refused := f.awaitRefused()
	f.planner = NewPlanner(2, f.now.Add(leaseTimeout), nil)
	f.join(2, "vm-1", 1)
	f.planner.Add(f.now, oneStep("queued", 1), PriorState{})
	newcomer := f.planner.Admit(f.now, oneStep("newcomer", 5), PriorState{})
	assert.Assert(t, newcomer.Accepted)
	assert.DeepEqual(t, f.planner.Admit(f.now, refused, PriorState{}), newcomer)
}

// TestRefusedCallersAreBounded guards against records that grow with the number of refused
// callers, and against sums that differ from the records.
func TestRefusedCallersAreBounded(t *testing.T) {
	f := overloaded(t)
	r := &f.planner.refused
	for i := range maxRefusedCallers + 100 {
		f.refuse(fmt.Sprint(i))
		if i%7 == 0 {
			r.remove(work.JobID(fmt.Sprint(i / 2)))
		}
		f.now = f.now.Add(time.Millisecond)
	}
	assert.Assert(t, len(r.sorted) <= maxRefusedCallers && len(r.sorted) == len(r.byID))
	all, due := newRefusedWork(), newRefusedWork()
	for i, c := range r.sorted {
		all.count(c)
		if i < r.dueCount {
			due.count(c)
		}
		assert.Assert(t, i == 0 || !c.at.Before(r.sorted[i-1].at))
	}
	assert.DeepEqual(t, all.loads, r.all.loads)
	assert.DeepEqual(t, all.queues, r.all.queues)
	assert.DeepEqual(t, due.loads, r.due.loads)
	f.advance(maxRetryAfter + returnGrace + time.Millisecond)
	assert.Equal(t, len(r.byID)+len(r.all.queues)+len(r.due.loads)+len(r.sorted), 0)
}

// TestRefusedCallersAreServedOnReturn guards against refused callers that are refused again
// while newcomers are admitted, and against a pool that is idle because some never return, at a
// load of 1.35 times the capacity.
func TestRefusedCallersAreServedOnReturn(t *testing.T) {
	for _, returning := range []float64{0, 0.3, 1} {
		orders := loadQueue{name: "orders", load: 1.35}
		before := newCapacitySim(returning, false).run(orders)["orders"]
		after := newCapacitySim(returning, true).run(orders)["orders"]
		t.Logf("returning %v, not remembered: %v", returning, before)
		t.Logf("returning %v, remembered: %v", returning, after)
		assert.Assert(t, after.inTime >= before.inTime)
		assert.Assert(t, after.servedOnReturn*max(before.returned, 1) >= before.servedOnReturn*max(after.returned, 1))
	}
}
