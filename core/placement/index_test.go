package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// scan returns the endpoint that chooseEndpoint must prefer, by a look at each one.
func (p *Planner) scan(now time.Time, j *job, step, index int) *endpoint {
	q := query{now: now, job: j, index: step, step: &j.spec.Steps[step], task: &j.tasks[step][index], shared: p.shared}
	for _, e := range p.order {
		q.consider(e)
	}
	if q.ignoreRamps = q.best == nil && p.rampsYield(now, j, step); q.ignoreRamps {
		for _, e := range p.order {
			q.consider(e)
		}
	}
	if q.best != nil && p.worthWaiting(now, j, step, q.best.expectedRunTime(q.step)) {
		return nil
	}
	return q.best
}

// verify checks the derived state of a planner against the state that it is derived
// from: indexes against scans, the runs of each job, and the queued work.
func (p *Planner) verify(t assert.TestingT, now time.Time) {

	runs, unknown := 0, 0
	bestRatios, rates, capacity := map[indexKey]float64{}, map[string]float64{}, map[string]int{}
	for _, e := range p.order {
		for _, r := range e.runs {
			runs++
			assert.Assert(t, slices.Contains(p.runs[r.Task.Job], r))
		}
		for _, u := range e.unknown {
			unknown++
			assert.Assert(t, slices.Contains(p.unknown[u.listed.Task.Job], u))
		}
		if e.usable(now) {
			e.keys(func(key indexKey) {
				if ratio, ok := bestRatios[key]; !ok || e.slowdown.ratio < ratio {
					bestRatios[key] = e.slowdown.ratio
				}
			})
			capacity[e.Pool] += e.Capacity.CPU
			rates[e.Pool] += float64(e.Capacity.CPU) / 1000 / e.slowdown.ratio * e.share()
		}
	}
	for _, list := range p.runs {
		runs -= len(list)
	}
	for _, list := range p.unknown {
		unknown -= len(list)
	}
	assert.Equal(t, runs, 0, "runs of jobs that no endpoint has")
	assert.Equal(t, unknown, 0, "unknown runs that no endpoint has")
	for key := range p.pools.members {
		assert.Equal(t, p.bestRatio(now, key.pool, key.label), bestRatios[key])
		assert.Equal(t, p.capacity(now, key.pool), capacity[key.pool])
		difference := p.rate(now, key.pool) - rates[key.pool]
		assert.Assert(t, difference < 1e-6 && difference > -1e-6)
	}
	p.verifyQueue(t, now)
	p.verifyShares(t)
}

func (p *Planner) verifyQueue(t assert.TestingT, now time.Time) {

	tasks, load := 0, map[loadKey]workload{}
	for _, g := range p.queue.groups {
		tasks += len(g.tasks)
		if g.timeliness != expired {
			load[loadKey{pool: g.job.spec.Pool, priority: g.job.spec.Priority}] += workload(len(g.tasks)) * g.taskWorkload()
		}
		for _, index := range g.tasks[:min(len(g.tasks), 2)] {
			got, want := p.chooseEndpoint(now, g.job, g.step, index), p.scan(now, g.job, g.step, index)
			assert.Equal(t, got == nil, want == nil, "job %s step %d: an endpoint is found", g.job.spec.ID, g.step)
			if got != want {
				s := &g.job.spec.Steps[g.step]
				assert.Equal(t, got.expectedRunTime(s), want.expectedRunTime(s), "job %s: expected run time", g.job.spec.ID)
				gotFree, wantFree := got.available(), want.available()
				if !s.Need.Fits(wantFree) { // the limits of ramps yield
					gotFree, wantFree = got.free, want.free
				}
				assert.Equal(t, gotFree.CPU, wantFree.CPU, "job %s: free CPU", g.job.spec.ID)
			}
		}
	}
	assert.Equal(t, p.queue.tasks, tasks)
	for key, w := range p.queue.load {
		assert.Equal(t, w, load[key])
		delete(load, key)
	}
	for key, w := range load {
		assert.Equal(t, w, workload(0), "%v", key)
	}
}

// indexWorld is a planner with random endpoints of two pools, and jobs that ask for
// labels, racks and bounded numbers of tasks per endpoint.
type indexWorld struct {
	*fixture
	sessions SessionID
	jobs     int
	orders   []Order
}

