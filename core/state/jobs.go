package state

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/verdict"
)

func (m *Machine) acceptJob(index uint64, now time.Time, c *AcceptJob) Result {
	if old, ok := m.jobs[c.Record.Key]; ok {
		if old.Digest != c.Record.Digest {
			return Result{Accept: Conflicting, Record: copyRecord(old)}
		}
		return Result{Accept: Existing, Record: copyRecord(old)}
	}
	if !m.active(ownerOf(&c.Record)) {
		return Result{Accept: UnknownOwner}
	}
	r := c.Record
	r.Accepted = now
	r.AcceptedIndex = index
	r.Epoch = 1
	r.State = job.Running
	r.Outcome = nil
	r.Finished = time.Time{}
	r.Revision = index
	m.jobs[r.Key] = &r
	m.running.add(&r)
	return Result{Accept: Accepted, Record: copyRecord(&r)}
}

func (m *Machine) finishJob(index uint64, now time.Time, c *FinishJob) Result {
	r, ok := m.jobs[c.Key]
	if !ok || r.Epoch != c.Epoch {
		return Result{}
	}
	if r.State.Final() {
		return Result{Finished: true, Record: copyRecord(r)}
	}
	if !validOutcome(r, &c.Outcome) {
		return Result{}
	}
	m.running.remove(r)
	out := c.Outcome
	r.State = out.State
	r.Outcome = &out
	r.Finished = now
	r.Revision = index
	// The payloads are only needed to run the tasks.
	r.Tasks = withoutPayloads(r.Tasks)
	m.indexFinished(r)
	return Result{Finished: true, Record: copyRecord(r)}
}

// validOutcome reports whether an outcome is final and, if complete, has every
// task done. An invalid outcome is refused instead of asserted: a panic on a
// committed command would stop every replica, and again after each restart.
func validOutcome(r *job.Record, o *job.Outcome) bool {
	if o.State != job.Complete {
		return o.State == job.Failed || o.State == job.Cancelled
	}
	for _, t := range o.Results {
		if t.State != job.TaskDone || t.Verdict != verdict.Ran {
			return false
		}
	}
	return len(o.Results) == len(r.Tasks)
}

func withoutPayloads(tasks []job.Task) []job.Task {
	kept := make([]job.Task, len(tasks))
	for i, t := range tasks {
		kept[i] = job.Task{Kind: t.Kind}
	}
	return kept
}

func (m *Machine) takeOverJob(index uint64, c *TakeOverJob) Result {
	r, ok := m.jobs[c.Key]
	if !ok || r.State.Final() || r.Epoch != c.FromEpoch {
		return Result{}
	}
	next, ok := m.members[c.Owner]
	if !ok || next.State != MemberLive || next.Role != RoleEntry {
		return Result{}
	}
	m.running.remove(r)
	r.Owner = next.ID
	r.OwnerIncarnation = next.Incarnation
	r.Epoch++
	m.running.add(r)
	r.Revision = index
	m.setConfigRevision(index)
	return Result{TookOver: true, Record: copyRecord(r)}
}

// Job returns a copy of a job's record.
func (m *Machine) Job(k job.Key) (job.Record, bool) {
	r, ok := m.jobs[k]
	if !ok {
		return job.Record{}, false
	}
	return *copyRecord(r), true
}

// Orphans lists running jobs whose owner is no longer active, oldest first.
// The leader takes them over.
func (m *Machine) Orphans() []job.Record {
	var orphans []job.Record
	for o, jobs := range m.running {
		if m.active(o) {
			continue
		}
		for _, r := range jobs.all {
			orphans = append(orphans, *r)
		}
	}
	slices.SortFunc(orphans, byRevision)
	return orphans
}

func (m *Machine) active(o owner) bool {
	member, ok := m.members[o.id]
	return ok && member.Active() && member.Incarnation == o.incarnation
}

// TakenOver lists the running jobs that the current incarnation of an entry has
// taken over after a revision, oldest first.
func (m *Machine) TakenOver(entry string, after uint64) []job.Record {
	member, ok := m.members[entry]
	if !ok || member.Role != RoleEntry {
		return nil
	}
	owned, ok := m.running[owner{id: entry, incarnation: member.Incarnation}]
	if !ok {
		return nil
	}
	var jobs []job.Record
	for _, r := range owned.takenOver {
		if r.Revision > after {
			jobs = append(jobs, *r)
		}
	}
	slices.SortFunc(jobs, byRevision)
	return jobs
}

func byRevision(a, b job.Record) int {
	return cmp.Compare(a.Revision, b.Revision)
}

// Jobs lists copies of all records without payloads, for operators.
func (m *Machine) Jobs() []job.Record {
	list := make([]job.Record, 0, len(m.jobs))
	for _, r := range m.jobs {
		c := *r
		c.Tasks = withoutPayloads(r.Tasks)
		list = append(list, c)
	}
	slices.SortFunc(list, byRevision)
	return list
}

// copyRecord returns a copy that shares the immutable tasks and outcome.
func copyRecord(r *job.Record) *job.Record {
	c := *r
	return &c
}
