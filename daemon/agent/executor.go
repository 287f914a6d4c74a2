package agent

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/slots"
	"github.com/cicadapulley/cicadapulley/core/tasktable"
	"github.com/cicadapulley/cicadapulley/core/verdict"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/membership"
	"github.com/cicadapulley/cicadapulley/daemon/settings"
)

// Limits of the task table.
const (
	maxTableRecords     = 200_000
	maxTableOutputBytes = 64 << 20
	// keepAfterDeadline is how long a task's record is kept past its job's
	// deadline: the time for a lease to expire and a takeover to query the task.
	keepAfterDeadline = 30 * time.Second
)

// startRequest is an entry's request to start a task.
type startRequest struct {
	request
	attempt tasktable.Attempt
	timeout time.Duration
	entry   string
	// incarnation is the incarnation of the agent that the entry has cached.
	incarnation uint64
	backlog     int
}

// executor runs tasks at the endpoint. Its methods are safe for concurrent use.
type executor struct {
	log          *events.Log
	members      *membership.Service
	endpoint     *endpoint
	refusedTasks *prometheus.CounterVec

	mu       sync.Mutex
	table    *tasktable.Table
	divider  *slots.Divider
	slots    int
	draining bool
	// waiting holds the starts that wait for a slot, in order of arrival;
	// reserved counts the free slots that are reserved for such starts.
	waiting  []chan struct{}
	reserved int
	// cancelFuncs cancel the endpoint requests of running tasks.
	cancelFuncs map[job.TaskKey]context.CancelFunc
	// ended is closed and replaced when a task ends.
	ended chan struct{}
}

func newExecutor(s settings.Agent, m *membership.Service, log *events.Log, e *endpoint) *executor {
	limits := tasktable.Limits{Slots: s.Slots, Records: maxTableRecords, OutputBytes: maxTableOutputBytes}
	return &executor{
		log:          log,
		members:      m,
		endpoint:     e,
		refusedTasks: newRefusedCounter(),
		table:        tasktable.New(limits),
		divider:      slots.New(s.Slots),
		slots:        s.Slots,
		cancelFuncs:  map[job.TaskKey]context.CancelFunc{},
		ended:        make(chan struct{}),
	}
}

// execution is the result of a task that has ended.
type execution struct {
	result  job.TaskResult
	runTime time.Duration
}

// run starts a task and returns when it has ended. If the connection of the request
// breaks meanwhile, the task continues, and its result stays in the table for a
// query about its fate.
func (x *executor) run(r startRequest) (execution, *verdict.Error) {
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
	defer cancel()
	if err := x.begin(r, cancel); err != nil {
		x.refusedTasks.WithLabelValues(string(err.Code)).Inc()
		x.log.Emit(events.Event{ID: events.TaskRefused, Job: r.key.Job, Task: r.key.Task + 1, Peer: r.entry, Text: string(err.Code)})
		return execution{}, err
	}
	x.log.Emit(events.Event{ID: events.TaskStarted, Job: r.key.Job, Task: r.key.Task + 1, Peer: r.entry})
	started := time.Now()
	result := x.endpoint.post(ctx, r.request)
	runTime := time.Since(started)
	x.log.Emit(events.Event{ID: events.TaskEnded, Job: r.key.Job, Task: r.key.Task + 1, Text: result.State.String()})
	return execution{result: result, runTime: runTime}, x.end(r, result)
}

// begin records a start in the table. If all slots are in use, it may wait up to
// slotWaitTimeout.
func (x *executor) begin(r startRequest, cancel context.CancelFunc) *verdict.Error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.full() && x.canWait() && !x.draining {
		x.awaitSlot()
	}
	err := x.tryBegin(r, cancel)
	if err != nil {
		x.reserveForNext() // the slot may have been reserved for this start
	}
	return err
}

