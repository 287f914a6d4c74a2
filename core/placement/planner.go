package placement

import (
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

const (
	// ExpiredAfter is the multiple of a job's objective at which its result is
	// worth nothing to the caller.
	ExpiryFactor = 3
	// runsPerTerm separates the run numbers of successive leaders, so that a
	// leader never repeats a number that its predecessor gave in vain. Numbers
	// stay below 2^53, which JSON numbers carry, for two million terms.
	runsPerTerm = 1 << 32
)

// Board is the leader's view of jobs, endpoints and runs in one term.
type Planner struct {
	// lastRun is the highest run number given or seen. All tasks share one count,
	// so that the runs of a job that is submitted again are numbered upwards too.
	lastRun   uint64
	jobs      map[work.JobID]*job
	endpoints map[SessionID]*endpoint
	// order lists the endpoints in a fixed order.
	order []*endpoint
	queue queue
	// held are jobs whose tasks may still run unseen, those of earlier terms at
	// most until heldUntil.
	held      []*heldJob
	heldUntil time.Time
	// shared is set if other boards place tasks on the same endpoints.
	shared    bool
	slowdowns slowdowns
	// fastest is the least run time over the estimate in each pool.
	bestRatio map[string]float64
	// ticked is the time of the last Tick.
	lastTick time.Time
	orders   []Order
	finished []FinishedJob
	// expected are the VMs whose endpoints may run tasks of an earlier term and
	// haven't joined yet.
	awaitedVMs map[string]bool
	// lateEnds are ends of jobs that aren't known, kept for a submission that
	// comes again after a change of the leader.
	unclaimedEnds map[work.JobID]*unclaimedEnds
	// pending counts the jobs of each queue that haven't begun.
	pending map[string]int
	Stats   Stats
}

// Stats counts decisions since the term began.
type Stats struct {
	Starts, Stops, Moves, Refusals, Requeues uint64
}

// NewBoard returns the view of a leader that begins a term. Tasks are held until
// all expected VMs have joined or heldUntil has come, when every unseen run of
// an earlier term has lapsed.
func NewPlanner(term uint64, heldUntil time.Time, awaitedVMs []string) *Planner {
	p := &Planner{
		lastRun:       (term - 1) * runsPerTerm,
		jobs:          map[work.JobID]*job{},
		endpoints:     map[SessionID]*endpoint{},
		heldUntil:     heldUntil,
		slowdowns:     newSlowdowns(),
		lastTick:      heldUntil,
		bestRatio:     map[string]float64{},
		pending:       map[string]int{},
		awaitedVMs:    map[string]bool{},
		unclaimedEnds: map[work.JobID]*unclaimedEnds{},
	}
	for _, vm := range awaitedVMs {
		p.awaitedVMs[vm] = true
	}
	return p
}

// holding tells whether runs of an earlier term may go on unseen.
func (p *Planner) awaitingEndpoints(now time.Time) bool {
	return len(p.awaitedVMs) > 0 && now.Before(p.heldUntil)
}

// Absent returns those of the VMs that have no endpoint on the board: nothing
// runs there, once no earlier term's runs can be unseen.
func (p *Planner) Absent(now time.Time, vms []string) []string {
	if p.awaitingEndpoints(now) {
		return nil
	}
	var absent []string
	for _, vm := range vms {
		if p.endpointOf(vm) == nil {
			absent = append(absent, vm)
		}
	}
	return absent
}

// Progress is what is recorded of a restored job's tasks, in order of its steps.
type TaskRecord struct {
	Done     bool
	Failures int
	LastRun  uint64
}

// Add takes a newly accepted job. Runs and ends of it that endpoints listed
// before count, as when a best-effort job is submitted again to a new leader. A
// job that was somebody else's is held while runs of it may go on unseen.
func (p *Planner) Add(now time.Time, spec *work.Job, prior PriorState) {
	if p.jobs[spec.ID] != nil {
		return
	}
	j := p.newJob(now, spec)
	p.hold(now, j, prior)
	p.claim(now, j)
	if p.jobs[spec.ID] != j {
		return // the ends settled it
	}
	p.release(j)
}

// Restore takes a job of an earlier term. Its tasks wait until unseen runs of
// them have ended.
func (p *Planner) Restore(now time.Time, spec *work.Job, progress []TaskRecord) {
	j := p.newJob(now, spec)
	i := 0
	for s := range j.tasks {
		for t := range j.tasks[s] {
			record := progress[i]
			i++
			j.tasks[s][t].failures = record.Failures
			p.observeRunNumber(record.LastRun)
			j.tasks[s][t].lastRun = record.LastRun
			if record.Done {
				j.tasks[s][t].phase = ended
				j.tasks[s][t].recorded = true
				j.undone[s]--
			}
			if record.Done || record.Failures > 0 {
				p.markStarted(j)
			}
		}
	}
	p.hold(now, j, PriorState{SentToLeader: true})
	p.release(j)
}

func (p *Planner) newJob(now time.Time, spec *work.Job) *job {
	objective := spec.Objective()
	j := &job{
		spec:      spec,
		arrived:   now,
		due:       now.Add(objective),
		expiresAt: now.Add(ExpiryFactor * objective),
		tasks:     make([][]task, len(spec.Steps)),
		undone:    make([]int, len(spec.Steps)),
		groups:    make([]*group, len(spec.Steps)),
	}
	for s, step := range spec.Steps {
		j.tasks[s] = make([]task, step.Tasks)
		j.undone[s] = step.Tasks
	}
	p.jobs[spec.ID] = j
	p.pending[spec.Queue]++
	return j
}

// begin notes that a task of the job has started.
func (p *Planner) markStarted(j *job) {
	if !j.started {
		j.started = true
		p.pending[j.spec.Queue]--
	}
}

// release queues the tasks whose turn has come, unless the job is held.
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

// ready tells whether all steps that the step waits for are recorded as done.
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
	j.groups[s].tasks = append(j.groups[s].tasks, t)
}

