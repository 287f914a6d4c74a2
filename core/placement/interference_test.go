package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadapulley/cicadapulley/core/interference"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// teach gives the planner the evidence that runs of a queue take twice as long beside
// another one, by observations on an endpoint that the planner doesn't have.
func teach(t testing.TB, p *Planner, now time.Time, victim, other string) {
	third := p.queueID(now, "any other")
	id, otherID := p.queueID(now, victim), p.queueID(now, other)
	before := len(p.InterferenceFindings())
	var e interference.Endpoint
	for i := range 2000 {
		beside, took := third, 100*time.Millisecond
		if i%2 == 0 {
			beside, took = otherID, 200*time.Millisecond
		}
		e.Start(beside)
		n := e.Neighbours()
		e.End(beside)
		p.interference.Observe(now, id, &e, n, 100*time.Millisecond, took+time.Duration(i%7)*time.Millisecond)
		if i == 0 || i%100 > 0 {
			continue
		}
		p.interference.Review(now.Add(time.Duration(i) * time.Second))
	}
	assert.Assert(t, len(p.InterferenceFindings()) > before, "%s is slowed by %s", victim, other)
}

// jobOf returns a job of a queue with one task of one core.
func jobOf(queue, id string) *work.Job {
	j := oneStep(id, 1)
	j.Queue = queue
	return j
}

// interferenceFixture is a planner that knows that "loud" slows "quiet".
func interferenceFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.planner.DetectInterference()
	teach(t, f.planner, f.now, "quiet", "loud")
	return f
}

// rate sets the slowdown of an endpoint.
func (f *fixture) rate(session SessionID, ratio float64) {
	e := f.planner.endpoints[session]
	e.slowdown.ratio = ratio
	f.planner.pools.mark(e)
}

// startsOn adds a job of a queue and checks on which endpoint its task starts.
func (f *fixture) startsOn(queue, id string, session SessionID) {
	f.Helper()
	f.planner.Add(f.now, jobOf(queue, id), PriorState{})
	starts, _ := f.assign()
	assert.Equal(f, len(starts), 1, "job %s starts", id)
	assert.Equal(f, starts[0].Session, session, "job %s", id)
}

// TestSlowedTaskAvoidsItsNeighbour guards against a task that is placed beside a run that
// slows it although a slightly slower endpoint has room, and against a queue without
// evidence that is placed differently.
func TestSlowedTaskAvoidsItsNeighbour(t *testing.T) {
	f := interferenceFixture(t)
	f.join(1, "vm-1", 4)
	f.join(2, "vm-2", 3)
	f.rate(2, 1.3)
	f.startsOn("loud", "first", 1)
	f.startsOn("quiet", "second", 2)
	f.startsOn("any other", "third", 1)
	assert.Equal(t, f.planner.Stats.Avoided, uint64(1))
	assert.Equal(t, f.planner.Stats.BesideInterfering, uint64(0))
}

// TestSlowingTaskAvoidsItsVictim guards against a task that is placed beside a run that it
// would slow, although it is not slowed itself.
func TestSlowingTaskAvoidsItsVictim(t *testing.T) {
	f := interferenceFixture(t)
	f.join(1, "vm-1", 4)
	f.join(2, "vm-2", 3)
	f.rate(2, 1.3)
	f.startsOn("quiet", "first", 1)
	f.startsOn("loud", "second", 2)
}

// TestInterferenceDoesNotRateEndpointSlow guards against an endpoint that gets fewer tasks
// of all queues because a run there took as long as interference makes expect.
func TestInterferenceDoesNotRateEndpointSlow(t *testing.T) {
	f := interferenceFixture(t)
	f.join(1, "vm-1", 4)
	f.startsOn("loud", "first", 1)
	f.planner.Add(f.now, jobOf("quiet", "second"), PriorState{})
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 1)
	slowdown := f.planner.runsOf("second")[0].slowdown
	assert.Assert(t, slowdown > 1.5)
	f.now = f.now.Add(time.Duration(float64(100*time.Millisecond) * slowdown))
	f.end(starts[0], work.Done)
	ratio := f.planner.endpoints[1].slowdown.ratio
	assert.Assert(t, ratio > 0.99 && ratio < 1.01, "slowdown of the endpoint: %f", ratio)
}

