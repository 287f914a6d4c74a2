package dispatch

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/core/verdict"
)

// completion is the end of an assignment at a time.
type completion struct {
	at         time.Time
	assignment Assignment
	report     Report
}

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simulation runs a Scheduler in virtual time; runTask returns the outcome of an
// assignment.
type simulation struct {
	s       *Scheduler
	now     time.Time
	pending completionHeap
	runTask func(Assignment) Report
	started map[uint64]time.Time
	starts  map[string]int
}

func newSimulation(s *Scheduler, run func(Assignment) Report) *simulation {
	return &simulation{s: s, now: start, runTask: run, started: map[uint64]time.Time{}, starts: map[string]int{}}
}

// startReady starts all tasks that can start now.
func (sim *simulation) startReady() {
	for a, ok := sim.s.Next(sim.now); ok; a, ok = sim.s.Next(sim.now) {
		sim.started[a.Item.ID] = sim.now
		sim.starts[a.Endpoint]++
		r := sim.runTask(a)
		heap.Push(&sim.pending, completion{sim.now.Add(r.RunTime), a, r})
	}
}

// runUntil processes completions and starts tasks up to a time.
func (sim *simulation) runUntil(end time.Time) {
	sim.startReady()
	for len(sim.pending) > 0 && !sim.pending[0].at.After(end) {
		e := heap.Pop(&sim.pending).(completion)
		sim.now = e.at
		sim.s.Done(sim.now, e.assignment, e.report)
		sim.startReady()
	}
	sim.now = end
	sim.startReady()
}

var runTimes = map[string]time.Duration{
	"quote": 50 * time.Millisecond, "batch": 200 * time.Millisecond, "long": 3 * time.Second, "broken": 5 * time.Millisecond,
}

func successByKind(a Assignment) Report { return success(runTimes[a.Item.Kind]) }

func failure(run time.Duration) Report {
	r := success(run)
	r.OK = false
	r.Code = verdict.CodeEndpointFailed
	return r
}

// Guards against head-of-line blocking: a 790-task job and a burst of long tasks
// must not delay a quote by more than one short task's time, whatever the
// declared run times are, and must not starve either.
func TestShortTasksOvertakeJobsAndLongTasks(t *testing.T) {
	for _, factor := range []float64{0.1, 1, 10} {
		t.Run(fmt.Sprintf("declared %.1f times", factor), func(t *testing.T) {
			s := New(Options{})
			s.SetEndpoints(start, fleet(11, "quote", "batch", "long"))
			for _, kind := range []string{"quote", "batch", "long"} {
				declared := time.Duration(factor * float64(runTimes[kind]))
				assert.Assert(t, s.Admit(start, "a", "shop", []KindCount{{Kind: kind, Count: 1, Declared: declared}}, time.Time{}, 0) == nil)
			}
			sim := newSimulation(s, successByKind)
			id := uint64(1)
			for i := range 200 {
				s.Enqueue(sim.now, newItems("q", fmt.Sprint(i), "quote", id, 1, sim.now))
				id++
				if i == 50 {
					s.Enqueue(sim.now, newItems("jobs", "big", "batch", 10_000, 790, sim.now))
					s.Enqueue(sim.now, newItems("waves", "wave", "long", 20_000, 40, sim.now))
				}
				enqueuedAt := sim.now
				sim.runUntil(sim.now.Add(20 * time.Millisecond))
				_, ok := sim.started[id-1]
				assert.Assert(t, ok, "quote enqueued after %v has not started", enqueuedAt.Sub(start))
			}
			sim.runUntil(sim.now.Add(10 * time.Second))
			assert.Equal(t, len(sim.started), 200+790+40)
		})
	}
}

// Guards against starvation: a long task must start within a bound even if its
// caller also sends a steady stream of short ones, more than the slots can run.
func TestLongTaskIsNotStarved(t *testing.T) {
	s := New(Options{})
	list := fleet(1, "quote", "long")
	s.SetEndpoints(start, list)
	sim := newSimulation(s, successByKind)
	s.Enqueue(start, newItems("a", "warm", "long", 90_000, 1, start))
	sim.runUntil(start.Add(4 * time.Second))
	enqueuedAt := sim.now
	s.Enqueue(sim.now, newItems("a", "long", "long", 90_001, 1, sim.now))
	id := uint64(1)
	for range 1200 {
		s.Enqueue(sim.now, newItems("a", fmt.Sprint(id), "quote", id, 2, sim.now))
		s.Enqueue(sim.now, newItems("b", fmt.Sprint(id), "quote", id+1_000_000, 2, sim.now))
		id += 2
		sim.runUntil(sim.now.Add(10 * time.Millisecond))
	}
	at, ok := sim.started[90_001]
	assert.Assert(t, ok)
	// The ageing factor times the run time, plus the delay of shortTaskBias.
	assert.Assert(t, at.Sub(enqueuedAt) <= 10*time.Second, "started after %v", at.Sub(enqueuedAt))
}

