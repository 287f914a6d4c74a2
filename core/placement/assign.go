package placement

import (
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

const (
	// refusedBackoff is how long an endpoint gets no starts after it refused one
	// for lack of capacity or of a lease, although the planner counted enough free
	// resources.
	refusedBackoff = 100 * time.Millisecond
	// maxMisses bounds how many groups are tried in one pass without placing all
	// of their tasks. Later groups need about the same resources, so trying all of
	// a long queue would be wasted.
	maxMisses = 16
	// failedPenalty multiplies the expected run time of a task on an endpoint
	// where it has already failed.
	failedPenalty = 8
)

// Assign places waiting tasks in queue order while endpoints have capacity, and
// adds the orders.
func (p *Planner) Assign(now time.Time) {
	p.updateBestRatios(now)
	misses := 0
	for i := 0; i < len(p.queue.groups) && misses < maxMisses; {
		g := p.queue.groups[i]
		p.placeGroup(now, g)
		if len(g.tasks) == 0 {
			g.job.groups[g.step] = nil
			p.queue.groups = slices.Delete(p.queue.groups, i, i+1)
			continue
		}
		misses++
		i++
	}
}

// placeGroup places the group's tasks until one finds no endpoint.
func (p *Planner) placeGroup(now time.Time, g *group) {
	placedCount := 0
	for _, index := range g.tasks {
		e := p.chooseEndpoint(now, g.job, g.step, index)
		if e == nil {
			break
		}
		p.start(now, g.job, work.TaskID{Job: g.job.spec.ID, Step: g.step, Index: index}, e)
		placedCount++
	}
	g.tasks = slices.Delete(g.tasks, 0, placedCount)
}

// updateBestRatios records the slowdown of the fastest endpoint of each pool.
func (p *Planner) updateBestRatios(now time.Time) {
	clear(p.bestRatio)
	for _, e := range p.order {
		if !e.usable(now) {
			continue
		}
		if ratio, known := p.bestRatio[e.Pool]; !known || e.slowdown.ratio < ratio {
			p.bestRatio[e.Pool] = e.slowdown.ratio
		}
	}
}

// minGroupRunTime returns the run time of a task of the group on the fastest
// endpoint of its pool, whether or not that has capacity.
func (p *Planner) minGroupRunTime(g *group) time.Duration {
	return p.minRunTime(g.job, g.step)
}

func (p *Planner) minRunTime(j *job, step int) time.Duration {
	return time.Duration(float64(j.spec.Steps[step].Estimate) * p.bestRatio[j.spec.Pool])
}

// worthWaiting reports whether a task that would be late on the endpoints that
// have capacity could still be in time on a faster one, once that has capacity.
func (p *Planner) worthWaiting(now time.Time, j *job, step int, runTime time.Duration) bool {
	return now.Add(runTime).After(j.due) && !now.Add(p.minRunTime(j, step)).After(j.due)
}

// chooseEndpoint returns the endpoint that is expected to finish the task first,
// nil if none has capacity or it is better to wait.
func (p *Planner) chooseEndpoint(now time.Time, j *job, step, index int) *endpoint {
	s := j.spec.Steps[step]
	t := &j.tasks[step][index]
	var best *endpoint
	var bestExpected time.Duration
	for _, e := range p.order {
		if !e.accepts(now, j, step, p.shared) {
			continue
		}
		expected := e.expectedRunTime(s)
		if slices.Contains(t.failedOn, e.VM) {
			expected *= failedPenalty
		}
		expected = e.health.penalize(now, expected)
		if best == nil || expected < bestExpected || (expected == bestExpected && e.free.CPU > best.free.CPU) {
			best, bestExpected = e, expected
		}
	}
	if best != nil && p.worthWaiting(now, j, step, best.expectedRunTime(s)) {
		return nil
	}
	return best
}

// usable reports whether the endpoint may get runs at all.
func (e *endpoint) usable(now time.Time) bool {
	return !e.Draining && !e.unreachable && e.leaseExpiry.IsZero() && e.health.available(now)
}

// accepts reports whether the endpoint may run a task of the step now. What its
// unknown runs take is not known, so it gets no starts while it has any, except
// with a shared planner, where UsedByOthers includes them.
func (e *endpoint) accepts(now time.Time, j *job, step int, shared bool) bool {
	s := &j.spec.Steps[step]
	if !e.usable(now) || e.Pool != j.spec.Pool || !s.Need.Fits(e.free) {
		return false
	}
	if len(e.unknown) > 0 && !shared || now.Before(e.fullUntil) {
		return false
	}
	if s.RequiredLabel != "" && !slices.Contains(e.Labels, s.RequiredLabel) {
		return false
	}
	return s.MaxPerEndpoint == 0 || e.countRuns(j, step) < s.MaxPerEndpoint
}

func (e *endpoint) countRuns(j *job, step int) int {
	count := 0
	for _, r := range e.runs {
		if r.job == j && r.Task.Step == step {
			count++
		}
	}
	return count
}

func (p *Planner) start(now time.Time, j *job, id work.TaskID, e *endpoint) {
	t := j.task(id)
	t.phase = placed
	p.lastRun++
	t.lastRun = p.lastRun
	step := j.spec.Steps[id.Step]
	r := &run{
		Run:      work.Run{Task: id, Number: t.lastRun},
		job:      j,
		need:     step.Need,
		endpoint: e,
		since:    now,
		expected: e.expectedRunTime(step),
	}
	e.add(r)
	j.recordOrder(now, r)
	e.health.started(now)
	p.markStarted(j)
	p.Stats.Starts++
	p.orders = append(p.orders, Order{
		Session: e.Session, Run: r.Run, Spec: j.spec.Spec, Checkpoint: t.checkpoint, Need: step.Need, BestEffort: j.spec.BestEffort,
	})
}

// Tick applies what depends on time: it removes endpoints with an expired lease,
// releases held jobs, expires unclaimed runs and ends, moves groups that can no
// longer be in time back in the queue, and moves stalled runs.
func (p *Planner) Tick(now time.Time) {
	for _, e := range slices.Clone(p.order) {
		if !e.leaseExpiry.IsZero() && !now.Before(e.leaseExpiry) {
			p.removeEndpoint(now, e)
		}
	}
	p.releaseHeld(now)
	p.expireUnclaimed(now)
	p.updateBestRatios(now)
	p.queue.demote(now, p.minGroupRunTime)
	p.moveStalled(now)
	for _, e := range p.order {
		e.slowdown.decay(now.Sub(p.lastTick))
	}
	p.lastTick = now
}
