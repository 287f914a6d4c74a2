package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/codec"
	"github.com/cicadapulley/cicadapulley/api/controlclient"
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/core/verdict"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
)

const (
	// acceptTimeout bounds the wait for the record of a job. An election takes
	// less than this.
	acceptTimeout = 5 * time.Second
	// recordPollInterval is the delay before another entry's submission of the same
	// ID is checked again. Recording a job takes a few milliseconds.
	recordPollInterval = 20 * time.Millisecond
	// finishRetryDelay is the delay before an outcome is proposed to control again.
	finishRetryDelay = 500 * time.Millisecond
)

// activeJob is a job that this entry owns or is trying to record.
type activeJob struct {
	record job.Record
	// accepted is closed when the submission has been recorded, joined or refused;
	// then refusal or existing may be set.
	accepted chan struct{}
	// done is closed when the outcome is set.
	done chan struct{}
	// handedOver is closed when another entry decides the outcome.
	handedOver   chan struct{}
	handOverOnce sync.Once

	mu      sync.Mutex
	refusal *verdict.Error
	// refusing is set once this submission can no longer be recorded, so that two
	// entries that refuse the same ID don't wait for each other.
	refusing bool
	// existing is set if the job does not run here: another entry owns it, or it
	// is finished.
	existing  *job.Record
	epoch     uint64
	cancelled bool
	outcome   *job.Outcome
	// unrecorded is set if the outcome was answered before it was recorded. Such an
	// outcome is valid only while this entry certainly owns the job.
	unrecorded bool
	// inFlight counts the tasks in flight at each endpoint.
	inFlight map[string]int
}

func newActiveJob(r job.Record) *activeJob {
	return &activeJob{
		record:     r,
		accepted:   make(chan struct{}),
		done:       make(chan struct{}),
		handedOver: make(chan struct{}),
		inFlight:   map[string]int{},
	}
}

// jobManager holds the jobs that this entry owns. Its methods are safe for
// concurrent use.
type jobManager struct {
	service *Service
	sender  *sender
	log     *events.Log

	mu     sync.Mutex
	active map[job.Key]*activeJob
	calls  map[job.Key]*activeCall
	// removed is closed and replaced each time a job is removed.
	removed chan struct{}
	// backgroundCtx is cancelled after the drain. Work of jobs that outlives their
	// requests runs under it.
	backgroundCtx  context.Context
	stopBackground context.CancelFunc
}

func newJobManager(s *Service) *jobManager {
	backgroundCtx, stop := context.WithCancel(context.Background())
	return &jobManager{
		service:        s,
		sender:         &sender{peers: s.peers, dispatcher: s.dispatcher, log: s.opts.Log, entryID: s.opts.Settings.ID},
		log:            s.opts.Log,
		active:         map[job.Key]*activeJob{},
		calls:          map[job.Key]*activeCall{},
		removed:        make(chan struct{}),
		backgroundCtx:  backgroundCtx,
		stopBackground: stop,
	}
}

// Run blocks until ctx is done, and then until all jobs have ended and their
// outcomes are recorded, but no longer than the drain time-out.
func (m *jobManager) Run(ctx context.Context) error {
	defer m.stopBackground()
	<-ctx.Done()
	drainCtx, cancel := context.WithTimeout(m.backgroundCtx, m.service.opts.Settings.DrainTimeout())
	defer cancel()
	m.waitIdle(drainCtx)
	return nil
}

func (m *jobManager) waitIdle(ctx context.Context) {
	for {
		m.mu.Lock()
		left, removed := len(m.active), m.removed
		m.mu.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-removed:
		}
	}
}

// spawn runs fn in a goroutine and reports a panic as an event. A job whose
// goroutine panicked is never answered, so that no wrong answer is sent.
func (m *jobManager) spawn(name string, fn func()) {
	go func() {
		_ = supervisor.CatchPanic(m.log, "entry/jobs/"+name, func() error { fn(); return nil })
	}()
}

