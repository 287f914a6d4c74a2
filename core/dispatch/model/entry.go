package model

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/dispatch"
	"github.com/cicadapulley/cicadapulley/core/verdict"
)

// service is the name of the only service in the model.
const service = "model"

// entry is an entry daemon: its scheduler and its requests.
type entry struct {
	run       *run
	id        string
	scheduler *dispatch.Scheduler
	nextItem  uint64
	// tasks finds the request and the work of a queued item.
	tasks map[uint64]*call
	// atAgent lists the calls that are in flight at each agent.
	atAgent map[string]map[*call]bool
	wake    time.Time
}

// receive admits a request and queues its tasks.
func (e *entry) receive(r *request) {
	m := e.run.measure
	m.arrived(r)
	now := e.run.sim.now
	deadline := now.Add(r.spec.deadline)
	kinds := []dispatch.KindCount{{Kind: r.spec.kind.name, Count: len(r.work), Declared: r.spec.kind.declared}}
	if err := e.scheduler.Admit(now, r.caller, service, kinds, deadline, 0); err != nil {
		m.refused(r)
		return
	}
	items := make([]dispatch.Item, 0, len(r.work))
	for i, work := range r.work {
		e.nextItem++
		e.tasks[e.nextItem] = &call{request: r, work: work}
		items = append(items, dispatch.Item{
			ID: e.nextItem, Job: r.key(), Task: i, Caller: r.caller, Service: service, Kind: r.spec.kind.name,
			Repeatable: r.spec.repeatable, Enqueued: now, Deadline: deadline,
		})
	}
	e.scheduler.Enqueue(now, items)
	e.reserve(len(items))
	e.pump()
}

// pump expires and starts what is due.
func (e *entry) pump() {
	now := e.run.sim.now
	for _, item := range e.scheduler.TakeExpired(now) {
		e.fail(e.take(item.ID).request, false)
	}
	for a, ok := e.scheduler.Next(now); ok; a, ok = e.scheduler.Next(now) {
		e.start(a)
	}
	e.schedule()
}

// schedule wakes the entry when its scheduler wants it.
func (e *entry) schedule() {
	at := e.scheduler.NextWake(e.run.sim.now)
	if at.IsZero() || (e.wake.After(e.run.sim.now) && !at.Before(e.wake)) {
		return
	}
	e.wake = at
	e.run.sim.after(max(at.Sub(e.run.sim.now), 0), e.pump)
}

func (e *entry) take(id uint64) *call {
	c := e.tasks[id]
	delete(e.tasks, id)
	return c
}

// start sends a Run message.
func (e *entry) start(as dispatch.Assignment) {
	queued := e.take(as.Item.ID)
	c := &call{assignment: as, request: queued.request, work: queued.work, backlog: e.scheduler.Queued()}
	a := e.run.agents[as.Endpoint]
	e.atAgent[a.id][c] = true
	m := e.run.measure
	m.messages++
	m.sent++
	if a.fault == Silent {
		e.run.sim.after(silenceTimeout, func() { e.lost(a, c) })
		return
	}
	e.run.sim.after(e.run.config.Latency, func() { a.receive(e, c) })
}

// lost reports a call whose connection went silent.
func (e *entry) lost(a *agent, c *call) {
	e.finish(a, c, dispatch.Report{Verdict: verdict.MayHaveRun, Code: verdict.CodeEndpointLost})
}

// loseAll reports everything in flight at an agent as lost.
func (e *entry) loseAll(a *agent) {
	calls := slices.SortedFunc(maps.Keys(e.atAgent[a.id]), func(x, y *call) int {
		return cmp.Compare(x.assignment.Item.ID, y.assignment.Item.ID)
	})
	for _, c := range calls {
		e.lost(a, c)
	}
}

// finish takes the end of a call. A late second end is ignored.
func (e *entry) finish(a *agent, c *call, r dispatch.Report) {
	if c.ended {
		return
	}
	c.ended = true
	delete(e.atAgent[a.id], c)
	e.scheduler.Done(e.run.sim.now, c.assignment, r)
	e.settle(a, c, r)
	e.pump()
}

// settle completes, retries or fails the task.
func (e *entry) settle(a *agent, c *call, r dispatch.Report) {
	m := e.run.measure
	item := c.assignment.Item
	switch {
	case r.OK:
		m.ran(c, a)
		e.complete(c.request, a)
	case r.Verdict == verdict.NotRun:
		m.wasted += 2
		m.refusedStarts++
		if c.request.ended {
			return
		}
		if r.Code != verdict.CodeEndpointBusy {
			item.Avoid = append(item.Avoid, a.id)
		}
		e.tasks[item.ID] = c
		if !e.scheduler.Requeue(e.run.sim.now, item) {
			e.take(item.ID)
			e.fail(c.request, true)
			return
		}
		e.reserve(1)
	case r.Verdict == verdict.MayHaveRun && c.request.spec.repeatable && !c.request.ended:
		e.retry(c, a)
	default:
		e.fail(c.request, true)
	}
}

// retry queues a repeatable task again after its answer was lost.
func (e *entry) retry(c *call, a *agent) {
	item := c.assignment.Item
	item.Avoid = append(item.Avoid, a.id)
	e.tasks[item.ID] = c
	if e.scheduler.Requeue(e.run.sim.now, item) {
		e.reserve(1)
		return
	}
	e.take(item.ID)
	e.fail(c.request, true)
}

func (e *entry) complete(r *request, a *agent) {
	if a.fault != Healthy || a.speed < 0.85 || a.speed > 1.15 {
		r.otherSpeed = true
	}
	r.left--
	if r.left > 0 || r.ended {
		return
	}
	r.ended = true
	e.run.measure.completed(r)
}

// fail ends a request and removes what it has queued.
func (e *entry) fail(r *request, ran bool) {
	if r.ended {
		return
	}
	r.ended = true
	e.run.measure.failed(r, ran)
	for _, item := range e.scheduler.RemoveJob(r.key()) {
		e.take(item.ID)
	}
}
