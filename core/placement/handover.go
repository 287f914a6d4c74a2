package placement

import (
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// sharedRuns separates the run numbers of shared boards from those that the
// leader of the same term gave.
const sharedRunOffset = runsPerTerm / 2

// NewSharedBoard returns the view of an entry that places its own jobs while
// there is no leader: other boards use the same endpoints. term is the last one
// known, and expected are the VMs whose endpoints may run tasks of its leader
// until heldUntil.
func NewSharedPlanner(term uint64, heldUntil time.Time, awaitedVMs []string) *Planner {
	p := NewPlanner(term, heldUntil, awaitedVMs)
	p.lastRun += sharedRunOffset
	p.shared = true
	return p
}

// Earlier is what is known of a job that was on another board before.
type PriorState struct {
	// Offered tells that a leader of an earlier term may have started the job.
	SentToLeader bool `cbor:"Offered"`
	// Begun tells that a task of the job has started.
	Started bool `cbor:"Begun"`
	// Done lists tasks that have ended Done.
	Done []work.TaskID
	// Unseen lists the endpoints that may run tasks of the job beside those that
	// a leader of an earlier term started.
	Unconfirmed []UnconfirmedRuns `cbor:"Unseen"`
}

// MayHaveRun tells whether a task of the job may have started.
func (e PriorState) MayHaveRun() bool { return e.SentToLeader || e.Started }

// Unseen is an endpoint that may run tasks of a job. The list of a later session
// shows them.
type UnconfirmedRuns struct {
	VM string
	// After is the fencing token under which the tasks were started.
	Fence SessionID `cbor:"After"`
	// For is how long they may go on unseen.
	Remaining time.Duration `cbor:"For"`
}

// heldJob is a job whose tasks may run unseen.
type heldJob struct {
	*job
	// offered jobs may run wherever the earlier term's leader had endpoints.
	sentToLeader bool
	unconfirmed  []unconfirmedUntil
}

type unconfirmedUntil struct {
	vm    string
	fence SessionID
	until time.Time
}

// hold takes what is known of a job, and keeps its tasks out of the queue until
// no run of them can go on unseen.
func (p *Planner) hold(now time.Time, j *job, prior PriorState) {
	if prior.Started {
		p.markStarted(j)
	}
	for _, id := range prior.Done {
		if t := j.task(id); t != nil && !t.recorded {
			t.phase = ended
			t.recorded = true
			j.undone[id.Step]--
		}
	}
	h := &heldJob{job: j, sentToLeader: prior.SentToLeader}
	for _, u := range prior.Unconfirmed {
		h.unconfirmed = append(h.unconfirmed, unconfirmedUntil{vm: u.VM, fence: u.Fence, until: now.Add(u.Remaining)})
	}
	if p.allConfirmed(now, h) {
		return
	}
	j.held = true
	p.held = append(p.held, h)
}

// seenAll tells whether no task of the job can run unseen any more.
func (p *Planner) allConfirmed(now time.Time, h *heldJob) bool {
	if h.sentToLeader && p.awaitingEndpoints(now) {
		return false
	}
	for _, u := range h.unconfirmed {
		if now.Before(u.until) && !p.listedSince(u) {
			return false
		}
	}
	return true
}

// listedSince tells whether the endpoint has listed its runs since the unseen
// ones were started. A shared board begins empty, so all of its lists are newer.
func (p *Planner) listedSince(u unconfirmedUntil) bool {
	e := p.endpointOf(u.vm)
	return e != nil && (p.shared || e.Session > u.fence)
}

// releaseHeld queues the held jobs of which all runs are known.
func (p *Planner) releaseHeld(now time.Time) {
	if len(p.held) == 0 {
		return
	}
	var released []*heldJob
	p.held = slices.DeleteFunc(p.held, func(h *heldJob) bool {
		if !p.allConfirmed(now, h) {
			return false
		}
		released = append(released, h)
		return true
	})
	for _, h := range released {
		h.held = false
		p.release(h.job)
	}
}

// HandOver returns what the next holder of a job must know, and all open jobs
// leave with this board. Runs on endpoints in touch may go on for contactLife.
func (p *Planner) HandOver(now time.Time, id work.JobID, leaseTimeout time.Duration) PriorState {
	j := p.jobs[id]
	if j == nil {
		return PriorState{}
	}
	prior := PriorState{}
	for _, h := range p.held {
		if h.job == j {
			prior = h.remaining(now)
		}
	}
	prior.Started = j.started
	for s := range j.tasks {
		for t := range j.tasks[s] {
			if j.tasks[s][t].phase == ended {
				prior.Done = append(prior.Done, work.TaskID{Job: id, Step: s, Index: t})
			}
		}
	}
	for _, e := range p.order {
		if len(e.runsOf(id)) == 0 {
			continue
		}
		remaining := leaseTimeout
		if !e.leaseExpiry.IsZero() {
			remaining = max(e.leaseExpiry.Sub(now), 0)
		}
		prior.Unconfirmed = append(prior.Unconfirmed, UnconfirmedRuns{VM: e.VM, Fence: e.Fence, Remaining: remaining})
	}
	return prior
}

// remaining returns what the job waits for still.
func (h *heldJob) remaining(now time.Time) PriorState {
	prior := PriorState{SentToLeader: h.sentToLeader}
	for _, u := range h.unconfirmed {
		if now.Before(u.until) {
			prior.Unconfirmed = append(prior.Unconfirmed, UnconfirmedRuns{VM: u.vm, Fence: u.fence, Remaining: u.until.Sub(now)})
		}
	}
	return prior
}