// submit accepts a job or joins the one with the same key. The returned job is
// in m.active or has existing set.
func (m *jobManager) submit(ctx context.Context, r job.Record, admit func() *verdict.Error) (*activeJob, *verdict.Error) {
	j, added, err := m.findOrAdd(r)
	if err != nil {
		return nil, err
	}
	if added {
		// The submission is completed even if the caller disconnects.
		m.spawn("accept", func() { m.accept(j, admit) })
	}
	select {
	case <-j.accepted:
	case <-ctx.Done():
		return nil, verdict.Errorf(verdict.CodeUnavailable, verdict.MayHaveRun, "the request ended before the job was recorded")
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return j, j.refusal
}

// findOrAdd returns the active job of a key or adds one.
func (m *jobManager) findOrAdd(r job.Record) (j *activeJob, added bool, err *verdict.Error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old := m.active[r.Key]; old != nil {
		if old.record.Digest != r.Digest {
			return nil, false, conflict(r.Key)
		}
		m.log.Emit(events.Event{ID: events.JobJoined, Job: r.Key})
		return old, false, nil
	}
	j = newActiveJob(r)
	m.active[r.Key] = j
	return j, true, nil
}

func conflict(k job.Key) *verdict.Error {
	return verdict.Errorf(verdict.CodeConflict, verdict.NotRun, "id %q of caller %q belongs to another submission", k.ID, k.Caller)
}

// accept checks the admission, records the job and runs it.
func (m *jobManager) accept(j *activeJob, admit func() *verdict.Error) {
	if refusal := admit(); refusal != nil {
		m.refuseUnlessRecorded(j, refusal)
		return
	}
	j.record.Owner = m.service.members.ID()
	j.record.OwnerIncarnation = m.service.members.Incarnation()
	resp, err := m.propose(j)
	if err != nil {
		m.handleAcceptFailure(j, err)
		return
	}
	m.handleAcceptResponse(j, resp)
}

// refuseUnlessRecorded refuses a job, unless an earlier submission of it is
// recorded. In that case NotRun would be wrong, and the recorded job is answered.
func (m *jobManager) refuseUnlessRecorded(j *activeJob, refusal *verdict.Error) {
	ctx, cancel := context.WithTimeout(m.backgroundCtx, acceptTimeout)
	defer cancel()
	j.mu.Lock()
	j.refusing = true
	j.mu.Unlock()
	for {
		// The other entries are queried first: a submission that has ended there by
		// then has its record, which the read finds.
		others := m.queryOtherEntries(ctx, j.record.Key)
		record, found, err := m.read(ctx, j.record.Key)
		if found {
			m.join(j, record)
			return
		}
		if err != nil || !others.inProgress || ctx.Err() != nil {
			e := *refusal
			e.Verdict = verdict.Evidence{NoRecord: err == nil, NoneInProgress: others.noneInProgress()}.RefusalVerdict()
			m.refuse(j, &e)
			return
		}
		wait(ctx, recordPollInterval) // that submission is about to be recorded or refused
	}
}

func (m *jobManager) propose(j *activeJob) (*rpc.AcceptJobResponse, error) {
	ctx, cancel := context.WithTimeout(m.backgroundCtx, acceptTimeout)
	defer cancel()
	resp, err := m.service.opts.Control.AcceptJob(ctx, &rpc.AcceptJobRequest{
		Record: codec.RecordToRPC(&j.record),
		Clock:  m.log.Now(),
	})
	if err == nil {
		m.log.Observe(resp.Clock)
	}
	return resp, err
}

// handleAcceptResponse starts, joins or refuses the job, as control has answered.
func (m *jobManager) handleAcceptResponse(j *activeJob, resp *rpc.AcceptJobResponse) {
	record := codec.RecordFromRPC(resp.Record)
	switch state.AcceptStatus(resp.Status) {
	case state.Accepted:
		m.start(j, record)
	case state.Existing:
		if m.isOwnProposal(j, record) {
			m.start(j, record)
			return
		}
		m.join(j, record)
	case state.Conflicting:
		m.refuse(j, conflict(j.record.Key))
	default:
		m.refuseUnlessRecorded(j, verdict.Errorf(verdict.CodeUnavailable, verdict.NotRun, "the entry's lease has ended").WithRetryAfter(time.Second))
	}
}

// isOwnProposal reports whether the record is this submission's own, proposed by
// an earlier call whose answer was lost. Jobs of this entry stay active until
// their outcome is recorded, so a running job that is not active was never started.
func (m *jobManager) isOwnProposal(j *activeJob, r *job.Record) bool {
	return !r.State.Final() && r.Epoch == 1 &&
		r.Owner == j.record.Owner && r.OwnerIncarnation == j.record.OwnerIncarnation
}

// start runs an accepted job in this goroutine.
func (m *jobManager) start(j *activeJob, r *job.Record) {
	m.log.Emit(events.Event{ID: events.JobAccepted, Job: r.Key})
	j.mu.Lock()
	j.record = *r
	j.epoch = r.Epoch
	j.mu.Unlock()
	close(j.accepted)
	m.runJob(j, *r, nil)
}

// join answers the submission from an existing record.
func (m *jobManager) join(j *activeJob, r *job.Record) {
	if r.Digest != j.record.Digest {
		m.refuse(j, conflict(j.record.Key))
		return
	}
	m.log.Emit(events.Event{ID: events.JobJoined, Job: r.Key})
	j.mu.Lock()
	j.existing = r
	j.mu.Unlock()
	m.remove(j)
	close(j.accepted)
}

func (m *jobManager) refuse(j *activeJob, e *verdict.Error) {
	m.log.Emit(events.Event{ID: events.JobRefused, Job: j.record.Key, Text: string(e.Code)})
	j.mu.Lock()
	j.refusal = e
	j.mu.Unlock()
	m.remove(j)
	close(j.accepted)
}

// remove removes a job from the active jobs.
func (m *jobManager) remove(j *activeJob) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.active[j.record.Key] != j {
		return
	}
	delete(m.active, j.record.Key)
	close(m.removed)
	m.removed = make(chan struct{})
}

