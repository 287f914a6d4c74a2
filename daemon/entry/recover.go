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

// recoverTime is how long a takeover asks at least, also when the deadline has
// passed, as it often has when the lease of the dead entry lapses. Agents keep
// results well past it; an agent that does not answer expires within this time.
const recoverTime = 6 * time.Second

// recoverAll takes over jobs whose entry has ended. The membership calls it
// after the replica has the members of the same revision.
func (s *Service) recoverAll(records []job.Record) {
	for _, r := range records {
		s.jobs.spawn("recover", func() { s.jobs.recover(r) })
	}
}

// recover continues a job under its new epoch.
func (m *jobs) recover(r job.Record) {
	j, fresh := m.adopt(r)
	if !fresh {
		return
	}
	m.log.Emit(events.Event{ID: events.JobRecovered, Job: r.Key})
	if answered := j.published(); answered != nil {
		m.record(j, r, *answered)
		m.forget(j)
		return
	}
	m.runJob(j, r, m.learnFates(r))
}

// adopt makes the job active under the record's epoch; fresh is false if it is already.
func (m *jobs) adopt(r job.Record) (j *activeJob, fresh bool) {
	m.mu.Lock()
	j = m.active[r.Key]
	known := j != nil
	if !known {
		j = newActiveJob(r)
		close(j.accepted)
		m.active[r.Key] = j
	}
	m.mu.Unlock()
	if known {
		// A proposal in progress settles first, so that there is one owner.
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

func (j *activeJob) published() *job.Outcome {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.outcome
}

// findings gathers what agents know of a job's tasks.
type findings struct {
	mu      sync.Mutex
	results []*job.TaskResult
	// lost is set when an agent that may have started tasks can't be asked.
	lost bool
}

// learnFates asks every agent about every task under the new epoch, which
// fences the earlier owner, before anything else is asked of any agent. It
// returns nil for the tasks that certainly did not start.
func (m *jobs) learnFates(r job.Record) []*job.TaskResult {
	f := &findings{results: make([]*job.TaskResult, len(r.Tasks))}
	until := r.Deadline.Add(answerGrace)
	if least := time.Now().Add(recoverTime); until.Before(least) {
		until = least
	}
	ctx, cancel := context.WithDeadline(m.background, until)
	defer cancel()
	var asks conc.WaitGroup
	for _, member := range m.service.members.Replica().Members {
		if member.Role != state.RoleAgent {
			continue
		}
		if member.MayHaveLostStarts(r.AcceptedIndex) {
			f.setLost()
		}
		if member.Active() {
			asks.Go(func() { m.askAgent(ctx, r, member, f) })
		}
	}
	asks.Wait()
	return f.conclude()
}

func (f *findings) setLost() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = true
}

// conclude turns tasks of unknown fate into may_have_run.
func (f *findings) conclude() []*job.TaskResult {
	if !f.lost {
		return f.results
	}
	for i, r := range f.results {
		if r == nil {
			lost := unknown(verdict.CodeEndpointLost, "the task's fate could not be learned after its entry ended")
			f.results[i] = &lost
		}
	}
	return f.results
}

// askAgent asks one agent until it has answered about all tasks, none of them
// running, or is gone.
func (m *jobs) askAgent(ctx context.Context, r job.Record, member state.Member, f *findings) {
	for ctx.Err() == nil {
		current := m.service.members.Replica().Members[member.ID]
		if !current.Active() || current.Incarnation != member.Incarnation {
			break
		}
		p := m.service.peers.get(member.ID)
		if p != nil && p.member.Incarnation == member.Incarnation && m.askOnce(ctx, p, r, f) {
			return
		}
		wait(ctx, fatePause)
	}
	f.setLost()
}

// askOnce reports whether the agent answered and runs none of the tasks.
func (m *jobs) askOnce(ctx context.Context, p *peer, r job.Record, f *findings) bool {
	refs := make([]*rpc.TaskRef, len(r.Tasks))
	for i := range r.Tasks {
		refs[i] = &rpc.TaskRef{Job: codec.KeyToRPC(r.Key), Task: uint32(i)}
	}
	resp, err := p.agent.Fate(ctx, &rpc.FateRequest{
		Tasks:     refs,
		Epoch:     r.Epoch,
		TimeoutMs: max(0, time.Until(r.Deadline).Milliseconds()),
		MaxWaitMs: fateHold.Milliseconds(),
		Clock:     m.log.Now(),
	})
	if err != nil || len(resp.Fates) != len(refs) || resp.Incarnation != p.member.Incarnation {
		return false
	}
	m.log.Observe(resp.Clock)
	return f.add(resp.Fates)
}

// add notes an agent's answers and reports whether all are final.
func (f *findings) add(fates []*rpc.TaskFate) bool {
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
