package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// TestWaitForFasterEndpoints guards against an accepted job that waits beside an empty endpoint for a
// faster one that gets no room in time (review/15), and against one that is late on a slow endpoint
// although a faster one is about to get room. The load: fast endpoints full of runs of a known
// length, slow ones empty.
func TestWaitForFasterEndpoints(t *testing.T) {
	const slow, fast = 1400, 600 // slowdowns in thousandths
	for _, endpoints := range []int{2, 3, 11} {
		for _, label := range []string{"", "rack"} {
			for _, estimate := range []time.Duration{60 * time.Millisecond, 900 * time.Millisecond, 7 * time.Second} {
				for _, full := range []time.Duration{300 * time.Millisecond, time.Second, 10 * time.Second} {
					t.Run(fmt.Sprintf("%d/%s/%s/%s", endpoints, label, estimate, full), func(t *testing.T) {
						f := newFixture(t)
						join := func(session SessionID, slowdown int, labels ...string) {
							f.planner.Join(f.now, Endpoint{
								Session: session, VM: fmt.Sprint("vm-", session), Instance: "incarnation", Pool: "desk", Labels: labels,
								Capacity: work.Resources{CPU: 2000, MemoryMB: 4096}, Slowdown: slowdown,
							}, nil, nil)
						}
						fastCount := max((endpoints+1)/3, 1)
						for i := range fastCount {
							join(SessionID(1+i), fast, "rack")
						}
						f.planner.Add(f.now, f.filling("filling", 2*fastCount, time.Duration(float64(full)/0.6)), PriorState{})
						running, _ := f.assign()
						assert.Equal(t, len(running), 2*fastCount)
						for i := fastCount; i < endpoints; i++ {
							join(SessionID(1+i), slow, "rack")
						}
						job := f.filling("job", 1, estimate)
						job.Target, job.Stretch, job.Steps[0].RequiredLabel = 60*time.Millisecond, 1.1, label
						f.planner.Add(f.now, job, PriorState{})
						arrived := f.now
						due := arrived.Add(job.Objective())
						gain := time.Duration(0.8 * float64(estimate))
						inTime := !arrived.Add(full+time.Duration(0.6*float64(estimate))).After(due) && full <= maxFasterWait
						starts, _ := f.assign()
						for len(starts) == 0 {
							f.advance(10 * time.Millisecond)
							waited := f.now.Sub(arrived)
							assert.Assert(t, waited <= min(gain, maxFasterWait)+10*time.Millisecond, "waits beside an empty endpoint")
							for waited >= full && len(running) > 0 {
								f.end(running[0], work.Done)
								running = running[1:]
							}
							starts, _ = f.assign()
						}
						onFast := int(starts[0].Session) <= fastCount
						assert.Equal(t, onFast, inTime, "started after %s", f.now.Sub(arrived))
						if !inTime {
							assert.Assert(t, f.now.Equal(arrived), "waited %s in vain", f.now.Sub(arrived))
						}
					})
				}
			}
		}
	}
}

// TestWaitForFasterEndpointEnds guards against a job that waits for as long as its estimate allows when
// the runs of a faster endpoint take longer than expected.
func TestWaitForFasterEndpointEnds(t *testing.T) {
	f := newFixture(t)
	f.planner.Join(f.now, Endpoint{Session: 1, VM: "vm-1", Pool: "desk", Capacity: work.Resources{CPU: 1000, MemoryMB: 4096}, Slowdown: 600}, nil, nil)
	f.planner.Add(f.now, f.filling("overdue", 1, time.Second), PriorState{})
	running, _ := f.assign()
	assert.Equal(t, len(running), 1)
	f.planner.Join(f.now, Endpoint{Session: 2, VM: "vm-2", Pool: "desk", Capacity: work.Resources{CPU: 1000, MemoryMB: 4096}, Slowdown: 1400}, nil, nil)
	job := f.filling("job", 1, 7*time.Second)
	job.Target, job.Stretch = 60*time.Millisecond, 1.1
	f.planner.Add(f.now, job, PriorState{})
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 0, "the faster endpoint is expected to have room")
	for waited := time.Duration(0); waited < maxFasterWait; waited += 50 * time.Millisecond {
		f.advance(50 * time.Millisecond)
		starts, _ = f.assign()
		if len(starts) > 0 {
			break
		}
	}
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Session, SessionID(2))
}

// filling returns a stored job of one-core tasks with an estimate, which is in no hurry.
func (f *fixture) filling(id string, tasks int, estimate time.Duration) *work.Job {
	j := unhurried(id, tasks)
	j.BestEffort = false
	j.Steps[0].Estimate = estimate
	return j
}