// tryBegin records a start in the table or refuses it. A refusal is recorded too,
// so that a late copy of the request can't start the task. The caller holds mu.
func (x *executor) tryBegin(r startRequest, cancel context.CancelFunc) *verdict.Error {
	now := time.Now()
	expiresAt := now.Add(r.timeout + keepAfterDeadline)
	if refusal := x.checkAvailable(r); refusal != nil {
		return x.table.Refuse(r.key, r.attempt, now, expiresAt, refusal)
	}
	if x.reserved > 0 && x.full() {
		x.divider.Refused(r.entry, r.backlog, now)
		busy := verdict.Errorf(verdict.CodeEndpointBusy, verdict.NotRun, "all %d slots are in use", x.slots)
		return x.table.Refuse(r.key, r.attempt, now, expiresAt, busy)
	}
	if err := x.table.Begin(r.key, r.attempt, now, expiresAt); err != nil {
		x.divider.Refused(r.entry, r.backlog, now)
		return err
	}
	x.divider.Begin(r.entry, r.backlog, now)
	x.cancelFuncs[r.key] = cancel
	return nil
}

// checkAvailable returns the reason why the agent must not start the task now, or
// nil if it may. The caller holds mu.
func (x *executor) checkAvailable(r startRequest) *verdict.Error {
	if own := x.members.Incarnation(); r.incarnation != own {
		return verdict.Errorf(verdict.CodeLeaseExpired, verdict.NotRun, "the agent has incarnation %d, the request is for %d", own, r.incarnation)
	}
	if x.draining {
		return verdict.Errorf(verdict.CodeShuttingDown, verdict.NotRun, "the endpoint is leaving")
	}
	if x.members.Replica().Config.Drains[x.members.ID()].Drain {
		// An entry that is cut off from control has not received the drain mark.
		return verdict.Errorf(verdict.CodeShuttingDown, verdict.NotRun, "the endpoint is drained")
	}
	// A call without a record has epoch zero. It may start twice, so it needs
	// no lease and runs also while control has no majority.
	if r.attempt.Epoch > 0 && !x.members.LeaseValid() {
		return verdict.Errorf(verdict.CodeLeaseExpired, verdict.NotRun, "the agent's lease has lapsed")
	}
	return nil
}

// end records the result. A task that never reached the endpoint is a refusal.
func (x *executor) end(r startRequest, result job.TaskResult) *verdict.Error {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.cancelFuncs, r.key)
	x.divider.End(r.entry, time.Now())
	close(x.ended)
	x.ended = make(chan struct{})
	defer x.reserveForNext()
	if result.Verdict == verdict.NotRun {
		x.table.Abort(r.key, r.attempt)
		x.log.Emit(events.Event{ID: events.EndpointFailed, Job: r.key.Job, Task: r.key.Task + 1, Text: result.Message})
		return &verdict.Error{Code: result.Code, Verdict: verdict.NotRun, Message: result.Message}
	}
	x.table.End(r.key, result)
	return nil
}

// load returns the agent's load as it is sent to an entry, with the entry's grant.
func (x *executor) load(entry string) *rpc.Load {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	return &rpc.Load{
		Slots:   uint32(x.slots),
		Running: uint32(x.table.Running()),
		Granted: uint32(x.divider.Granted(entry, now)),
	}
}

// running returns the number of tasks in progress.
func (x *executor) running() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.Running()
}

// fate returns the fate of a task; see tasktable.Table.Fate.
func (x *executor) fate(k job.TaskKey, a tasktable.Attempt, timeout time.Duration) (tasktable.Fate, *verdict.Error) {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.Fate(k, a, now, now.Add(timeout+keepAfterDeadline))
}

// nextEnd returns a channel that is closed when the next task ends.
func (x *executor) nextEnd() <-chan struct{} {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.ended
}

// cancel prevents starts of a job's tasks and aborts those in progress.
func (x *executor) cancel(k job.Key, epoch uint64, timeout time.Duration) {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.log.Emit(events.Event{ID: events.JobCancelSeen, Job: k})
	x.table.Cancel(k, epoch, now, now.Add(timeout+keepAfterDeadline))
	found := false
	for task, cancel := range x.cancelFuncs {
		if task.Job == k {
			cancel()
			found = true
		}
	}
	if !found {
		x.log.Emit(events.Event{ID: events.JobCancelLate, Job: k})
	}
}

// drain refuses new tasks from now on.
func (x *executor) drain() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.draining = true
}

// waitIdle blocks until no task runs or ctx is done.
func (x *executor) waitIdle(ctx context.Context) {
	for {
		ended := x.nextEnd()
		if x.running() == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ended:
		}
	}
}
