package runner

import (
	"context"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

func (s *session) carryOut(ctx context.Context, o placement.Order) {
	if o.Stop {
		s.stop(ctx, o.Run)
		return
	}
	s.start(ctx, o)
}

// start begins a run, unless the lease or the endpoint's drain forbid it.
func (s *session) start(ctx context.Context, o placement.Order) {
	deadline, refusal := s.permit(o.Run)
	if refusal != 0 {
		s.refuse(o.Run, refusal)
		return
	}
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := s.service.opts.Endpoint.Start(bounded, s.reg.Instance, Start{
		Run: o.Run, Spec: o.Spec, Checkpoint: o.Checkpoint, Fence: s.fence, Deadline: deadline,
	})
	if err != nil {
		s.service.opts.Log.Emit(events.Event{
			ID: events.StartUnanswered, Job: job.Key{ID: string(o.Run.Task.Job)}, Text: o.Run.Task.String(), Err: err,
		})
		s.setState(o.Run, unanswered)
		return
	}
	s.observe(answer.Clock)
	switch answer.Verdict {
	case Done:
		s.setState(o.Run, confirmed)
	case Refused:
		s.refuse(o.Run, answer.Why)
	case Fenced:
		s.end(errFenced)
	case OtherInstance:
		s.service.forget(&s.reg)
		s.end(errOtherInstance)
	}
}

// permit decides whether a run may start, and until when it may go on.
func (s *session) permit(r work.Run) (time.Duration, placement.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now()
	deadline := s.keeper.Deadline(at)
	switch {
	case s.draining:
		return 0, placement.RefusedDraining
	case deadline <= s.keeper.Clock(at):
		return 0, placement.RefusedLease
	}
	s.runs[r] = &localRun{state: ordered, since: s.holds}
	s.latest = max(s.latest, deadline)
	return deadline, 0
}

func (s *session) refuse(r work.Run, why placement.Refusal) {
	s.mu.Lock()
	delete(s.runs, r)
	s.mu.Unlock()
	s.leader.Send(&mesh.Report{Session: s.fence, Refused: []mesh.RefusedStart{{Run: r, Why: why}}})
}

// setState notes a run's state, unless its end was reported meanwhile.
func (s *session) setState(r work.Run, state localState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.runs[r]; l != nil {
		l.state = state
		l.since = s.holds
	}
}

func (s *session) observe(clock time.Duration) {
	if clock == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.Observe(clock, now())
}

// stop ends a run. It repeats the order until it is answered: only then can the
// run not begin any more.
func (s *session) stop(ctx context.Context, r work.Run) {
	s.mu.Lock()
	if s.runs[r] == nil {
		s.runs[r] = &localRun{state: confirmed, since: s.holds}
	}
	s.mu.Unlock()
	for ctx.Err() == nil {
		if s.tryStop(ctx, r) {
			return
		}
		pause(ctx, stopPause)
	}
}

func (s *session) tryStop(ctx context.Context, r work.Run) bool {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := s.service.opts.Endpoint.Stop(bounded, s.reg.Instance, Stop{Run: r, Fence: s.fence})
	if err != nil {
		return false
	}
	s.observe(answer.Clock)
	switch answer.Verdict {
	case Done:
		s.setState(r, stopped)
	case Fenced:
		s.end(errFenced)
	case OtherInstance:
		s.service.forget(&s.reg)
		s.end(errOtherInstance)
	case Refused:
		return false
	}
	return true
}
