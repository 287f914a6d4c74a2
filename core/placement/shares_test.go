package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// testShares returns shares in percent of queues of the pool that the tests use.
func testShares(percent map[string]int) Shares {
	return NewShares(percent, work.NewRoutes(&work.Configuration{
		Queues: []work.Queue{{Name: "orders", Pool: "desk"}, {Name: "proofs", Pool: "desk"}, {Name: "q", Pool: "desk"}},
	}).Queues())
}

// queued adds jobs of one task of a queue. The queue "orders" has a higher priority.
func (f *fixture) queued(queue string, n int) {
	for range n {
		j := unhurried(fmt.Sprintf("%s-%d", queue, len(f.planner.jobs)), 1)
		j.Queue = queue
		if queue != "orders" {
			j.Priority = 1
		}
		f.planner.Add(f.now, j, PriorState{})
	}
}

// startsOf returns the number of starts of a queue in a pass. No run is stopped.
func (f *fixture) startsOf(queue string) (n int) {
	f.Helper()
	starts, stops := f.assign()
	assert.Equal(f, len(stops), 0)
	for _, o := range starts {
		if f.planner.jobs[o.Run.Task.Job].spec.Queue == queue {
			n++
		}
	}
	return n
}

// TestQueueBelowItsShareIsPlacedFirst guards against a queue of a low priority that gets
// nothing while others fill its pool, also after a change of the leader while these use the
// queue's share: the next leader has only the inventory. It also guards against capacity that is
// kept idle for a queue with nothing waiting, and against more than the share.
func TestQueueBelowItsShareIsPlacedFirst(t *testing.T) {
	for _, leaderLost := range []bool{false, true} {
		f := newFixture(t)
		f.planner.SetShares(testShares(map[string]int{"proofs": 20}))
		f.join(1, "vm-1", 10)
		f.queued("orders", 10)
		assert.Equal(t, f.startsOf("orders"), 10, "nothing is kept for proofs")
		var listed []ListedRun
		for _, r := range f.planner.order[0].sortedRuns() {
			listed = append(listed, ListedRun{Run: r.Run})
		}
		if leaderLost {
			jobs := f.planner.jobs
			f.planner = NewPlanner(2, f.now.Add(leaseTimeout), []string{"vm-1"})
			f.planner.SetShares(testShares(map[string]int{"proofs": 20}))
			f.join(2, "vm-1", 10, listed...)
			for _, j := range jobs {
				f.planner.Add(f.now, j.spec, PriorState{SentToLeader: true})
			}
		}
		f.queued("orders", 5)
		f.queued("proofs", 5)
		assert.Equal(t, f.startsOf("proofs"), 0)
		for i, want := range []int{1, 1, 0, 0} {
			f.planner.Ended(f.now, f.planner.order[0].Session, work.End{Run: listed[i].Run, Reason: work.Done})
			assert.Equal(t, f.startsOf("proofs"), want, "after %d ends", i+1)
		}
		assert.DeepEqual(t, f.planner.ShareUses(f.now), []ShareUse{{Queue: "proofs", Pool: "desk", Used: 1, PlacedFirst: 2}})
		f.planner.verifyShares(t)
	}
}

// TestLateGroupsHaveNoPrecedence guards against capacity that a queue claims for results of
// little use.
func TestLateGroupsHaveNoPrecedence(t *testing.T) {
	f := newFixture(t)
	f.planner.SetShares(testShares(map[string]int{"q": 20}))
	late := oneStep("late", 1)
	late.Priority = 1
	f.planner.Add(f.now, late, PriorState{})
	f.now = f.now.Add(late.Objective())
	f.queued("orders", 1)
	f.join(1, "vm-1", 1)
	f.advance(time.Millisecond)
	assert.Equal(t, f.startsOf("orders"), 1)
}

// TestAdmissionCountsShares guards against jobs of a queue below its share that are refused,
// at admission or later, because of queued work that is placed after them.
func TestAdmissionCountsShares(t *testing.T) {
	f := newFixture(t)
	f.join(1, "vm-1", 10)
	f.queued("orders", 300)
	f.assign()
	job := oneStep("proof", 2)
	job.Queue, job.Priority = "proofs", 1
	assert.Assert(t, !f.planner.Admit(f.now, job, PriorState{}).Accepted)
	f.planner.SetShares(testShares(map[string]int{"proofs": 20}))
	assert.Assert(t, f.planner.Admit(f.now, job, PriorState{}).Accepted)
	f.planner.Add(f.now, job, PriorState{})
	f.planner.Tick(f.now)
	assert.Equal(t, len(f.planner.TakeRejected()), 0)
	next := *job
	next.ID = "next"
	assert.Equal(t, f.planner.admission(f.now, &next, PriorState{}).Wait, 100*time.Millisecond, "two tasks at a fifth of ten cores")
}

// TestWrongSharesStopNoQueue guards against settings that don't suit the configuration and
// stop a queue, or give queues more than the pool has.
func TestWrongSharesStopNoQueue(t *testing.T) {
	s := testShares(map[string]int{"orders": 150, "proofs": 50, "gone": 20})
	assert.DeepEqual(t, s.UnknownQueues, []string{"gone"})
	assert.DeepEqual(t, s.ScaledPools, []string{"desk"})
	assert.Equal(t, s.parts[shareKey{"orders", "desk"}], part{150, 200})
	assert.Equal(t, s.parts[shareKey{"proofs", "desk"}], part{50, 200})
	assert.Equal(t, len(s.parts), 2)
}

// TestSharesInOverload guards against a queue of a low priority that is refused while a higher
// one exceeds the capacity, and logs what its share changes for the callers of both.
func TestSharesInOverload(t *testing.T) {
	for _, returning := range []float64{0, 0.3, 1} {
		inTime := 0
		for i, percent := range []int{0, 0, 10, 20} {
			s := newCapacitySim(returning, i > 0)
			s.planner.SetShares(testShares(map[string]int{"proofs": percent}))
			r := s.run(loadQueue{name: "orders", load: 1.15}, loadQueue{name: "proofs", priority: 1, load: 0.2})
			t.Logf("returning %v, refusals remembered %v, share %d%%\norders: %v\nproofs: %v", returning, i > 0, percent, r["orders"], r["proofs"])
			assert.Assert(t, i <= 1 || r["proofs"].inTime > inTime, "in time with less")
			inTime = r["proofs"].inTime
			s.planner.verifyShares(t)
		}
	}
}

// verifyShares checks the sums and lists of all shares.
func (p *Planner) verifyShares(t assert.TestingT) {
	for _, s := range p.shares.sorted {
		want := queueShare{shareKey: s.shareKey}
		for _, e := range p.order {
			for _, r := range e.runs {
				if shareKeyOf(r.job.spec) == s.shareKey {
					want.running += r.need.CPU
				}
			}
		}
		for _, g := range p.queue.groups {
			if shareKeyOf(g.job.spec) == s.shareKey {
				want.groups = append(want.groups, g)
				want.addQueued(g, len(g.tasks))
			}
		}
		assert.Assert(t, s.running == want.running && s.queued == want.queued && slices.Equal(s.groups, want.groups), "queue %s", s.queue)
	}
}
