package placement

import (
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

const (
	// refusedPause holds starts back from an endpoint that denied having room
	// although the leader's account shows some.
	refusedPause = 100 * time.Millisecond
	// maxMisfits bounds how many groups in a row are tried in vain. Later groups
	// need about the same room, so looking at all of a long queue is wasted.
	maxMisfits = 16
	// penaltyRetry is the factor by which an endpoint looks slower for a task
	// that has already failed there.
	penaltyRetry = 8
)

// Assign places waiting tasks in order while there is room, and adds the
// orders.
func (b *Board) Assign(now time.Time) {
	b.updateFastest(now)
	misfits := 0
	for i := 0; i < len(b.queue.groups) && misfits < maxMisfits; {
		g := b.queue.groups[i]
		b.placeGroup(now, g)
		if len(g.tasks) == 0 {
			g.job.groups[g.step] = nil
			b.queue.groups = slices.Delete(b.queue.groups, i, i+1)
			continue
		}
		misfits++
		i++
	}
}

// placeGroup places the group's tasks until one finds no room.
func (b *Board) placeGroup(now time.Time, g *group) {
	placedCount := 0
	for _, index := range g.tasks {
		e := b.choose(now, g.job, g.step, index)
		if e == nil {
			break
		}
		b.start(now, g.job, work.TaskID{Job: g.job.spec.ID, Step: g.step, Index: index}, e)
		placedCount++
	}
	g.tasks = slices.Delete(g.tasks, 0, placedCount)
}

// updateFastest notes the speed of the fastest endpoint of each pool.
func (b *Board) updateFastest(now time.Time) {
	clear(b.fastest)
	for _, e := range b.order {
		if !e.usable(now) {
			continue
		}
		if ratio, known := b.fastest[e.Pool]; !known || e.speed.ratio < ratio {
			b.fastest[e.Pool] = e.speed.ratio
		}
	}
}

// fastestRun returns the time of a task of the group on the fastest endpoint of
// its pool, whether that has room or not.
func (b *Board) fastestRun(g *group) time.Duration {
	return b.fastestTask(g.job, g.step)
}

func (b *Board) fastestTask(j *job, step int) time.Duration {
	return time.Duration(float64(j.spec.Steps[step].Estimate) * b.fastest[j.spec.Pool])
}

// worthWaiting tells whether a task that would be late on the endpoints that have
// room could still be in time on a faster one, when that has room again.
func (b *Board) worthWaiting(now time.Time, j *job, step int, available time.Duration) bool {
	return now.Add(available).After(j.due) && !now.Add(b.fastestTask(j, step)).After(j.due)
}

// choose returns the endpoint that would finish the task first, nil if none
// has room or it is better to wait.
func (b *Board) choose(now time.Time, j *job, step, index int) *endpoint {
	s := j.spec.Steps[step]
	t := &j.tasks[step][index]
	var best *endpoint
	var bestTime time.Duration
	for _, e := range b.order {
		if !e.accepts(now, j, step, b.shared) {
			continue
		}
		time := e.expect(s)
		if slices.Contains(t.failedOn, e.VM) {
			time *= penaltyRetry
		}
		time = e.health.weigh(now, time)
		if best == nil || time < bestTime || (time == bestTime && e.free.CPU > best.free.CPU) {
			best, bestTime = e, time
		}
	}
	if best != nil && b.worthWaiting(now, j, step, best.expect(s)) {
		return nil
	}
	return best
}

// usable tells whether the endpoint may get runs at all.
func (e *endpoint) usable(now time.Time) bool {
	return !e.Draining && !e.unreachable && e.goneAt.IsZero() && e.health.available(now)
}

// accepts tells whether the endpoint may run a task of the step now. The room of
// runs of no known job is known on a shared board only, as that of others.
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
	return s.MaxPerEndpoint == 0 || e.countStep(j, step) < s.MaxPerEndpoint
}

func (e *endpoint) countStep(j *job, step int) int {
	count := 0
	for _, r := range e.runs {
		if r.job == j && r.Task.Step == step {
			count++
		}
	}
	return count
}

func (b *Board) start(now time.Time, j *job, id work.TaskID, e *endpoint) {
	t := j.task(id)
	t.phase = placed
	b.lastRun++
	t.lastRun = b.lastRun
	step := j.spec.Steps[id.Step]
	r := &run{
		Run:      work.Run{Task: id, Run: t.lastRun},
		job:      j,
		need:     step.Need,
		at:       e,
		since:    now,
		expected: e.expect(step),
	}
	e.add(r)
	j.noteOrder(now, r)
	e.health.started(now)
	b.begin(j)
	b.Stats.Starts++
	b.orders = append(b.orders, Order{
		Session: e.Session, Run: r.Run, Spec: j.spec.Spec, Checkpoint: t.checkpoint, Need: step.Need, BestEffort: j.spec.BestEffort,
	})
}

// Tick does what is due: runs of lost endpoints end, held jobs are released,
// worthless work goes behind the rest, and runs that stand still are moved.
func (b *Board) Tick(now time.Time) {
	for _, e := range slices.Clone(b.order) {
		if !e.goneAt.IsZero() && !now.Before(e.goneAt) {
			b.drop(now, e)
		}
	}
	b.releaseHeld(now)
	b.dropStrangers(now)
	b.updateFastest(now)
	b.queue.demote(now, b.fastestRun)
	b.moveStalled(now)
	for _, e := range b.order {
		e.speed.recover(now.Sub(b.ticked))
	}
	b.ticked = now
}
