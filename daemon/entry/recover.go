package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cicadapulley/cicadapulley/api/codec"
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/core/tasktable"
	"github.com/cicadapulley/cicadapulley/core/verdict"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// minRecoveryTime is the least time for which a takeover queries the agents, also
// when the deadline has passed, as it often has when the lease of the failed entry
// expires. Agents keep results for longer; the lease of an agent that does not
// answer expires within this time.
const minRecoveryTime = 6 * time.Second

// recoverJobs takes over jobs whose entry has ended. The membership service calls
// it after the replica has the members of the same revision.
func (s *Service) recoverJobs(records []job.Record) {
	for _, r := range records {
		s.jobs.spawn("recover", func() { s.jobs.recoverJob(r) })
	}
}

// recoverJob continues a job under its new epoch.
func (m *jobManager) recoverJob(r job.Record) {
	j, adopted := m.adopt(r)
	if !adopted {
		return
	}
	m.log.Emit(events.Event{ID: events.JobRecovered, Job: r.Key})
	if outcome := j.publishedOutcome(); outcome != nil {
		m.recordOutcome(j, r, *outcome)
		m.remove(j)
		return
	}
	m.runJob(j, r, m.collectFates(r))
}

// adopt makes the job active under the record's epoch; adopted is false if it was
// already.
func (m *jobManager) adopt(r job.Record) (j *activeJob, adopted bool) {
	m.mu.Lock()
	j = m.active[r.Key]
	exists := j != nil
	if !exists {
		j = newActiveJob(r)
		close(j.accepted)
		m.active[r.Key] = j
	}
	m.mu.Unlock()
	if exists {
		// A proposal in progress is completed first, so that there is one owner.
		<-j.accepted
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.epoch >= r.Epoch {
		return j, false
	}
	j.epoch = r.Epoch
	j.record = r
	return j, true
}

func (j *activeJob) publishedOutcome() *job.Outcome {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.outcome
}

// taskFates collects the agents' answers about a job's tasks.
type taskFates struct {
	mu      sync.Mutex
	results []*job.TaskResult
	// incomplete is set when an agent that may have started tasks can't be queried.
	incomplete bool
}

// collectFates queries every agent about every task under the new epoch, which
// fences the earlier owner, before any other request is sent to any agent. The
// result is nil for each task that certainly did not start.
func (m *jobManager) collectFates(r job.Record) []*job.TaskResult {
	f := &taskFates{results: make([]*job.TaskResult, len(r.Tasks))}
	until := r.Deadline.Add(answerGrace)
	if minUntil := time.Now().Add(minRecoveryTime); until.Before(minUntil) {
		until = minUntil
	}
	ctx, cancel := context.WithDeadline(m.backgroundCtx, until)
	defer cancel()
	var queries conc.WaitGroup
	for _, member := range m.service.members.Replica().Members {
		if member.Role != state.RoleAgent {
			continue
		}
		if member.MayHaveLostStarts(r.AcceptedIndex) {
			f.setIncomplete()
		}
		if member.Active() {
			queries.Go(func() { m.queryAgent(ctx, r, member, f) })
		}
	}
	queries.Wait()
	return f.finalResults()
}

func (f *taskFates) setIncomplete() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incomplete = true
}

// finalResults returns the results. If the answers are incomplete, tasks without a
// result get the verdict may_have_run.
func (f *taskFates) finalResults() []*job.TaskResult {
	if !f.incomplete {
		return f.results
	}
	for i, r := range f.results {
		if r == nil {
			result := unknownResult(verdict.CodeEndpointLost, "the task's fate could not be learned after its entry ended")
			f.results[i] = &result
		}
	}
	return f.results
}

// queryAgent queries one agent until it has answered about all tasks, none of them
// running, or is no longer active.
func (m *jobManager) queryAgent(ctx context.Context, r job.Record, member state.Member, f *taskFates) {
	for ctx.Err() == nil {
		current := m.service.members.Replica().Members[member.ID]
		if !current.Active() || current.Incarnation != member.Incarnation {
			break
		}
		p := m.service.peers.get(member.ID)
		if p != nil && p.member.Incarnation == member.Incarnation && m.queryAgentOnce(ctx, p, r, f) {
			return
		}
		wait(ctx, fateRetryDelay)
	}
	f.setIncomplete()
}

// queryAgentOnce reports whether the agent answered and runs none of the tasks.
func (m *jobManager) queryAgentOnce(ctx context.Context, p *peer, r job.Record, f *taskFates) bool {
	refs := make([]*rpc.TaskRef, len(r.Tasks))
	for i := range r.Tasks {
		refs[i] = &rpc.TaskRef{Job: codec.KeyToRPC(r.Key), Task: uint32(i)}
	}
	resp, err := p.agent.Fate(ctx, &rpc.FateRequest{
		Tasks:     refs,
		Epoch:     r.Epoch,
		TimeoutMs: max(0, time.Until(r.Deadline).Milliseconds()),
		MaxWaitMs: fateMaxWait.Milliseconds(),
		Clock:     m.log.Now(),
	})
	if err != nil || len(resp.Fates) != len(refs) || resp.Incarnation != p.member.Incarnation {
		return false
	}
	m.log.Observe(resp.Clock)
	return f.add(resp.Fates)
}

// add records an agent's answers and reports whether all are final.
func (f *taskFates) add(fates []*rpc.TaskFate) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	final := true
	for i, one := range fates {
		fate := codec.FateFromRPC(one)
		switch {
		case one.Refusal != nil, fate.Status == tasktable.Started:
			final = false
		case fate.Status == tasktable.Ended:
			f.results[i] = &fate.Result
		}
	}
	return final
}
