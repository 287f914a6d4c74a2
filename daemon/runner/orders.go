package runner

import (
	"context"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/runtable"
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

// startRun starts a run, unless the lease has expired, the endpoint is draining, its data
// centre is drained or it lacks the capacity. Each call asks for drains again: one that is
// repeated after an unanswered one may come after a drain.
func (s *session) startRun(ctx context.Context, p *participant, o placement.Order) {
	drained := s.service.drained()
	s.mu.Lock()
	s.table.SetDrained(drained)
	deadline, refusal := s.table.AdmitStart(now(), p.Scheduler, o)
	s.mu.Unlock()
	if refusal != 0 {
		s.reportRefusal(p, o.Run, refusal)
		return
	}
	answer, err := s.service.calls.order(ctx, func(callCtx context.Context) (runtable.Answer, error) {
		if s.service.drained() {
			return runtable.Answer{Verdict: runtable.Refused, Reason: placement.RefusedDrained}, nil
		}
		return s.service.opts.Endpoint.Start(callCtx, s.registration.Instance, StartRequest{
			Run: o.Run, Spec: o.Spec, Checkpoint: o.Checkpoint, Fence: s.fence, Deadline: deadline,
		})
	})
	if err != nil {
		s.service.opts.Log.Emit(events.Event{
			ID: events.StartUnanswered, Job: job.Key{ID: string(o.Run.Task.Job)}, Text: o.Run.Task.String(), Err: err,
		})
		s.mu.Lock()
		s.table.StartUnanswered(o.Run)
		s.mu.Unlock()
		return
	}
	s.mu.Lock()
	s.table.StartAnswered(now(), o.Run, answer)
	s.mu.Unlock()
	switch answer.Verdict {
	case runtable.Done:
	case runtable.Refused:
		s.reportRefusal(p, o.Run, answer.Reason)
	case runtable.Fenced:
		s.end(errFenced)
	case runtable.OtherInstance:
		s.endIncarnation(errOtherInstance)
	}
}

func (s *session) reportRefusal(p *participant, r work.Run, reason placement.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendReport(p, &mesh.Report{Refused: []mesh.RefusedStart{{Run: r, Reason: reason}}})
}

// stopRun ends a run. It repeats the order until it is answered: only then can the
// run no longer start.
func (s *session) stopRun(ctx context.Context, r work.Run) {
	s.mu.Lock()
	s.table.StopOrdered(r)
	s.mu.Unlock()
	for ctx.Err() == nil {
		if s.tryStopRun(ctx, r) {
			return
		}
		supervisor.Sleep(ctx, stopRetryDelay)
	}
}

func (s *session) tryStopRun(ctx context.Context, r work.Run) bool {
	answer, err := s.service.calls.order(ctx, func(callCtx context.Context) (runtable.Answer, error) {
		return s.service.opts.Endpoint.Stop(callCtx, s.registration.Instance, StopRequest{Run: r, Fence: s.fence})
	})
	if err != nil {
		return false
	}
	s.mu.Lock()
	s.table.StopAnswered(now(), r, answer)
	s.mu.Unlock()
	switch answer.Verdict {
	case runtable.Done:
	case runtable.Fenced:
		s.end(errFenced)
	case runtable.OtherInstance:
		s.endIncarnation(errOtherInstance)
	case runtable.Refused:
		return false
	}
	return true
}
