package scheduler

import (
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

const (
	// cancellationTTL is how long the cancellation of a job that wasn't there is kept. An entry
	// that was cut off hands its open jobs over as soon as it is back.
	cancellationTTL = 15 * time.Second
	// overtakenTime is by how much a cancellation may have overtaken the submission of its job,
	// which comes through another entry.
	overtakenTime = time.Second
	// maxCancellations bounds the cancellations that are kept.
	maxCancellations = 4096
)

// Cancel stops a best-effort job, and answers the requests that wait for it. It reports whether
// there is such a job. A submission of the job that was received before the cancellation and
// arrives here later is answered as cancelled too.
func (s *Scheduler) Cancel(now time.Time, id work.JobID) bool {
	if len(s.cancellations) < maxCancellations {
		s.cancellations[id] = now
	}
	if _, known := s.Planner.Abandon(now, id); !known {
		return false
	}
	s.log.Emit(events.Event{ID: events.WorkCancelled, Job: JobKey(id)})
	s.results[id] = result{state: work.Cancelled, recordedAt: now}
	s.answer(id, work.Cancelled)
	return true
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
