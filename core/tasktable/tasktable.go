// Package tasktable decides at an agent which tasks may start. It remembers
// each start, so that no task starts twice, and fences owners of older epochs.
// The caller serialises all methods.
package tasktable

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/invariant"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/verdict"
)

// Limits bounds a table.
type Limits struct {
	// Slots is the number of tasks that run at once.
	Slots int
	// Entries bounds the remembered tasks and jobs.
	Entries int
	// OutputBytes bounds the kept outputs, in bytes.
	OutputBytes int64
}

// Status is what the table knows of a task.
type Status uint8

// Task statuses.
const (
	// Started means that the task runs now.
	Started Status = iota
	// Ended means that the task has a result.
	Ended
	// Denied means that the task was not started here, and that the attempt
	// asked about, all earlier ones and all lower epochs never will start it.
	Denied
)

// Fate is the answer to a question about a task.
type Fate struct {
	Status Status
	Result job.TaskResult
}

type entry struct {
	result *job.TaskResult
}

// Attempt orders the requests to start a task: first by the epoch of the
// job's owner, then by the owner's own count.
type Attempt struct {
	Epoch  uint64
	Number uint32
}

func (a Attempt) notAfter(b Attempt) bool {
	return a.Epoch < b.Epoch || (a.Epoch == b.Epoch && a.Number <= b.Number)
}

type jobEntry struct {
	epoch     uint64
	cancelled bool
	tasks     map[int]*entry
	// denied holds the newest attempt of a task that a Fate answer denied. A
	// request of that attempt may still be on its way on an old connection.
	denied map[int]Attempt
	// forgetAt is when no owner can ask about the job any more.
	forgetAt time.Time
}

// Table is an agent's memory of starts.
type Table struct {
	limits  Limits
	jobs    map[job.Key]*jobEntry
	entries int
	running int
	outputs int64
	// sweepAt is when the next forgotten jobs are looked for.
	sweepAt time.Time
}

// sweepInterval bounds how often the whole table is searched for old jobs.
const sweepInterval = time.Second

// New returns an empty table.
func New(l Limits) *Table {
	return &Table{limits: l, jobs: map[job.Key]*jobEntry{}}
}

// Running returns the number of tasks that run now.
func (t *Table) Running() int { return t.running }

// Begin decides whether a task may start now. On a nil error the caller starts
// the task and must call End once. forgetAt is when the job's owner, and any
// entry that takes the job over, can no longer ask for the task.
func (t *Table) Begin(k job.TaskKey, a Attempt, now, forgetAt time.Time) *verdict.Error {
	t.sweep(now)
	j := t.jobs[k.Job]
	if err := t.refuse(j, k, a); err != nil {
		return err
	}
	if j == nil {
		j = t.addJob(k.Job)
	}
	j.epoch = max(j.epoch, a.Epoch)
	j.extend(forgetAt)
	j.tasks[k.Task] = &entry{}
	t.entries++
	t.running++
	invariant.Check(t.running <= t.limits.Slots, invariant.SlotBound,
		"%d tasks run on %d slots", t.running, t.limits.Slots)
	return nil
}

func (t *Table) refuse(j *jobEntry, k job.TaskKey, a Attempt) *verdict.Error {
	if j != nil {
		if err := j.refuse(k, a); err != nil {
			return err
		}
	}
	if t.running >= t.limits.Slots {
		return verdict.Errorf(verdict.CodeEndpointBusy, verdict.NotRun, "all %d slots are in use", t.limits.Slots)
	}
	if t.entries >= t.limits.Entries || t.outputs >= t.limits.OutputBytes {
		return verdict.Errorf(verdict.CodeEndpointBusy, verdict.NotRun, "task table is full")
	}
	return nil
}

