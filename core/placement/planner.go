package placement

import (
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/interference"
	"github.com/cicadapulley/cicadapulley/core/work"
)

const (
	// ExpiryFactor is the multiple of a job's objective after which the caller has
	// no use for its result.
	ExpiryFactor = 3
	// runsPerTerm separates the run numbers of successive leaders, so that a
	// leader never reuses a number of a predecessor's run that never started.
	// Numbers stay below 2^53, up to which JSON numbers are exact, for two million
	// terms.
	runsPerTerm = 1 << 32
)

// Planner tracks jobs, endpoints and runs in one term, and decides on starts and
// stops.
type Planner struct {
	// lastRun is the highest run number assigned or reported. All tasks share one
	// counter, so that run numbers also increase when a job is submitted again.
	lastRun   uint64
	jobs      map[work.JobID]*job
	endpoints map[SessionID]*endpoint
	// byVM has the latest session of each VM.
	byVM map[string]*endpoint
	// lastSession has the latest session that has joined of each VM, also after its end.
	lastSession map[string]SessionID
	// order lists the endpoints in a fixed order.
	order []*endpoint
	// runs has the runs that may exist by their task's job, which may be closed.
	runs map[work.JobID][]*run
	// unknown has the unknown runs by their task's job.
	unknown map[work.JobID][]*unknownRun
	pools   pools
	queue   queue
	refused refusedCallers
	shares  queueShares
	// queuedSince is since when work of a pool and priority, or of a higher one, has been
	// queued without a pause.
	queuedSince map[loadKey]time.Time
	// window is the index in the queue at which the next window of later groups begins.
	window int
	// held are jobs that may have unconfirmed runs. Those of an earlier term's
	// leader are held at most until heldUntil.
	held      []*heldJob
	heldUntil time.Time
	// joinBy is when endpoints that have not joined are no longer expected shortly.
	joinBy time.Time
	// interference has the evidence on queues that slow each other down; nil if it is off.
	interference *interference.Table
	// shared is set if other planners place tasks on the same endpoints.
	shared    bool
	slowdowns slowdowns
	lastTick  time.Time
	orders    []Order
	finished  []FinishedJob
	rejected  []RejectedJob
	// awaitedVMs are the VMs whose endpoints may run tasks of an earlier term and
	// have not joined yet.
	awaitedVMs map[string]bool
	// unclaimedEnds are ends of runs of unknown jobs, kept until the job is
	// submitted again after a change of the leader.
	unclaimedEnds map[work.JobID]*unclaimedEnds
	// pending counts the jobs of each queue of which no task has begun.
	pending map[string]int
	// drains are the newest drains of data centres, and ramped the endpoints that have a
	// ramp after one.
	drains work.DataCentreDrains
	ramped []*endpoint
	Stats  Stats
}

// Stats counts decisions since the term began.
type Stats struct {
	Starts, Stops, Moves, Refusals, Requeues, Shed uint64
	// Avoided counts the choices of a slower endpoint because of an interfering run on a faster
	// one, and BesideInterfering the starts on an endpoint with an interfering run.
	Avoided, BesideInterfering uint64
}

// NewPlanner returns the planner of a leader at the start of a term. Jobs that an
// earlier leader may have started are held until all awaited VMs have joined, or
// until heldUntil, when the lease of every unconfirmed run of an earlier term has
// expired.
func NewPlanner(term uint64, heldUntil time.Time, awaitedVMs []string) *Planner {
	p := &Planner{
		queuedSince:   map[loadKey]time.Time{},
		lastRun:       (term - 1) * runsPerTerm,
		jobs:          map[work.JobID]*job{},
		endpoints:     map[SessionID]*endpoint{},
		byVM:          map[string]*endpoint{},
		lastSession:   map[string]SessionID{},
		runs:          map[work.JobID][]*run{},
		unknown:       map[work.JobID][]*unknownRun{},
		pools:         newPools(),
		queue:         newQueue(),
		refused:       newRefusedCallers(),
		heldUntil:     heldUntil,
		joinBy:        heldUntil,
		slowdowns:     newSlowdowns(),
		lastTick:      heldUntil,
		pending:       map[string]int{},
		awaitedVMs:    map[string]bool{},
		unclaimedEnds: map[work.JobID]*unclaimedEnds{},
	}
	for _, vm := range awaitedVMs {
		p.awaitedVMs[vm] = true
	}
	return p
}

// awaitingEndpoints reports whether endpoints that have not joined are expected to.
func (p *Planner) awaitingEndpoints(now time.Time) bool {
	return len(p.awaitedVMs) > 0 && now.Before(p.joinBy)
}

