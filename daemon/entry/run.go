package entry

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cicadapulley/cicadapulley/api/codec"
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/dispatch"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/verdict"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// runJob runs a job's tasks, publishes the outcome and records it. recovered holds
// the results that a takeover collected; tasks whose entry is nil are run.
func (m *jobManager) runJob(j *activeJob, r job.Record, recovered []*job.TaskResult) {
	results := m.runTasks(j, r, recovered)
	outcome := job.NewOutcome(results)
	if j.isCancelled() && outcome.State != job.Complete {
		outcome.State = job.Cancelled
		outcome.Code = verdict.CodeCancelled
	}
	m.finishJob(j, r, outcome)
}

// runTasks queues the tasks without a recovered result and collects all results.
func (m *jobManager) runTasks(j *activeJob, r job.Record, recovered []*job.TaskResult) []job.TaskResult {
	results := make([]job.TaskResult, len(r.Tasks))
	items := m.items(r, recovered, results)
	replies := make(chan dispatchReply, len(items))
	m.service.dispatcher.enqueue(items, replies)
	if j.isCancelled() {
		m.service.dispatcher.remove(r.Key, cancelledError())
	}
	var tasks conc.WaitGroup
	for range items {
		reply := <-replies
		tasks.Go(func() { results[reply.task] = m.runTask(j, r, reply) })
	}
	tasks.Wait()
	return results
}

// items lists the tasks to run and copies the recovered results.
func (m *jobManager) items(r job.Record, recovered []*job.TaskResult, results []job.TaskResult) []dispatch.Item {
	service := m.service.members.Replica().Config.Services[r.Service]
	now := time.Now()
	var items []dispatch.Item
	for i, t := range r.Tasks {
		if recovered != nil && recovered[i] != nil {
			results[i] = *recovered[i]
			continue
		}
		kind, _ := service.Kind(t.Kind)
		items = append(items, dispatch.Item{
			Job:      r.Key,
			Task:     i,
			Caller:   r.Key.Caller,
			Service:  r.Service,
			Kind:     t.Kind,
			Needs:    kind.Needs,
			Enqueued: now,
			Deadline: r.Deadline,
		})
	}
	return items
}

// runTask sends one task until it has run, may have run, or must not be retried.
func (m *jobManager) runTask(j *activeJob, r job.Record, reply dispatchReply) job.TaskResult {
	retry := make(chan dispatchReply, 1)
	for number := uint32(1); ; number++ {
		if reply.err != nil {
			return refusedResult(reply.err)
		}
		result := m.sendOnce(j, r, reply, number)
		if result.Verdict != verdict.NotRun || !m.mayRetry(j, r, result) {
			return result
		}
		m.log.Emit(events.Event{ID: events.TaskRetried, Job: r.Key, Task: reply.task + 1, Peer: reply.assignment.Endpoint, Text: string(result.Code)})
		if !m.service.dispatcher.requeue(reply.assignment.Item, reply.assignment.Endpoint, retry) {
			return result
		}
		reply = <-retry
	}
}

// sendOnce makes one attempt. An entry without a valid lease may have lost the
// job to another owner and sends nothing.
func (m *jobManager) sendOnce(j *activeJob, r job.Record, reply dispatchReply, number uint32) job.TaskResult {
	m.awaitLease(r)
	if refusal := m.checkOwnership(j, r); refusal != nil {
		m.service.dispatcher.done(reply.assignment, dispatch.Report{Verdict: verdict.NotRun, Code: verdict.CodeCancelled})
		return refusedResult(refusal)
	}
	j.trackInFlight(reply.assignment.Endpoint, 1)
	defer j.trackInFlight(reply.assignment.Endpoint, -1)
	return m.sender.send(attempt{
		key:      job.TaskKey{Job: r.Key, Task: reply.task},
		service:  r.Service,
		task:     r.Tasks[reply.task],
		epoch:    r.Epoch,
		number:   number,
		deadline: r.Deadline,
	}, reply.assignment)
}

