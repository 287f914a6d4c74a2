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
	// headMisses bounds how many groups are searched for from the head of the queue in one
	// pass without placing all of their tasks, and headSkipped how many that need more than
	// any endpoint has free are skipped. Most groups need about the same resources, so
	// trying all of a long queue in each pass would be wasted.
	headMisses  = 10
	headSkipped = 80
	// windowMisses and windowSkipped are the same bounds for a window of later groups. It
	// moves on with each pass, so that every group is considered within seconds, whatever
	// holds up the groups before it: a full pool, a limit of their own, their size.
	windowMisses  = 6
	windowSkipped = 32
	// failedPenalty multiplies the expected run time of a task on an endpoint
	// where it has already failed.
	failedPenalty = 8
)

// Assign places waiting tasks in queue order while endpoints have capacity, and
// adds the orders. Queues that use less than their shares come first.
func (p *Planner) Assign(now time.Time) {
	p.assignShares(now)
	head := p.assignFrom(now, 0, headMisses, headSkipped)
	if p.window < head || p.window >= len(p.queue.groups) {
		p.window = head
	}
	p.window = p.assignFrom(now, p.window, windowMisses, windowSkipped)
}

// assignFrom places the groups from an index on until it has met the given number of
// groups that it could not place. It returns the index of the next group.
func (p *Planner) assignFrom(now time.Time, i, misses, skipped int) int {
	var free freeBounds
	for i < len(p.queue.groups) && misses > 0 && skipped > 0 {
		g := p.queue.groups[i]
		if !free.mayFit(p, now, g) {
			skipped--
			i++
			continue
		}
		p.placeGroup(now, g, len(g.tasks))
		free = freeBounds{}
		if len(g.tasks) == 0 {
			g.job.groups[g.step] = nil
			p.queue.removeAt(i)
			continue
		}
		misses--
		i++
	}
	return i
}

// freeBounds are the largest free amounts of resources among the endpoints of one
// index. They hold until the next placement.
type freeBounds struct {
	known bool
	key   indexKey
	free  work.Resources
}

// mayFit reports whether any endpoint may have enough free resources for a task of
// the group.
func (b *freeBounds) mayFit(p *Planner, now time.Time, g *group) bool {
	s := &g.job.spec.Steps[g.step]
	if key := (indexKey{pool: g.job.spec.Pool, label: s.RequiredLabel}); !b.known || b.key != key {
		*b = freeBounds{known: true, key: key, free: emptyNode.free}
		if index := p.index(now, key.pool, key.label); index != nil {
			b.free = index.root().free
		}
	}
	return s.Need.Fits(b.free) || len(p.ramped) > 0 && p.rampsYield(now, g.job, g.step)
}

// placeGroup places the group's first tasks, up to a limit, until one finds no endpoint. It
// returns the number of placed tasks.
func (p *Planner) placeGroup(now time.Time, g *group, limit int) int {
	placedCount := 0
	for _, index := range g.tasks[:limit] {
		e := p.chooseEndpoint(now, g.job, g.step, index)
		if e == nil {
			if g.heldBackSince.IsZero() {
				g.heldBackSince = now
			}
			break
		}
		p.start(now, g.job, work.TaskID{Job: g.job.spec.ID, Step: g.step, Index: index}, e)
		placedCount++
	}
	p.queue.removeFirst(g, placedCount)
	return placedCount
}

// minRunTime returns the run time of a task of the step on the fastest usable
// endpoint of its pool with the label that it requires, whether or not that has capacity.
func (p *Planner) minRunTime(now time.Time, j *job, step int) time.Duration {
	return time.Duration(float64(j.spec.Steps[step].Estimate) * p.bestRatio(now, j.spec.Pool, j.spec.Steps[step].RequiredLabel))
}

// chooseAvoiding is chooseEndpoint with the given preferences.
func (p *Planner) chooseAvoiding(now time.Time, j *job, step, index int, avoid *avoidance) *endpoint {
	s := &j.spec.Steps[step]
	q := query{now: now, job: j, index: step, step: s, task: &j.tasks[step][index], shared: p.shared, avoid: avoid}
	if s.PreferredRack != "" {
		if rack := p.index(now, j.spec.Pool, s.PreferredRack); rack != nil {
			rack.search(1, &q)
		}
		q.outsideRack = true
	}
	if candidates := p.index(now, j.spec.Pool, s.RequiredLabel); candidates != nil {
		candidates.search(1, &q)
	}
	if q.best == nil && len(p.ramped) > 0 && p.rampsYield(now, j, step) {
		p.searchRamped(&q)
	}
	if q.best == nil {
		return nil
	}
	runTime := q.best.expectedRunTime(s)
	if avoid != nil && p.onlyFasterInTime(now, j, step, runTime) {
		return nil // the caller then looks among all endpoints
	}
	if avoid == nil && p.worthWaiting(now, j, step, runTime) {
		return nil
	}
	return q.best
}

// usable reports whether the endpoint may get runs at all.
func (e *endpoint) usable(now time.Time) bool {
	return !e.Draining && !e.drained && !e.unreachable && e.leaseExpiry.IsZero() && e.health.available(now)
}

// open reports whether a usable endpoint may get a run now that fits into its free
// resources. What its unknown runs take is not known, so it gets no starts while it
// has any, except with a shared planner, where UsedByOthers includes them.
func (e *endpoint) open(now time.Time, shared bool) bool {
	return (len(e.unknown) == 0 || shared) && !now.Before(e.fullUntil)
}

// accepts reports whether the endpoint may run a task of the step now, within the given
// free resources.
func (e *endpoint) accepts(now time.Time, j *job, step int, shared bool, free *work.Resources) bool {
	s := &j.spec.Steps[step]
	if !e.usable(now) || !e.open(now, shared) || e.Pool != j.spec.Pool || !s.Need.Fits(*free) {
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
	step := &j.spec.Steps[id.Step]
	r := &run{
		Run:      work.Run{Task: id, Number: t.lastRun},
		job:      j,
		need:     step.Need,
		endpoint: e,
		since:    now,
		expected: e.expectedRunTime(step),
	}
	p.recordNeighbours(r)
	p.addRun(r)
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
// longer be in time back in the queue, refuses those of no more value, removes refused
// callers that did not return, and moves stalled runs.
func (p *Planner) Tick(now time.Time) {
	for _, e := range slices.Clone(p.order) {
		if !e.leaseExpiry.IsZero() && !now.Before(e.leaseExpiry) {
			p.removeEndpoint(now, e)
		}
	}
	p.releaseHeld(now)
	p.refuseDrained(now)
	p.expireUnclaimed(now)
	p.queue.demote(now, func(g *group) time.Duration { return p.minRunTime(now, g.job, g.step) })
	p.trackQueues(now)
	p.refused.advance(now)
	p.shed(now)
	p.moveStalled(now)
	p.endRamps(now)
	for _, e := range p.order {
		if e.slowdown.decay(now.Sub(p.lastTick)) {
			p.pools.mark(e)
		}
	}
	p.sortIndexes(now)
	p.reviewInterference(now)
	p.lastTick = now
}
