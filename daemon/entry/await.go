package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cicadapulley/cicadapulley/api/codec"
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/core/verdict"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

const (
	// remoteMaxWait is how long another entry may delay its answer about a job.
	remoteMaxWait = 10 * time.Second
	// remotePollInterval is the delay before a job's record is read again.
	remotePollInterval = 200 * time.Millisecond
)

// await returns the outcome of a submitted job, or nil if ctx is done first.
func (m *jobManager) await(ctx context.Context, j *activeJob) *job.Outcome {
	j.mu.Lock()
	existing := j.existing
	j.mu.Unlock()
	if existing != nil {
		return m.awaitRecord(ctx, *existing)
	}
	select {
	case <-j.done:
		if o := m.validOutcome(j); o != nil {
			return o
		}
		return m.awaitRecord(ctx, j.currentRecord())
	case <-j.handedOver:
		return m.awaitRecord(ctx, j.currentRecord())
	case <-ctx.Done():
		return nil
	}
}

// currentRecord returns the job's record under the epoch of its current owner.
func (j *activeJob) currentRecord() job.Record {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.record
}

// validOutcome returns the published outcome, or nil if it is not recorded and
// another entry may have decided on a different one since.
func (m *jobManager) validOutcome(j *activeJob) *job.Outcome {
	j.mu.Lock()
	outcome, unrecorded, record := j.outcome, j.unrecorded, j.record
	j.mu.Unlock()
	if unrecorded && !m.owns(record) {
		return nil
	}
	return outcome
}

// awaitRecord waits for the outcome of a job that another entry owns.
func (m *jobManager) awaitRecord(ctx context.Context, r job.Record) *job.Outcome {
	for {
		if r.State.Final() {
			return outcomeOf(r)
		}
		if o := m.queryOwner(ctx, r); o != nil {
			return o
		}
		wait(ctx, remotePollInterval)
		if ctx.Err() != nil {
			return nil
		}
		if next, found, _ := m.read(ctx, r.Key); found {
			r = *next
		}
	}
}

// outcomeOf returns a finished job's outcome, or nil while the job runs. If the
// answer is no longer kept, the outcome is a failure whose verdict states whether
// the job ran.
func outcomeOf(r job.Record) *job.Outcome {
	if !r.AnswerDropped {
		return r.Outcome
	}
	return &job.Outcome{
		State:   job.Failed,
		Verdict: r.Outcome.Verdict,
		Code:    verdict.CodeAnswerExpired,
		Message: "the job ended as " + r.Outcome.State.String() + " and its answer is no longer kept",
	}
}

// queryOwner asks the owning entry for the outcome. It returns nil if that entry
// has none or does not answer.
func (m *jobManager) queryOwner(ctx context.Context, r job.Record) *job.Outcome {
	client := m.ownerClient(r)
	if client == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 2*remoteMaxWait)
	defer cancel()
	resp, err := client.Await(ctx, &rpc.AwaitRequest{
		Key:       codec.KeyToRPC(r.Key),
		MaxWaitMs: remoteMaxWait.Milliseconds(),
		Clock:     m.log.Now(),
	})
	if err != nil || !resp.Known {
		return nil
	}
	m.log.Observe(resp.Clock)
	return codec.OutcomeFromRPC(resp.Outcome)
}

// ownerClient returns a client of the entry that owns a job, or nil if the owner
// is this process or is no longer active.
func (m *jobManager) ownerClient(r job.Record) rpc.Entry {
	owner := m.service.members.Replica().Members[r.Owner]
	if !owner.Active() || owner.ID == m.service.members.ID() || owner.Incarnation != r.OwnerIncarnation {
		return nil
	}
	return m.newEntryClient(owner)
}

func (m *jobManager) newEntryClient(entry state.Member) rpc.Entry {
	return rpc.NewEntryProtobufClient(m.service.opts.Security.Scheme()+"://"+entry.Address, m.service.entryHTTPClient)
}

// inProgressMaxWaitMS is the maximum wait of a query to another entry about a
// submission in progress. It is short, since an entry that has the submission need
// not wait for its outcome.
const inProgressMaxWaitMS = 1

func (j *activeJob) isRefusing() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.refusing
}

// otherSubmissions is what the other entries report about a key.
type otherSubmissions struct {
	// inProgress is set if an entry has a submission of the key in progress.
	inProgress bool
	// unconfirmed is set if an entry did not answer.
	unconfirmed bool
}