// awaitLease blocks while the entry's lease has expired, up to the job's deadline.
func (m *jobManager) awaitLease(r job.Record) {
	members := m.service.members
	if members.LeaseValid() {
		return
	}
	ctx, cancel := context.WithDeadline(m.backgroundCtx, r.Deadline)
	defer cancel()
	for ctx.Err() == nil {
		changed := members.Changed()
		if members.LeaseValid() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (m *jobManager) checkOwnership(j *activeJob, r job.Record) *verdict.Error {
	members := m.service.members
	switch {
	case j.isCancelled():
		return cancelledError()
	case !members.LeaseValid():
		return verdict.Errorf(verdict.CodeLeaseExpired, verdict.NotRun, "the entry's lease has lapsed")
	case members.Incarnation() != r.OwnerIncarnation:
		return verdict.Errorf(verdict.CodeFenced, verdict.NotRun, "the job has another owner")
	}
	return nil
}

// mayRetry limits retries to refusals that another endpoint may not repeat, before
// the deadline.
func (m *jobManager) mayRetry(j *activeJob, r job.Record, result job.TaskResult) bool {
	switch result.Code {
	case verdict.CodeCancelled, verdict.CodeFenced:
		return false
	}
	return !j.isCancelled() && time.Now().Before(r.Deadline)
}

func refusedResult(e *verdict.Error) job.TaskResult {
	result := notRunResult(e.Code, e.Message)
	if e.Code == verdict.CodeCancelled {
		result.State = job.TaskCancelled
	}
	return result
}

func cancelledError() *verdict.Error {
	return verdict.Errorf(verdict.CodeCancelled, verdict.NotRun, "the job was cancelled")
}

// trackInFlight counts the tasks in flight at an endpoint, for cancels.
func (j *activeJob) trackInFlight(endpoint string, change int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.inFlight[endpoint] += change
	if j.inFlight[endpoint] == 0 {
		delete(j.inFlight, endpoint)
	}
}

func (j *activeJob) isCancelled() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.cancelled
}

// recordGrace is how long recording an outcome may take past the deadline before
// the job is answered without it. A commit takes about 6 ms, and more under load.
const recordGrace = 250 * time.Millisecond

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// finishJob records an outcome, then answers with what is recorded. An answer that
// is sent before its record would differ from that of a resubmission if this entry
// and an agent with results were lost in between.
func (m *jobManager) finishJob(j *activeJob, r job.Record, o job.Outcome) {
	recordCtx, stopAnswerTimer := context.WithCancel(m.backgroundCtx)
	answerAt := later(r.Deadline, time.Now().Add(recordGrace))
	m.spawn("due", func() { m.answerAtDeadline(recordCtx, j, r, o, answerAt) })
	recorded := m.recordOutcome(j, r, o)
	stopAnswerTimer()
	switch {
	case m.superseded(j, r):
	case recorded != nil:
		m.publish(j, *recorded)
		j.setUnrecorded(false)
		m.remove(j)
	case j.publishedOutcome() != nil:
		m.remove(j)
	default:
		m.handOver(j)
	}
}

// answerAtDeadline answers without a record if control has not recorded the outcome
// in time: at the job's deadline, or shortly before the lease expires, since
// afterwards another entry may own the job. The answer is correct either way.
func (m *jobManager) answerAtDeadline(recordCtx context.Context, j *activeJob, r job.Record, o job.Outcome, answerAt time.Time) {
	for recordCtx.Err() == nil {
		leaseLimit := m.service.members.LeaseExpiry().Add(-answerGrace)
		left := min(time.Until(answerAt), time.Until(leaseLimit))
		if left <= 0 {
			m.answerUnrecorded(j, r, o)
			return
		}
		wait(recordCtx, left)
	}
}

// answerUnrecorded publishes an outcome while this entry certainly owns the job.
func (m *jobManager) answerUnrecorded(j *activeJob, r job.Record, o job.Outcome) {
	if o.State != job.Complete || !m.owns(r) || m.superseded(j, r) {
		// The next owner may find that a failed job is complete, and no caller waits
		// for the outputs of a cancelled job, so these answers wait for the record.
		return
	}
	m.log.Emit(events.Event{ID: events.AnsweredUnrecorded, Job: r.Key})
	j.setUnrecorded(true)
	m.publish(j, o)
}

// owns reports whether no other entry can own the job.
func (m *jobManager) owns(r job.Record) bool {
	members := m.service.members
	return members.LeaseValid() && members.Incarnation() == r.OwnerIncarnation
}

func (j *activeJob) setUnrecorded(v bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.unrecorded = v
}

// superseded reports whether this entry runs the job again under a higher epoch.
func (m *jobManager) superseded(j *activeJob, r job.Record) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.epoch != r.Epoch
}

// recordOutcome proposes the outcome to control until control answers. It returns the
// recorded outcome, or nil if another owner will decide it.
func (m *jobManager) recordOutcome(j *activeJob, r job.Record, o job.Outcome) *job.Outcome {
	ctx := m.backgroundCtx
	for {
		resp, err := m.service.opts.Control.FinishJob(ctx, &rpc.FinishJobRequest{
			Key:     codec.KeyToRPC(r.Key),
			Epoch:   r.Epoch,
			Outcome: codec.OutcomeToRPC(&o),
			Clock:   m.log.Now(),
		})
		if err == nil && resp.Finished {
			return outcomeOf(*codec.RecordFromRPC(resp.Record))
		}
		if err == nil || m.superseded(j, r) {
			return nil
		}
		m.log.Emit(events.Event{ID: events.FinishFailed, Job: r.Key, Err: err})
		wait(ctx, finishRetryDelay)
		if ctx.Err() != nil {
			return nil
		}
	}
}
