package entry

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cicadapulley/cicadapulley/api/codec"
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/dispatch"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/tasktable"
	"github.com/cicadapulley/cicadapulley/core/verdict"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

const (
	// fateMaxWait is how long an agent may delay its answer about running tasks.
	fateMaxWait = 10 * time.Second
	// fateRetryDelay is the delay after a failed query about a task's fate.
	fateRetryDelay = 100 * time.Millisecond
	// answerGrace is the time past a deadline in which an agent's answer is
	// still awaited; the agent itself stops at the deadline.
	answerGrace = 200 * time.Millisecond
)

// attempt is one request to start a task.
type attempt struct {
	key      job.TaskKey
	service  string
	task     job.Task
	epoch    uint64
	number   uint32
	deadline time.Time
	// repeatable tasks whose answer is lost are sent to another endpoint; their fate
	// is not queried.
	repeatable bool
}

// sender sends tasks to agents and determines their fate.
type sender struct {
	peers      *peerSet
	dispatcher *dispatcher
	log        *events.Log
	entryID    string
}

// send makes one attempt on the assigned endpoint and returns when the task's
// fate is known or the deadline has passed. A result with NotRun may be retried
// at another endpoint.
func (s *sender) send(a attempt, as dispatch.Assignment) job.TaskResult {
	p := s.peers.get(as.Endpoint)
	if p == nil {
		s.dispatcher.done(as, dispatch.Report{Verdict: verdict.NotRun, Code: verdict.CodeEndpointLost})
		return notRunResult(verdict.CodeEndpointLost, "the endpoint is gone")
	}
	ctx, cancel := context.WithDeadline(context.Background(), a.deadline.Add(answerGrace))
	defer cancel()
	s.emit(events.TaskSent, a, as.Endpoint, "")
	resp, written, err := s.callAgent(ctx, p, a)
	if err == nil {
		return s.handleResponse(ctx, p, a, as, resp)
	}
	if !written {
		s.dispatcher.done(as, dispatch.Report{Verdict: verdict.NotRun, Code: verdict.CodeEndpointLost})
		return notRunResult(verdict.CodeEndpointLost, err.Error())
	}
	// The loss is reported to the scheduler at once, since determining the task's
	// fate may take long.
	s.dispatcher.done(as, dispatch.Report{Verdict: verdict.MayHaveRun, Code: verdict.CodeEndpointLost})
	if a.repeatable {
		return unknownResult(verdict.CodeEndpointLost, "the connection broke while the task may have run")
	}
	return s.awaitFate(ctx, p, a)
}

// callAgent sends the request; written is false only if no part of it was sent.
func (s *sender) callAgent(ctx context.Context, p *peer, a attempt) (*rpc.RunResponse, bool, error) {
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { written.Store(true) },
	})
	resp, err := p.agent.Run(ctx, &rpc.RunRequest{
		Job:         codec.KeyToRPC(a.key.Job),
		Task:        uint32(a.key.Task),
		Epoch:       a.epoch,
		Attempt:     a.number,
		Service:     a.service,
		Kind:        a.task.Kind,
		Payload:     a.task.Payload,
		TimeoutMs:   time.Until(a.deadline).Milliseconds(),
		Entry:       s.entryID,
		Backlog:     uint32(s.dispatcher.queued()),
		Clock:       s.log.Now(),
		Incarnation: p.member.Incarnation,
	})
	return resp, written.Load(), err
}

func (s *sender) handleResponse(ctx context.Context, p *peer, a attempt, as dispatch.Assignment, resp *rpc.RunResponse) job.TaskResult {
	s.log.Observe(resp.Clock)
	load := &dispatch.Load{
		Slots:   int(resp.GetLoad().GetSlots()),
		Running: int(resp.GetLoad().GetRunning()),
		Granted: int(resp.GetLoad().GetGranted()),
	}
	if refusal := codec.FailureFromRPC(resp.Refusal); refusal != nil {
		return s.handleRefusal(ctx, p, a, as, refusal, load)
	}
	result := codec.ResultFromRPC(resp.Result)
	s.emit(events.TaskAnswered, a, as.Endpoint, result.State.String())
	s.dispatcher.done(as, dispatch.Report{
		Verdict: result.Verdict,
		Code:    result.Code,
		OK:      result.State == job.TaskDone,
		RunTime: time.Duration(resp.RunUs) * time.Microsecond,
		Load:    load,
	})
	return result
}

