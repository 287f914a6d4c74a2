package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// Join takes a new session of an agent with all that its endpoint lists. The
// endpoint has seen the session's fencing token before it made the list, so no
// order of an earlier session can be carried out any more.
func (b *Board) Join(now time.Time, info Endpoint, running []ListedRun, ends []work.End) {
	e := &endpoint{
		Endpoint: info,
		free:     info.Capacity.Minus(info.Others),
		runs:     map[work.Run]*run{},
		unknown:  map[work.Run]*stranger{},
		speed:    b.speeds.of(info),
	}
	previous := b.sessionOf(info.VM)
	if previous != nil && previous.Instance == info.Instance {
		e.health = previous.health
		e.health.trial = false
	}
	for _, l := range running {
		b.adopt(now, e, previous, l)
	}
	for _, end := range ends {
		b.endedBefore(now, previous, end)
	}
	if previous != nil {
		b.drop(now, previous)
	}
	b.endpoints[info.Session] = e
	b.order = append(b.order, e)
	delete(b.expected, info.VM)
	b.sawRun(info.LastRun)
	b.releaseHeld(now)
}

// SetOthers notes the room that runs of other boards take of an endpoint.
func (b *Board) SetOthers(id SessionID, taken work.Resources) {
	if e := b.endpoints[id]; e != nil {
		e.free = e.free.Plus(e.Others).Minus(taken)
		e.Others = taken
	}
}

// endedBefore takes an end that is listed at the start of a session.
func (b *Board) endedBefore(now time.Time, previous *endpoint, end work.End) {
	if previous != nil && previous.runs[end.Run] != nil {
		r := previous.runs[end.Run]
		previous.remove(r)
		b.endTask(now, r, end)
		return
	}
	b.endedUnseen(now, end)
}

func (b *Board) sessionOf(vm string) *endpoint {
	for _, e := range b.order {
		if e.VM == vm {
			return e
		}
	}
	return nil
}

// adopt takes over a run that is listed by an endpoint. A run that no open job
// wants is stopped.
func (b *Board) adopt(now time.Time, e, previous *endpoint, l ListedRun) {
	if previous != nil {
		if r := previous.runs[l.Run]; r != nil {
			delete(previous.runs, l.Run)
			r.at = e
			e.add(r)
			if r.stopping {
				b.orders = append(b.orders, Order{Session: e.Session, Run: r.Run, Stop: true})
			}
			return
		}
	}
	j := b.jobs[l.Task.Job]
	if j == nil {
		e.unknown[l.Run] = &stranger{listed: l, since: now}
		return
	}
	t := j.task(l.Task)
	if t == nil || t.phase == placed || t.phase == ended {
		b.stopUnknown(now, e, l)
		return
	}
	if t.phase == waiting {
		j.unqueue(b, l.Task)
	}
	t.phase = placed
	b.sawRun(l.Run.Run)
	t.lastRun = max(t.lastRun, l.Run.Run)
	t.checkpoint = l.Checkpoint
	b.begin(j)
	step := j.spec.Steps[l.Task.Step]
	r := &run{Run: l.Run, job: j, need: step.Need, at: e, since: now, expected: e.expect(step), percent: l.Percent}
	e.add(r)
	j.noteOrder(now, r)
}

// unqueue takes a waiting task out of its group.
func (j *job) unqueue(b *Board, id work.TaskID) {
	g := j.groups[id.Step]
	g.tasks = slices.DeleteFunc(g.tasks, func(t int) bool { return t == id.Index })
	if len(g.tasks) == 0 {
		j.groups[id.Step] = nil
		b.queue.remove(g)
	}
}

func (b *Board) stopUnknown(now time.Time, e *endpoint, l ListedRun) {
	e.unknown[l.Run] = &stranger{listed: l, since: now, stopping: true}
	b.orders = append(b.orders, Order{Session: e.Session, Run: l.Run, Stop: true})
}

// sorted returns the runs in the order of their numbers, so that decisions don't
// depend on the order of a map.
func (e *endpoint) sorted() []*run {
	return slices.SortedFunc(maps.Values(e.runs), func(a, b *run) int { return cmp.Compare(a.Run.Run, b.Run.Run) })
}

// runsOf returns the runs of a job in the order of their numbers. Most endpoints
// have none, and most jobs end with none.
func (e *endpoint) runsOf(id work.JobID) []*run {
	var list []*run
	for _, r := range e.runs {
		if r.Task.Job == id {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *run) int { return cmp.Compare(a.Run.Run, b.Run.Run) })
	return list
}

// strangers returns the runs of no known job in the order of their numbers.
func (e *endpoint) strangers() []*stranger {
	return slices.SortedFunc(maps.Values(e.unknown), func(a, b *stranger) int {
		return cmp.Compare(a.listed.Run.Run, b.listed.Run.Run)
	})
}

func (e *endpoint) add(r *run) {
	e.runs[r.Run] = r
	e.free = e.free.Minus(r.need)
}

func (e *endpoint) remove(r *run) {
	delete(e.runs, r.Run)
	e.free = e.free.Plus(r.need)
}

// drop forgets a session whose runs can't exist any more.
func (b *Board) drop(now time.Time, e *endpoint) {
	for _, r := range e.sorted() {
		e.remove(r)
		b.requeue(now, r, true)
	}
	delete(b.endpoints, e.Session)
	b.order = slices.DeleteFunc(b.order, func(o *endpoint) bool { return o == e })
}

// Lost notes that the session's agent can't be reached. Its runs may go on
// until goneAt.
func (b *Board) Lost(id SessionID, goneAt time.Time) {
	if e := b.endpoints[id]; e != nil {
		e.goneAt = goneAt
	}
}

