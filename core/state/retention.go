package state

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/job"
)

// Assumed sizes in bytes of the parts of a kept record.
const (
	recordOverhead = 512
	taskOverhead   = 40
	resultOverhead = 64
)

// finishedJobs is a heap of finished jobs by release time. In a queue in order of
// the jobs' end, one job with a distant deadline would prevent all later ones from
// being forgotten.
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

// indexFinished adds a finished job to the heap of jobs with or without answers.
func (m *Machine) indexFinished(r *job.Record) {
	if r.AnswerDropped {
		heap.Push(&m.dropped, r)
		return
	}
	heap.Push(&m.finished, r)
	m.finishedBytes += recordBytes(r)
}

// pruneJobs forgets jobs that were released longer than Retention.FinishedJobs
// ago, and drops answers earlier when they exceed Retention.FinishedBytes.
func (m *Machine) pruneJobs(now time.Time) {
	if now.IsZero() {
		return
	}
	for len(m.finished) > 0 {
		r := m.finished[0]
		sinceRelease := now.Sub(releaseTime(r))
		full := m.finishedBytes > m.retention.FinishedBytes
		if sinceRelease < 0 || (sinceRelease < m.retention.FinishedJobs && !full) {
			break
		}
		heap.Pop(&m.finished)
		m.finishedBytes -= recordBytes(r)
		if sinceRelease < m.retention.FinishedJobs {
			m.indexFinished(dropAnswer(r))
			continue
		}
		delete(m.jobs, r.Key)
	}
	m.pruneDropped(now)
}

// dropAnswer reduces a finished record to what is returned to a resubmission.
// Copies that readers hold keep their slices.
func dropAnswer(r *job.Record) *job.Record {
	r.AnswerDropped = true
	r.Tasks = nil
	out := *r.Outcome
	out.Results = nil
	out.Message = ""
	r.Outcome = &out
	return r
}

// pruneDropped forgets jobs without answers when their retention time has passed,
// or when there are more than Retention.DroppedJobs.
func (m *Machine) pruneDropped(now time.Time) {
	for len(m.dropped) > 0 {
		r := m.dropped[0]
		if now.Sub(releaseTime(r)) < m.retention.FinishedJobs && len(m.dropped) <= m.retention.DroppedJobs {
			return
		}
		heap.Pop(&m.dropped)
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

// pruneMembers forgets members that ended longer than Retention.EndedMembers ago.
// After a pruning each watcher needs a full view, since a partial view cannot list
// removed members, so members are pruned in batches.
func (m *Machine) pruneMembers(index uint64, now time.Time) {
	batch := max(1, m.retention.EndedBatch)
	if m.countPrunable(now, math.MaxUint64) < batch {
		return
	}
	due := m.countPrunable(now, m.oldestRunningIndex())
	if due < batch {
		return
	}
	for _, id := range m.ended[:due] {
		delete(m.members, id)
	}
	m.ended = slices.Delete(m.ended, 0, due)
	m.prunedRevision = index
}

// countPrunable counts the members at the head of m.ended that may be forgotten
// and ended before an index.
func (m *Machine) countPrunable(now time.Time, before uint64) int {
	for i, id := range m.ended {
		member := m.members[id]
		if member.EndedIndex >= before || now.Sub(member.Ended) < m.retention.EndedMembers {
			return i
		}
	}
	return len(m.ended)
}

// oldestRunningIndex returns the lowest index at which a running job was accepted.
// A member that ended later may have started tasks of that job, and an entry that
// takes the job over needs its record.
func (m *Machine) oldestRunningIndex() uint64 {
	oldest := uint64(math.MaxUint64)
	for _, jobs := range m.running {
		for _, r := range jobs.all {
			oldest = min(oldest, r.AcceptedIndex)
		}
	}
	return oldest
}

// rebuildEnded derives the list of ended members from the members.
func (m *Machine) rebuildEnded() {
	m.ended = nil
	for id, member := range m.members {
		if !member.Active() {
			m.ended = append(m.ended, id)
		}
	}
	slices.SortFunc(m.ended, func(a, b string) int {
		return cmp.Compare(m.members[a].EndedIndex, m.members[b].EndedIndex)
	})
}