// Absent returns the VMs that have no endpoint, so that nothing runs there. It
// returns none while runs of an earlier term may be unconfirmed.
func (p *Planner) Absent(now time.Time, vms []string) []string {
	if p.awaitingEndpoints(now) {
		return nil
	}
	var absent []string
	for _, vm := range vms {
		if p.byVM[vm] == nil {
			absent = append(absent, vm)
		}
	}
	return absent
}

// TaskRecord is what is recorded of a task of a restored job.
type TaskRecord struct {
	Done     bool
	Failures int
	LastRun  uint64
	// FailedRuns are the numbers of the runs that Failures counts, without those that a
	// former version recorded.
	FailedRuns []uint64
}

// Add adds a newly accepted job. Its runs and ends that endpoints listed before
// are assigned to it, as when a best-effort job is submitted again to a new leader.
// A job that another planner had is held while it may have unconfirmed runs.
func (p *Planner) Add(now time.Time, spec *work.Job, prior PriorState) {
	if j := p.jobs[spec.ID]; j != nil {
		if j.started || !j.spec.BestEffort || !prior.MayHaveRun() {
			j.mayHaveRun = j.mayHaveRun || prior.MayHaveRun()
			return
		}
		// Nothing has started here, so the job is added again with what either request knows.
		prior.Waited = max(prior.Waited, now.Sub(j.arrived))
		prior = prior.with(p.HandOver(now, spec.ID, 0))
		p.Close(spec.ID)
	}
	j := p.newJob(now.Add(-prior.Waited), spec)
	j.mayHaveRun = prior.MayHaveRun() || p.knowsRunsOf(spec.ID)
	p.hold(now, j, prior)
	p.claim(now, j)
	if p.jobs[spec.ID] != j {
		return // the ends finished it
	}
	p.release(j)
}

// Restore adds a job of an earlier term with the records of its tasks, in order of
// the steps. It is held while it may have unconfirmed runs.
func (p *Planner) Restore(now time.Time, spec *work.Job, records []TaskRecord) {
	j := p.newJob(now, spec)
	i := 0
	for s := range j.tasks {
		for t := range j.tasks[s] {
			record := records[i]
			i++
			j.tasks[s][t].failures = record.Failures
			j.tasks[s][t].failedRuns = slices.Clone(record.FailedRuns)
			if len(record.FailedRuns) < record.Failures {
				j.tasks[s][t].countedUpTo = record.LastRun
			}
			p.observeRunNumber(record.LastRun)
			j.tasks[s][t].lastRun = record.LastRun
			if record.Done {
				j.tasks[s][t].phase = ended
				j.tasks[s][t].recorded = true
				j.undone[s]--
			}
			if record.Done || record.Failures > 0 {
				p.markBegun(j)
			}
		}
	}
	p.hold(now, j, PriorState{SentToLeader: true})
	p.release(j)
}

// newJob adds a job whose caller has waited since arrived.
func (p *Planner) newJob(arrived time.Time, spec *work.Job) *job {
	criticalPath := spec.CriticalPath()
	objective := spec.ObjectiveFor(criticalPath)
	j := &job{
		spec:         spec,
		arrived:      arrived,
		due:          arrived.Add(objective),
		expiresAt:    arrived.Add(ExpiryFactor * objective),
		criticalPath: criticalPath,
		tasks:        make([][]task, len(spec.Steps)),
		undone:       make([]int, len(spec.Steps)),
		outcomes:     make([]stepOutcomes, len(spec.Steps)),
		groups:       make([]*group, len(spec.Steps)),
		queueID:      p.queueID(arrived, spec.Queue),
		share:        p.shares.of(spec),
	}
	for s, step := range spec.Steps {
		j.tasks[s] = make([]task, step.Tasks)
		j.undone[s] = step.Tasks
	}
	p.jobs[spec.ID] = j
	p.setPending(j, true)
	return j
}

// setPending counts the job among those of its queue of which no task has begun, or no
// longer.
func (p *Planner) setPending(j *job, pending bool) {
	switch {
	case pending && !j.pending:
		p.pending[j.spec.Queue]++
	case !pending && j.pending:
		p.pending[j.spec.Queue]--
	}
	j.pending = pending
}

// markStarted records that a task of the job was ordered to start.
func (p *Planner) markStarted(j *job) {
	j.started = true
	p.setPending(j, false)
}

// markBegun records that a task of the job has begun.
func (p *Planner) markBegun(j *job) {
	p.markStarted(j)
	j.begun = true
}

