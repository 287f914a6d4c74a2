package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// Join adds a new session of an agent with the runs and ends that its endpoint
// lists. The endpoint received the session's fencing token before it made the list,
// so it no longer executes orders of earlier sessions.
// A session older than the agent's latest is ignored: its list waited on a former connection, and what it
// lacks may have begun since.
func (p *Planner) Join(now time.Time, info Endpoint, running []ListedRun, ends []work.End) {
	if info.Session < p.lastSession[info.VM] {
		return
	}
	e := p.newEndpoint(info)
	previous := p.byVM[info.VM]
	if previous != nil && previous.Instance == info.Instance {
		e.health = previous.health
		e.health.trial = false
		if previous.ramp != nil && !e.drained {
			p.beginRamp(e, previous.ramp)
		}
	}
	for _, l := range running {
		p.adopt(now, e, previous, l)
	}
	for _, end := range ends {
		p.endedBeforeSession(now, previous, end)
	}
	if previous != nil {
		p.removeEndpoint(now, previous)
	}
	p.addEndpoint(now, e)
}

// JoinUnreachable adds an agent whose endpoint does not answer it, and which has not
// joined in this term. running has all runs that may exist there; they have ended by
// leaseExpiry. The endpoint gets no runs. Without it, the jobs of an earlier leader
// would be held because of one such endpoint, although the agent knows that it has
// none of their runs.
func (p *Planner) JoinUnreachable(now time.Time, info Endpoint, running []work.Run, ends []work.End, leaseExpiry time.Time) {
	if p.byVM[info.VM] != nil || info.Session < p.lastSession[info.VM] {
		return
	}
	e := p.newEndpoint(info)
	e.leaseExpiry = leaseExpiry
	for _, r := range running {
		p.adopt(now, e, nil, ListedRun{Run: r})
	}
	for _, end := range ends {
		p.endUntrackedRun(now, end)
	}
	p.addEndpoint(now, e)
}

func (p *Planner) newEndpoint(info Endpoint) *endpoint {
	return &endpoint{
		Endpoint: info,
		drained:  p.drains.Contains(info.DataCentre),
		free:     info.Capacity.Minus(info.UsedByOthers),
		runs:     map[work.Run]*run{},
		unknown:  map[work.Run]*unknownRun{},
		slowdown: p.slowdowns.forEndpoint(info),
		leaves:   map[*endpointIndex]int{},

		neighbours: p.newNeighbours(),
	}
}

// addEndpoint adds an endpoint whose runs are known, and releases the jobs that were
// held because of it.
func (p *Planner) addEndpoint(now time.Time, e *endpoint) {
	p.endpoints[e.Session] = e
	p.byVM[e.VM] = e
	p.lastSession[e.VM] = e.Session
	p.order = append(p.order, e)
	p.pools.add(e)
	delete(p.awaitedVMs, e.VM)
	p.observeRunNumber(e.LastRun)
	p.releaseHeld(now)
}

// SetUsedByOthers updates the resources that runs of other planners take of an
// endpoint.
func (p *Planner) SetUsedByOthers(id SessionID, taken work.Resources) {
	if e := p.endpoints[id]; e != nil {
		e.free = e.free.Plus(e.UsedByOthers).Minus(taken)
		e.UsedByOthers = taken
		p.pools.mark(e)
	}
}

// endedBeforeSession handles an end that is listed at the start of a session.
func (p *Planner) endedBeforeSession(now time.Time, previous *endpoint, end work.End) {
	if previous != nil && previous.runs[end.Run] != nil {
		r := previous.runs[end.Run]
		p.removeRun(r)
		p.endTrackedRun(now, r, end)
		return
	}
	p.endUntrackedRun(now, end)
}

// adopt takes over a run that an endpoint lists at the start of a session. A run
// of an open job is stopped if its task already has a run or is done; a run
// without an open job becomes an unknown run.
func (p *Planner) adopt(now time.Time, e, previous *endpoint, l ListedRun) {
	if previous != nil {
		if r := previous.runs[l.Run]; r != nil {
			p.removeRun(r)
			r.endpoint = e
			p.addRun(r)
			if r.stopping {
				p.orders = append(p.orders, Order{Session: e.Session, Run: r.Run, Stop: true})
			}
			return
		}
	}
	j := p.jobs[l.Task.Job]
	if j == nil {
		timeout := claimTimeout(l)
		if timeout == 0 && !p.shared {
			p.stopUnknownRun(e, l)
			return
		}
		p.addUnknown(&unknownRun{endpoint: e, listed: l, claimUntil: now.Add(timeout)})
		return
	}
	t := j.task(l.Task)
	if t == nil || t.phase == placed || t.phase == ended {
		p.stopUnknownRun(e, l)
		return
	}
	if t.phase == waiting {
		j.unqueue(p, l.Task)
	}
	p.trackRun(now, j, t, e, l)
}

