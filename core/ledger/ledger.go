// Package ledger is the replicated state machine of jobs with steps: the
// configuration in force, accepted jobs, and the run ends that complete or fail
// their tasks. Apply is deterministic and reads no clock. The caller serialises
// all methods.
package ledger

import (
	"maps"
	"slices"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// Command is one change; exactly one field is set. The zero value is a no-op.
type Command struct {
	Accept *work.Job
	Ends   []work.End
	// Cancel cancels a job. If it is not recorded, the machine keeps the cancellation.
	Cancel    work.JobID
	Configure *work.Configuration
	// Enrol adds an agent whose endpoint may run tasks. A new leader waits for the
	// inventories of all enrolled agents.
	Enrol *Agent
	// Remove drops the agent of a VM, whichever enrolment it has. It is in logs of
	// former versions only; RemoveEnrolment replaces it.
	Remove string `cbor:"Expel"`
	// Forget drops final jobs whose retention time has passed.
	Forget []work.JobID
	// RemoveEnrolment drops an agent unless it has enrolled again in the meantime.
	RemoveEnrolment *Enrolment `cbor:",omitempty"`
	// Drain changes the drain of a data centre.
	Drain *DrainCommand `cbor:",omitempty"`
	// ForgetCancellations drops the kept cancellations up to a log index.
	ForgetCancellations uint64 `cbor:",omitempty"`
}

// Enrolment identifies one enrolment of a VM's agent.
type Enrolment struct {
	VM string
	// Index is the log index of the command that enrolled the agent, 0 if a former
	// version has recorded it.
	Index uint64
}

// Agent is an agent whose endpoint may run tasks.
type Agent struct {
	VM string
	// Address is where entries connect to the agent.
	Address string
	// Incarnation is the latest incarnation of the agent's endpoint. The leader
	// sends it to an agent that restarts.
	Incarnation work.Incarnation `cbor:"Life"`
	// EndpointDraining is set once the endpoint accepts no new runs, because it is
	// about to end.
	EndpointDraining bool `cbor:",omitempty"`
}

// Result is the outcome of a command.
type Result struct {
	// Changed is set for an accepted job that is not a resubmission, for a
	// cancelled job that was not final, for a configuration that came into force,
	// for an enrolment that was removed, and for a data centre whose drain was ordered
	// or withdrawn.
	Changed bool
	// Conflict is set for a drain command that was rejected: it would have changed the
	// drain after a command that its proposer did not know.
	Conflict bool
	// Kept is set for the cancellation of a job that is not recorded.
	Kept bool
	// Closed lists jobs that became final by this command.
	Closed []work.JobID
}

// Task is the recorded progress of a task.
type Task struct {
	Done bool
	// Failures counts the runs that ended as Failed.
	Failures int
	// LastRun is the highest run number among recorded ends.
	LastRun uint64
	// FailedRuns are the numbers of the counted runs. Failures that a former version has
	// recorded have none.
	FailedRuns []uint64 `cbor:",omitempty"`
}

// hasCounted reports whether the failure of a run has been counted. Failures arrive in
// any order: two leaders may report the same one, and after a change of the leader that
// of a later run may be recorded first.
func (t *Task) hasCounted(run uint64) bool {
	if len(t.FailedRuns) < t.Failures && run <= t.LastRun {
		return true // a former version recorded failures in the order of their numbers
	}
	return slices.Contains(t.FailedRuns, run)
}

// Record is an accepted job and its progress.
type Record struct {
	Job   work.Job
	State work.State
	// Tasks holds the tasks of all steps in order. It is nil for a final job.
	Tasks []Task
	// Open counts the tasks that are not done.
	Open int
}

// offset returns the index of a step's first task in Tasks.
func (r *Record) offset(step int) int {
	at := 0
	for _, s := range r.Job.Steps[:step] {
		at += s.Tasks
	}
	return at
}

// Task returns the progress of a task, nil if the job has no such task or is final.
func (r *Record) Task(t work.TaskID) *Task {
	if r.State.Final() || t.Occurrence != 0 || t.Step < 0 || t.Step >= len(r.Job.Steps) || t.Index < 0 || t.Index >= r.Job.Steps[t.Step].Tasks {
		return nil
	}
	return &r.Tasks[r.offset(t.Step)+t.Index]
}

// Machine is the replicated state.
type Machine struct {
	applied uint64
	config  *work.Configuration
	routes  *work.Routes
	jobs    map[work.JobID]*Record
	// enrolled holds the agents whose endpoints may run tasks, by VM.
	enrolled map[string]Agent
	// enrolledAt holds the log indexes of the enrolments, by VM. Enrolments that a
	// former version has recorded have none.
	enrolledAt map[string]uint64
	// drains holds the drains and withdrawals by data centre, and drainsRevision the
	// highest revision among them.
	drains         map[string]DrainRecord
	drainsRevision uint64
	// cancellations holds the log indexes of the kept cancellations.
	cancellations map[work.JobID]uint64
}

// New returns an empty machine.
func New() *Machine {
	return &Machine{
		jobs: map[work.JobID]*Record{}, enrolled: map[string]Agent{}, enrolledAt: map[string]uint64{}, drains: map[string]DrainRecord{},
		cancellations: map[work.JobID]uint64{},
	}
}

// Applied returns the log index of the last applied command.
func (m *Machine) Applied() uint64 { return m.applied }

// Configuration returns the one in force, nil before the first.
func (m *Machine) Configuration() *work.Configuration { return m.config }

// Routes returns the index of the configuration in force, nil before the first.
func (m *Machine) Routes() *work.Routes { return m.routes }

// Job returns the record of a job, nil if it is unknown.
func (m *Machine) Job(id work.JobID) *Record { return m.jobs[id] }

// Enrolled reports whether an agent is enrolled with the same address, incarnation
// and state.
func (m *Machine) Enrolled(a Agent) bool {
	stored, ok := m.enrolled[a.VM]
	return ok && stored.Address == a.Address && stored.Incarnation.Equal(a.Incarnation) && stored.EndpointDraining == a.EndpointDraining
}

// Agent returns the enrolled agent of a VM.
func (m *Machine) Agent(vm string) (Agent, bool) {
	a, ok := m.enrolled[vm]
	return a, ok
}

// Enrolment returns the current enrolment of a VM's agent.
func (m *Machine) Enrolment(vm string) Enrolment {
	return Enrolment{VM: vm, Index: m.enrolledAt[vm]}
}

// EnrolledVMs returns the VMs whose endpoints may run tasks, sorted.
func (m *Machine) EnrolledVMs() []string { return slices.Sorted(maps.Keys(m.enrolled)) }

// Agents returns the agents whose endpoints may run tasks, sorted by VM.
func (m *Machine) Agents() []Agent {
	list := make([]Agent, 0, len(m.enrolled))
	for _, vm := range m.EnrolledVMs() {
		list = append(list, m.enrolled[vm])
	}
	return list
}

// Each calls fn for every job, in no fixed order.
func (m *Machine) Each(fn func(*Record)) {
	for _, r := range m.jobs {
		fn(r)
	}
}

// Apply applies the command at a log index.
func (m *Machine) Apply(index uint64, c Command) Result {
	m.applied = index
	switch {
	case c.Accept != nil:
		return m.accept(c.Accept)
	case len(c.Ends) > 0:
		return m.recordEnds(c.Ends)
	case c.Cancel != "":
		return m.cancel(index, c.Cancel)
	case c.Configure != nil:
		return m.configure(c.Configure)
	case c.Enrol != nil:
		m.enrolled[c.Enrol.VM] = *c.Enrol
		m.enrolledAt[c.Enrol.VM] = index
	case c.Remove != "":
		m.remove(c.Remove)
	case c.RemoveEnrolment != nil && *c.RemoveEnrolment == m.Enrolment(c.RemoveEnrolment.VM):
		m.remove(c.RemoveEnrolment.VM)
		return Result{Changed: true}
	case c.Drain != nil:
		return m.drain(index, c.Drain)
	case c.ForgetCancellations > 0:
		m.forgetCancellations(c.ForgetCancellations)
	}
	for _, id := range c.Forget {
		if r := m.jobs[id]; r != nil && r.State.Final() {
			delete(m.jobs, id)
		}
	}
	return Result{}
}

func (m *Machine) remove(vm string) {
	delete(m.enrolled, vm)
	delete(m.enrolledAt, vm)
}

// accept stores a job unless its ID is already recorded: a resent submission is
// the same job.
func (m *Machine) accept(j *work.Job) Result {
	if m.jobs[j.ID] != nil {
		return Result{}
	}
	tasks := j.Tasks()
	m.jobs[j.ID] = &Record{Job: *j, State: work.Pending, Tasks: make([]Task, tasks), Open: tasks}
	return Result{Changed: true}
}

func (m *Machine) recordEnds(ends []work.End) Result {
	var result Result
	for _, e := range ends {
		r := m.jobs[e.Task.Job]
		if r == nil {
			continue
		}
		t := r.Task(e.Task)
		if t == nil || t.Done {
			continue
		}
		m.recordEnd(r, t, e)
		if r.State.Final() {
			result.Closed = append(result.Closed, r.Job.ID)
		}
	}
	return result
}

func (m *Machine) recordEnd(r *Record, t *Task, e work.End) {
	r.State = work.Running
	switch {
	case e.Reason == work.Done:
		t.Done = true
		t.LastRun = max(t.LastRun, e.Run.Number)
		r.Open--
		if r.Open == 0 {
			r.close(work.Completed)
		}
	case e.Reason == work.Failed && !t.hasCounted(e.Run.Number):
		t.LastRun = max(t.LastRun, e.Run.Number)
		t.FailedRuns = append(t.FailedRuns, e.Run.Number)
		t.Failures++
		if t.Failures >= r.Job.MaxAttempts {
			r.close(work.JobFailed)
		}
	}
}

// close makes the job final and drops the fields that are only needed to run it.
func (r *Record) close(s work.State) {
	r.State = s
	r.Tasks = nil
	r.Job.Spec = ""
	r.Job.Steps = nil
}

func (m *Machine) cancel(index uint64, id work.JobID) Result {
	r := m.jobs[id]
	if r == nil {
		m.keepCancellation(Cancellation{Job: id, Index: index})
		return Result{Kept: true}
	}
	if r.State.Final() {
		return Result{}
	}
	r.close(work.Cancelled)
	return Result{Changed: true, Closed: []work.JobID{id}}
}

// configure ignores a configuration whose version is not above the current one.
func (m *Machine) configure(c *work.Configuration) Result {
	if m.config != nil && c.Version <= m.config.Version {
		return Result{}
	}
	m.setConfiguration(c)
	return Result{Changed: true}
}

func (m *Machine) setConfiguration(c *work.Configuration) {
	m.config = c
	m.routes = work.NewRoutes(c)
}

// Snapshot is a copy of the whole state.
type Snapshot struct {
	Applied       uint64
	Configuration *work.Configuration
	Jobs          []Record
	Enrolled      []Agent
	// Enrolments identifies the enrolments of these agents, without those that a former
	// version has recorded.
	Enrolments []Enrolment `cbor:",omitempty"`
	// Drains are the drains of data centres, withdrawals included.
	Drains []DrainRecord `cbor:",omitempty"`
	// Cancellations are those of jobs that were not recorded, in the order of the log.
	Cancellations []Cancellation `cbor:",omitempty"`
}

// Snapshot returns a copy of the state that later commands do not change.
func (m *Machine) Snapshot() Snapshot {
	s := Snapshot{
		Applied: m.applied, Configuration: m.config, Jobs: make([]Record, 0, len(m.jobs)), Enrolled: m.Agents(), Drains: m.drainRecords(),
		Cancellations: m.Cancellations(),
	}
	for _, vm := range slices.Sorted(maps.Keys(m.enrolledAt)) {
		s.Enrolments = append(s.Enrolments, m.Enrolment(vm))
	}
	for _, r := range m.jobs {
		c := *r
		c.Tasks = append([]Task(nil), r.Tasks...)
		for i := range c.Tasks {
			c.Tasks[i].FailedRuns = slices.Clone(c.Tasks[i].FailedRuns)
		}
		s.Jobs = append(s.Jobs, c)
	}
	return s
}

// Restore replaces the state with that of a snapshot.
func (m *Machine) Restore(s Snapshot) {
	m.applied = s.Applied
	m.config = nil
	m.routes = nil
	if s.Configuration != nil {
		m.setConfiguration(s.Configuration)
	}
	m.enrolled = make(map[string]Agent, len(s.Enrolled))
	for _, a := range s.Enrolled {
		m.enrolled[a.VM] = a
	}
	m.enrolledAt = make(map[string]uint64, len(s.Enrolments))
	for _, e := range s.Enrolments {
		m.enrolledAt[e.VM] = e.Index
	}
	m.restoreDrains(s.Drains)
	m.cancellations = make(map[work.JobID]uint64, len(s.Cancellations))
	for _, c := range s.Cancellations {
		m.cancellations[c.Job] = c.Index
	}
	m.jobs = make(map[work.JobID]*Record, len(s.Jobs))
	for i := range s.Jobs {
		r := s.Jobs[i]
		m.jobs[r.Job.ID] = &r
	}
}
