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

// clearBacklog removes the backlog and leaves a job in the queue, beside which there is room for one
// more.
func (f *fixture) clearBacklog() {
	f.planner.Abandon(f.now, "backlog")
	f.planner.Add(f.now, oneStep("queued", 1), PriorState{})
}

// TestReturnsOfRefusedCallersAreSpread guards against refused callers that all return in the
// same second: each is told when the work queued now and that of the callers refused before it
// will have been placed.
func TestReturnsOfRefusedCallersAreSpread(t *testing.T) {
	f := overloaded(t)
	for i, want := range []time.Duration{2900, 3400, 3900, 4400} {
		assert.Equal(t, f.refuse(fmt.Sprint(i)), want*time.Millisecond)
	}
	urgent := oneStep("urgent", 5)
	urgent.Priority = -1
	assert.Assert(t, f.planner.Admit(f.now, urgent, PriorState{}).Accepted)
	assert.Equal(t, f.refuse("0"), 2900*time.Millisecond, "a caller that returns too early keeps its time")
	for i := range 30 {
		assert.Assert(t, f.refuse(fmt.Sprint("more ", i)) <= maxRetryAfter)
	}
}

// TestReturningCallerComesBeforeNewcomers guards against refused callers that compete with
// newcomers when they return.
func TestReturningCallerComesBeforeNewcomers(t *testing.T) {
	f := overloaded(t)
	f.now = f.now.Add(f.refuse("refused"))
	f.clearBacklog()
	newcomer, lower, higher := oneStep("newcomer", 1), oneStep("lower", 1), oneStep("higher", 1)
	lower.Priority, higher.Priority = 1, -1
	refused := oneStep("refused", 5)
	f.planner.refused.advance(f.now)
	admits := func(j *work.Job) bool { return f.planner.admission(f.now, j, PriorState{}).Accepted }
	assert.Assert(t, !admits(newcomer) && !admits(lower) && admits(higher) && admits(refused))
	f.now = f.now.Add(returnGrace)
	assert.Assert(t, f.planner.Admit(f.now, refused, PriorState{}).Accepted)
	assert.Assert(t, admits(newcomer), "the caller has returned")
	assert.Equal(t, len(f.planner.refused.sorted), 0)
}

// TestCallersThatDoNotReturnKeepNothingIdle guards against a pool that refuses all newcomers
// for callers that never return (in a simulated overload 2% of all callers were in time).
func TestCallersThatDoNotReturnKeepNothingIdle(t *testing.T) {
	f := overloaded(t)
	f.now = f.now.Add(f.refuse("refused"))
	f.planner.Abandon(f.now, "backlog")
	assert.Assert(t, f.planner.Admit(f.now, oneStep("nothing queued", 1), PriorState{}).Accepted)
	f.clearBacklog()
	assert.Assert(t, !f.planner.Admit(f.now, oneStep("newcomer", 1), PriorState{}).Accepted)
	f.now = f.now.Add(returnGrace + time.Millisecond)
	assert.Assert(t, f.planner.Admit(f.now, oneStep("later", 1), PriorState{}).Accepted)
	assert.Assert(t, f.planner.refused.byID["refused"] == nil)
}

// TestReturnsAreNewcomersToNextLeader guards against a leader that needs the records of its
// predecessor: a caller that it refused is admitted by the next one as any other, and its work
// is ahead of nobody.
func TestReturnsAreNewcomersToNextLeader(t *testing.T) {
	f := overloaded(t)
	f.now = f.now.Add(f.refuse("refused"))
	f.planner = NewPlanner(2, f.now.Add(leaseTimeout), nil)
	f.join(2, "vm-1", 1)
	f.planner.Add(f.now, oneStep("queued", 2), PriorState{})
	newcomer, returning := f.planner.Admit(f.now, oneStep("newcomer", 1), PriorState{}), f.planner.Admit(f.now, oneStep("refused", 1), PriorState{})
	assert.DeepEqual(t, newcomer, returning)
	assert.Assert(t, newcomer.Accepted)
}

// TestCancelledReturnLeavesNothing guards against work that is counted ahead of newcomers
// although its caller has returned and cancelled the job.
func TestCancelledReturnLeavesNothing(t *testing.T) {
	f := overloaded(t)
	f.now = f.now.Add(f.refuse("refused"))
	f.clearBacklog()
	j := oneStep("refused", 5)
	assert.Assert(t, f.planner.Admit(f.now, j, PriorState{}).Accepted)
	f.planner.Add(f.now, j, PriorState{})
	f.planner.Abandon(f.now, j.ID)
	assert.Assert(t, f.planner.Admit(f.now, oneStep("newcomer", 1), PriorState{}).Accepted)
	assert.Equal(t, len(f.planner.refused.byID), 0)
}

// TestRefusedCallersAreBounded guards against records that grow with the number of refused
// callers, and against sums that differ from the records.
func TestRefusedCallersAreBounded(t *testing.T) {
	f := overloaded(t)
	for i := range maxRefusedCallers + 100 {
		f.refuse(fmt.Sprint(i))
		if i%7 == 0 {
			f.planner.refused.remove(work.JobID(fmt.Sprint(i / 2)))
		}
		f.now = f.now.Add(time.Millisecond)
	}
	r := &f.planner.refused
	assert.Assert(t, len(r.sorted) <= maxRefusedCallers)
	assert.Equal(t, len(r.sorted), len(r.byID))
	all, due := loads{}, loads{}
	for i, c := range r.sorted {
		all.add(c.key, c.work)
		if i < r.dueCount {
			due.add(c.key, c.work)
		}
		assert.Assert(t, i == 0 || !c.at.Before(r.sorted[i-1].at))
	}
	assert.DeepEqual(t, all, r.all)
	assert.DeepEqual(t, due, r.due)
	f.planner.refused.advance(f.now.Add(maxRetryAfter + returnGrace + time.Millisecond))
	assert.Equal(t, len(r.byID)+len(r.all)+len(r.due)+len(r.sorted), 0)
}

// TestRefusedCallersAreServedOnReturn guards against refused callers that are refused again
// while newcomers are admitted, and against a pool that is idle because some never return.
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
