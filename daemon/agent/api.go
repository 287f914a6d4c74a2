package agent

import (
	"context"
	"time"

	"github.com/cicadapulley/cicadapulley/api/codec"
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/tasktable"
)

// api is the agent's interface to entries. Each call runs in the goroutine of
// its HTTP/2 stream.
type api struct {
	executor *executor
}

// Run implements rpc.Agent. It does not end early when the connection breaks.
func (a *api) Run(_ context.Context, q *rpc.RunRequest) (*rpc.RunResponse, error) {
	x := a.executor
	x.log.Observe(q.Clock)
	done, refusal := x.run(startRequest{
		request: request{
			key:     job.TaskKey{Job: codec.KeyFromRPC(q.Job), Task: int(q.Task)},
			service: q.Service,
			kind:    q.Kind,
			payload: q.Payload,
		},
		attempt:     tasktable.Attempt{Epoch: q.Epoch, Number: q.Attempt},
		timeout:     time.Duration(q.TimeoutMs) * time.Millisecond,
		entry:       q.Entry,
		incarnation: q.Incarnation,
		backlog:     int(q.Backlog),
	})
	resp := &rpc.RunResponse{
		Refusal: codec.FailureToRPC(refusal),
		Load:    x.load(q.Entry),
		Clock:   x.log.Now(),
	}
	if refusal == nil {
		resp.Result = codec.ResultToRPC(done.result)
		resp.RunUs = done.runTime.Microseconds()
	}
	return resp, nil
}

// Fate implements rpc.Agent. It answers when none of the tasks runs any more, or
// after max_wait_ms.
func (a *api) Fate(ctx context.Context, q *rpc.FateRequest) (*rpc.FateResponse, error) {
	a.executor.log.Observe(q.Clock)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.MaxWaitMs)*time.Millisecond)
	defer cancel()
	for {
		ended := a.executor.nextEnd()
		fates, running := a.fates(q)
		if running && ctx.Err() == nil {
			select {
			case <-ended:
				continue
			case <-ctx.Done():
			}
		}
		return &rpc.FateResponse{
			Fates:       fates,
			Incarnation: a.executor.members.Incarnation(),
			Clock:       a.executor.log.Now(),
		}, nil
	}
}

// fates returns the fate of each task and whether any of them runs.
func (a *api) fates(q *rpc.FateRequest) ([]*rpc.TaskFate, bool) {
	timeout := time.Duration(q.TimeoutMs) * time.Millisecond
	list := make([]*rpc.TaskFate, len(q.Tasks))
	running := false
	for i, ref := range q.Tasks {
		key := job.TaskKey{Job: codec.KeyFromRPC(ref.Job), Task: int(ref.Task)}
		fate, err := a.executor.fate(key, tasktable.Attempt{Epoch: q.Epoch, Number: ref.Attempt}, timeout)
		if err != nil {
			list[i] = &rpc.TaskFate{Refusal: codec.FailureToRPC(err)}
			continue
		}
		list[i] = codec.FateToRPC(fate)
		running = running || fate.Status == tasktable.Started
	}
	return list, running
}

// Cancel implements rpc.Agent.
func (a *api) Cancel(_ context.Context, q *rpc.CancelRequest) (*rpc.CancelResponse, error) {
	a.executor.log.Observe(q.Clock)
	for _, c := range q.Jobs {
		timeout := time.Duration(c.TimeoutMs) * time.Millisecond
		a.executor.cancel(codec.KeyFromRPC(c.Job), c.Epoch, timeout)
	}
	return &rpc.CancelResponse{Clock: a.executor.log.Now()}, nil
}
