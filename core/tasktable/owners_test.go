package tasktable

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/verdict"
)

const (
	modelTables = 3
	modelTasks  = 3
)

// modelAgent is a table that loses its records when its process restarts.
type modelAgent struct {
	table       *Table
	incarnation int
	running     map[int]message
}

// taskView is the state of a task at an owner. The owner no longer sends a task
// that is final.
type taskView uint8

const (
	mayStart taskView = iota
	sentOnce
	final
)

// modelOwner follows the owner's rules: it sends a task to another table only
// after NotRun or Denied, and after a takeover it first asks all tables. A
// request names the agent's incarnation, and a replaced owner does not receive
// incarnations that registered after its replacement: a table that lost its
// records has lost the fence against that owner too.
type modelOwner struct {
	epoch uint64
	tasks [modelTasks]struct {
		view        taskView
		agent       int
		incarnation int
		number      uint32
	}
	// unqueried lists the agents to ask before the owner may send anything.
	unqueried []int
	// mayHaveStarted is set if an agent may have started tasks without a record.
	mayHaveStarted bool
	// replaced is set by a takeover; knownIncarnations holds the agents'
	// incarnations at that time.
	replaced          bool
	knownIncarnations [modelTables]int
}

// message is a Run request that may be delivered many times, or its answer.
type message struct {
	owner       *modelOwner
	task        int
	agent       int
	incarnation int
	attempt     Attempt
	err         *verdict.Error
}

// fleet is one job with all its owners and the tables of all agents.
type fleet struct {
	now      time.Time
	agents   [modelTables]modelAgent
	owners   []*modelOwner
	requests []message
	answers  []message
	// starts counts the starts of each task that reached an endpoint.
	starts [modelTasks]int
}

var (
	modelKey       = job.Key{Caller: "c", ID: "j"}
	modelExpiresAt = start.Add(time.Minute)
)

func newFleet() *fleet {
	f := &fleet{now: start, owners: []*modelOwner{{epoch: 1}}}
	for i := range f.agents {
		f.agents[i] = modelAgent{table: New(Limits{Slots: 1, Records: 20, OutputBytes: 100}), running: map[int]message{}}
	}
	return f
}

func (f *fleet) owner(t *rapid.T) *modelOwner {
	return f.owners[rapid.IntRange(0, len(f.owners)-1).Draw(t, "owner")]
}

func (f *fleet) agent(t *rapid.T) int { return rapid.IntRange(0, modelTables-1).Draw(t, "agent") }

// send sends a request of any owner, also of a replaced one that has not learned
// of its replacement.
func (f *fleet) send(t *rapid.T) {
	o, task, agent := f.owner(t), rapid.IntRange(0, modelTasks-1).Draw(t, "task"), f.agent(t)
	s := &o.tasks[task]
	if s.view != mayStart || len(o.unqueried) > 0 {
		t.Skip()
	}
	s.view, s.agent, s.incarnation = sentOnce, agent, f.incarnation(o, agent)
	s.number++
	f.requests = append(f.requests, message{
		owner: o, task: task, agent: agent, incarnation: s.incarnation, attempt: Attempt{o.epoch, s.number},
	})
}

// incarnation returns the agent's incarnation in the owner's copy of the members.
func (f *fleet) incarnation(o *modelOwner, agent int) int {
	if o.replaced {
		return o.knownIncarnations[agent]
	}
	return f.agents[agent].incarnation
}

// deliver delivers a request, possibly again, to the process that it was sent to.
func (f *fleet) deliver(t *rapid.T) {
	if len(f.requests) == 0 {
		t.Skip()
	}
	r := rapid.SampledFrom(f.requests).Draw(t, "request")
	a := &f.agents[r.agent]
	if r.incarnation != a.incarnation {
		t.Skip()
	}
	r.err = a.table.Begin(job.TaskKey{Job: modelKey, Task: r.task}, r.attempt, f.now, modelExpiresAt)
	if r.err != nil {
		f.answers = append(f.answers, r)
		return
	}
	a.running[r.task] = r
	f.starts[r.task]++
}

// answer delivers an answer to an owner, possibly late or again.
func (f *fleet) answer(t *rapid.T) {
	if len(f.answers) == 0 {
		t.Skip()
	}
	m := rapid.SampledFrom(f.answers).Draw(t, "answer")
	s := &m.owner.tasks[m.task]
	if s.view != sentOnce || s.number != m.attempt.Number || s.agent != m.agent {
		return
	}
	s.view = final
	if m.err.Verdict == verdict.NotRun {
		s.view = mayStart
	}
}