// TestInterferenceNeverMakesTasksWait guards against a task that waits for an endpoint
// without the interfering run, when there is only one with it, or when the other one is so
// slow that the task would wait rather than start there.
func TestInterferenceNeverMakesTasksWait(t *testing.T) {
	f := interferenceFixture(t)
	f.join(1, "vm-1", 4)
	f.startsOn("loud", "first", 1)
	f.startsOn("quiet", "second", 1)
	assert.Equal(t, f.planner.Stats.BesideInterfering, uint64(1))
	f.join(2, "vm-2", 4)
	f.rate(1, 1.2)
	f.rate(2, 2.3) // the objective is 220 ms, the estimate 100 ms
	f.startsOn("quiet", "third", 1)
	f.startsOn("loud", "fourth", 1)
}

// TestInterferenceKeepsRequirements guards against a task that is placed on an endpoint
// without the label that it requires, or beyond the tasks that one endpoint may have, because
// the others have interfering runs.
func TestInterferenceKeepsRequirements(t *testing.T) {
	f := interferenceFixture(t)
	f.join(1, "vm-1", 4)
	f.join(2, "vm-2", 4)
	f.rate(2, 1.1)
	f.startsOn("loud", "first", 1)
	j := jobOf("quiet", "second")
	j.Steps[0].RequiredLabel = "rack-vm-1"
	f.planner.Add(f.now, j, PriorState{})
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Session, SessionID(1))
	two := jobOf("quiet", "third")
	two.Steps[0].Tasks, two.Steps[0].MaxPerEndpoint = 2, 1
	f.planner.Add(f.now, two, PriorState{})
	starts, _ = f.assign()
	assert.Equal(t, len(starts), 2)
	assert.Assert(t, starts[0].Session != starts[1].Session)
}

// TestFirstTaskOfAStepIsObserved guards against evidence from all tasks of a step, which
// share the error of their estimate, and against the choice of one by its duration.
func TestFirstTaskOfAStepIsObserved(t *testing.T) {
	f := newFixture(t)
	f.planner.DetectInterference()
	f.join(1, "vm-1", 4)
	f.planner.Add(f.now, oneStep("job", 4), PriorState{})
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 4)
	for _, r := range f.planner.runsOf("job") {
		assert.Assert(t, r.observable)
	}
	assert.Assert(t, f.planner.endpoints[1].neighbours.Present().Contains(f.planner.queueID(f.now, "q")))
	f.advance(100 * time.Millisecond)
	for i := range starts {
		f.end(starts[len(starts)-1-i], work.Done)
		assert.Equal(t, f.planner.InterferenceObservations(), uint64(i/3))
	}
	assert.Assert(t, f.planner.endpoints[1].neighbours.Present().Empty())
}

// TestAdoptedRunIsNotObserved guards against evidence from a run that an earlier leader
// started: when it started, and beside what, is not known.
func TestAdoptedRunIsNotObserved(t *testing.T) {
	f := newFixture(t)
	f.planner.DetectInterference()
	f.planner.Add(f.now, oneStep("job", 1), PriorState{})
	f.join(1, "vm-1", 4, ListedRun{Run: work.Run{Task: work.TaskID{Job: "job"}, Number: 1}})
	runs := f.planner.runsOf("job")
	assert.Equal(t, len(runs), 1)
	assert.Assert(t, !runs[0].observable)
	assert.Assert(t, !f.planner.endpoints[1].neighbours.Present().Empty(), "it is a neighbour of others")
}

