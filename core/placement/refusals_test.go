package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRefusalsOfOneMomentSuspendOnce guards against an endpoint that is idle for 8 s after it has refused
// starts for a moment: the refusals of starts that were ordered together doubled its suspension each.
func TestRefusalsOfOneMomentSuspendOnce(t *testing.T) {
	const tasks = 8
	f := newFixture(t)
	f.join(1, "vm-1", tasks)
	job := oneStep("job", tasks)
	job.BestEffort = false
	f.planner.Add(f.now, job, PriorState{})
	starts, _ := f.assign()
	assert.Equal(t, len(starts), tasks)
	f.now = f.now.Add(time.Millisecond)
	for _, o := range starts {
		f.planner.Refused(f.now, 1, o.Run, RefusedUnhealthy)
	}
	f.advance(minSuspension)
	starts, _ = f.assign()
	assert.Equal(t, len(starts), 1, "the trial after the first suspension")
	f.now = f.now.Add(time.Millisecond)
	f.planner.Refused(f.now, 1, starts[0].Run, RefusedUnhealthy)
	f.advance(minSuspension)
	starts, _ = f.assign()
	assert.Equal(t, len(starts), 0, "the refusal of the trial doubles the suspension")
	f.advance(minSuspension)
	starts, _ = f.assign()
	assert.Equal(t, len(starts), 1)
}

// TestWaitsForNoEndpointWithoutTheLabel guards against a task that waits beside the only endpoint with the
// label that it requires, because endpoints without the label are faster.
func TestWaitsForNoEndpointWithoutTheLabel(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-fast", 1)
	f.join(2, "vm-slow", 1)
	f.planner.endpoints[2].slowdown.raise(6)
	job := oneStep("job", 1)
	job.BestEffort = false
	job.Steps[0].Estimate = 7 * time.Second
	job.Steps[0].RequiredLabel = "rack-vm-slow"
	f.planner.Add(f.now, job, PriorState{})
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Session, SessionID(2))
}