func (j *jobEntry) refuse(k job.TaskKey, a Attempt) *verdict.Error {
	if j.tasks[k.Task] != nil {
		// The first start stands, so the verdict is not NotRun, whatever the epoch.
		return verdict.Errorf(verdict.CodeAlreadyStarted, verdict.MayHaveRun, "task %d of job %s was started here", k.Task, k.Job)
	}
	if a.Epoch < j.epoch {
		return verdict.Errorf(verdict.CodeFenced, verdict.NotRun, "job %s is at epoch %d, request has %d", k.Job, j.epoch, a.Epoch)
	}
	denied, ok := j.denied[k.Task]
	if ok && a.notAfter(denied) {
		return verdict.Errorf(verdict.CodeFenced, verdict.NotRun, "attempt %d of task %d of job %s was denied before", a.Number, k.Task, k.Job)
	}
	if j.cancelled {
		return verdict.Errorf(verdict.CodeCancelled, verdict.NotRun, "job %s is cancelled", k.Job)
	}
	return nil
}

func (t *Table) addJob(k job.Key) *jobEntry {
	j := &jobEntry{tasks: map[int]*entry{}, denied: map[int]Attempt{}}
	t.jobs[k] = j
	t.entries++
	return j
}

func (j *jobEntry) extend(forgetAt time.Time) {
	if forgetAt.After(j.forgetAt) {
		j.forgetAt = forgetAt
	}
}

// End records the result of a started task.
func (t *Table) End(k job.TaskKey, r job.TaskResult) {
	e := t.find(k)
	invariant.Check(e != nil && e.result == nil, invariant.SingleStart,
		"task %d of job %s ended without a start, or twice", k.Task, k.Job)
	e.result = &r
	t.running--
	t.outputs += int64(len(r.Output))
}

func (t *Table) find(k job.TaskKey) *entry {
	j := t.jobs[k.Job]
	if j == nil {
		return nil
	}
	return j.tasks[k.Task]
}

// Fate answers what is known of a task and fences lower epochs. A denied task
// can't start here under the given attempt or an earlier one, even when the
// request is still on its way. An owner of a lower epoch gets an error.
func (t *Table) Fate(k job.TaskKey, a Attempt, now, forgetAt time.Time) (Fate, *verdict.Error) {
	t.sweep(now)
	j := t.jobs[k.Job]
	if j == nil {
		j = t.addJob(k.Job)
	}
	if a.Epoch < j.epoch {
		return Fate{}, verdict.Errorf(verdict.CodeFenced, verdict.MayHaveRun, "job %s is at epoch %d, request has %d", k.Job, j.epoch, a.Epoch)
	}
	j.epoch = a.Epoch
	j.extend(forgetAt)
	e := j.tasks[k.Task]
	switch {
	case e == nil:
		j.deny(k.Task, a)
		return Fate{Status: Denied}, nil
	case e.result == nil:
		return Fate{Status: Started}, nil
	}
	return Fate{Status: Ended, Result: *e.result}, nil
}

func (j *jobEntry) deny(task int, a Attempt) {
	if a.notAfter(j.denied[task]) {
		return
	}
	j.denied[task] = a
}

// Cancel prevents starts of a job's tasks under any epoch up to the given one.
func (t *Table) Cancel(k job.Key, epoch uint64, now, forgetAt time.Time) {
	t.sweep(now)
	j := t.jobs[k]
	if j == nil {
		j = t.addJob(k)
	}
	if epoch < j.epoch {
		return
	}
	j.epoch = epoch
	j.cancelled = true
	j.extend(forgetAt)
}

// sweep forgets jobs that nobody can ask for any more.
func (t *Table) sweep(now time.Time) {
	if now.Before(t.sweepAt) {
		return
	}
	t.sweepAt = now.Add(sweepInterval)
	for k, j := range t.jobs {
		if now.Before(j.forgetAt) || j.hasRunning() {
			continue
		}
		t.forget(k, j)
	}
}

func (j *jobEntry) hasRunning() bool {
	for _, e := range j.tasks {
		if e.result == nil {
			return true
		}
	}
	return false
}

func (t *Table) forget(k job.Key, j *jobEntry) {
	for _, e := range j.tasks {
		t.outputs -= int64(len(e.result.Output))
	}
	t.entries -= len(j.tasks) + 1
	delete(t.jobs, k)
	invariant.Check(t.entries >= 0 && t.outputs >= 0, invariant.InternalCounting,
		"table has %d entries and %d output bytes", t.entries, t.outputs)
}
