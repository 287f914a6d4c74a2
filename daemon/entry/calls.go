package entry

import (
	"bytes"
	"context"
	"time"

	"github.com/cicadapulley/cicadapulley/core/dispatch"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/core/verdict"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// call is one request to run a task. A call of a repeatable kind needs no record:
// the ticket allows a second start.
type call struct {
	key      job.Key
	service  string
	kind     state.Kind
	payload  []byte
	deadline time.Time
}

// activeCall is a call in progress. Further requests with the same ID join it.
type activeCall struct {
	call   call
	done   chan struct{}
	result job.TaskResult
}

// call runs a repeatable call or joins the one in progress with the same ID.
func (m *jobManager) call(ctx context.Context, c call, admit func() *verdict.Error) (job.TaskResult, *verdict.Error) {
	a, added, err := m.findOrAddCall(c)
	if err != nil {
		return job.TaskResult{}, err
	}
	if added {
		m.runCall(a, admit)
		return a.result, nil
	}
	select {
	case <-a.done:
		return a.result, nil
	case <-ctx.Done():
		return unknownResult(verdict.CodeUnavailable, "the request ended before the call it joined"), nil
	}
}

func (m *jobManager) findOrAddCall(c call) (a *activeCall, added bool, err *verdict.Error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.calls[c.key]
	if old == nil {
		a = &activeCall{call: c, done: make(chan struct{})}
		m.calls[c.key] = a
		return a, true, nil
	}
	same := old.call.service == c.service && old.call.kind.Name == c.kind.Name && bytes.Equal(old.call.payload, c.payload)
	if !same {
		return nil, false, conflict(c.key)
	}
	return old, false, nil
}

// runCall runs the call in the goroutine of its first request.
func (m *jobManager) runCall(a *activeCall, admit func() *verdict.Error) {
	defer m.endCall(a)
	a.result = unknownResult(verdict.CodeInternal, "the call did not end")
	if refusal := admit(); refusal != nil {
		a.result = refusedResult(refusal)
		return
	}
	a.result = m.sendCall(a.call)
	m.log.Emit(events.Event{ID: events.CallFinished, Job: a.call.key, Text: a.result.State.String()})
}

func (m *jobManager) endCall(a *activeCall) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.calls, a.call.key)
	close(a.done)
}

// sendCall sends the call until it has run or must not be retried.
func (m *jobManager) sendCall(c call) job.TaskResult {
	replies := make(chan dispatchReply, 1)
	m.service.dispatcher.enqueue([]dispatch.Item{{
		Job:        c.key,
		Caller:     c.key.Caller,
		Service:    c.service,
		Kind:       c.kind.Name,
		Needs:      c.kind.Needs,
		Repeatable: true,
		Enqueued:   time.Now(),
		Deadline:   c.deadline,
	}}, replies)
	mayHaveRun := false
	for try := 1; ; try++ {
		reply := <-replies
		if reply.err != nil {
			return afterTries(refusedResult(reply.err), mayHaveRun)
		}
		result := afterTries(m.sender.send(c.attempt(try), reply.assignment), mayHaveRun)
		retry := result.Verdict != verdict.Ran && time.Now().Before(c.deadline)
		if !retry || !m.service.dispatcher.requeue(reply.assignment.Item, reply.assignment.Endpoint, replies) {
			return result
		}
		mayHaveRun = result.Verdict != verdict.NotRun
		m.log.Emit(events.Event{ID: events.TaskRetried, Job: c.key, Peer: reply.assignment.Endpoint, Text: string(result.Code)})
	}
}

// afterTries returns the result of a call's last try. That this one has not run says nothing about
// earlier tries, any of which may have run.
func afterTries(r job.TaskResult, mayHaveRun bool) job.TaskResult {
	if mayHaveRun && r.Verdict == verdict.NotRun {
		r.Verdict = verdict.MayHaveRun
	}
	return r
}

// attempt uses a separate task number for each try, since a repeatable call may
// start again at an endpoint that started it before. Epoch zero, which no record
// has, tells the agent that no lease protects the start.
func (c call) attempt(try int) attempt {
	return attempt{
		key:        job.TaskKey{Job: c.key, Task: try - 1},
		service:    c.service,
		task:       job.Task{Kind: c.kind.Name, Payload: c.payload},
		epoch:      0,
		number:     1,
		deadline:   c.deadline,
		repeatable: true,
	}
}
