package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

const (
	// CancellationTTL is how long the cancellation of a job that isn't recorded is kept. An entry
	// that was cut off hands its open jobs over as soon as it is back.
	CancellationTTL = 15 * time.Second
	// overtakenTime is by how much a cancellation may have overtaken the submission of its job,
	// which comes through another entry.
	overtakenTime = time.Second
)

// Cancel stops a best-effort job, and answers the requests that wait for it. It reports whether
// there is such a job. A submission of the job that was received before the cancellation and
// arrives here later is answered as cancelled too.
func (s *Scheduler) Cancel(now time.Time, id work.JobID) bool {
	s.KeepCancellation(now, id)
	if _, known := s.Planner.Abandon(now, id); !known {
		return false
	}
	s.log.Emit(events.Event{ID: events.WorkCancelled, Job: JobKey(id)})
	s.results[id] = result{state: work.Cancelled, recordedAt: now}
	s.answer(id, work.Cancelled)
	return true
}

// KeepCancellation keeps a cancellation of a job that isn't recorded, which was made at a time or
// earlier. As in the ledger, it replaces the oldest if there are too many.
func (s *Scheduler) KeepCancellation(at time.Time, id work.JobID) {
	if _, kept := s.cancellations[id]; !kept && len(s.cancellations) >= ledger.MaxCancellations {
		byTime := func(a, b work.JobID) int { return s.cancellations[a].Compare(s.cancellations[b]) }
		delete(s.cancellations, slices.MinFunc(slices.Collect(maps.Keys(s.cancellations)), byTime))
	}
	s.cancellations[id] = at
}

// Cancelled reports whether a job was cancelled after its submission was received, which its
// caller has waited for since then.
func (s *Scheduler) Cancelled(now time.Time, id work.JobID, waited time.Duration) bool {
	at, found := s.cancellations[id]
	return found && now.Add(-waited).Before(at.Add(overtakenTime))
}

// answer answers the requests that wait for a best-effort job that has ended.
func (s *Scheduler) answer(id work.JobID, state work.State) {
	for _, w := range s.waiters[id] {
		w.Answer(&mesh.Response{Sequence: w.Sequence, Outcome: mesh.Found, State: state})
	}
	delete(s.waiters, id)
}