// restorePending counts a job as pending again after a run of it that had not begun is
// gone, unless another one may have begun.
func (p *Planner) restorePending(j *job) {
	if !j.begun && !slices.ContainsFunc(p.runs[j.spec.ID], func(r *run) bool { return r.job == j }) {
		p.setPending(j, true)
	}
}

// release queues the tasks whose steps are ready, unless the job is held.
func (p *Planner) release(j *job) {
	if j.held {
		return
	}
	for s, step := range j.spec.Steps {
		if j.undone[s] == 0 || !ready(j, step) {
			continue
		}
		for t := range j.tasks[s] {
			if j.tasks[s][t].phase == blocked && j.tasks[s][t].failures < j.spec.MaxAttempts {
				p.enqueue(j, s, t)
			}
		}
	}
}

// ready reports whether all steps that the step depends on are recorded as done.
func ready(j *job, step work.Step) bool {
	for _, before := range step.After {
		if j.undone[before] > 0 {
			return false
		}
	}
	return true
}

func (p *Planner) enqueue(j *job, s, t int) {
	j.tasks[s][t].phase = waiting
	if j.groups[s] == nil {
		j.groups[s] = &group{job: j, step: s}
		p.queue.insert(j.groups[s])
	}
	p.queue.push(j.groups[s], t)
}

// Recorded marks ends as durable, so that steps that depend on them may start.
func (p *Planner) Recorded(ends []work.End) {
	for _, e := range ends {
		j := p.jobs[e.Task.Job]
		if j == nil || e.Reason != work.Done {
			continue
		}
		t := j.task(e.Task)
		if t == nil || t.recorded {
			continue
		}
		p.markDone(j, t, e.Task)
		p.taskRecorded(j, t, e.Task.Step)
	}
}

// taskRecorded marks the task's end Done as durable.
func (p *Planner) taskRecorded(j *job, t *task, step int) {
	t.recorded = true
	j.undone[step]--
	if j.undone[step] == 0 {
		p.release(j)
	}
}

// Close removes a final job and stops its remaining runs.
func (p *Planner) Close(id work.JobID) {
	j := p.jobs[id]
	if j == nil {
		return
	}
	p.setPending(j, false)
	delete(p.jobs, id)
	for _, g := range j.groups {
		if g != nil {
			p.queue.remove(g)
		}
	}
	p.held = slices.DeleteFunc(p.held, func(h *heldJob) bool { return h.job == j })
	for _, r := range p.runsOf(id) {
		if r.job == j {
			p.stop(r)
		}
	}
}

// knowsRunsOf reports whether a run of the job may exist or has ended lately, as one of an earlier
// submission that no request waits for any more.
func (p *Planner) knowsRunsOf(id work.JobID) bool {
	return len(p.runs[id]) > 0 || len(p.unknown[id]) > 0 || p.unclaimedEnds[id] != nil
}

// runsOf returns the runs of a job that may exist, in the order of their numbers.
func (p *Planner) runsOf(id work.JobID) []*run {
	if len(p.runs[id]) == 0 {
		return nil
	}
	return slices.SortedFunc(slices.Values(p.runs[id]), compareRuns)
}

// observeRunNumber keeps later run numbers above n, which is in use.
func (p *Planner) observeRunNumber(n uint64) { p.lastRun = max(p.lastRun, n) }

func (p *Planner) stop(r *run) {
	if r.stopping {
		return
	}
	r.stopping = true
	p.Stats.Stops++
	if r.endpoint.leaseExpiry.IsZero() {
		p.orders = append(p.orders, Order{Session: r.endpoint.Session, Run: r.Run, Stop: true})
	}
}

// Started reports whether a task of the job may have started in this or an earlier
// term.
func (p *Planner) Started(id work.JobID) bool {
	j := p.jobs[id]
	return j != nil && j.started
}

// Pending returns the number of a queue's jobs of which no task has begun. A job whose
// starts were all refused is among them.
func (p *Planner) Pending(queue string) int { return p.pending[queue] }

// Running reports whether a task of an open job has begun, or may have.
func (p *Planner) Running(id work.JobID) bool {
	j := p.jobs[id]
	return j != nil && !j.pending
}

// Waiting returns the number of tasks in the queue.
func (p *Planner) Waiting() int { return p.queue.tasks }

// task returns a task of the job, nil if there is none.
func (j *job) task(id work.TaskID) *task {
	if id.Occurrence != 0 || id.Step < 0 || id.Step >= len(j.tasks) || id.Index < 0 || id.Index >= len(j.tasks[id.Step]) {
		return nil
	}
	return &j.tasks[id.Step][id.Index]
}

// TakeOrders returns the orders since the last call.
func (p *Planner) TakeOrders() []Order {
	orders := p.orders
	p.orders = nil
	return orders
}
