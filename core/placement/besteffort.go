package placement

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

const (
	// strangerPatience is how long a run of no known job goes on. Entries submit
	// open jobs again as soon as they have found a new leader.
	strangerPatience = 400 * time.Millisecond
	// lateEndLife is how long ends of unknown jobs are kept. A caller without an
	// answer submits its job again after about 1.3 s.
	lateEndLife = 3 * time.Second
	// maxLateEnds bounds the jobs with kept ends.
	maxLateEnds = 4096
)

// lateEnds are the ends of an unknown job.
type lateEnds struct {
	at   time.Time
	ends []work.End
}

// claim gives a job the runs and ends that endpoints listed before it was known.
func (b *Board) claim(now time.Time, j *job) {
	if late := b.lateEnds[j.spec.ID]; late != nil {
		delete(b.lateEnds, j.spec.ID)
		for _, end := range late.ends {
			b.endedUnseen(now, end)
		}
	}
	if b.jobs[j.spec.ID] != j {
		return // the ends settled it
	}
	for _, e := range b.order {
		e.inherit(j)
		for _, s := range e.strangers() {
			if s.listed.Task.Job != j.spec.ID {
				continue
			}
			delete(e.unknown, s.listed.Run)
			b.adopt(now, e, nil, s.listed)
			if r := e.runs[s.listed.Run]; r != nil {
				r.stopping = s.stopping
			}
		}
	}
}

// inherit gives a job the runs of an earlier one with its id that was abandoned.
// Their tasks start again once these runs have ended.
func (e *endpoint) inherit(j *job) {
	for _, r := range e.runsOf(j.spec.ID) {
		if r.job == j {
			continue
		}
		if t := j.task(r.Task); t != nil && t.phase == blocked {
			r.job = j
			t.phase = placed
			t.lastRun = max(t.lastRun, r.Run.Run)
		}
	}
}

// keepLate keeps the end of an unknown job.
func (b *Board) keepLate(now time.Time, end work.End) {
	late := b.lateEnds[end.Task.Job]
	if late == nil {
		if len(b.lateEnds) >= maxLateEnds {
			return
		}
		late = &lateEnds{at: now}
		b.lateEnds[end.Task.Job] = late
	}
	late.ends = append(late.ends, end)
}

// dropStrangers stops runs that no job has claimed, and forgets old ends. On a
// shared board they may belong to others.
func (b *Board) dropStrangers(now time.Time) {
	for _, e := range b.order {
		for _, s := range e.strangers() {
			if !b.shared && !s.stopping && now.Sub(s.since) > strangerPatience {
				s.stopping = true
				b.orders = append(b.orders, Order{Session: e.Session, Run: s.listed.Run, Stop: true})
			}
		}
	}
	for id, late := range b.lateEnds {
		if now.Sub(late.at) > lateEndLife {
			delete(b.lateEnds, id)
		}
	}
}

// settle ends a best-effort job.
func (b *Board) settle(now time.Time, j *job, state work.State) {
	b.settled = append(b.settled, Settled{ID: j.spec.ID, State: state, Account: j.account(now)})
	b.Close(j.spec.ID)
}

// settleIfOver ends a best-effort job whose last task is done, or a task of
// which has used up its attempts.
func (b *Board) settleIfOver(now time.Time, j *job, t *task, id work.TaskID) {
	if !j.spec.BestEffort || b.jobs[j.spec.ID] != j {
		return
	}
	if t.phase == ended && !t.recorded {
		b.recorded(j, t, id.Step)
	}
	if t.failures >= j.spec.MaxAttempts {
		b.settle(now, j, work.JobFailed)
		return
	}
	for _, undone := range j.undone {
		if undone > 0 {
			return
		}
	}
	b.settle(now, j, work.Completed)
}

// TakeSettled returns the best-effort jobs that have ended since the last call.
func (b *Board) TakeSettled() []Settled {
	settled := b.settled
	b.settled = nil
	return settled
}

// Abandon notes that nobody waits for a best-effort job any more: what hasn't
// started never does, and what runs is stopped. It tells how the job fared; false
// if it isn't on the board.
func (b *Board) Abandon(now time.Time, id work.JobID) (Account, bool) {
	j := b.jobs[id]
	if j == nil || !j.spec.BestEffort {
		return Account{}, false
	}
	account := j.account(now)
	b.Close(id)
	return account, true
}

// Knows tells whether the job is on the board.
func (b *Board) Knows(id work.JobID) bool { return b.jobs[id] != nil }
