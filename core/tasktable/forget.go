package tasktable

import (
	"container/heap"
	"time"

	"github.com/cicadapulley/cicadapulley/core/invariant"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/verdict"
)

const (
	// forgetsPerCall bounds the jobs that one call forgets. A call adds at most
	// one job, so the table still empties when many jobs are due at once.
	forgetsPerCall = 16
	// runningRecheck is when a due job that still runs a task is looked at again.
	runningRecheck = time.Second
)

// dueJob is a job with the time at which it may be forgotten at the earliest.
type dueJob struct {
	key job.Key
	at  time.Time
}

// forgetQueue is a heap of all jobs by due time, one element for each job.
type forgetQueue []dueJob

// Len implements heap.Interface.
func (q forgetQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q forgetQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }

// Swap implements heap.Interface.
func (q forgetQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *forgetQueue) Push(x any) { *q = append(*q, x.(dueJob)) }

// Pop implements heap.Interface.
func (q *forgetQueue) Pop() any {
	last := len(*q) - 1
	d := (*q)[last]
	(*q)[last] = dueJob{}
	*q = (*q)[:last]
	return d
}

func (q *forgetQueue) add(k job.Key, at time.Time) { heap.Push(q, dueJob{key: k, at: at}) }

// delayFirst moves the first job to a later time.
func (q forgetQueue) delayFirst(at time.Time) {
	q[0].at = at
	heap.Fix(&q, 0)
}

// advance moves the table's clock and forgets jobs that nobody can ask for any
// more. The clock never goes back.
func (t *Table) advance(now time.Time) {
	if now.After(t.latest) {
		t.latest = now
	}
	for range forgetsPerCall {
		if len(t.queue) == 0 || t.latest.Before(t.queue[0].at) {
			return
		}
		t.forgetFirst()
	}
}

// forgetFirst forgets the first job of the queue, or delays it while it runs or
// if its time was extended after it was queued.
func (t *Table) forgetFirst() {
	k := t.queue[0].key
	j := t.jobs[k]
	switch {
	case t.latest.Before(j.forgetAt):
		t.queue.delayFirst(j.forgetAt)
	case j.running > 0:
		t.queue.delayFirst(t.latest.Add(runningRecheck))
	default:
		heap.Pop(&t.queue)
		t.forget(k, j)
	}
}

func (t *Table) forget(k job.Key, j *jobEntry) {
	for _, e := range j.tasks {
		t.outputs -= int64(len(e.result.Output))
	}
	t.entries -= len(j.tasks) + len(j.denied) + 1
	delete(t.jobs, k)
	invariant.Check(t.entries >= 0 && t.outputs >= 0, invariant.InternalCounting,
		"table has %d entries and %d output bytes", t.entries, t.outputs)
}

// expired reports whether a job with this forgetAt may have been forgotten.
func (t *Table) expired(forgetAt time.Time) bool { return !t.latest.Before(forgetAt) }

func errExpired(k job.TaskKey) *verdict.Error {
	return verdict.Errorf(verdict.CodeDeadline, verdict.MayHaveRun,
		"request for task %d of job %s came too late: its start may be forgotten", k.Task, k.Job)
}

func errNoRoom(k job.TaskKey) *verdict.Error {
	return verdict.Errorf(verdict.CodeEndpointBusy, verdict.MayHaveRun,
		"task table has no room to remember a refusal of task %d of job %s", k.Task, k.Job)
}
