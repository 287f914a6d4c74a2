package tasktable

import (
	"container/heap"
	"time"

	"github.com/cicadapulley/cicadapulley/core/invariant"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/verdict"
)

const (
	// maxExpiredPerCall bounds the jobs that one call removes. A call adds at
	// most one job, so the table still empties when many jobs expire at once.
	maxExpiredPerCall = 16
	// runningRecheckDelay is the time until an expired job that still runs a
	// task is checked again.
	runningRecheckDelay = time.Second
)

// queuedJob is a job with the earliest time at which it may be removed.
type queuedJob struct {
	key       job.Key
	expiresAt time.Time
}

// expiryQueue is a heap of all jobs by time of expiry, one element for each job.
type expiryQueue []queuedJob

// Len implements heap.Interface.
func (q expiryQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q expiryQueue) Less(i, j int) bool { return q[i].expiresAt.Before(q[j].expiresAt) }

// Swap implements heap.Interface.
func (q expiryQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) { *q = append(*q, x.(queuedJob)) }

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	last := len(*q) - 1
	d := (*q)[last]
	(*q)[last] = queuedJob{}
	*q = (*q)[:last]
	return d
}

func (q *expiryQueue) add(k job.Key, at time.Time) { heap.Push(q, queuedJob{key: k, expiresAt: at}) }

// delayFirst moves the first job to a later time.
func (q expiryQueue) delayFirst(expiresAt time.Time) {
	q[0].expiresAt = expiresAt
	heap.Fix(&q, 0)
}

// advance moves the table's clock and removes expired jobs. The clock never goes
// back.
func (t *Table) advance(now time.Time) {
	if now.After(t.latest) {
		t.latest = now
	}
	for range maxExpiredPerCall {
		if len(t.queue) == 0 || t.latest.Before(t.queue[0].expiresAt) {
			return
		}
		t.expireFirst()
	}
}

// expireFirst removes the first job of the queue, or delays it while it runs or
// if its expiry was extended after it was queued.
func (t *Table) expireFirst() {
	k := t.queue[0].key
	j := t.jobs[k]
	switch {
	case t.latest.Before(j.expiresAt):
		t.queue.delayFirst(j.expiresAt)
	case j.running > 0:
		t.queue.delayFirst(t.latest.Add(runningRecheckDelay))
	default:
		heap.Pop(&t.queue)
		t.removeJob(k, j)
	}
}

func (t *Table) removeJob(k job.Key, j *jobRecord) {
	for _, e := range j.tasks {
		t.outputBytes -= int64(len(e.result.Output))
	}
	t.records -= len(j.tasks) + len(j.denied) + 1
	delete(t.jobs, k)
	invariant.Check(t.records >= 0 && t.outputBytes >= 0, invariant.InternalCounting,
		"table has %d records and %d output bytes", t.records, t.outputBytes)
}

// expired reports whether a job with this expiresAt may have been removed.
func (t *Table) expired(expiresAt time.Time) bool { return !t.latest.Before(expiresAt) }

func errExpired(k job.TaskKey) *verdict.Error {
	return verdict.Errorf(verdict.CodeDeadline, verdict.MayHaveRun,
		"request for task %d of job %s came too late: its start may be forgotten", k.Task, k.Job)
}

func errTableFull(k job.TaskKey) *verdict.Error {
	return verdict.Errorf(verdict.CodeEndpointBusy, verdict.MayHaveRun,
		"task table has no room to remember a refusal of task %d of job %s", k.Task, k.Job)
}
