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

// carryOut carries out a holder's order beside the connection.
func (s *session) carryOut(j *joined, o placement.Order) {
	s.spawn(func() {
		if o.Stop {
			s.stop(s.ctx, o.Run)
			return
		}
		s.start(s.ctx, j, o)
	})
}

// start begins a run, unless the lease, the endpoint's drain or its room forbid it.
func (s *session) start(ctx context.Context, j *joined, o placement.Order) {
	deadline, refusal := s.permit(j, o)
	if refusal != 0 {
		s.refuse(j, o.Run, refusal)
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
		s.forgetRun(o.Run)
		s.refuse(j, o.Run, answer.Why)
	case Fenced:
		s.end(errFenced)
	case OtherInstance:
		s.service.forget(&s.reg)
		s.end(errOtherInstance)
	}
}

// permit decides whether a run may start, and until when it may go on. The leader
// knows the endpoint's room; among entries the agent decides who gets it.
func (s *session) permit(j *joined, o placement.Order) (time.Duration, placement.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now()
	deadline := s.deadline(at, j.owner)
	switch {
	case s.draining:
		return 0, placement.RefusedDraining
	case s.joined[j.vm] != j, deadline <= s.keeper.At(at):
		return 0, placement.RefusedLease
	case j.vm != "" && (!o.Need.Fits(s.free()) || len(s.unacked) >= maxUnacked):
		return 0, placement.RefusedCapacity
	}
	started := startedRun{owner: j.owner, need: o.Need, bestEffort: o.BestEffort}
	s.runs[o.Run] = &localRun{startedRun: started, state: ordered, since: s.holds}
	s.service.memory.start(o.Run, started)
	s.latest = max(s.latest, deadline)
	return deadline, 0
}

// free returns the endpoint's room; none while a run's need isn't known. The
// caller holds mu.
func (s *session) free() work.Resources {
	room := s.reg.Capacity
	for _, r := range s.runs {
		if r.foreign {
			return work.Resources{}
		}
		room = room.Minus(r.need)
	}
	return room
}

func (s *session) forgetRun(r work.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(r)
}

func (s *session) refuse(j *joined, r work.Run, why placement.Refusal) {
	s.tell(j, &mesh.Report{Refused: []mesh.RefusedStart{{Run: r, Reason: why}}})
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