// Recorded notes that ends are durable: steps that wait for them may start.
func (p *Planner) Recorded(ends []work.End) {
	for _, e := range ends {
		j := p.jobs[e.Task.Job]
		if j == nil || e.How != work.Done {
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

// recorded notes that a task is done for good.
func (p *Planner) taskRecorded(j *job, t *task, step int) {
	t.recorded = true
	j.undone[step]--
	if j.undone[step] == 0 {
		p.release(j)
	}
}

// Close drops a final job and stops what still runs of it.
func (p *Planner) Close(id work.JobID) {
	j := p.jobs[id]
	if j == nil {
		return
	}
	p.markStarted(j)
	delete(p.jobs, id)
	for _, g := range j.groups {
		if g != nil {
			p.queue.remove(g)
		}
	}
	p.held = slices.DeleteFunc(p.held, func(h *heldJob) bool { return h.job == j })
	for _, e := range p.order {
		for _, r := range e.runsOf(id) {
			if r.job == j {
				p.stop(r)
			}
		}
	}
}

// sawRun keeps later run numbers above one that exists.
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

// Begun tells whether a task of the job has started in this or an earlier term.
func (p *Planner) Started(id work.JobID) bool {
	j := p.jobs[id]
	return j != nil && j.started
}

// Pending returns the number of a queue's jobs that haven't begun.
func (p *Planner) Pending(queue string) int { return p.pending[queue] }

// Waiting returns the number of tasks in the queue.
func (p *Planner) Waiting() int {
	count := 0
	for _, g := range p.queue.groups {
		count += len(g.tasks)
	}
	return count
}

// task returns a task of the job, nil if there is none.
func (j *job) task(id work.TaskID) *task {
	if id.Occurrence != 0 || id.Step >= len(j.tasks) || id.Index >= len(j.tasks[id.Step]) {
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
