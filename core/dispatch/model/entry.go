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

// entry is a simulated entry: its scheduler and its requests.
type entry struct {
	run       *run
	id        string
	scheduler *dispatch.Scheduler
	nextItem  uint64
	// queued holds the request and the work of each queued item, by item ID.
	queued map[uint64]*call
	// inFlight holds the calls in flight at each agent, by agent ID.
	inFlight map[string]map[*call]bool
	wakeAt   time.Time
}

// receive admits a request and queues its tasks.
func (e *entry) receive(r *request) {
	m := e.run.metrics
	m.recordArrival(r)
	now := e.run.sim.now
	deadline := now.Add(r.spec.deadline)
	kinds := []dispatch.KindCount{{Kind: r.spec.kind.name, Count: len(r.work), Declared: r.spec.kind.declared}}
	if err := e.scheduler.Admit(now, r.caller, service, kinds, deadline, 0); err != nil {
		m.recordRefusal(r)
		return
	}
	items := make([]dispatch.Item, 0, len(r.work))
	for i, work := range r.work {
		e.nextItem++
		e.queued[e.nextItem] = &call{request: r, work: work}
		items = append(items, dispatch.Item{
			ID: e.nextItem, Job: r.key(), Task: i, Caller: r.caller, Service: service, Kind: r.spec.kind.name,
			Repeatable: r.spec.repeatable, Enqueued: now, Deadline: deadline,
		})
	}
	e.scheduler.Enqueue(now, items)
	e.reserve(len(items))
	e.processQueue()
}

// processQueue fails the requests of expired items and starts all tasks that can
// start now.
func (e *entry) processQueue() {
	now := e.run.sim.now
	for _, item := range e.scheduler.TakeExpired(now) {
		e.failRequest(e.takeQueued(item.ID).request, false)
	}
	for a, ok := e.scheduler.Next(now); ok; a, ok = e.scheduler.Next(now) {
		e.start(a)
	}
	e.scheduleWake()
}

// scheduleWake schedules processQueue for the scheduler's next wake-up.
func (e *entry) scheduleWake() {
	at := e.scheduler.NextWake(e.run.sim.now)
	if at.IsZero() || (e.wakeAt.After(e.run.sim.now) && !at.Before(e.wakeAt)) {
		return
	}
	e.wakeAt = at
	e.run.sim.after(max(at.Sub(e.run.sim.now), 0), e.processQueue)
}

func (e *entry) takeQueued(id uint64) *call {
	c := e.queued[id]
	delete(e.queued, id)
	return c
}

// start sends the Run message of an assignment.
func (e *entry) start(as dispatch.Assignment) {
	queued := e.takeQueued(as.Item.ID)
	c := &call{assignment: as, request: queued.request, work: queued.work, backlog: e.scheduler.Queued()}
	a := e.run.agents[as.Endpoint]
	e.inFlight[a.id][c] = true
	m := e.run.metrics
	m.messages++
	m.startsSent++
	if a.fault == Silent {
		e.run.sim.after(silenceTimeout, func() { e.reportLost(a, c) })
		return
	}
	e.run.sim.after(e.run.config.Latency, func() { a.receive(e, c) })
}

// reportLost ends a call whose connection is silent with CodeEndpointLost.
func (e *entry) reportLost(a *agent, c *call) {
	e.finish(a, c, dispatch.Report{Verdict: verdict.MayHaveRun, Code: verdict.CodeEndpointLost})
}

// reportAllLost ends all calls in flight at an agent with CodeEndpointLost.
func (e *entry) reportAllLost(a *agent) {
	calls := slices.SortedFunc(maps.Keys(e.inFlight[a.id]), func(x, y *call) int {
		return cmp.Compare(x.assignment.Item.ID, y.assignment.Item.ID)
	})
	for _, c := range calls {
		e.reportLost(a, c)
	}
}

// finish records the end of a call. A second end of the same call is ignored.
func (e *entry) finish(a *agent, c *call, r dispatch.Report) {
	if c.ended {
		return
	}
	c.ended = true
	delete(e.inFlight[a.id], c)
	e.scheduler.Done(e.run.sim.now, c.assignment, r)
	e.handleReport(a, c, r)
	e.processQueue()
}

// handleReport completes, retries or fails the task.
func (e *entry) handleReport(a *agent, c *call, r dispatch.Report) {
	m := e.run.metrics
	item := c.assignment.Item
	switch {
	case r.OK:
		m.recordRun(c, a)
		e.completeTask(c.request, a)
	case r.Verdict == verdict.NotRun:
		m.wastedMessages += 2
		m.refusedStarts++
		if c.request.ended {
			return
		}
		if r.Code != verdict.CodeEndpointBusy {
			item.Avoid = append(item.Avoid, a.id)
		}
		e.queued[item.ID] = c
		if !e.scheduler.Requeue(e.run.sim.now, item) {
			e.takeQueued(item.ID)
			e.failRequest(c.request, true)
			return
		}
		e.reserve(1)
	case r.Verdict == verdict.MayHaveRun && c.request.spec.repeatable && !c.request.ended:
		e.retry(c, a)
	default:
		e.failRequest(c.request, true)
	}
}

// retry queues a repeatable task again after its answer was lost. It fails the
// request if the retry budget is spent.
func (e *entry) retry(c *call, a *agent) {
	item := c.assignment.Item
	item.Avoid = append(item.Avoid, a.id)
	e.queued[item.ID] = c
	if e.scheduler.Requeue(e.run.sim.now, item) {
		e.reserve(1)
		return
	}
	e.takeQueued(item.ID)
	e.failRequest(c.request, true)
}

func (e *entry) completeTask(r *request, a *agent) {
	if a.fault != Healthy || a.speed < 0.85 || a.speed > 1.15 {
		r.atypicalSpeed = true
	}
	r.remaining--
	if r.remaining > 0 || r.ended {
		return
	}
	r.ended = true
	e.run.metrics.recordCompletion(r)
}

// failRequest ends a request and removes its queued tasks.
func (e *entry) failRequest(r *request, ran bool) {
	if r.ended {
		return
	}
	r.ended = true
	e.run.metrics.recordFailure(r, ran)
	for _, item := range e.scheduler.RemoveJob(r.key()) {
		e.takeQueued(item.ID)
	}
}