// handleRefusal handles an agent's refusal. If an earlier copy of the request
// started the task, it queries the task's fate.
func (s *sender) handleRefusal(ctx context.Context, p *peer, a attempt, as dispatch.Assignment, e *verdict.Error, load *dispatch.Load) job.TaskResult {
	result := job.TaskResult{State: job.TaskFailed, Verdict: e.Verdict, Code: e.Code, Message: e.Message}
	if e.Code == verdict.CodeAlreadyStarted {
		result = s.awaitFate(ctx, p, a)
	}
	s.dispatcher.done(as, dispatch.Report{Verdict: result.Verdict, Code: e.Code, OK: result.State == job.TaskDone, Load: load})
	return result
}

// awaitFate queries the agent, on any connection that works, for the fate of an
// attempt whose answer was lost.
func (s *sender) awaitFate(ctx context.Context, p *peer, a attempt) job.TaskResult {
	s.emit(events.TaskFateAsked, a, p.member.ID, "")
	for {
		fate, known, fenced := s.queryFate(ctx, p, a)
		switch {
		case fenced:
			return unknownResult(verdict.CodeFenced, "the job has another owner")
		case known && fate.Status == tasktable.Ended:
			s.emit(events.TaskFateLearned, a, p.member.ID, fate.Result.State.String())
			return fate.Result
		case known && fate.Status == tasktable.Denied:
			s.emit(events.TaskFateLearned, a, p.member.ID, "denied")
			return notRunResult(verdict.CodeEndpointLost, "the request did not reach the endpoint")
		case s.peers.get(p.member.ID) != p:
			return unknownResult(verdict.CodeEndpointLost, "the endpoint was lost while the task may have run")
		case ctx.Err() != nil:
			return unknownResult(verdict.CodeDeadline, "no answer before the deadline")
		case !known:
			wait(ctx, fateRetryDelay)
		}
	}
}

func (s *sender) queryFate(ctx context.Context, p *peer, a attempt) (fate tasktable.Fate, known, fenced bool) {
	ref := &rpc.TaskRef{Job: codec.KeyToRPC(a.key.Job), Task: uint32(a.key.Task), Attempt: a.number}
	resp, err := p.agent.Fate(ctx, &rpc.FateRequest{
		Tasks:     []*rpc.TaskRef{ref},
		Epoch:     a.epoch,
		TimeoutMs: time.Until(a.deadline).Milliseconds(),
		MaxWaitMs: fateMaxWait.Milliseconds(),
		Clock:     s.log.Now(),
	})
	if err != nil || len(resp.Fates) != 1 {
		return tasktable.Fate{}, false, false
	}
	s.log.Observe(resp.Clock)
	if resp.Fates[0].Refusal != nil {
		return tasktable.Fate{}, false, true
	}
	if resp.Incarnation != p.member.Incarnation {
		// A restarted agent has lost its table, so it can't deny a start.
		return tasktable.Fate{}, false, false
	}
	return codec.FateFromRPC(resp.Fates[0]), true, false
}

func (s *sender) emit(id events.ID, a attempt, endpoint, text string) {
	s.log.Emit(events.Event{ID: id, Job: a.key.Job, Task: a.key.Task + 1, Peer: endpoint, Text: text})
}

func notRunResult(c verdict.Code, message string) job.TaskResult {
	return job.TaskResult{State: job.TaskFailed, Verdict: verdict.NotRun, Code: c, Message: message}
}

func unknownResult(c verdict.Code, message string) job.TaskResult {
	return job.TaskResult{State: job.TaskUnknown, Verdict: verdict.MayHaveRun, Code: c, Message: message}
}

// wait blocks for d or until ctx is done.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