// Guards against an endpoint that fails fast and therefore attracts all work,
// and against one that is never readmitted.
func TestFailingEndpointIsQuarantinedAndReadmitted(t *testing.T) {
	s := New(Options{Seed: 7})
	s.SetEndpoints(start, fleet(11, "quote"))
	bad := "w0003"
	broken := true
	sim := newSimulation(s, func(a Assignment) Report {
		if a.Endpoint == bad && broken {
			return failure(5 * time.Millisecond)
		}
		return successByKind(a)
	})
	broken = false
	s.Enqueue(start, newItems("a", "warm", "quote", 1_000_000, 300, start))
	sim.runUntil(start.Add(time.Second))
	broken = true
	sim.starts = map[string]int{}
	id := uint64(1)
	feed := func(d time.Duration) {
		for end := sim.now.Add(d); sim.now.Before(end); id += 30 {
			s.Enqueue(sim.now, newItems("a", fmt.Sprint(id), "quote", id, 30, sim.now))
			sim.runUntil(sim.now.Add(20 * time.Millisecond))
		}
	}
	feed(400 * time.Millisecond)
	// Tasks for all of its slots may have started before the first failure is
	// reported.
	assert.Assert(t, sim.starts[bad] <= 8+4, "%d starts", sim.starts[bad])
	assert.Assert(t, s.endpoints[bad].health.quarantined)
	before := sim.starts[bad]
	feed(5 * time.Second)
	assert.Assert(t, sim.starts[bad]-before <= 5, "%d trials", sim.starts[bad]-before)
	broken = false
	feed(10 * time.Second)
	assert.Assert(t, !s.endpoints[bad].health.quarantined)
}

// Guards against quarantining endpoints because of a kind that fails everywhere.
func TestFailingKindQuarantinesNoEndpoint(t *testing.T) {
	for _, n := range []int{3, 11, 150} {
		s := New(Options{})
		s.SetEndpoints(start, fleet(n, "quote", "broken"))
		sim := newSimulation(s, func(a Assignment) Report {
			if a.Item.Kind == "broken" {
				return failure(5 * time.Millisecond)
			}
			return successByKind(a)
		})
		id := uint64(1)
		for range 200 {
			s.Enqueue(sim.now, newItems("a", "q", "quote", id, 5, sim.now))
			s.Enqueue(sim.now, newItems("b", "x", "broken", id+1_000_000, 5, sim.now))
			id += 5
			sim.runUntil(sim.now.Add(20 * time.Millisecond))
			assert.Equal(t, s.quarantined, 0)
		}
	}
}

// Guards against starting no more tasks when all endpoints fail or are
// unreachable.
func TestUnavailableEndpointsStillGetTasks(t *testing.T) {
	s := New(Options{})
	s.SetEndpoints(start, fleet(4, "quote"))
	sim := newSimulation(s, func(Assignment) Report {
		return Report{Verdict: verdict.MayHaveRun, Code: verdict.CodeEndpointLost, RunTime: 10 * time.Millisecond}
	})
	s.Enqueue(start, newItems("a", "j", "quote", 1, 500, start))
	sim.runUntil(start.Add(5 * time.Second))
	assert.Equal(t, len(sim.started), 500)
	assert.Assert(t, s.quarantined <= 2)
}

// Guards against giving a slow endpoint an equal share of short calls.
func TestSlowEndpointGetsFewerTasks(t *testing.T) {
	s := New(Options{})
	s.SetEndpoints(start, fleet(4, "quote"))
	slow := "w0001"
	sim := newSimulation(s, func(a Assignment) Report {
		if a.Endpoint == slow {
			return success(500 * time.Millisecond)
		}
		return successByKind(a)
	})
	id := uint64(1)
	for range 500 {
		s.Enqueue(sim.now, newItems("a", fmt.Sprint(id), "quote", id, 4, sim.now))
		id += 4
		sim.runUntil(sim.now.Add(20 * time.Millisecond))
	}
	assert.Assert(t, sim.starts[slow] <= 20, "%d of 2000 starts", sim.starts[slow])
	assert.Equal(t, len(sim.started), 2000)
}