func (w *indexWorld) joinRandom(t *rapid.T) {
	w.sessions++
	vm := rapid.IntRange(0, 40).Draw(t, "vm")
	w.planner.Join(w.now, Endpoint{
		Session: w.sessions, VM: fmt.Sprintf("vm-%d", vm), Instance: "incarnation", Pool: []string{"desk", "shop"}[vm%2],
		DataCentre: []string{"east", "west"}[vm/20%2],
		Labels:     []string{[]string{"a", "b", "c"}[vm%3], fmt.Sprintf("rack-%d", vm/8)},
		Capacity:   work.Resources{CPU: 1000 * rapid.IntRange(1, 6).Draw(t, "cores"), MemoryMB: 256, GPU: vm % 2},
	}, nil, nil)
}

func (w *indexWorld) addRandom(t *rapid.T) {
	w.jobs++
	j := oneStep(fmt.Sprintf("job-%d", w.jobs), rapid.IntRange(1, 8).Draw(t, "tasks"))
	j.Pool = rapid.SampledFrom([]string{"desk", "shop", "nobody's"}).Draw(t, "pool")
	j.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
	s := &j.Steps[0]
	s.Need = work.Resources{CPU: 500 * rapid.IntRange(1, 6).Draw(t, "cpu"), MemoryMB: 32 * rapid.IntRange(0, 4).Draw(t, "memory"), GPU: rapid.IntRange(0, 9).Draw(t, "gpu") / 9}
	s.Estimate = time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
	s.RequiredLabel = rapid.SampledFrom([]string{"", "", "", "b", "rack-2", "nobody's"}).Draw(t, "label")
	s.PreferredRack = rapid.SampledFrom([]string{"", "", "rack-1", "nobody's"}).Draw(t, "rack")
	s.MaxPerEndpoint = rapid.IntRange(0, 2).Draw(t, "max per endpoint")
	w.planner.Add(w.now, j, PriorState{})
}

// settle ends a random order of those that were sent.
func (w *indexWorld) settle(t *rapid.T) {
	if len(w.orders) == 0 {
		t.Skip("no order")
	}
	index := rapid.IntRange(0, len(w.orders)-1).Draw(t, "order")
	o := w.orders[index]
	w.orders = slices.Delete(w.orders, index, index+1)
	switch rapid.IntRange(0, 4).Draw(t, "how") {
	case 0:
		reason := rapid.SampledFrom([]Refusal{RefusedCapacity, RefusedUnhealthy, RefusedStale}).Draw(t, "refusal")
		w.planner.Refused(w.now, o.Session, o.Run, reason)
	case 1:
		w.end(o, work.Failed)
	default:
		w.end(o, work.Done)
	}
}

// TestIndexChoosesAsScan guards against tasks that are placed worse, or not at all,
// because an index of the endpoints does not reflect their state.
func TestIndexChoosesAsScan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &indexWorld{fixture: newFixture(t)}
		session := func(t *rapid.T) SessionID {
			return SessionID(rapid.IntRange(1, int(w.sessions)+1).Draw(t, "session"))
		}
		rt.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { w.planner.verify(t, w.now) },
			"join": func(t *rapid.T) {
				for range 5 {
					w.joinRandom(t)
				}
			},
			"add":    w.addRandom,
			"settle": w.settle,
			"assign": func(*rapid.T) {
				starts, _ := w.assign()
				w.orders = append(w.orders, starts...)
			},
			"pass":  func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond) },
			"lose":  func(t *rapid.T) { w.planner.Lost(session(t), w.now.Add(leaseTimeout)) },
			"leave": func(t *rapid.T) { w.planner.Leave(w.now, session(t)) },
			"drain": func(t *rapid.T) { w.planner.SetDraining(session(t)) },
			"drain data centres": func(t *rapid.T) {
				revision := w.planner.drains.Revision + uint64(rapid.IntRange(0, 1).Draw(t, "newer"))
				w.drain(revision, [][]string{nil, nil, {"east"}, {"west"}, {"east", "west"}}[rapid.IntRange(0, 4).Draw(t, "drained")]...)
			},
			"reach": func(t *rapid.T) { w.planner.SetReachable(session(t), rapid.Bool().Draw(t, "reachable")) },
			"others": func(t *rapid.T) {
				w.planner.SetUsedByOthers(session(t), work.Resources{CPU: 500 * rapid.IntRange(0, 3).Draw(t, "cpu")})
			},
			"abandon": func(t *rapid.T) {
				w.planner.Abandon(w.now, work.JobID(fmt.Sprintf("job-%d", rapid.IntRange(1, w.jobs+1).Draw(t, "job"))))
			},
		})
	})
}
