package runner

import (
	"context"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
)

// execute executes a scheduler's order in its own goroutine, so that the
// connection's reader does not wait for the endpoint.
func (s *session) execute(p *participant, o placement.Order) {
	s.spawn(func() {
		if o.Stop {
			s.stopRun(s.ctx, o.Run)
			return
		}
		s.startRun(s.ctx, p, o)
	})
}

// startRun starts a run, unless the lease has expired, the endpoint is draining or
// it lacks the capacity.
func (s *session) startRun(ctx context.Context, p *participant, o placement.Order) {
	deadline, refusal := s.admitStart(p, o)
	if refusal != 0 {
		s.reportRefusal(p, o.Run, refusal)
		return
	}
	answer, err := s.service.calls.order(ctx, func(callCtx context.Context) (Answer, error) {
		return s.service.opts.Endpoint.Start(callCtx, s.registration.Instance, StartRequest{
			Run: o.Run, Spec: o.Spec, Checkpoint: o.Checkpoint, Fence: s.fence, Deadline: deadline,
		})
	})
	if err != nil {
		s.service.opts.Log.Emit(events.Event{
			ID: events.StartUnanswered, Job: job.Key{ID: string(o.Run.Task.Job)}, Text: o.Run.Task.String(), Err: err,
		})
		s.setRunState(o.Run, unanswered)
		return
	}
	s.observeClock(answer.Clock)
	switch answer.Verdict {
	case Done:
		s.setRunState(o.Run, confirmed)
	case Refused:
		s.lockAndRemoveRun(o.Run)
		s.reportRefusal(p, o.Run, answer.Reason)
	case Fenced:
		s.end(errFenced)
	case OtherInstance:
		s.endIncarnation(errOtherInstance)
	}
}

// admitStart decides whether a run may start, and returns the deadline until which
// it may continue, or the reason for the refusal. The leader tracks the endpoint's
// capacity itself; among entries the agent assigns it.
func (s *session) admitStart(p *participant, o placement.Order) (time.Duration, placement.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now()
	deadline := s.deadline(at, p.owner)
	switch {
	case s.draining:
		return 0, placement.RefusedDraining
	case s.participants[p.vm] != p, deadline <= s.clock.At(at):
		return 0, placement.RefusedLease
	case p.vm != "" && (s.hasDisputedEnds() || !o.Need.Fits(s.freeCapacity()) || len(s.unacked) >= maxUnacked):
		return 0, placement.RefusedCapacity
	}
	started := startedRun{owner: p.owner, need: o.Need, bestEffort: o.BestEffort}
	s.runs[o.Run] = &localRun{startedRun: started, state: ordered, sinceHold: s.holdsSent}
	s.service.records.recordStart(o.Run, started)
	s.latestDeadline = max(s.latestDeadline, deadline)
	return deadline, 0
}

// freeCapacity returns the endpoint's unused resources; none while the need of one
// of its runs is unknown. The caller holds mu.
func (s *session) freeCapacity() work.Resources {
	free := s.registration.Capacity
	for _, r := range s.runs {
		if r.unknownNeed {
			return work.Resources{}
		}
		free = free.Minus(r.need)
	}
	return free
}

func (s *session) lockAndRemoveRun(r work.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeRun(r)
}

func (s *session) reportRefusal(p *participant, r work.Run, reason placement.Refusal) {
	s.sendReport(p, &mesh.Report{Refused: []mesh.RefusedStart{{Run: r, Reason: reason}}})
}

// setRunState sets a run's state, unless its end has been reported in the meantime.
func (s *session) setRunState(r work.Run, state runState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.runs[r]; l != nil {
		l.state = state
		l.sinceHold = s.holdsSent
	}
}

func (s *session) observeClock(clock time.Duration) {
	if clock == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock.Observe(clock, now())
}

// stopRun ends a run. It repeats the order until it is answered: only then can the
// run no longer start.
func (s *session) stopRun(ctx context.Context, r work.Run) {
	s.mu.Lock()
	if s.runs[r] == nil {
		s.runs[r] = &localRun{state: confirmed, sinceHold: s.holdsSent}
	}
	s.mu.Unlock()
	for ctx.Err() == nil {
		if s.tryStopRun(ctx, r) {
			return
		}
		supervisor.Sleep(ctx, stopRetryDelay)
	}
}

func (s *session) tryStopRun(ctx context.Context, r work.Run) bool {
	answer, err := s.service.calls.order(ctx, func(callCtx context.Context) (Answer, error) {
		return s.service.opts.Endpoint.Stop(callCtx, s.registration.Instance, StopRequest{Run: r, Fence: s.fence})
	})
	if err != nil {
		return false
	}
	s.observeClock(answer.Clock)
	switch answer.Verdict {
	case Done:
		s.setRunState(r, stopped)
	case Fenced:
		s.end(errFenced)
	case OtherInstance:
		s.endIncarnation(errOtherInstance)
	case Refused:
		return false
	}
	return true
}
