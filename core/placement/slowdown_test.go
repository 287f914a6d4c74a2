package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// joinReporting adds an endpoint with two cores whose agent reports a slowdown.
func (f *fixture) joinReporting(session SessionID, thousandths int) {
	f.planner.Join(f.now, Endpoint{
		Session: session, VM: fmt.Sprintf("vm-%d", session), Instance: "incarnation", Pool: "desk", Labels: []string{"a"},
		Capacity: work.Resources{CPU: 2000, MemoryMB: 4096}, Slowdown: thousandths,
	}, nil, nil)
}

// ratio returns the ratio with which the planner places tasks on an endpoint.
func (f *fixture) ratio(session SessionID) float64 {
	return f.planner.endpoints[session].slowdown.ratio
}

// TestReportedSlowdownsPlaceWideSteps guards against a new planner whose first wide step waits for
// its slowest member, because it starts all endpoints with one speed.
func TestReportedSlowdownsPlaceWideSteps(t *testing.T) {
	f := newFixture(t)
	for i, slowdown := range []int{1700, 900, 1500, 700, 1600, 800} {
		f.joinReporting(SessionID(i+1), slowdown)
	}
	f.planner.Add(f.now, oneStep("wide", 6), PriorState{})
	starts, _ := f.assign()
	var sessions []SessionID
	for _, o := range starts {
		sessions = append(sessions, o.Session)
	}
	assert.DeepEqual(t, sessions, []SessionID{4, 4, 6, 6, 2, 2})
}

// TestInvalidSlowdownsAreUnknown guards against a report that no planner can have learned, which
// would exclude an endpoint, give it all tasks, or distort its kind.
func TestInvalidSlowdownsAreUnknown(t *testing.T) {
	f := newFixture(t)
	for i, slowdown := range []int{0, -1400, 99, 20001, 1 << 40} {
		session := SessionID(i + 1)
		f.joinReporting(session, slowdown)
		assert.Equal(t, f.ratio(session), 1.0, "%d", slowdown)
		assert.Equal(t, f.planner.Slowdown(session), 0)
	}
	f.joinReporting(10, 100)
	f.joinReporting(11, 20000)
	assert.Equal(t, f.ratio(10), 0.1)
	assert.Equal(t, f.ratio(11), 20.0)
	f.planner.Add(f.now, unhurried("job", 14), PriorState{})
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 14, "every endpoint is used")
}

// TestKindStartsWithTheMeanOfReports guards against an endpoint without a figure that looks faster
// or slower than all others of its kind.
func TestKindStartsWithTheMeanOfReports(t *testing.T) {
	f := newFixture(t)
	for i, slowdown := range []int{1300, 0, 1500, 1700} {
		f.joinReporting(SessionID(i+1), slowdown)
	}
	f.joinReporting(5, 0)
	assert.Equal(t, f.ratio(5), 1.5)
	f.joinReporting(6, 0)
	assert.Equal(t, f.ratio(6), 1.5, "an endpoint without a figure is no report")
}

// TestOwnFiguresOutweighReports guards against a planner that replaces what it has learned by what it
// learned earlier, when an agent reconnects.
func TestOwnFiguresOutweighReports(t *testing.T) {
	f := newFixture(t)
	f.joinReporting(1, 1300)
	f.planner.Add(f.now, oneStep("job", 1), PriorState{})
	starts, _ := f.assign()
	f.now = f.now.Add(230 * time.Millisecond)
	f.end(starts[0], work.Done)
	learned := f.planner.Slowdown(1)
	assert.Assert(t, learned > 1300 && learned < 1400, "%d", learned)
	f.planner.Join(f.now, Endpoint{
		Session: 2, VM: "vm-1", Instance: "incarnation", Pool: "desk", Labels: []string{"a"}, Slowdown: 1300,
	}, nil, nil)
	assert.Equal(t, f.planner.Slowdown(2), learned)
}

// TestAdoptedRunsTeachNothing guards against endpoints that look fast after a change of the leader: the
// new planner knows when it received the list with a run, but not when the run began.
func TestAdoptedRunsTeachNothing(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 2, ListedRun{Run: work.Run{Task: work.TaskID{Job: "job"}, Number: 1}})
	f.planner.Add(f.now, oneStep("job", 1), PriorState{SentToLeader: true})
	f.now = f.now.Add(20 * time.Millisecond)
	f.planner.Ended(f.now, 1, work.End{Run: work.Run{Task: work.TaskID{Job: "job"}, Number: 1}, Reason: work.Done})
	f.assertFinished("job", work.Completed)
	assert.Equal(t, f.planner.Slowdown(1), 0)
	assert.Equal(t, f.ratio(1), 1.0)
}

// TestSuspectedSlowdownIsNotSent guards against a pause of an endpoint that later leaders take for
// its speed.
func TestSuspectedSlowdownIsNotSent(t *testing.T) {
	f := newFixture(t)
	f.joinReporting(1, 1300)
	f.planner.Add(f.now, oneStep("job", 2), PriorState{})
	starts, _ := f.assign()
	f.now = f.now.Add(400 * time.Millisecond)
	f.planner.UpdateProgress(f.now, 1, []ListedRun{{Run: starts[0].Run, Percent: 2}, {Run: starts[1].Run, Percent: 2}})
	f.planner.Tick(f.now)
	assert.Assert(t, f.ratio(1) > 2, "%f", f.ratio(1))
	assert.Equal(t, f.planner.Slowdown(1), 1300)
	raised := f.ratio(1)
	f.planner.endpoints[1].slowdown.decay(time.Second)
	assert.Assert(t, f.ratio(1) < raised)
	assert.Equal(t, f.planner.Slowdown(1), 1300)
}
