package placement

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// takeOver replaces the planner by that of a new leader. The endpoints join with their runs, and with
// their slowdowns if reported is set; the entries submit the open jobs again.
func (s *interferenceSim) takeOver(reported bool) {
	earlier := s.planner
	s.planner = NewPlanner(2, s.now, nil)
	for _, h := range s.hosts {
		s.advance(h)
		info := earlier.endpoints[h.session].Endpoint
		if reported {
			info.Slowdown = earlier.Slowdown(h.session)
		}
		h.session += SessionID(len(s.hosts))
		info.Session = h.session
		var listed []ListedRun
		for _, r := range h.runs {
			listed = append(listed, ListedRun{Run: r.run})
		}
		s.planner.Join(s.now, info, listed, nil)
	}
	open := slices.SortedFunc(maps.Values(earlier.jobs), func(a, b *job) int {
		return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	for _, j := range open {
		prior := PriorState{Waited: s.now.Sub(j.arrived), SentToLeader: true}
		for i := range j.tasks[0] {
			if j.tasks[0][i].phase == ended {
				prior.Done = append(prior.Done, work.TaskID{Job: j.spec.ID, Index: i})
			}
		}
		s.planner.Add(s.now, j.spec, prior)
	}
}

// shareAfterTakeOver returns the share of the jobs in time of those that arrive in the second after
// a new planner has taken over, and their number.
func shareAfterTakeOver(load float64, tasks int, seeds uint64, takeOver func(*interferenceSim)) (float64, int) {
	var sum simResult
	for seed := range seeds {
		queues := []simQueue{
			{name: "narrow", estimate: 200 * time.Millisecond, share: 0.5 * load},
			{name: "wide", estimate: 200 * time.Millisecond, share: 0.5 * load, tasks: tasks},
		}
		s := newInterferenceSim(seed, 24, 6, queues, false)
		// The jobs and their work are the same in all cases.
		s.runTimes = func(id work.TaskID) *rand.Rand {
			sum := fnv.New64a()
			fmt.Fprint(sum, seed, id)
			return rand.New(rand.NewPCG(sum.Sum64(), 3))
		}
		s.measureFrom, s.measureUntil = 15*time.Second, 16*time.Second
		s.run(s.measureFrom)
		takeOver(s)
		s.run(s.measureUntil + 5*time.Second)
		for _, r := range s.results {
			sum.submitted += r.submitted
			sum.inTime += r.inTime
		}
	}
	return sum.share(), sum.submitted
}

// TestCallersGainFromReportedSlowdowns guards against figures that don't help callers: while there
// are endpoints to choose from, more jobs must be in time after a change of the planner with them
// than without them. At a load of 0.8 there is little choice, and they must cost next to nothing.
func TestCallersGainFromReportedSlowdowns(t *testing.T) {
	const seeds = 20
	for _, c := range []struct{ load, gain float64 }{{0.2, 0.04}, {0.4, 0.03}, {0.8, -0.03}} {
		without, _ := shareAfterTakeOver(c.load, 8, seeds, func(s *interferenceSim) { s.takeOver(false) })
		with, jobs := shareAfterTakeOver(c.load, 8, seeds, func(s *interferenceSim) { s.takeOver(true) })
		t.Logf("load %.1f: %d jobs, in time with the figures %.1f%%, without %.1f%%", c.load, jobs, 100*with, 100*without)
		assert.Assert(t, with > without+c.gain, "load %.1f", c.load)
	}
}
