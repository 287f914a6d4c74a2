// Package tasktable decides at an agent which tasks may start. It records each
// start, so that no task starts twice, and fences owners of older epochs. A
// Table is not safe for concurrent use.
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
	// Records bounds the records of tasks and jobs. Refusals may take as many
	// records again, since a refusal without a record can't be NotRun.
	Records int
	// OutputBytes bounds the retained outputs, in bytes.
	OutputBytes int64
}

// Status is the state of a task in the table.
type Status uint8

// Task statuses.
const (
	// Started means that the task is running.
	Started Status = iota
	// Ended means that the task has a result.
	Ended
	// Denied means that the task was not started here, and that the queried
	// attempt, all earlier ones and all lower epochs never will start it.
	Denied
)

// Fate is the answer to a query about a task. Result is set for Ended.
type Fate struct {
	Status Status
	Result job.TaskResult
}

type taskRecord struct {
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

type jobRecord struct {
	epoch     uint64
	cancelled bool
	tasks     map[int]*taskRecord
	// denied holds the newest attempt of a task that was denied or refused. A
	// request of that attempt may still arrive on an old connection.
	denied map[int]Attempt
	// expiresAt is the time from which no owner can ask about the job.
	expiresAt time.Time
	// running is the number of tasks without a result.
	running int
}

// Table records an agent's starts.
type Table struct {
	limits      Limits
	jobs        map[job.Key]*jobRecord
	records     int
	running     int
	outputBytes int64
	queue       expiryQueue
	// latest is the latest time passed in. A clock that is set back must not
	// make a request valid whose job record is already removed.
	latest time.Time
}

// New returns an empty table.
func New(l Limits) *Table {
	return &Table{limits: l, jobs: map[job.Key]*jobRecord{}}
}

// Running returns the number of running tasks.
func (t *Table) Running() int { return t.running }

// Begin decides whether a task may start now. On a nil error the caller starts
// the task and must call End or Abort once. From expiresAt on, neither the job's
// owner nor an entry that takes the job over asks for the task. It must follow
// from the job's deadline, not from the arrival of the request, or a delayed
// copy of a request could start a task again whose record is removed.
func (t *Table) Begin(k job.TaskKey, a Attempt, now, expiresAt time.Time) *verdict.Error {
	if err := t.checkStart(k, a, now, expiresAt); err != nil {
		return err
	}
	if reason, full := t.full(); full {
		return t.recordRefusal(k, a, expiresAt, verdict.Errorf(verdict.CodeEndpointBusy, verdict.NotRun, "%s", reason))
	}
	t.start(t.ensureJob(k.Job, expiresAt), k, a)
	return nil
}

// Refuse records the caller's refusal to start a task and returns it. The
// refusal must have the verdict NotRun. Refuse returns another error if NotRun
// would not be correct: the task was started here, or there is no room to record
// the refusal.
func (t *Table) Refuse(k job.TaskKey, a Attempt, now, expiresAt time.Time, refusal *verdict.Error) *verdict.Error {
	if err := t.checkStart(k, a, now, expiresAt); err != nil {
		return err
	}
	return t.recordRefusal(k, a, expiresAt, refusal)
}

// checkStart returns the error of a start that is not allowed, however many
// slots and records are free.
func (t *Table) checkStart(k job.TaskKey, a Attempt, now, expiresAt time.Time) *verdict.Error {
	t.advance(now)
	if j := t.jobs[k.Job]; j != nil {
		if err := j.checkStart(k, a); err != nil {
			return err
		}
	}
	if t.expired(expiresAt) {
		return errExpired(k)
	}
	return nil
}

// recordRefusal denies a refused attempt. The owner sends the task to another
// agent after NotRun, and a second copy of the request may arrive here when the
// reason for the refusal has passed.
func (t *Table) recordRefusal(k job.TaskKey, a Attempt, expiresAt time.Time, refusal *verdict.Error) *verdict.Error {
	if !t.deny(k, a, expiresAt) {
		return errTableFull(k)
	}
	return refusal
}

func (t *Table) start(j *jobRecord, k job.TaskKey, a Attempt) {
	j.epoch = max(j.epoch, a.Epoch)
	j.tasks[k.Task] = &taskRecord{}
	j.running++
	t.records++
	t.running++
	invariant.Check(t.running <= t.limits.Slots, invariant.SlotBound,
		"%d tasks run on %d slots", t.running, t.limits.Slots)
}

// full reports whether a start lacks a slot or room in the table, and which.
func (t *Table) full() (string, bool) {
	switch {
	case t.running >= t.limits.Slots:
		return "all slots are in use", true
	case t.records >= t.limits.Records || t.outputBytes >= t.limits.OutputBytes:
		return "task table is full", true
	}
	return "", false
}

func (j *jobRecord) checkStart(k job.TaskKey, a Attempt) *verdict.Error {
	if j.tasks[k.Task] != nil {
		// The task has started, so the verdict can't be NotRun, whatever the epoch.
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

// ensureJob returns the record of a job, which it adds if it is missing.
func (t *Table) ensureJob(k job.Key, expiresAt time.Time) *jobRecord {
	j := t.jobs[k]
	if j == nil {
		j = &jobRecord{tasks: map[int]*taskRecord{}, denied: map[int]Attempt{}, expiresAt: expiresAt}
		t.jobs[k] = j
		t.records++
		t.queue.add(k, expiresAt)
	}
	if expiresAt.After(j.expiresAt) {
		j.expiresAt = expiresAt
	}
	return j
}

// canRecordRefusal reports whether there is room for a new refusal.
func (t *Table) canRecordRefusal() bool { return t.records < 2*t.limits.Records }

// deny records that an attempt and all earlier ones never start a task, and
// reports whether there was room for the record.
func (t *Table) deny(k job.TaskKey, a Attempt, expiresAt time.Time) bool {
	j := t.jobs[k.Job]
	known := false
	if j != nil {
		_, known = j.denied[k.Task]
	}
	if !known && !t.canRecordRefusal() {
		return false
	}
	j = t.ensureJob(k.Job, expiresAt)
	j.epoch = max(j.epoch, a.Epoch)
	t.recordDenied(j, k.Task, a)
	return true
}

func (t *Table) recordDenied(j *jobRecord, task int, a Attempt) {
	old, known := j.denied[task]
	if known && a.notAfter(old) {
		return
	}
	if !known {
		t.records++
	}
	j.denied[task] = a
}

// End records the result of a started task.
func (t *Table) End(k job.TaskKey, r job.TaskResult) {
	e := t.find(k)
	invariant.Check(e != nil && e.result == nil, invariant.SingleStart,
		"task %d of job %s ended without a start, or twice", k.Task, k.Job)
	e.result = &r
	t.jobs[k.Job].running--
	t.running--
	t.outputBytes += int64(len(r.Output))
}

func (t *Table) find(k job.TaskKey) *taskRecord {
	j := t.jobs[k.Job]
	if j == nil {
		return nil
	}
	return j.tasks[k.Task]
}

// Fate returns the state of a task and fences lower epochs. A denied task can't
// start here under the given attempt or an earlier one, even if the request
// arrives later. Fate returns an error to an owner of a lower epoch, if the
// task's record may have been removed, and if there is no room to record the
// denial. See Begin for expiresAt.
func (t *Table) Fate(k job.TaskKey, a Attempt, now, expiresAt time.Time) (Fate, *verdict.Error) {
	t.advance(now)
	if j := t.jobs[k.Job]; j != nil {
		if a.Epoch < j.epoch {
			return Fate{}, verdict.Errorf(verdict.CodeFenced, verdict.MayHaveRun, "job %s is at epoch %d, request has %d", k.Job, j.epoch, a.Epoch)
		}
		if e := j.tasks[k.Task]; e != nil {
			j.epoch = a.Epoch
			t.ensureJob(k.Job, expiresAt)
			return e.fate(), nil
		}
	}
	if t.expired(expiresAt) {
		return Fate{}, errExpired(k)
	}
	if !t.deny(k, a, expiresAt) {
		return Fate{}, errTableFull(k)
	}
	return Fate{Status: Denied}, nil
}

func (e *taskRecord) fate() Fate {
	if e.result == nil {
		return Fate{Status: Started}
	}
	return Fate{Status: Ended, Result: *e.result}
}

// Cancel prevents further starts of a job's tasks and reports whether it does.
// It does not if the table has seen a higher epoch, if it is full, or if the
// job's record may have been removed; then only the answers to Begin and Fate
// show which tasks started.
func (t *Table) Cancel(k job.Key, epoch uint64, now, expiresAt time.Time) bool {
	t.advance(now)
	j := t.jobs[k]
	if j == nil && (t.expired(expiresAt) || !t.canRecordRefusal()) {
		return false
	}
	if j != nil && epoch < j.epoch {
		return false
	}
	j = t.ensureJob(k, expiresAt)
	j.epoch = epoch
	j.cancelled = true
	return true
}