// ask queries the fate of a task whose request was not answered.
func (f *fleet) ask(t *rapid.T) {
	o, task := f.owner(t), rapid.IntRange(0, modelTasks-1).Draw(t, "task")
	s := &o.tasks[task]
	if s.view != sentOnce || len(o.unqueried) > 0 {
		t.Skip()
	}
	a := &f.agents[s.agent]
	if a.incarnation != s.incarnation {
		s.view = final
		return
	}
	fate, err := a.table.Fate(job.TaskKey{Job: modelKey, Task: task}, Attempt{o.epoch, s.number}, f.now, modelExpiresAt)
	switch {
	case err != nil || fate.Status == Ended:
		s.view = final
	case fate.Status == Denied:
		s.view = mayStart
	}
}

func (f *fleet) takeOver(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "rare") > 0 || len(f.owners) == 4 {
		t.Skip()
	}
	o := &modelOwner{epoch: uint64(len(f.owners) + 1)}
	last := f.owners[len(f.owners)-1]
	last.replaced = true
	for i := range f.agents {
		o.unqueried = append(o.unqueried, i)
		last.knownIncarnations[i] = f.agents[i].incarnation
	}
	f.owners = append(f.owners, o)
}

// queryAgent asks the next table after a takeover. A restarted table, one that
// returns an error and one that can't be reached may have started any task.
func (f *fleet) queryAgent(t *rapid.T) {
	o := f.owner(t)
	if len(o.unqueried) == 0 {
		t.Skip()
	}
	agent := o.unqueried[0]
	o.unqueried = o.unqueried[1:]
	a := &f.agents[agent]
	unreachable := rapid.IntRange(0, 19).Draw(t, "reach") == 0
	o.mayHaveStarted = o.mayHaveStarted || unreachable || a.incarnation > 0
	for task := range o.tasks {
		if unreachable {
			break
		}
		fate, err := a.table.Fate(job.TaskKey{Job: modelKey, Task: task}, Attempt{o.epoch, 0}, f.now, modelExpiresAt)
		o.mayHaveStarted = o.mayHaveStarted || err != nil
		if err == nil && fate.Status != Denied {
			o.tasks[task].view = final
		}
	}
	for task := range o.tasks {
		if len(o.unqueried) == 0 && o.mayHaveStarted {
			o.tasks[task].view = final
		}
	}
}

// end ends a running task; an aborted one never reached the endpoint.
func (f *fleet) end(t *rapid.T) {
	a, task := &f.agents[f.agent(t)], rapid.IntRange(0, modelTasks-1).Draw(t, "task")
	m, ok := a.running[task]
	if !ok {
		t.Skip()
	}
	delete(a.running, task)
	k := job.TaskKey{Job: modelKey, Task: task}
	if rapid.Bool().Draw(t, "abort") {
		a.table.Abort(k, m.attempt)
		f.starts[task]--
		m.err = verdict.Errorf(verdict.CodeEndpointFailed, verdict.NotRun, "connection refused")
		f.answers = append(f.answers, m)
		return
	}
	a.table.End(k, job.TaskResult{})
}

func (f *fleet) restart(t *rapid.T) {
	a := &f.agents[f.agent(t)]
	if rapid.IntRange(0, 19).Draw(t, "rare") > 0 {
		t.Skip()
	}
	*a = modelAgent{table: New(Limits{Slots: 1, Records: 20, OutputBytes: 100}), incarnation: a.incarnation + 1, running: map[int]message{}}
}

func (f *fleet) advance(t *rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
}

func (f *fleet) check(t *rapid.T) {
	for task, n := range f.starts {
		assert.Assert(t, n <= 1, "task %d started %d times", task, n)
	}
}

// Guards against a task that starts at two tables, with delayed and repeated
// requests, agents that restart, and replaced owners that continue to send.
func TestOwnersStartNoTaskTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		t.Repeat(map[string]func(*rapid.T){
			"": f.check, "send": f.send, "deliver": f.deliver, "deliverAgain": f.deliver, "answer": f.answer, "ask": f.ask,
			"takeOver": f.takeOver, "queryAgent": f.queryAgent, "end": f.end, "restart": f.restart, "advance": f.advance,
		})
	})
}