// trackRun makes a run that an endpoint lists the current run of its task.
func (p *Planner) trackRun(now time.Time, j *job, t *task, e *endpoint, l ListedRun) {
	t.phase = placed
	p.observeRunNumber(l.Run.Number)
	t.lastRun = max(t.lastRun, l.Run.Number)
	t.checkpoint = l.Checkpoint
	p.markBegun(j)
	step := &j.spec.Steps[l.Task.Step]
	r := &run{Run: l.Run, job: j, need: step.Need, endpoint: e, since: now, adopted: true, expected: e.expectedRunTime(step), percent: l.Percent}
	p.addRun(r)
	j.recordOrder(now, r)
}

// unqueue removes a waiting task from its group.
func (j *job) unqueue(p *Planner, id work.TaskID) {
	g := j.groups[id.Step]
	p.queue.removeTask(g, id.Index)
	if len(g.tasks) == 0 {
		j.groups[id.Step] = nil
		p.queue.remove(g)
	}
}

func (p *Planner) stopUnknownRun(e *endpoint, l ListedRun) {
	p.addUnknown(&unknownRun{endpoint: e, listed: l, stopping: true})
	p.orders = append(p.orders, Order{Session: e.Session, Run: l.Run, Stop: true})
}

// sortedRuns returns the runs in the order of their numbers, so that decisions do
// not depend on map order.
func (e *endpoint) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(e.runs), compareRuns)
}

func compareRuns(a, b *run) int { return cmp.Compare(a.Run.Number, b.Run.Number) }

// sortedUnknown returns the unknown runs in the order of their numbers.
func (e *endpoint) sortedUnknown() []*unknownRun {
	return slices.SortedFunc(maps.Values(e.unknown), compareUnknown)
}

func compareUnknown(a, b *unknownRun) int {
	return cmp.Compare(a.listed.Run.Number, b.listed.Run.Number)
}

// addRun adds a run to its endpoint.
func (p *Planner) addRun(r *run) {
	r.endpoint.runs[r.Run] = r
	r.countNeighbour(true)
	r.countInShare()
	r.endpoint.free = r.endpoint.free.Minus(r.need)
	p.runs[r.Task.Job] = append(p.runs[r.Task.Job], r)
	p.pools.mark(r.endpoint)
}

// removeRun removes a run from its endpoint.
func (p *Planner) removeRun(r *run) {
	delete(r.endpoint.runs, r.Run)
	r.countNeighbour(false)
	r.removeFromShare()
	r.endpoint.free = r.endpoint.free.Plus(r.need)
	p.runs[r.Task.Job] = deleteElement(p.runs[r.Task.Job], r)
	if len(p.runs[r.Task.Job]) == 0 {
		delete(p.runs, r.Task.Job)
	}
	p.pools.mark(r.endpoint)
}

// addUnknown adds an unknown run to its endpoint.
func (p *Planner) addUnknown(u *unknownRun) {
	id := u.listed.Task.Job
	p.removeUnknown(u.endpoint, u.listed.Run)
	u.endpoint.unknown[u.listed.Run] = u
	p.unknown[id] = append(p.unknown[id], u)
	p.pools.mark(u.endpoint)
}

// removeUnknown removes a run from the unknown ones of an endpoint, if it is among
// them.
func (p *Planner) removeUnknown(e *endpoint, r work.Run) {
	u := e.unknown[r]
	if u == nil {
		return
	}
	delete(e.unknown, r)
	p.unknown[r.Task.Job] = deleteElement(p.unknown[r.Task.Job], u)
	if len(p.unknown[r.Task.Job]) == 0 {
		delete(p.unknown, r.Task.Job)
	}
	p.pools.mark(e)
}

// deleteElement removes an element of a list, whose order changes.
func deleteElement[E comparable](list []E, element E) []E {
	index := slices.Index(list, element)
	if index < 0 {
		return list
	}
	last := len(list) - 1
	list[index] = list[last]
	return slices.Delete(list, last, last+1)
}