func (o otherSubmissions) noneInProgress() bool { return !o.inProgress && !o.unconfirmed }

// queryOtherEntries asks all other entries whether they have a submission of the
// key in progress.
func (m *jobManager) queryOtherEntries(ctx context.Context, k job.Key) otherSubmissions {
	var queries conc.WaitGroup
	var inProgress, unconfirmed atomic.Bool
	for _, member := range m.service.members.Replica().Members {
		if member.Role != state.RoleEntry || !member.Active() || member.ID == m.service.members.ID() {
			continue
		}
		client := m.newEntryClient(member)
		queries.Go(func() {
			resp, err := client.Await(ctx, &rpc.AwaitRequest{Key: codec.KeyToRPC(k), MaxWaitMs: inProgressMaxWaitMS, Clock: m.log.Now()})
			switch {
			case err != nil:
				unconfirmed.Store(true)
			case resp.Known:
				inProgress.Store(true)
			}
		})
	}
	queries.Wait()
	return otherSubmissions{inProgress: inProgress.Load(), unconfirmed: unconfirmed.Load()}
}

// read reads a job's record from control.
func (m *jobManager) read(ctx context.Context, k job.Key) (r *job.Record, found bool, err error) {
	resp, err := m.service.opts.Control.GetJob(ctx, &rpc.GetJobRequest{Key: codec.KeyToRPC(k)})
	if err != nil || !resp.Found {
		return nil, false, err
	}
	return codec.RecordFromRPC(resp.Record), true, nil
}

// cancel cancels a job that is active here. Further calls do nothing.
func (m *jobManager) cancel(j *activeJob) {
	endpoints, first := j.setCancelled()
	if !first {
		return
	}
	r := j.currentRecord()
	m.log.Emit(events.Event{ID: events.JobCancelled, Job: r.Key})
	m.service.dispatcher.remove(r.Key, cancelledError())
	for _, id := range endpoints {
		if p := m.service.peers.get(id); p != nil {
			p.cancel(r.Key, r.Epoch, time.Until(r.Deadline))
		}
	}
}

// setCancelled marks the job as cancelled and returns the endpoints that have its
// tasks. first is false if the job was cancelled or had ended before.
func (j *activeJob) setCancelled() (endpoints []string, first bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.cancelled || j.outcome != nil {
		return nil, false
	}
	j.cancelled = true
	for id := range j.inFlight {
		endpoints = append(endpoints, id)
	}
	return endpoints, true
}

// cancelRemote asks the owning entry to cancel a job.
func (m *jobManager) cancelRemote(ctx context.Context, r job.Record) {
	client := m.ownerClient(r)
	if client == nil {
		return
	}
	// The job's state, which is read afterwards, shows whether this succeeded.
	_, _ = client.CancelJob(ctx, &rpc.CancelJobRequest{Key: codec.KeyToRPC(r.Key)})
}

// entryAPI is the entry's interface to other entries.
type entryAPI struct {
	jobs *jobManager
}

// Await implements rpc.Entry.
func (a *entryAPI) Await(ctx context.Context, q *rpc.AwaitRequest) (*rpc.AwaitResponse, error) {
	a.jobs.log.Observe(q.Clock)
	resp := &rpc.AwaitResponse{Clock: a.jobs.log.Now()}
	j := a.jobs.find(codec.KeyFromRPC(q.Key))
	if j == nil || j.isRefusing() {
		return resp, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.MaxWaitMs)*time.Millisecond)
	defer cancel()
	select {
	case <-j.done:
		outcome := a.jobs.validOutcome(j)
		resp.Known = outcome != nil
		resp.Outcome = codec.OutcomeToRPC(outcome)
	case <-j.handedOver:
	case <-ctx.Done():
		resp.Known = true
	}
	return resp, nil
}

// CancelJob implements rpc.Entry.
func (a *entryAPI) CancelJob(_ context.Context, q *rpc.CancelJobRequest) (*rpc.CancelJobResponse, error) {
	j := a.jobs.find(codec.KeyFromRPC(q.Key))
	if j == nil {
		return &rpc.CancelJobResponse{}, nil
	}
	a.jobs.cancel(j)
	return &rpc.CancelJobResponse{Known: true}, nil
}
