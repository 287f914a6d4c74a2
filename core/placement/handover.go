package placement

import (
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/lease"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// sharedRunOffset separates the run numbers of shared planners from those that the
// leader of the same term assigned.
const sharedRunOffset = runsPerTerm / 2

// NewSharedPlanner returns the planner of an entry that places its own jobs while
// there is no leader. Other planners use the same endpoints. term is the last known
// one, leaderLostAt is when the entry lost its leader, and awaitedVMs are the VMs whose
// endpoints may run tasks of that leader.
func NewSharedPlanner(term uint64, leaderLostAt time.Time, awaitedVMs []string) *Planner {
	p := NewPlanner(term, leaderLostAt.Add(lease.ExpiresAfter), awaitedVMs)
	p.heldUntil = leaderLostAt.Add(lease.ExpiresAfterLeaderLoss)
	p.lastRun += sharedRunOffset
	p.shared = true
	return p
}

// PriorState is what is known of a job before the planner receives it.
type PriorState struct {
	// Waited is how long the caller has waited so far. The job's objective counts from
	// then, so that jobs that have waited for a leader don't take the place of those
	// that can still be in time.
	Waited time.Duration `cbor:",omitempty"`
	// SentToLeader is set if a leader of an earlier term may have received the job
	// and started it.
	SentToLeader bool `cbor:"Offered"`
	// RunsEnded is set if a leader of an earlier term may have started the job, and its runs
	// have ended.
	RunsEnded bool `cbor:",omitempty"`
	// Started is set if a task of the job has started.
	Started bool `cbor:"Begun"`
	// Done lists the tasks that have ended Done.
	Done []work.TaskID
	// Unconfirmed lists the endpoints that may have runs of the job other than
	// those that a leader of an earlier term started.
	Unconfirmed []UnconfirmedRuns `cbor:"Unseen"`
}

// MayHaveRun reports whether a task of the job may have started.
func (s PriorState) MayHaveRun() bool { return s.SentToLeader || s.RunsEnded || s.Started }

// with adds what another request for the same job knows of it.
func (s PriorState) with(other PriorState) PriorState {
	s.SentToLeader = s.SentToLeader || other.SentToLeader
	s.RunsEnded = s.RunsEnded || other.RunsEnded
	s.Started = s.Started || other.Started
	s.Done = slices.Concat(s.Done, other.Done)
	s.Unconfirmed = slices.Concat(s.Unconfirmed, other.Unconfirmed)
	return s
}

// UnconfirmedRuns are runs of a job that may exist on an endpoint. A list of the
// endpoint's runs from a later session shows which ones do.
type UnconfirmedRuns struct {
	VM string
	// Fence is the fencing token under which the runs were started.
	Fence SessionID `cbor:"After"`
	// Remaining is how long they may go on without being listed.
	Remaining time.Duration `cbor:"For"`
}

// heldJob is a job that may have unconfirmed runs.
type heldJob struct {
	*job
	// sentToLeader is set if any endpoint of the earlier term's leader may run the
	// job.
	sentToLeader bool
	unconfirmed  []unconfirmedUntil
}

type unconfirmedUntil struct {
	vm    string
	fence SessionID
	until time.Time
}

// hold applies the prior state of a job, and keeps its tasks out of the queue while
// it may have unconfirmed runs.
func (p *Planner) hold(now time.Time, j *job, prior PriorState) {
	if prior.Started {
		p.markBegun(j)
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

// allConfirmed reports whether the job can have no unconfirmed run.
func (p *Planner) allConfirmed(now time.Time, h *heldJob) bool {
	if h.sentToLeader && len(p.awaitedVMs) > 0 && now.Before(p.heldUntil) {
		return false
	}
	for _, u := range h.unconfirmed {
		if now.Before(u.until) && !p.listedSince(u) {
			return false
		}
	}
	return true
}

// listedSince reports whether the endpoint has listed its runs since the unconfirmed
// ones were started. A shared planner begins empty, so all of its lists are newer.
func (p *Planner) listedSince(u unconfirmedUntil) bool {
	e := p.byVM[u.vm]
	return e != nil && (p.shared || e.Session > u.fence)
}

// releaseHeld releases the held jobs that can have no unconfirmed run.
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

// HandOver returns the state of a job for the planner that takes it over. The caller
// hands over all open jobs and then discards this planner. Runs on connected
// endpoints may go on for leaseTimeout.
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
	prior.RunsEnded = j.mayHaveRun && !prior.SentToLeader
	for s := range j.tasks {
		for t := range j.tasks[s] {
			if j.tasks[s][t].phase == ended {
				prior.Done = append(prior.Done, work.TaskID{Job: id, Step: s, Index: t})
			}
		}
	}
	listed := map[*endpoint]bool{}
	for _, r := range p.runsOf(id) {
		e := r.endpoint
		if listed[e] {
			continue
		}
		listed[e] = true
		remaining := leaseTimeout
		if !e.leaseExpiry.IsZero() {
			remaining = max(e.leaseExpiry.Sub(now), 0)
		}
		prior.Unconfirmed = append(prior.Unconfirmed, UnconfirmedRuns{VM: e.VM, Fence: e.Fence, Remaining: remaining})
	}
	return prior
}

// remaining returns what the job is still held for.
func (h *heldJob) remaining(now time.Time) PriorState {
	prior := PriorState{SentToLeader: h.sentToLeader}
	for _, u := range h.unconfirmed {
		if now.Before(u.until) {
			prior.Unconfirmed = append(prior.Unconfirmed, UnconfirmedRuns{VM: u.vm, Fence: u.fence, Remaining: u.until.Sub(now)})
		}
	}
	return prior
}