// scanAvoiding returns the choice of chooseEndpoint by a look at each endpoint, with its
// expected run time including interference.
func (p *Planner) scanAvoiding(now time.Time, j *job) (*endpoint, time.Duration) {
	q := query{now: now, job: j, step: &j.spec.Steps[0], task: &j.tasks[0][0], avoid: p.newAvoidance(j)}
	for _, e := range p.order {
		q.consider(e)
	}
	if q.best == nil || p.onlyFasterInTime(now, j, 0, q.best.expectedRunTime(q.step)) {
		return p.scan(now, j, 0, 0), 0
	}
	return q.best, q.expected
}

// verifyAvoiding compares the choices for all waiting jobs of one task with scans.
func (f *fixture) verifyAvoiding(t *rapid.T) {
	p := f.planner
	for _, g := range p.queue.groups {
		got := p.chooseEndpoint(f.now, g.job, 0, 0)
		want, total := p.scanAvoiding(f.now, g.job)
		assert.Equal(t, got == nil, want == nil, "job %s: an endpoint is found", g.job.spec.ID)
		if got == want {
			continue
		}
		step := &g.job.spec.Steps[0]
		assert.Equal(t, got.free.CPU, want.free.CPU, "job %s", g.job.spec.ID)
		if total == 0 {
			assert.Equal(t, got.expectedRunTime(step), want.expectedRunTime(step), "job %s", g.job.spec.ID)
			continue
		}
		q := query{now: f.now, job: g.job, step: step, task: &g.job.tasks[0][0], avoid: p.newAvoidance(g.job)}
		q.consider(got)
		assert.Equal(t, q.expected, total, "job %s: expected run time", g.job.spec.ID)
	}
}

// TestIndexChoosesAsScanWithInterference guards against an index that skips the best
// endpoint because interference makes endpoints slower than its bounds.
func TestIndexChoosesAsScanWithInterference(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := interferenceFixture(t)
		teach(t, f.planner, f.now, "loud", "loud")
		jobs, orders := 0, []Order(nil)
		for i := range maxAvoided {
			f.join(SessionID(i+1), fmt.Sprintf("vm-%d", i), 1+i%4)
			f.rate(SessionID(i+1), 0.7+float64(i*37%97)/97)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { f.verifyAvoiding(t) },
			"add": func(t *rapid.T) {
				jobs++
				j := jobOf(rapid.SampledFrom([]string{"loud", "quiet", "any other"}).Draw(t, "queue"), fmt.Sprintf("job-%d", jobs))
				j.Steps[0].Estimate = time.Duration(rapid.IntRange(20, 300).Draw(t, "ms")) * time.Millisecond
				f.planner.Add(f.now, j, PriorState{})
			},
			"assign": func(*rapid.T) {
				starts, _ := f.assign()
				orders = append(orders, starts...)
			},
			"end": func(t *rapid.T) {
				if len(orders) == 0 {
					t.Skip("no run")
				}
				i := rapid.IntRange(0, len(orders)-1).Draw(t, "run")
				f.end(orders[i], work.Done)
				orders = slices.Delete(orders, i, i+1)
			},
			"pass": func(t *rapid.T) { f.advance(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond) },
		})
	})
}

// TestSearchIsBounded guards against a search that looks at every endpoint because all of
// the faster ones have an interfering run.
func TestSearchIsBounded(t *testing.T) {
	f := interferenceFixture(t)
	const endpoints = 4 * maxAvoided
	for i := range endpoints {
		f.join(SessionID(i+1), fmt.Sprintf("vm-%d", i), 2)
		f.planner.Add(f.now, jobOf("loud", fmt.Sprintf("loud-%d", i)), PriorState{})
		starts, _ := f.assign()
		assert.Equal(t, len(starts), 1)
	}
	f.planner.Add(f.now, jobOf("quiet", "quiet"), PriorState{})
	a := f.planner.newAvoidance(f.planner.jobs["quiet"])
	assert.Assert(t, f.planner.chooseAvoiding(f.now, f.planner.jobs["quiet"], 0, 0, a) != nil)
	assert.Assert(t, a.seen <= maxAvoided, "%d endpoints", a.seen)
	starts, _ := f.assign()
	assert.Equal(t, len(starts), 1)
}