// find returns the active job of a key, or nil if there is none.
func (m *jobManager) find(k job.Key) *activeJob {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.active[k]
}

// publish sets the outcome, unless it is set already, and releases the waiting
// requests. A job that was answered at its deadline keeps that answer.
func (m *jobManager) publish(j *activeJob, o job.Outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.outcome != nil {
		return
	}
	j.outcome = &o
	close(j.done)
	m.log.Emit(events.Event{ID: events.JobFinished, Job: j.record.Key, Text: o.State.String()})
}

// handOver makes the waiting requests query the entry that decides the outcome.
// Two takeovers that waited for the same submission may both call it.
func (m *jobManager) handOver(j *activeJob) {
	m.remove(j)
	j.handOverOnce.Do(func() { close(j.handedOver) })
}

// handleAcceptFailure refuses a job whose proposal got no answer. Without control's
// answer the job may run at another entry. If control may have applied the proposal,
// the entry keeps proposing the job and ends it without starting it.
func (m *jobManager) handleAcceptFailure(j *activeJob, err error) {
	refusalVerdict := verdict.Evidence{}.RefusalVerdict()
	refusal := verdict.Errorf(verdict.CodeUnavailable, refusalVerdict, "the job could not be recorded: %v", err).WithRetryAfter(time.Second)
	var noLeader *controlclient.NoLeaderError
	if errors.As(err, &noLeader) && !noLeader.MaybeApplied {
		m.refuse(j, refusal)
		return
	}
	j.mu.Lock()
	j.refusal = refusal
	j.mu.Unlock()
	close(j.accepted)
	m.endUnconfirmed(j)
	m.handOver(j)
}

// endUnconfirmed proposes the job until control answers and, if it was accepted
// for this entry, records that none of its tasks ran.
func (m *jobManager) endUnconfirmed(j *activeJob) {
	for m.backgroundCtx.Err() == nil {
		resp, err := m.propose(j)
		if err != nil {
			wait(m.backgroundCtx, finishRetryDelay)
			continue
		}
		record := codec.RecordFromRPC(resp.Record)
		accepted := state.AcceptStatus(resp.Status) == state.Accepted
		if accepted || (record != nil && m.isOwnProposal(j, record)) {
			m.recordOutcome(j, *record, notStartedOutcome(len(record.Tasks)))
		}
		return
	}
}

// notStartedOutcome returns the outcome of a job that was recorded but never started.
func notStartedOutcome(tasks int) job.Outcome {
	results := make([]job.TaskResult, tasks)
	for i := range results {
		results[i] = notRunResult(verdict.CodeUnavailable, "the job was not recorded in time")
	}
	return job.NewOutcome(results)
}
