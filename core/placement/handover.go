package placement

import (
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// sharedRuns separates the run numbers of shared boards from those that the
// leader of the same term gave.
const sharedRuns = runsPerTerm / 2

// NewSharedBoard returns the view of an entry that places its own jobs while
// there is no leader: other boards use the same endpoints. term is the last one
// known, and expected are the VMs whose endpoints may run tasks of its leader
// until heldUntil.
func NewSharedBoard(term uint64, heldUntil time.Time, expected []string) *Board {
	b := NewBoard(term, heldUntil, expected)
	b.lastRun += sharedRuns
	b.shared = true
	return b
}

// Earlier is what is known of a job that was on another board before.
type Earlier struct {
	// Offered tells that a leader of an earlier term may have started the job.
	Offered bool
	// Begun tells that a task of the job has started.
	Begun bool
	// Done lists tasks that have ended Done.
	Done []work.TaskID
	// Unseen lists the endpoints that may run tasks of the job beside those that
	// a leader of an earlier term started.
	Unseen []Unseen
}

// MayHaveRun tells whether a task of the job may have started.
func (e Earlier) MayHaveRun() bool { return e.Offered || e.Begun }

// Unseen is an endpoint that may run tasks of a job. The list of a later session
// shows them.
type Unseen struct {
	VM string
	// After is the fencing token under which the tasks were started.
	After SessionID
	// For is how long they may go on unseen.
	For time.Duration
}

// heldJob is a job whose tasks may run unseen.
type heldJob struct {
	*job
	// offered jobs may run wherever the earlier term's leader had endpoints.
	offered bool
	unseen  []unseenUntil
}

type unseenUntil struct {
	vm    string
	after SessionID
	until time.Time
}

// hold takes what is known of a job, and keeps its tasks out of the queue until
// no run of them can go on unseen.
func (b *Board) hold(now time.Time, j *job, earlier Earlier) {
	if earlier.Begun {
		b.begin(j)
	}
	for _, id := range earlier.Done {
		if t := j.task(id); t != nil && !t.recorded {
			t.phase = ended
			t.recorded = true
			j.undone[id.Step]--
		}
	}
	h := &heldJob{job: j, offered: earlier.Offered}
	for _, u := range earlier.Unseen {
		h.unseen = append(h.unseen, unseenUntil{vm: u.VM, after: u.After, until: now.Add(u.For)})
	}
	if b.seenAll(now, h) {
		return
	}
	j.held = true
	b.held = append(b.held, h)
}

// seenAll tells whether no task of the job can run unseen any more.
func (b *Board) seenAll(now time.Time, h *heldJob) bool {
	if h.offered && b.holding(now) {
		return false
	}
	for _, u := range h.unseen {
		if now.Before(u.until) && !b.listedSince(u) {
			return false
		}
	}
	return true
}

// listedSince tells whether the endpoint has listed its runs since the unseen
// ones were started. A shared board begins empty, so all of its lists are newer.
func (b *Board) listedSince(u unseenUntil) bool {
	e := b.sessionOf(u.vm)
	return e != nil && (b.shared || e.Session > u.after)
}

// releaseHeld queues the held jobs of which all runs are known.
func (b *Board) releaseHeld(now time.Time) {
	if len(b.held) == 0 {
		return
	}
	var free []*heldJob
	b.held = slices.DeleteFunc(b.held, func(h *heldJob) bool {
		if !b.seenAll(now, h) {
			return false
		}
		free = append(free, h)
		return true
	})
	for _, h := range free {
		h.held = false
		b.release(h.job)
	}
}

// HandOver returns what the next holder of a job must know, and all open jobs
// leave with this board. Runs on endpoints in touch may go on for contactLife.
func (b *Board) HandOver(now time.Time, id work.JobID, contactLife time.Duration) Earlier {
	j := b.jobs[id]
	if j == nil {
		return Earlier{}
	}
	earlier := Earlier{}
	for _, h := range b.held {
		if h.job == j {
			earlier = h.remaining(now)
		}
	}
	earlier.Begun = j.begun
	for s := range j.tasks {
		for t := range j.tasks[s] {
			if j.tasks[s][t].phase == ended {
				earlier.Done = append(earlier.Done, work.TaskID{Job: id, Step: s, Index: t})
			}
		}
	}
	for _, e := range b.order {
		if len(e.runsOf(id)) == 0 {
			continue
		}
		life := contactLife
		if !e.goneAt.IsZero() {
			life = max(e.goneAt.Sub(now), 0)
		}
		earlier.Unseen = append(earlier.Unseen, Unseen{VM: e.VM, After: e.Fence, For: life})
	}
	return earlier
}

// remaining returns what the job waits for still.
func (h *heldJob) remaining(now time.Time) Earlier {
	earlier := Earlier{Offered: h.offered}
	for _, u := range h.unseen {
		if now.Before(u.until) {
			earlier.Unseen = append(earlier.Unseen, Unseen{VM: u.vm, After: u.after, For: u.until.Sub(now)})
		}
	}
	return earlier
}
