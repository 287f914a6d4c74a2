package state

import (
	"container/heap"
	"time"

	"github.com/cicadapulley/cicadapulley/core/job"
)

// Assumed sizes in bytes of the parts of a kept record.
const (
	recordOverhead = 512
	taskOverhead   = 40
	resultOverhead = 64
)

// finishedJobs is a heap of finished jobs by the time from which they may be
// forgotten. A queue in order of the jobs' end would let one job with a distant
// deadline hold back all later ones.
type finishedJobs []*job.Record

// releaseTime is the later of a job's end and its deadline: a caller may
// resubmit until the deadline, so the answer stays until then.
func releaseTime(r *job.Record) time.Time {
	if r.Deadline.After(r.Finished) {
		return r.Deadline
	}
	return r.Finished
}

// Len implements heap.Interface.
func (f finishedJobs) Len() int { return len(f) }

// Less implements heap.Interface. Revisions differ, so the order is total and
// the same on every replica.
func (f finishedJobs) Less(i, j int) bool {
	if c := releaseTime(f[i]).Compare(releaseTime(f[j])); c != 0 {
		return c < 0
	}
	return f[i].Revision < f[j].Revision
}

// Swap implements heap.Interface.
func (f finishedJobs) Swap(i, j int) { f[i], f[j] = f[j], f[i] }

// Push implements heap.Interface.
func (f *finishedJobs) Push(x any) { *f = append(*f, x.(*job.Record)) }

// Pop implements heap.Interface.
func (f *finishedJobs) Pop() any {
	last := len(*f) - 1
	r := (*f)[last]
	(*f)[last] = nil
	*f = (*f)[:last]
	return r
}

func (m *Machine) keepFinished(r *job.Record) {
	heap.Push(&m.finished, r)
	m.finishedBytes += recordBytes(r)
}

// pruneJobs forgets finished jobs some time after their release, or at once
// when the kept answers are too large.
func (m *Machine) pruneJobs(now time.Time) {
	if now.IsZero() {
		return
	}
	for len(m.finished) > 0 {
		r := m.finished[0]
		kept := now.Sub(releaseTime(r))
		if kept < 0 {
			return
		}
		if kept < m.retention.FinishedJobs && m.finishedBytes <= m.retention.FinishedBytes {
			return
		}
		heap.Pop(&m.finished)
		m.finishedBytes -= recordBytes(r)
		delete(m.jobs, r.Key)
	}
}

// recordBytes is the assumed size of a finished record in bytes.
func recordBytes(r *job.Record) int64 {
	size := recordOverhead + taskOverhead*len(r.Tasks)
	if r.Outcome == nil {
		return int64(size)
	}
	for _, t := range r.Outcome.Results {
		size += resultOverhead + len(t.Output) + len(t.Message)
	}
	return int64(size)
}
