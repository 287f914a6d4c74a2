package scheduler

import (
	"strconv"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// TestCancelStopsBestEffortJobs guards against a best-effort job that goes on after its cancellation:
// one that runs, and one whose submission arrives only after the cancellation, since it came
// through another entry or is handed over to another leader (review/14).
func TestCancelStopsBestEffortJobs(t *testing.T) {
	now := time.Unix(1000, 0)
	planner := placement.NewPlanner(1, now, nil)
	s := New(planner, NewMetrics(), events.NewLog("control-1", zap.NewNop(), events.NewClock()))
	planner.Join(now, placement.Endpoint{Session: 1, VM: "vm-1", Pool: "desk", Capacity: work.Resources{CPU: 4000}}, nil, nil)
	var answers []work.State
	submit := func(id string, waited time.Duration) *mesh.Response {
		w := Waiter{Answer: func(r *mesh.Response) { answers = append(answers, r.State) }}
		return s.Submit(now, w, &work.Job{
			ID: work.JobID(id), Queue: "q", Pool: "desk", MaxAttempts: 1, Stretch: 100, BestEffort: true,
			Steps: []work.Step{{Tasks: 1, Need: work.Resources{CPU: 1000}, Estimate: time.Second}},
		}, placement.PriorState{Waited: waited})
	}
	assertCancelled := func(r *mesh.Response) {
		t.Helper()
		assert.Assert(t, r != nil)
		assert.Equal(t, r.State, work.Cancelled)
	}

	assert.Assert(t, submit("running", 0) == nil)
	planner.Assign(now)
	starts := planner.TakeOrders()
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, s.Cancel(now, "running"))
	assert.DeepEqual(t, answers, []work.State{work.Cancelled})
	stops := planner.TakeOrders()
	assert.Equal(t, len(stops), 1)
	assert.Assert(t, stops[0].Stop && stops[0].Run == starts[0].Run)
	assertCancelled(submit("running", 0))

	assert.Assert(t, !s.Cancel(now, "late"))
	now = now.Add(3 * time.Second)
	assertCancelled(submit("late", 3500*time.Millisecond))
	assert.Assert(t, !planner.Has("late"))
	assert.Assert(t, submit("late", time.Second) == nil, "received 2 s after the cancellation")
	assert.Assert(t, s.Cancel(now, "late"))

	now = now.Add(CancellationTTL + time.Second)
	s.Tick(now)
	assert.Equal(t, len(s.cancellations)+len(s.results), 0)
}

// TestLatestCancellationsAreKept guards against a flood of cancellations that fills the memory or keeps out
// the latest ones, whose jobs would then start again.
func TestLatestCancellationsAreKept(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(placement.NewPlanner(1, now, nil), NewMetrics(), events.NewLog("control-1", zap.NewNop(), events.NewClock()))
	for i := range ledger.MaxCancellations + 1 {
		s.Cancel(now.Add(time.Duration(i)), work.JobID(strconv.Itoa(i)))
	}
	assert.Equal(t, len(s.cancellations), ledger.MaxCancellations)
	assert.Assert(t, !s.Cancelled(now, "0", time.Second))
	assert.Assert(t, s.Cancelled(now, work.JobID(strconv.Itoa(ledger.MaxCancellations)), time.Second))
}

// TestJobThatMayHaveRunIsGivenUp guards against a job that may have run and is refused as one that has not, and
// against an answer after which its entry sends it again.
func TestJobThatMayHaveRunIsGivenUp(t *testing.T) {
	for prior, want := range map[*placement.PriorState]mesh.Outcome{{}: mesh.Overloaded, {RunsEnded: true}: mesh.GivenUp} {
		now := time.Unix(1000, 0)
		s := New(placement.NewPlanner(1, now.Add(time.Minute), []string{"vm-1"}), NewMetrics(), events.NewLog("control-1", zap.NewNop(), events.NewClock()))
		var answer *mesh.Response
		w := Waiter{Answer: func(r *mesh.Response) { answer = r }}
		job := &work.Job{ID: "job", BestEffort: true, MaxAttempts: 2, Stretch: 2, Steps: []work.Step{{Tasks: 1, Estimate: time.Second}}}
		assert.Assert(t, s.Submit(now, w, job, *prior) == nil)
		now = now.Add(10 * time.Second)
		s.Tick(now)
		s.AnswerFinished(now)
		assert.Assert(t, answer != nil)
		assert.Equal(t, answer.Outcome, want)
	}
}
