package model

import (
	"github.com/cicadapulley/cicadapulley/core/dispatch"
)

// reservationsPerTask is the number of reservations that are placed for each
// task under late binding.
const reservationsPerTask = 2

// reserve places reservations for new tasks at random agents (batch sampling).
func (e *entry) reserve(tasks int) {
	if e.run.config.Strategy != dispatch.LateBinding {
		return
	}
	for range tasks * reservationsPerTask {
		a := e.run.agentList[e.run.sim.random.IntN(len(e.run.agentList))]
		e.run.metrics.messages++
		e.run.sim.after(e.run.config.Latency, func() { a.addReservation(e) })
	}
}

func (a *agent) addReservation(e *entry) {
	if a.fault == Silent {
		return
	}
	a.reservations = append(a.reservations, e)
	a.requestTasks()
}

// requestTasks asks the entries of the oldest reservations for a task while
// slots are free. Each slot is held until its entry answers.
func (a *agent) requestTasks() {
	for a.running < a.slots && len(a.reservations) > 0 && a.fault != Silent {
		e := a.reservations[0]
		a.reservations = a.reservations[1:]
		a.running++
		a.run.metrics.messages++
		a.run.sim.after(a.run.config.Latency, func() { e.assignToAgent(a) })
	}
}

// assignToAgent assigns the next task to an agent that has a free slot.
func (e *entry) assignToAgent(a *agent) {
	now := e.run.sim.now
	e.run.metrics.messages++
	e.scheduler.UpdateLoad(now, a.id, dispatch.Load{Slots: a.slots, Granted: len(e.inFlight[a.id]) + 1})
	as, ok := e.scheduler.Next(now)
	if !ok {
		e.scheduler.UpdateLoad(now, a.id, dispatch.Load{Slots: a.slots, Granted: 0})
		// The reservation, the request and this answer were wasted.
		e.run.metrics.wastedMessages += 3
		e.run.sim.after(e.run.config.Latency, a.releaseSlot)
		return
	}
	queued := e.takeQueued(as.Item.ID)
	c := &call{assignment: as, request: queued.request, work: queued.work}
	target := e.run.agents[as.Endpoint]
	e.inFlight[target.id][c] = true
	e.run.metrics.startsSent++
	e.run.sim.after(e.run.config.Latency, func() { target.executeReserved(e, c) })
}

// releaseSlot frees the slot of a request that got no task.
func (a *agent) releaseSlot() {
	a.running--
	a.requestTasks()
}

// executeReserved runs a task on the slot that its request holds.
func (a *agent) executeReserved(e *entry, c *call) {
	if a.fault == Silent {
		return
	}
	a.divider.Begin(e.id, 0, a.run.sim.now)
	a.execute(e, c)
}
