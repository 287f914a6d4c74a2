// Package ledger is the replicated state of jobs with steps: the configuration
// in force, accepted jobs, and the ends that decide about their tasks. Apply is
// deterministic and reads no clock. The caller serialises all methods.
package ledger

import (
	"maps"
	"slices"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// Command is one change; exactly one field is set. The zero value is a no-op.
type Command struct {
	Accept    *work.Job
	Ends      []work.End
	Cancel    work.JobID
	Configure *work.Configuration
	// Enrol and Remove name the VMs whose endpoints may run tasks, so that a new
	// leader knows whose lists it has to wait for.
	Enrol  *Agent
	Remove string `cbor:"Expel"`
	// Forget drops final jobs whose state nobody may ask for any more.
	Forget []work.JobID
}

// Agent is an agent whose endpoint may run tasks.
type Agent struct {
	VM string
	// Address is where entries reach the agent.
	Address string
	// Incarnation is the latest of its endpoint, for an agent that starts again.
	Incarnation work.Life `cbor:"Life"`
}

// Result is the outcome of a command.
type Result struct {
	// Changed is set for an accepted job that wasn't known, and for a configuration
	// that came into force.
	Changed bool
	// Closed lists jobs that became final by this command.
	Closed []work.JobID
}

// Task is what is known of a task for good.
type Task struct {
	Done bool
	// Failures counts the runs that ended Failed.
	Failures int
	// LastRun is the highest run number among recorded ends.
	LastRun uint64
}

// Record is an accepted job and its progress.
type Record struct {
	Job   work.Job
	State work.State
	// Tasks holds the tasks of all steps in order. It is nil for a final job.
	Tasks []Task
	// Open counts the tasks that aren't done.
	Open int
}

// offset returns where a step's tasks begin in Tasks.
func (r *Record) offset(step int) int {
	at := 0
	for _, s := range r.Job.Steps[:step] {
		at += s.Tasks
	}
	return at
}

// Task returns the state of a task, nil if the job has no such task or is final.
func (r *Record) Task(t work.TaskID) *Task {
	if r.State.Final() || t.Occurrence != 0 || t.Step >= len(r.Job.Steps) || t.Index >= r.Job.Steps[t.Step].Tasks {
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
	// enrolled are the agents whose endpoints may run tasks, by VM.
	enrolled map[string]Agent
}

// New returns an empty machine.
func New() *Machine {
	return &Machine{jobs: map[work.JobID]*Record{}, enrolled: map[string]Agent{}}
}

// Applied returns the index of the last command.
func (m *Machine) Applied() uint64 { return m.applied }

// Configuration returns the one in force, nil before the first.
func (m *Machine) Configuration() *work.Configuration { return m.config }

// Routes returns the index of the configuration in force, nil before the first.
func (m *Machine) Routes() *work.Routes { return m.routes }

// Job returns the record of a job, nil if it is unknown.
func (m *Machine) Job(id work.JobID) *Record { return m.jobs[id] }

// Enrolled tells whether an agent's endpoint may run tasks.
func (m *Machine) Enrolled(a Agent) bool {
	stored, ok := m.enrolled[a.VM]
	return ok && stored.Address == a.Address && stored.Incarnation.Equal(a.Incarnation)
}

// Agent returns the agent of a VM.
func (m *Machine) Agent(vm string) (Agent, bool) {
	a, ok := m.enrolled[vm]
	return a, ok
}

// EnrolledVMs returns the VMs whose endpoints may run tasks.
func (m *Machine) EnrolledVMs() []string { return slices.Sorted(maps.Keys(m.enrolled)) }

// Agents returns the agents whose endpoints may run tasks, in the order of their
// VMs.
func (m *Machine) Agents() []Agent {
	list := make([]Agent, 0, len(m.enrolled))
	for _, vm := range m.EnrolledVMs() {
		list = append(list, m.enrolled[vm])
	}
	return list
}

// Each calls fn for all jobs in no fixed order.
func (m *Machine) Each(fn func(*Record)) {
	for _, r := range m.jobs {
		fn(r)
	}
}

// Apply brings the command at a log index into force.
func (m *Machine) Apply(index uint64, c Command) Result {
	m.applied = index
	switch {
	case c.Accept != nil:
		return m.accept(c.Accept)
	case len(c.Ends) > 0:
		return m.recordEnds(c.Ends)
	case c.Cancel != "":
		return m.cancel(c.Cancel)
	case c.Configure != nil:
		return m.configure(c.Configure)
	case c.Enrol != nil:
		m.enrolled[c.Enrol.VM] = *c.Enrol
	case c.Remove != "":
		delete(m.enrolled, c.Remove)
	}
	for _, id := range c.Forget {
		if r := m.jobs[id]; r != nil && r.State.Final() {
			delete(m.jobs, id)
		}
	}
	return Result{}
}

// accept takes a job unless its id is known: a resent submission is the same job.
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
	case e.How == work.Done:
		t.Done = true
		t.LastRun = max(t.LastRun, e.Run.Run)
		r.Open--
		if r.Open == 0 {
			r.close(work.Completed)
		}
	case e.How == work.Failed && e.Run.Run > t.LastRun:
		// A failure that is reported twice, as after a takeover, counts once.
		t.LastRun = e.Run.Run
		t.Failures++
		if t.Failures >= r.Job.MaxAttempts {
			r.close(work.JobFailed)
		}
	}
}

// close makes the job final and drops what only running it needs.
func (r *Record) close(s work.State) {
	r.State = s
	r.Tasks = nil
	r.Job.Spec = ""
	r.Job.Steps = nil
}

func (m *Machine) cancel(id work.JobID) Result {
	r := m.jobs[id]
	if r == nil || r.State.Final() {
		return Result{}
	}
	r.close(work.Cancelled)
	return Result{Changed: true, Closed: []work.JobID{id}}
}

// configure takes a configuration with a higher version than the present one.
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

// Snapshot is the whole state.
type Snapshot struct {
	Applied       uint64
	Configuration *work.Configuration
	Jobs          []Record
	Enrolled      []Agent
}

// Snapshot returns a copy that later commands don't change.
func (m *Machine) Snapshot() Snapshot {
	s := Snapshot{Applied: m.applied, Configuration: m.config, Jobs: make([]Record, 0, len(m.jobs)), Enrolled: m.Agents()}
	for _, r := range m.jobs {
		c := *r
		c.Tasks = append([]Task(nil), r.Tasks...)
		s.Jobs = append(s.Jobs, c)
	}
	return s
}

// Restore replaces the state by that of a snapshot.
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
	m.jobs = make(map[work.JobID]*Record, len(s.Jobs))
	for i := range s.Jobs {
		r := s.Jobs[i]
		m.jobs[r.Job.ID] = &r
	}
}
