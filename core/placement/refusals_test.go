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
