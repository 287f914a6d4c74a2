package placement

import (
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/lease"
	"github.com/cicadapulley/cicadapulley/core/work"
)

const (
	// unknownRunTimeout is how long an unknown run may go on. Entries submit open
	// jobs again as soon as they have found a new leader.
	unknownRunTimeout = 400 * time.Millisecond
	// unclaimedEndTTL is how long ends of unknown jobs are kept. A caller without
	// an answer submits its job again after about 1.3 s.
	unclaimedEndTTL = 3 * time.Second
	// maxUnclaimedJobs bounds the unknown jobs whose ends are kept.
	maxUnclaimedJobs = 4096
)

// unclaimedEnds are the ends of runs of an unknown job; at is when the first one
// arrived.
type unclaimedEnds struct {
	at   time.Time
	ends []work.End
}

// claim assigns to a job the runs and ends that endpoints listed before it was
// added.
func (p *Planner) claim(now time.Time, j *job) {
	if kept := p.unclaimedEnds[j.spec.ID]; kept != nil {
		delete(p.unclaimedEnds, j.spec.ID)
		for _, end := range kept.ends {
			p.endUntrackedRun(now, end)
		}
	}
	if p.jobs[j.spec.ID] != j {
		return // the ends finished it
	}
	p.inherit(j)
	for _, u := range slices.SortedFunc(slices.Values(p.unknown[j.spec.ID]), compareUnknown) {
		p.removeUnknown(u.endpoint, u.listed.Run)
		p.adopt(now, u.endpoint, nil, u.listed)
		if r := u.endpoint.runs[u.listed.Run]; r != nil {
			r.stopping = u.stopping
		}
	}
}

// claimTimeout returns how long a listed run may go on without a job. An entry that is out of
// contact takes its runs for ended lease.ExpiresAfter after the contact, so they are stopped before.
func claimTimeout(l ListedRun) time.Duration {
	if l.OwnerSilence == 0 {
		return unknownRunTimeout
	}
	return min(unknownRunTimeout, max(lease.StopAfter-l.OwnerSilence, 0))
}

// inherit assigns to a job the runs of an abandoned earlier job with the same id.
// Their tasks start again once these runs have ended.
func (p *Planner) inherit(j *job) {
	for _, r := range p.runsOf(j.spec.ID) {
		if r.job == j {
			continue
		}
		if t := j.task(r.Task); t != nil && t.phase == blocked {
			r.job = j
			t.phase = placed
			t.lastRun = max(t.lastRun, r.Run.Number)
		}
	}
}

// keepUnclaimedEnd keeps the end of a run of an unknown job.
func (p *Planner) keepUnclaimedEnd(now time.Time, end work.End) {
	kept := p.unclaimedEnds[end.Task.Job]
	if kept == nil {
		if len(p.unclaimedEnds) >= maxUnclaimedJobs {
			return
		}
		kept = &unclaimedEnds{at: now}
		p.unclaimedEnds[end.Task.Job] = kept
	}
	kept.ends = append(kept.ends, end)
}

// expireUnclaimed stops runs that no job has claimed in time, and
// drops old ends. A shared planner stops none, as they may belong to other planners.
func (p *Planner) expireUnclaimed(now time.Time) {
	for _, e := range p.order {
		if len(e.unknown) == 0 {
			continue
		}
		for _, u := range e.sortedUnknown() {
			if !p.shared && !u.stopping && now.After(u.claimUntil) {
				u.stopping = true
				p.orders = append(p.orders, Order{Session: e.Session, Run: u.listed.Run, Stop: true})
			}
		}
	}
	for id, kept := range p.unclaimedEnds {
		if now.Sub(kept.at) > unclaimedEndTTL {
			delete(p.unclaimedEnds, id)
		}
	}
}

// finish ends a best-effort job.
func (p *Planner) finish(now time.Time, j *job, state work.State) {
	p.finished = append(p.finished, FinishedJob{ID: j.spec.ID, State: state, Summary: j.summary(now)})
	p.Close(j.spec.ID)
}

// finishIfFinal ends a best-effort job if all of its tasks are done or if the task
// has used up its attempts.
func (p *Planner) finishIfFinal(now time.Time, j *job, t *task, id work.TaskID) {
	if !j.spec.BestEffort || p.jobs[j.spec.ID] != j {
		return
	}
	if t.phase == ended && !t.recorded {
		p.taskRecorded(j, t, id.Step)
	}
	if t.failures >= j.spec.MaxAttempts {
		p.finish(now, j, work.JobFailed)
		return
	}
	for _, undone := range j.undone {
		if undone > 0 {
			return
		}
	}
	p.finish(now, j, work.Completed)
}

// TakeFinished returns the best-effort jobs that have ended since the last call.
func (p *Planner) TakeFinished() []FinishedJob {
	finished := p.finished
	p.finished = nil
	return finished
}

// Abandon closes a best-effort job that no request waits for: waiting tasks are
// not started, and runs are stopped. It returns the job's summary, and false if the
// planner does not have it or it is not a best-effort job.
func (p *Planner) Abandon(now time.Time, id work.JobID) (Summary, bool) {
	j := p.jobs[id]
	if j == nil || !j.spec.BestEffort {
		return Summary{}, false
	}
	summary := j.summary(now)
	p.Close(id)
	return summary, true
}

// Has reports whether the planner has the job open.
func (p *Planner) Has(id work.JobID) bool { return p.jobs[id] != nil }
