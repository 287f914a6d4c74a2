package placement

import (
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

const (
	// ExpiredAfter is the multiple of a job's objective at which its result is
	// worth nothing to the caller.
	ExpiredAfter = 3
	// runsPerTerm separates the run numbers of successive leaders, so that a
	// leader never repeats a number that its predecessor gave in vain. Numbers
	// stay below 2^53, which JSON numbers carry, for two million terms.
	runsPerTerm = 1 << 32
)

// Board is the leader's view of jobs, endpoints and runs in one term.
type Board struct {
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
	shared bool
	speeds speeds
	// fastest is the least run time over the estimate in each pool.
	fastest map[string]float64
	// ticked is the time of the last Tick.
	ticked  time.Time
	orders  []Order
	settled []Settled
	// expected are the VMs whose endpoints may run tasks of an earlier term and
	// haven't joined yet.
	expected map[string]bool
	// lateEnds are ends of jobs that aren't known, kept for a submission that
	// comes again after a change of the leader.
	lateEnds map[work.JobID]*lateEnds
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
func NewBoard(term uint64, heldUntil time.Time, expected []string) *Board {
	b := &Board{
		lastRun:   (term - 1) * runsPerTerm,
		jobs:      map[work.JobID]*job{},
		endpoints: map[SessionID]*endpoint{},
		heldUntil: heldUntil,
		speeds:    newSpeeds(),
		ticked:    heldUntil,
		fastest:   map[string]float64{},
		pending:   map[string]int{},
		expected:  map[string]bool{},
		lateEnds:  map[work.JobID]*lateEnds{},
	}
	for _, vm := range expected {
		b.expected[vm] = true
	}
	return b
}

// holding tells whether runs of an earlier term may go on unseen.
func (b *Board) holding(now time.Time) bool {
	return len(b.expected) > 0 && now.Before(b.heldUntil)
}

// Absent returns those of the VMs that have no endpoint on the board: nothing
// runs there, once no earlier term's runs can be unseen.
func (b *Board) Absent(now time.Time, vms []string) []string {
	if b.holding(now) {
		return nil
	}
	var absent []string
	for _, vm := range vms {
		if b.sessionOf(vm) == nil {
			absent = append(absent, vm)
		}
	}
	return absent
}

// Progress is what is recorded of a restored job's tasks, in order of its steps.
type Progress struct {
	Done     bool
	Failures int
	LastRun  uint64
}

// Add takes a newly accepted job. Runs and ends of it that endpoints listed
// before count, as when a best-effort job is submitted again to a new leader. A
// job that was somebody else's is held while runs of it may go on unseen.
func (b *Board) Add(now time.Time, spec *work.Job, earlier Earlier) {
	if b.jobs[spec.ID] != nil {
		return
	}
	j := b.newJob(now, spec)
	b.hold(now, j, earlier)
	b.claim(now, j)
	if b.jobs[spec.ID] != j {
		return // the ends settled it
	}
	b.release(j)
}

// Restore takes a job of an earlier term. Its tasks wait until unseen runs of
// them have ended.
func (b *Board) Restore(now time.Time, spec *work.Job, progress []Progress) {
	j := b.newJob(now, spec)
	i := 0
	for s := range j.tasks {
		for t := range j.tasks[s] {
			p := progress[i]
			i++
			j.tasks[s][t].failures = p.Failures
			b.sawRun(p.LastRun)
			j.tasks[s][t].lastRun = p.LastRun
			if p.Done {
				j.tasks[s][t].phase = ended
				j.tasks[s][t].recorded = true
				j.undone[s]--
			}
			if p.Done || p.Failures > 0 {
				b.begin(j)
			}
		}
	}
	b.hold(now, j, Earlier{Offered: true})
	b.release(j)
}

func (b *Board) newJob(now time.Time, spec *work.Job) *job {
	objective := spec.Objective()
	j := &job{
		spec:    spec,
		arrived: now,
		due:     now.Add(objective),
		expired: now.Add(ExpiredAfter * objective),
		tasks:   make([][]task, len(spec.Steps)),
		undone:  make([]int, len(spec.Steps)),
		groups:  make([]*group, len(spec.Steps)),
	}
	for s, step := range spec.Steps {
		j.tasks[s] = make([]task, step.Tasks)
		j.undone[s] = step.Tasks
	}
	b.jobs[spec.ID] = j
	b.pending[spec.Queue]++
	return j
}

// begin notes that a task of the job has started.
func (b *Board) begin(j *job) {
	if !j.begun {
		j.begun = true
		b.pending[j.spec.Queue]--
	}
}

// release queues the tasks whose turn has come, unless the job is held.
func (b *Board) release(j *job) {
	if j.held {
		return
	}
	for s, step := range j.spec.Steps {
		if j.undone[s] == 0 || !ready(j, step) {
			continue
		}
		for t := range j.tasks[s] {
			if j.tasks[s][t].phase == blocked && j.tasks[s][t].failures < j.spec.MaxAttempts {
				b.enqueue(j, s, t)
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

func (b *Board) enqueue(j *job, s, t int) {
	j.tasks[s][t].phase = waiting
	if j.groups[s] == nil {
		j.groups[s] = &group{job: j, step: s}
		b.queue.insert(j.groups[s])
	}
	j.groups[s].tasks = append(j.groups[s].tasks, t)
}

// Recorded notes that ends are durable: steps that wait for them may start.
func (b *Board) Recorded(ends []work.End) {
	for _, e := range ends {
		j := b.jobs[e.Task.Job]
		if j == nil || e.How != work.Done {
			continue
		}
		t := j.task(e.Task)
		if t == nil || t.recorded {
			continue
		}
		b.markDone(j, t, e.Task)
		b.recorded(j, t, e.Task.Step)
	}
}

// recorded notes that a task is done for good.
func (b *Board) recorded(j *job, t *task, step int) {
	t.recorded = true
	j.undone[step]--
	if j.undone[step] == 0 {
		b.release(j)
	}
}

// Close drops a final job and stops what still runs of it.
func (b *Board) Close(id work.JobID) {
	j := b.jobs[id]
	if j == nil {
		return
	}
	b.begin(j)
	delete(b.jobs, id)
	for _, g := range j.groups {
		if g != nil {
			b.queue.remove(g)
		}
	}
	b.held = slices.DeleteFunc(b.held, func(h *heldJob) bool { return h.job == j })
	for _, e := range b.order {
		for _, r := range e.runsOf(id) {
			if r.job == j {
				b.stop(r)
			}
		}
	}
}

// sawRun keeps later run numbers above one that exists.
func (b *Board) sawRun(n uint64) { b.lastRun = max(b.lastRun, n) }

func (b *Board) stop(r *run) {
	if r.stopping {
		return
	}
	r.stopping = true
	b.Stats.Stops++
	if r.at.goneAt.IsZero() {
		b.orders = append(b.orders, Order{Session: r.at.Session, Run: r.Run, Stop: true})
	}
}

// Begun tells whether a task of the job has started in this or an earlier term.
func (b *Board) Begun(id work.JobID) bool {
	j := b.jobs[id]
	return j != nil && j.begun
}

// Pending returns the number of a queue's jobs that haven't begun.
func (b *Board) Pending(queue string) int { return b.pending[queue] }

// Waiting returns the number of tasks in the queue.
func (b *Board) Waiting() int {
	count := 0
	for _, g := range b.queue.groups {
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
func (b *Board) TakeOrders() []Order {
	orders := b.orders
	b.orders = nil
	return orders
}