// Leave forgets a session whose endpoint is known to have ended.
func (b *Board) Leave(now time.Time, id SessionID) {
	if e := b.endpoints[id]; e != nil {
		b.drop(now, e)
	}
}

// SetReach notes whether an endpoint answers its agent.
func (b *Board) SetReach(id SessionID, reachable bool) {
	if e := b.endpoints[id]; e != nil {
		e.unreachable = !reachable
	}
}

// Vanished notes that runs are neither listed as running nor as ended, so that
// they never began or are long gone.
func (b *Board) Vanished(now time.Time, id SessionID, runs []work.Run) {
	for _, r := range runs {
		b.Ended(now, id, work.End{Run: r, How: work.Vanished})
	}
}

// SetDraining notes that the endpoint takes no more work.
func (b *Board) SetDraining(id SessionID) {
	if e := b.endpoints[id]; e != nil {
		e.Draining = true
	}
}

// Ended notes the end of a run. It tells whether the end must be recorded
// before the endpoint forgets it.
func (b *Board) Ended(now time.Time, id SessionID, end work.End) bool {
	if j := b.jobs[end.Task.Job]; j != nil && j.spec.BestEffort {
		b.ended(now, id, end)
		return false
	}
	b.ended(now, id, end)
	return end.How.Durable()
}

func (b *Board) ended(now time.Time, id SessionID, end work.End) {
	e := b.endpoints[id]
	if e == nil {
		return
	}
	r := e.runs[end.Run]
	if r == nil {
		delete(e.unknown, end.Run)
		b.endedUnseen(now, end)
		return
	}
	e.remove(r)
	e.learn(now, r, end.How)
	b.endTask(now, r, end)
}

// endedUnseen takes the end of a run that an earlier leader started.
func (b *Board) endedUnseen(now time.Time, end work.End) {
	j := b.jobs[end.Task.Job]
	if j == nil {
		b.keepLate(now, end)
		return
	}
	t := j.task(end.Task)
	if t == nil || t.phase == ended {
		return
	}
	b.begin(j)
	switch {
	case end.How == work.Done:
		b.markDone(j, t, end.Task)
	case end.How == work.Failed && end.Run.Run > t.lastRun:
		t.failures++
	}
	b.sawRun(end.Run.Run)
	t.lastRun = max(t.lastRun, end.Run.Run)
	b.settleIfOver(now, j, t, end.Task)
}

// markDone notes that a task is done, whatever the board thought of it.
func (b *Board) markDone(j *job, t *task, id work.TaskID) {
	switch t.phase {
	case waiting:
		j.unqueue(b, id)
	case placed:
		b.stopTask(j, id)
	case blocked, ended:
	}
	t.phase = ended
}

// stopTask stops the runs of a task that turned out to be done.
func (b *Board) stopTask(j *job, id work.TaskID) {
	for _, e := range b.order {
		for _, r := range e.runsOf(id.Job) {
			if r.job == j && r.Task == id {
				b.stop(r)
			}
		}
	}
}

func (b *Board) endTask(now time.Time, r *run, end work.End) {
	if b.jobs[r.Task.Job] != r.job {
		return
	}
	t := r.job.task(r.Task)
	r.job.noteEnd(now, r.Run, end.How.String())
	switch {
	case t.phase == ended:
		return
	case end.How == work.Done:
		t.phase = ended
		b.settleIfOver(now, r.job, t, r.Task)
		return
	case end.How == work.Failed:
		t.failures++
		t.failedOn = append(t.failedOn, r.at.VM)
		b.settleIfOver(now, r.job, t, r.Task)
	}
	if end.Checkpoint != "" {
		t.checkpoint = end.Checkpoint
	}
	b.requeue(now, r, false)
}

// requeue lets the task of a run that has ended wait again, unless its
// attempts are used up; then the record of its failure closes the job.
func (b *Board) requeue(now time.Time, r *run, endpointLost bool) {
	if b.jobs[r.Task.Job] != r.job {
		return
	}
	t := r.job.task(r.Task)
	if t.phase == ended || t.failures >= r.job.spec.MaxAttempts {
		return
	}
	if endpointLost {
		r.job.noteEnd(now, r.Run, "endpoint lost")
		t.failedOn = append(t.failedOn, r.at.VM)
	}
	b.Stats.Requeues++
	b.enqueue(r.job, r.Task.Step, r.Task.Index)
}

// Refused notes that a start didn't happen and can't happen any more.
func (b *Board) Refused(now time.Time, id SessionID, rn work.Run, why Refusal) {
	e := b.endpoints[id]
	if e == nil {
		return
	}
	delete(e.unknown, rn)
	if e.runs[rn] == nil {
		return
	}
	b.Stats.Refusals++
	r := e.runs[rn]
	r.job.noteEnd(now, rn, "refused: "+why.String())
	e.remove(r)
	e.health.trial = false
	switch why {
	case RefusedRoom, RefusedLease:
		e.fullUntil = now.Add(refusedPause)
	case RefusedDraining:
		e.Draining = true
	case RefusedUnhealthy, RefusedInvalid:
		e.health.failed(now)
	case RefusedStale, RefusedUnanswered:
		// A lost answer says nothing of the endpoint's health.
	}
	b.requeue(now, r, false)
}

// Seen updates the progress of the runs that an endpoint listed at a time. Progress
// that is taken for newer than it is makes an endpoint look slow.
func (b *Board) Seen(listedAt time.Time, id SessionID, running []ListedRun) {
	e := b.endpoints[id]
	if e == nil {
		return
	}
	for _, l := range running {
		if r := e.runs[l.Run]; r != nil {
			r.listed(listedAt, l.Percent)
		}
	}
}