// removeEndpoint removes a session whose runs can no longer exist, and queues their
// tasks again.
func (p *Planner) removeEndpoint(now time.Time, e *endpoint) {
	for _, r := range e.sortedRuns() {
		p.removeRun(r)
		p.requeue(now, r, true)
	}
	for r := range e.unknown {
		p.removeUnknown(e, r)
	}
	p.endRamp(e)
	p.pools.remove(e)
	delete(p.endpoints, e.Session)
	if p.byVM[e.VM] == e {
		delete(p.byVM, e.VM)
	}
	p.order = slices.DeleteFunc(p.order, func(o *endpoint) bool { return o == e })
}

// Lost records that the session's agent cannot be reached. Its runs may go on until
// leaseExpiry.
func (p *Planner) Lost(id SessionID, leaseExpiry time.Time) {
	if e := p.endpoints[id]; e != nil {
		e.leaseExpiry = leaseExpiry
		p.pools.mark(e)
	}
}

// Leave removes a session whose endpoint has ended.
func (p *Planner) Leave(now time.Time, id SessionID) {
	if e := p.endpoints[id]; e != nil {
		p.removeEndpoint(now, e)
	}
}

// ReachesEndpoints reports whether any agent with an endpoint is connected.
func (p *Planner) ReachesEndpoints() bool {
	return slices.ContainsFunc(p.order, func(e *endpoint) bool { return e.leaseExpiry.IsZero() })
}

// SetReachable records whether an endpoint answers its agent.
func (p *Planner) SetReachable(id SessionID, reachable bool) {
	if e := p.endpoints[id]; e != nil {
		e.unreachable = !reachable
		p.pools.mark(e)
	}
}

// Vanished ends runs with the reason work.Lost. The endpoint lists them neither as
// running nor as ended: they never began, or their ends are no longer listed.
func (p *Planner) Vanished(now time.Time, id SessionID, runs []work.Run) {
	for _, r := range runs {
		p.Ended(now, id, work.End{Run: r, Reason: work.Lost})
	}
}

// SetDraining records that the endpoint accepts no more runs.
func (p *Planner) SetDraining(id SessionID) {
	if e := p.endpoints[id]; e != nil {
		e.Draining = true
		p.pools.mark(e)
	}
}

// Ended handles the end of a run. It reports whether the end must be recorded before
// the endpoint may drop it.
func (p *Planner) Ended(now time.Time, id SessionID, end work.End) bool {
	if j := p.jobs[end.Task.Job]; j != nil && j.spec.BestEffort {
		p.ended(now, id, end)
		return false
	}
	p.ended(now, id, end)
	return end.Reason.Durable()
}

func (p *Planner) ended(now time.Time, id SessionID, end work.End) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	r := e.runs[end.Run]
	if r == nil {
		p.removeUnknown(e, end.Run)
		p.endUntrackedRun(now, end)
		return
	}
	p.removeRun(r)
	e.observeEnd(now, r, end.Reason)
	p.observeInterference(now, r, end.Reason)
	p.endTrackedRun(now, r, end)
}

// endUntrackedRun handles the end of a run that the planner does not track, such as
// one that an earlier leader started.
func (p *Planner) endUntrackedRun(now time.Time, end work.End) {
	j := p.jobs[end.Task.Job]
	if j == nil {
		p.keepUnclaimedEnd(now, end)
		return
	}
	t := j.task(end.Task)
	if t == nil || t.phase == ended {
		return
	}
	p.markBegun(j)
	switch {
	case end.Reason == work.Done:
		p.markDone(j, t, end.Task)
	case end.Reason == work.Failed:
		t.countFailure(end.Run.Number)
		if t.phase == waiting && t.failures >= j.spec.MaxAttempts {
			// The record of the failure closes the job; no run may start before that.
			j.unqueue(p, end.Task)
			t.phase = blocked
		}
	}
	p.observeRunNumber(end.Run.Number)
	t.lastRun = max(t.lastRun, end.Run.Number)
	p.finishIfFinal(now, j, t, end.Task)
}

// markDone marks a task as done in whichever phase it is: it leaves the queue, and
// its runs are stopped.
func (p *Planner) markDone(j *job, t *task, id work.TaskID) {
	switch t.phase {
	case waiting:
		j.unqueue(p, id)
	case placed:
		p.stopTask(j, id)
	case blocked, ended:
	}
	t.phase = ended
}

