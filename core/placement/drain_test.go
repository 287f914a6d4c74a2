package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// joinIn adds an endpoint of a data centre.
func (f *fixture) joinIn(session SessionID, vm, dataCentre string, cores int, running ...ListedRun) {
	f.planner.Join(f.now, Endpoint{
		Session: session, VM: vm, Instance: vm + "-incarnation", Pool: "desk", DataCentre: dataCentre, Labels: []string{"a", dataCentre + "-label"},
		Capacity: work.Resources{CPU: 1000 * cores, MemoryMB: 4096},
	}, running, nil)
}

func (f *fixture) drain(revision uint64, dataCentres ...string) {
	f.planner.SetDrained(f.now, work.DataCentreDrains{Revision: revision, DataCentres: dataCentres})
}

// TestDrainedDataCentreGetsNoStarts guards against a start in a drained data centre: in
// one whose drain began after the endpoint joined, on an endpoint that joins later, again
// after a run that failed there, and by drains of a control VM that is behind.
func TestDrainedDataCentreGetsNoStarts(t *testing.T) {
	f := newFixture(t)
	f.joinIn(1, "vm-1", "east", 2)
	f.planner.Add(f.now, oneStep("first", 2), PriorState{})
	running, _ := f.assign()
	assert.Equal(t, len(running), 2)
	f.drain(7, "east")
	f.drain(6)
	f.joinIn(2, "vm-2", "east", 4)
	stored := oneStep("second", 2)
	stored.BestEffort = false
	f.planner.Add(f.now, stored, PriorState{})
	f.end(running[0], work.Failed)
	f.advance(50 * time.Millisecond)
	starts, stops := f.assign()
	assert.Equal(t, len(starts)+len(stops), 0)
	f.joinIn(3, "vm-3", "west", 3)
	starts, stops = f.assign()
	assert.Equal(t, len(stops), 0)
	assert.Equal(t, len(starts), 3)
	for _, o := range starts {
		assert.Equal(t, o.Session, SessionID(3))
	}
	f.end(running[1], work.Done)
	f.end(starts[0], work.Done)
	f.end(starts[1], work.Done)
	f.end(starts[2], work.Done)
	f.assertFinished("first", work.Completed)
}

// TestRunsOfDrainedEndpointGoOn guards against a run that is stopped because of a drain:
// an overdue one whose task could start nowhere else would not end before the withdrawal.
func TestRunsOfDrainedEndpointGoOn(t *testing.T) {
	f := newFixture(t)
	f.joinIn(1, "vm-1", "east", 1)
	f.planner.Add(f.now, oneStep("job", 1), PriorState{})
	starts, _ := f.assign()
	f.drain(7, "east")
	f.advance(10 * time.Second)
	_, stops := f.assign()
	assert.Equal(t, len(stops), 0)
	f.joinIn(2, "vm-1", "east", 1, ListedRun{Run: starts[0].Run})
	_, stops = f.assign()
	assert.Equal(t, len(stops), 0)
	f.joinIn(3, "vm-2", "west", 1)
	f.advance(50 * time.Millisecond)
	_, stops = f.assign()
	assert.Equal(t, len(stops), 1, "an overdue run is moved as without a drain")
}

// TestDrainCountsInAdmission guards against jobs that are accepted for the capacity of a
// drained data centre, and against jobs with a long objective that wait for the withdrawal
// instead of a refusal.
func TestDrainCountsInAdmission(t *testing.T) {
	f := newFixture(t)
	f.joinIn(1, "vm-1", "east", 8)
	f.joinIn(2, "vm-2", "west", 2)
	assert.Equal(t, f.planner.rate(f.now, "desk"), 10.0)
	f.drain(7, "east")
	assert.Equal(t, f.planner.rate(f.now, "desk"), 2.0)
	long := oneStep("long", 1)
	long.Steps[0].Estimate = time.Minute
	assert.Assert(t, f.planner.Admit(f.now, long, PriorState{}).Accepted)
	long.Steps[0].RequiredLabel = "east-label"
	a := f.planner.Admit(f.now, long, PriorState{})
	assert.Assert(t, !a.Accepted && a.RetryAfter >= minRetryAfter, "no endpoint with the label is left")
	long.Steps[0].RequiredLabel = ""
	f.drain(8, "east", "west")
	a = f.planner.Admit(f.now, long, PriorState{})
	assert.Assert(t, !a.Accepted && a.RetryAfter >= minRetryAfter, "no endpoint is left")
	assert.Assert(t, f.planner.Admit(f.now, long, PriorState{SentToLeader: true}).Accepted, "the job may have run")
	f.drain(9)
	assert.Assert(t, f.planner.Admit(f.now, long, PriorState{}).Accepted)
}

