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

// Bounds of the task table.
const (
	tableEntries = 200_000
	outputBytes  = 64 << 20
	// keepAfterDeadline is how long a task is remembered past its job's
	// deadline: the time for a lease to lapse and a takeover to ask.
	keepAfterDeadline = 30 * time.Second
)

// run is one task in progress or asked for.
type run struct {
	request
	attempt tasktable.Attempt
	timeout time.Duration
	entry   string
	// incarnation is the agent's incarnation that the entry knows.
	incarnation uint64
	backlog     int
}

// executor starts tasks at the endpoint. Its methods are safe for concurrent use.
type executor struct {
	log      *events.Log
	members  *membership.Service
	endpoint *endpoint
	refused  *prometheus.CounterVec

	mu       sync.Mutex
	table    *tasktable.Table
	divider  *slots.Divider
	slots    int
	draining bool
	// waiting holds the starts that wait for a slot, in order of arrival;
	// reserved counts the free slots that are promised to such starts.
	waiting  []chan struct{}
	reserved int
	// aborts cancels the endpoint calls of running tasks.
	aborts map[job.TaskKey]context.CancelFunc
	// ended is closed and replaced when a task ends.
	ended chan struct{}
}

func newExecutor(s settings.Agent, m *membership.Service, log *events.Log, e *endpoint) *executor {
	limits := tasktable.Limits{Slots: s.Slots, Records: tableEntries, OutputBytes: outputBytes}
	return &executor{
		log:      log,
		members:  m,
		endpoint: e,
		refused:  newRefused(),
		table:    tasktable.New(limits),
		divider:  slots.New(s.Slots),
		slots:    s.Slots,
		aborts:   map[job.TaskKey]context.CancelFunc{},
		ended:    make(chan struct{}),
	}
}

// execution is the end of a run.
type execution struct {
	result  job.TaskResult
	runTime time.Duration
}

// run starts a task and returns when it has ended. The connection that brought
// the request may break meanwhile; the task goes on, and its result stays in
// the table for a question about its fate.
func (x *executor) run(r run) (execution, *verdict.Error) {
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
	defer cancel()
	if err := x.begin(r, cancel); err != nil {
		x.refused.WithLabelValues(string(err.Code)).Inc()
		x.log.Emit(events.Event{ID: events.TaskRefused, Job: r.key.Job, Task: r.key.Task + 1, Peer: r.entry, Text: string(err.Code)})
		return execution{}, err
	}
	x.log.Emit(events.Event{ID: events.TaskStarted, Job: r.key.Job, Task: r.key.Task + 1, Peer: r.entry})
	started := time.Now()
	result := x.endpoint.do(ctx, r.request)
	taken := time.Since(started)
	x.log.Emit(events.Event{ID: events.TaskEnded, Job: r.key.Job, Task: r.key.Task + 1, Text: result.State.String()})
	return execution{result: result, runTime: taken}, x.end(r, result)
}

// begin enters a start in the table. If all slots are in use it waits a little.
func (x *executor) begin(r run, abort context.CancelFunc) *verdict.Error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.full() && x.mayWait() && !x.draining {
		x.awaitSlot()
	}
	err := x.tryBegin(r, abort)
	if err != nil {
		x.wakeNext() // the slot may have been kept for this start
	}
	return err
}

// tryBegin enters a start in the table or refuses it. A refusal is remembered,
// so that a late copy of the request can't start the task. The caller holds mu.
func (x *executor) tryBegin(r run, abort context.CancelFunc) *verdict.Error {
	now := time.Now()
	forgetAt := now.Add(r.timeout + keepAfterDeadline)
	if refusal := x.unavailable(r); refusal != nil {
		return x.table.Refuse(r.key, r.attempt, now, forgetAt, refusal)
	}
	if x.reserved > 0 && x.full() {
		x.divider.Refused(r.entry, r.backlog, now)
		busy := verdict.Errorf(verdict.CodeEndpointBusy, verdict.NotRun, "all %d slots are in use", x.slots)
		return x.table.Refuse(r.key, r.attempt, now, forgetAt, busy)
	}
	if err := x.table.Begin(r.key, r.attempt, now, forgetAt); err != nil {
		x.divider.Refused(r.entry, r.backlog, now)
		return err
	}
	x.divider.Begin(r.entry, r.backlog, now)
	x.aborts[r.key] = abort
	return nil
}

// unavailable says why the agent starts nothing now, nil if it may. The caller
// holds mu.
func (x *executor) unavailable(r run) *verdict.Error {
	if own := x.members.Incarnation(); r.incarnation != own {
		return verdict.Errorf(verdict.CodeLeaseExpired, verdict.NotRun, "the agent has incarnation %d, the request is for %d", own, r.incarnation)
	}
	if x.draining {
		return verdict.Errorf(verdict.CodeShuttingDown, verdict.NotRun, "the endpoint is leaving")
	}
	if x.members.Replica().Config.Drains[x.members.ID()].Drain {
		// An entry that is cut off from control doesn't know of the mark.
		return verdict.Errorf(verdict.CodeShuttingDown, verdict.NotRun, "the endpoint is drained")
	}
	// A call without a record has epoch zero. It may start twice, so it needs
	// no lease and goes on while control has no majority.
	if r.attempt.Epoch > 0 && !x.members.LeaseValid() {
		return verdict.Errorf(verdict.CodeLeaseExpired, verdict.NotRun, "the agent's lease has lapsed")
	}
	return nil
}

// end records the result. A task that never reached the endpoint is a refusal.
func (x *executor) end(r run, result job.TaskResult) *verdict.Error {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.aborts, r.key)
	x.divider.End(r.entry, time.Now())
	close(x.ended)
	x.ended = make(chan struct{})
	defer x.wakeNext()
	if result.Verdict == verdict.NotRun {
		x.table.Abort(r.key, r.attempt)
		x.log.Emit(events.Event{ID: events.EndpointFailed, Job: r.key.Job, Task: r.key.Task + 1, Text: result.Message})
		return &verdict.Error{Code: result.Code, Verdict: verdict.NotRun, Message: result.Message}
	}
	x.table.End(r.key, result)
	return nil
}

// load returns the agent's load as an entry is told, with its grant.
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

// fate answers what is known of a task; see tasktable.Table.Fate.
func (x *executor) fate(k job.TaskKey, a tasktable.Attempt, timeout time.Duration) (tasktable.Fate, *verdict.Error) {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.Fate(k, a, now, now.Add(timeout+keepAfterDeadline))
}

// nextEnd returns a channel that closes when the next task ends.
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
	for task, abort := range x.aborts {
		if task.Job == k {
			abort()
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

// waitIdle blocks until no task runs or ctx ends.
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
