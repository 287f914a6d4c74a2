package model

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/dispatch"
	"github.com/cicadapulley/cicadapulley/core/slots"
	"github.com/cicadapulley/cicadapulley/core/verdict"
)

// Fault is an injected fault of an endpoint.
type Fault uint8

// Faults.
const (
	Healthy Fault = iota
	// FailsAll means that every task fails shortly after its start.
	FailsAll
	// Slow means that tasks take 10 times as long.
	Slow
	// Silent means that the connection delivers nothing in either direction.
	Silent
)

const (
	slowFactor = 10
	// failTime is how long a task runs on a failing endpoint.
	failTime = 5 * time.Millisecond
	// silenceTimeout is the time in which the connection's pings detect a silent
	// peer.
	silenceTimeout = time.Second
)

// agent is an agent with its endpoint.
type agent struct {
	run     *run
	id      string
	slots   int
	speed   float64
	fault   Fault
	running int
	divider *slots.Divider
	// reservations holds the entries that wait for a slot under late binding.
	reservations []*entry
}

// call is one Run message and its answer.
type call struct {
	assignment dispatch.Assignment
	request    *request
	work       float64
	backlog    int
	ended      bool
}

// receive runs a call, or refuses it if no slot is free.
func (a *agent) receive(e *entry, c *call) {
	if a.fault == Silent {
		return
	}
	now := a.run.sim.now
	if a.running >= a.slots {
		a.divider.Refused(e.id, c.backlog, now)
		a.answer(e, c, dispatch.Report{Verdict: verdict.NotRun, Code: verdict.CodeEndpointBusy})
		return
	}
	a.running++
	a.divider.Begin(e.id, c.backlog, now)
	a.execute(e, c)
}

// execute runs a call on a slot that is already taken.
func (a *agent) execute(e *entry, c *call) {
	runTime := a.runTime(c.work)
	fault := a.fault
	a.run.sim.after(runTime, func() {
		a.running--
		a.divider.End(e.id, a.run.sim.now)
		r := dispatch.Report{Verdict: verdict.Ran, OK: true, RunTime: runTime}
		if fault == FailsAll {
			r.OK = false
			r.Code = verdict.CodeEndpointFailed
		}
		a.answer(e, c, r)
		a.requestTasks()
	})
}

func (a *agent) runTime(work float64) time.Duration {
	if a.fault == FailsAll {
		return failTime
	}
	seconds := work / a.speed
	if a.fault == Slow {
		seconds *= slowFactor
	}
	return time.Duration(seconds * float64(time.Second))
}

// answer sends a report with the agent's load.
func (a *agent) answer(e *entry, c *call, r dispatch.Report) {
	if a.fault == Silent {
		return
	}
	r.Load = &dispatch.Load{
		Slots:   a.slots,
		Running: a.running,
		Granted: a.divider.Granted(e.id, a.run.sim.now),
	}
	if a.run.config.Strategy == dispatch.LateBinding {
		r.Load.Granted = 0
	}
	a.run.metrics.messages++
	a.run.sim.after(a.run.config.Latency, func() { e.finish(a, c, r) })
}