// Guards against retries that multiply the load when all starts are refused.
func TestRetryBudget(t *testing.T) {
	s := New(Options{})
	s.SetEndpoints(start, fleet(11, "quote"))
	requeued := 0
	for i := range uint64(1000) {
		s.Enqueue(start, newItems("a", "j", "quote", 1+i, 1, start))
		a, ok := s.Next(start)
		assert.Assert(t, ok)
		s.Done(start, a, Report{Verdict: verdict.NotRun, Code: verdict.CodeFenced})
		if s.Requeue(start, a.Item) {
			requeued++
			s.RemoveJob(a.Item.Job)
		}
	}
	assert.Equal(t, requeued, int(retryBurst/4))
	for i := range uint64(101) {
		s.Enqueue(start, newItems("a", "j", "quote", 1+i, 1, start))
		a, ok := s.Next(start)
		assert.Assert(t, ok)
		s.Done(start, a, success(time.Millisecond))
	}
	allowed := 0
	for s.retryBudget.take(start) {
		allowed++
	}
	assert.Equal(t, allowed, int(100*retriesPerSuccess))
}

// Guards against refusals with a wrong code, without a RetryAfter, or with the
// same RetryAfter for all callers.
func TestAdmission(t *testing.T) {
	s := New(Options{MaxQueued: 100, Seed: 3})
	list := fleet(2, "quote")
	list[0].Capacity = state.Resources{MemoryMB: 100}
	list[1].Capacity = state.Resources{MemoryMB: 200}
	s.SetEndpoints(start, list)
	admit := func(caller string, k KindCount, deadline time.Time, quota int64) (verdict.Code, time.Duration) {
		err := s.Admit(start, caller, "shop", []KindCount{k}, deadline, quota)
		if err == nil {
			return "", 0
		}
		assert.Equal(t, err.Verdict, verdict.NotRun)
		return err.Code, err.RetryAfter
	}
	check := func(want verdict.Code, wantRetry bool, caller string, k KindCount, deadline time.Time, quota int64) time.Duration {
		t.Helper()
		code, after := admit(caller, k, deadline, quota)
		assert.Equal(t, code, want)
		assert.Equal(t, after > 0, wantRetry)
		return after
	}
	quote := KindCount{Kind: "quote", Count: 1}
	check("", false, "a", quote, time.Time{}, 0)
	check(verdict.CodeNoEndpoint, false, "a", KindCount{Kind: "other", Count: 1}, time.Time{}, 0)
	check(verdict.CodeNoEndpoint, false, "a", KindCount{Kind: "quote", Count: 1, Needs: state.Resources{MemoryMB: 300}}, time.Time{}, 0)
	check(verdict.CodeQuota, false, "a", KindCount{Kind: "quote", Count: 9}, time.Time{}, 8)
	check(verdict.CodeDeadline, false, "a", quote, start, 0)
	s.Enqueue(start, newItems("a", "j", "quote", 1, 95, start))
	check(verdict.CodeQuota, true, "a", quote, time.Time{}, 95)
	check(verdict.CodeOverloaded, false, "a", KindCount{Kind: "quote", Count: 101}, time.Time{}, 0)
	check("", false, "b", quote, time.Time{}, 0)
	first := check(verdict.CodeOverloaded, true, "a", KindCount{Kind: "quote", Count: 6}, time.Time{}, 0)
	second := check(verdict.CodeOverloaded, true, "a", KindCount{Kind: "quote", Count: 6}, time.Time{}, 0)
	assert.Assert(t, first != second)
	a, _ := s.Next(start)
	s.Done(start, a, success(time.Second))
	check(verdict.CodeDeadline, true, "a", quote, start.Add(2*time.Second), 0)
	check("", false, "b", quote, start.Add(time.Minute), 0)
}

// Guards against losing a task that cannot be repeated in the trial of an
// unreachable endpoint, although a repeatable task could have been used.
func TestTrialAfterLossPrefersRepeatableTask(t *testing.T) {
	s := New(Options{})
	s.SetEndpoints(start, fleet(2, "quote"))
	e := s.endpoints["w0000"]
	s.quarantine(start, e, true)
	now := e.health.nextTrial
	s.Enqueue(now, newItems("a", "j", "quote", 1, 20, now))
	for a, ok := s.Next(now); ok; a, ok = s.Next(now) {
		assert.Equal(t, a.Endpoint, "w0001")
	}
	repeatable := newItems("b", "j", "quote", 100, 1, now)
	repeatable[0].Repeatable = true
	s.Enqueue(now, repeatable)
	a, ok := s.Next(now)
	assert.Assert(t, ok)
	assert.Equal(t, a.Endpoint, "w0000")
}