// stopTask stops the runs of a task that is already done.
func (p *Planner) stopTask(j *job, id work.TaskID) {
	for _, r := range p.runsOf(id.Job) {
		if r.job == j && r.Task == id {
			p.stop(r)
		}
	}
}

func (p *Planner) endTrackedRun(now time.Time, r *run, end work.End) {
	if p.jobs[r.Task.Job] != r.job {
		return
	}
	t := r.job.task(r.Task)
	r.job.recordEnd(now, r.Run, end.Reason.String())
	if end.Reason != work.Lost {
		p.markBegun(r.job)
	}
	switch {
	case t.phase == ended:
		return
	case end.Reason == work.Done:
		t.phase = ended
		p.finishIfFinal(now, r.job, t, r.Task)
		return
	case end.Reason == work.Failed:
		t.countFailure(end.Run.Number)
		t.failedOn = append(t.failedOn, r.endpoint.VM)
		p.finishIfFinal(now, r.job, t, r.Task)
	}
	if end.Checkpoint != "" {
		t.checkpoint = end.Checkpoint
	}
	p.requeue(now, r, false)
}

// requeue puts the task of an ended run back in the queue, unless its attempts are
// used up; then the record of its failure closes the job.
func (p *Planner) requeue(now time.Time, r *run, endpointLost bool) {
	if p.jobs[r.Task.Job] != r.job {
		return
	}
	p.restorePending(r.job)
	t := r.job.task(r.Task)
	if t.phase == ended || t.failures >= r.job.spec.MaxAttempts {
		return
	}
	if endpointLost {
		r.job.recordEnd(now, r.Run, "endpoint lost")
		t.failedOn = append(t.failedOn, r.endpoint.VM)
	}
	if p.trackStoppingRun(now, r.job, t, r.Task) {
		return
	}
	p.Stats.Requeues++
	if r.job.held {
		// An end of an earlier run may not be known yet; release queues the task.
		t.phase = blocked
		return
	}
	p.enqueue(r.job, r.Task.Step, r.Task.Index)
}

// trackStoppingRun makes an unknown run of a task that is being stopped the task's
// current run, so that the task waits for its end. It returns false if there is none.
func (p *Planner) trackStoppingRun(now time.Time, j *job, t *task, id work.TaskID) bool {
	if len(p.unknown[id.Job]) == 0 {
		return false
	}
	for _, u := range slices.SortedFunc(slices.Values(p.unknown[id.Job]), compareUnknown) {
		if u.listed.Task != id {
			continue
		}
		p.removeUnknown(u.endpoint, u.listed.Run)
		p.trackRun(now, j, t, u.endpoint, u.listed)
		u.endpoint.runs[u.listed.Run].stopping = u.stopping
		return true
	}
	return false
}

// Refused handles the refusal of a start. The run has not begun and cannot begin
// any more.
func (p *Planner) Refused(now time.Time, id SessionID, rn work.Run, reason Refusal) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	p.removeUnknown(e, rn)
	if e.runs[rn] == nil {
		return
	}
	p.Stats.Refusals++
	r := e.runs[rn]
	r.job.recordEnd(now, rn, "refused: "+reason.String())
	p.removeRun(r)
	e.health.trial = false
	switch reason {
	case RefusedCapacity, RefusedLease, RefusedDrained:
		// An agent may know of a drain before this planner, or of its withdrawal after it.
		e.fullUntil = now.Add(refusedBackoff)
	case RefusedDraining:
		e.Draining = true
	case RefusedUnhealthy:
		e.health.refused(now, r.since)
	case RefusedInvalid:
		if r.job.outcomes[rn.Task.Step].blames(e.VM) {
			e.health.refused(now, r.since)
		}
	case RefusedStale, RefusedUnanswered:
		// Neither an outdated order nor a lost answer indicates an unhealthy endpoint.
	}
	p.requeue(now, r, false)
}

// UpdateProgress records the progress of the runs that an endpoint listed at
// listedAt. A listedAt that is too late makes the endpoint look slow.
func (p *Planner) UpdateProgress(listedAt time.Time, id SessionID, running []ListedRun) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	for _, l := range running {
		if r := e.runs[l.Run]; r != nil {
			r.recordProgress(listedAt, l.Percent)
			r.job.begun = true
		}
	}
}
