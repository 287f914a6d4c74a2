package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// TestReturnedEndpointsAreFilledInSteps guards against a withdrawal that fills cold
// endpoints at once, and against steps that hold back the work of warm ones. Load: 180
// tasks a second of 200 ms, 36 cores of 64; half of the cores return, and in the second
// part take three times as long for 3 s. Without the steps 60 jobs are late then.
func TestReturnedEndpointsAreFilledInSteps(t *testing.T) {
	warm, late := simulateReturn(t, 180, 1, 0, 3*time.Second)
	t.Logf("warm: starts in each quarter of a second %v, %d late", warm, late)
	assert.Equal(t, late, 0)
	assert.Assert(t, warm[0] <= 15, "22 without steps")
	assert.Assert(t, sum(warm[4:8]) >= 85, "90 without steps")
	cold, late := simulateReturn(t, 180, 3, 3*time.Second, 6*time.Second)
	t.Logf("cold: starts in each quarter of a second %v, %d late", cold, late)
	assert.Assert(t, late < 50)
	assert.Assert(t, sum(cold[:4]) <= 20, "38 without steps")
	assert.Assert(t, sum(cold[13:17]) >= 45, "the endpoints are warm again")
}

func sum(list []int) (n int) {
	for _, v := range list {
		n += v
	}
	return n
}

// TestRampYieldsWithoutOtherRoom guards against tasks that wait for the steps of a ramp
// while no other endpoint has room, until they are late. Load: four tasks of 100 ms at
// once on one returned endpoint with four cores.
func TestRampYieldsWithoutOtherRoom(t *testing.T) {
	f := newFixture(t)
	f.joinIn(1, "vm-1", "east", 4)
	f.drain(7, "east")
	f.drain(8)
	f.planner.Add(f.now, oneStep("job", 4), PriorState{})
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 1)
	f.advance(70 * time.Millisecond)
	starts, _ = f.assign()
	assert.Equal(t, len(starts), 0, "there is still time")
	f.advance(10 * time.Millisecond)
	starts, _ = f.assign()
	assert.Equal(t, len(starts), 3)
}

// TestRampYieldsForTheChain guards against a first step that waits for the time of all
// steps, so that the later ones are late. Load: a job of two steps of 100 ms.
func TestRampYieldsForTheChain(t *testing.T) {
	f := newFixture(t)
	f.joinIn(1, "vm-1", "east", 4)
	f.drain(7, "east")
	f.drain(8)
	j := oneStep("job", 4)
	j.Steps = append(j.Steps, j.Steps[0])
	j.Steps[1].After = []int{0}
	f.planner.Add(f.now, j, PriorState{})
	assert.Equal(t, restOfChain(j, 0), 200*time.Millisecond)
	assert.Equal(t, restOfChain(j, 1), 100*time.Millisecond)
	f.assign()
	f.advance(j.Objective() - 270*time.Millisecond)
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 3)
}

// TestRampEnds guards against an endpoint that stays limited: without any run, with one
// very long run, and with runs that are always slow, as after a change of its hardware.
func TestRampEnds(t *testing.T) {
	for name, load := range map[string]func(f *fixture){
		"idle": func(f *fixture) { f.advance(rampDuration) },
		"one long run": func(f *fixture) {
			j := oneStep("long", 1)
			j.Steps[0].Estimate = time.Hour
			f.planner.Add(f.now, j, PriorState{})
			f.assign()
			f.advance(rampDuration)
		},
		"slow runs": func(f *fixture) {
			for began := f.now; f.now.Sub(began) < rampDuration; {
				f.planner.Add(f.now, oneStep("slow", 1), PriorState{})
				starts, _ := f.assign()
				f.now = f.now.Add(400 * time.Millisecond)
				f.end(starts[0], work.Done)
			}
			f.advance(50 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.joinIn(1, "vm-1", "east", 4)
			f.drain(7, "east")
			f.drain(8)
			e := f.planner.endpoints[1]
			assert.Equal(t, e.share(), rampStart)
			load(f)
			assert.Equal(t, e.share(), 1.0)
			assert.Equal(t, len(f.planner.ramped), 0)
			assert.Equal(t, f.planner.rate(f.now, "desk"), 4/e.slowdown.ratio)
		})
	}
}

// TestRampFollowsRunTimes guards against a share that grows with slow runs or is lost with
// a new session, and against a task that needs more than the share and never starts.
func TestRampFollowsRunTimes(t *testing.T) {
	f := newFixture(t)
	f.joinIn(1, "vm-1", "east", 4)
	f.drain(7, "east")
	f.drain(8)
	run := func(took time.Duration, cpu int) {
		j := oneStep("job", 1)
		j.Steps[0].Need.CPU = cpu
		f.planner.Add(f.now, j, PriorState{})
		starts, _ := f.assign()
		assert.Equal(t, len(starts), 1)
		f.now = f.now.Add(took)
		f.end(starts[0], work.Done)
	}
	run(100*time.Millisecond, 2000)
	assert.Equal(t, f.planner.endpoints[1].share(), 0.75)
	assert.Equal(t, f.planner.rate(f.now, "desk"), 0.75*4/f.planner.endpoints[1].slowdown.ratio)
	f.joinIn(2, "vm-1", "east", 4)
	run(250*time.Millisecond, 2000)
	assert.Assert(t, f.planner.endpoints[2].share() < 0.75*0.8)
	run(100*time.Millisecond, 4000)
	assert.Equal(t, f.planner.endpoints[2].share(), 1.0)
}