// TestDrainRefusesWaitingJobs guards against callers that wait for the withdrawal because
// their job was accepted shortly before the drain, against a refusal of a job that may have
// run or is stored, and against one while endpoints are expected.
func TestDrainRefusesWaitingJobs(t *testing.T) {
	f := newFixture(t, "vm-1", "vm-2")
	f.joinIn(1, "vm-1", "east", 1)
	f.planner.Add(f.now, oneStep("running", 1), PriorState{})
	f.assign()
	f.planner.Add(f.now, oneStep("waiting", 1), PriorState{})
	f.planner.Add(f.now, oneStep("unclear", 1), PriorState{Started: true})
	stored := oneStep("stored", 1)
	stored.BestEffort = false
	f.planner.Add(f.now, stored, PriorState{})
	f.drain(7, "east")
	assert.Equal(t, len(f.planner.TakeRejected()), 0, "vm-2 may join")
	f.advance(leaseTimeout)
	refused := f.planner.TakeRejected()
	assert.Equal(t, len(refused), 1)
	assert.Equal(t, refused[0].Job.ID, work.JobID("waiting"))
	assert.Assert(t, refused[0].Admission.RetryAfter >= minRetryAfter)
	for id, open := range map[work.JobID]bool{"running": true, "waiting": false, "unclear": true, "stored": true} {
		assert.Equal(t, f.planner.Has(id), open, "%s", id)
	}
	f.planner.verify(t, f.now)
	f.drain(8)
	f.planner.Add(f.now, oneStep("waiting", 1), PriorState{})
	f.drain(9, "east")
	assert.Equal(t, len(f.planner.TakeRejected()), 1, "at once with the drain")
}

// TestRefusalForDrainIsNotForTheSession guards against an endpoint that stays unused
// after the withdrawal, because its agent refused a start by drains that this planner did
// not know.
func TestRefusalForDrainIsNotForTheSession(t *testing.T) {
	f := newFixture(t)
	f.joinIn(1, "vm-1", "east", 1)
	f.planner.Add(f.now, oneStep("job", 1), PriorState{})
	starts, _ := f.assign()
	f.planner.Refused(f.now, 1, starts[0].Run, RefusedDrained)
	starts, _ = f.assign()
	assert.Equal(t, len(starts), 0, "the refusal is repeated at once")
	f.advance(refusedBackoff)
	starts, _ = f.assign()
	assert.Equal(t, len(starts), 1)
}

// simulateReturn withdraws the drain of one data centre of two that are under the given load
// of one-core tasks with an estimate of 200 ms, and returns how many runs started on the
// returned endpoints in each quarter of a second, and how many jobs were late. A run on a
// returned endpoint takes coldFactor times as long for the first coldFor.
func simulateReturn(t *testing.T, perSecond int, coldFactor float64, coldFor, lasts time.Duration) (started []int, late int) {
	f := newFixture(t)
	const endpoints, cores = 4, 8
	for i := range endpoints {
		f.joinIn(SessionID(2*i+1), fmt.Sprintf("east-%d", i), "east", cores)
		f.joinIn(SessionID(2*i+2), fmt.Sprintf("west-%d", i), "west", cores)
	}
	f.drain(7, "east")
	f.drain(8)
	type ending struct {
		order Order
		at    time.Time
	}
	var running []ending
	began, jobs := f.now, 0
	arrived := map[work.JobID]time.Time{}
	const step = 10 * time.Millisecond
	for f.now.Sub(began) < lasts {
		for ; jobs < int(float64(perSecond)*f.now.Sub(began).Seconds()); jobs++ {
			j := oneStep(fmt.Sprintf("job-%d", jobs), 1)
			j.Steps[0].Estimate = 200 * time.Millisecond
			arrived[j.ID] = f.now
			f.planner.Add(f.now, j, PriorState{})
		}
		f.advance(step)
		var left []ending
		for _, r := range running {
			if r.at.After(f.now) {
				left = append(left, r)
				continue
			}
			f.end(r.order, work.Done)
			if f.now.Sub(arrived[r.order.Run.Task.Job]) > 380*time.Millisecond+step {
				late++
			}
		}
		running = left
		starts, _ := f.assign()
		for _, o := range starts {
			took := 200 * time.Millisecond
			if o.Session%2 == 1 {
				if f.now.Sub(began) < coldFor {
					took = time.Duration(coldFactor * float64(took))
				}
				quarter := int(f.now.Sub(began) / (250 * time.Millisecond))
				for len(started) <= quarter {
					started = append(started, 0)
				}
				started[quarter]++
			}
			running = append(running, ending{order: o, at: f.now.Add(took)})
		}
	}
	return started, late
}
