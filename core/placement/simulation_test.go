package placement

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cicadapulley/cicadapulley/core/testseed"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// TestMain raises the number of steps and checks, since a fault needs a job, a run, a
// loss and a second start in sequence.
func TestMain(m *testing.M) {
	testseed.MainWith(m, map[string]string{"rapid.steps": "150", "rapid.checks": "400"})
}

// simulation has the actual state of the endpoints, separate from the planner's view.
// Orders may be executed, refused or lost with their session; agents connect and
// disconnect; leaders change; callers submit jobs again.
type simulation struct {
	planner  *Planner
	now      time.Time
	term     uint64
	sessions uint64
	vms      map[string]*simVM
	// local is set while the planner is that of an entry, because there is no leader.
	local bool
	// open has the best-effort jobs whose callers wait.
	open map[work.JobID]*work.Job
	// prior has the prior state that the entry holds of jobs that another planner had.
	prior map[work.JobID]PriorState
	// toResubmit lists the open jobs that the current planner has not received yet.
	toResubmit []work.JobID
	nextJob    int
	// done has the tasks that have ended Done since their job was submitted.
	done map[work.TaskID]bool
	// started has the highest run number started for each task.
	started map[work.TaskID]uint64
	// drains are the operator's, which every planner receives.
	drains work.DataCentreDrains
	// shares are those of the settings, under the latest configuration.
	shares Shares
}

// simVM is an endpoint with its agent.
type simVM struct {
	name     string
	capacity int
	session  SessionID
	// connected is set while the planner can reach the agent.
	connected bool
	// renewed is when a leader last renewed the agent's lease, and entryRenewed when
	// the entry did.
	renewed, entryRenewed time.Time
	// fence is the latest session with a leader.
	fence SessionID
	// running has the current runs; the value is set for those that the entry started.
	running map[work.Run]bool
	// stopped has the runs that were stopped before they began; they never begin.
	stopped map[work.Run]bool
	ends    []work.End
	// inFlight are the sent orders of the current session that are not executed yet.
	inFlight []Order
}

const simLeaseTimeout = time.Second

func newSimulation() *simulation {
	sim := &simulation{
		now:     time.Unix(1000, 0),
		vms:     map[string]*simVM{},
		open:    map[work.JobID]*work.Job{},
		prior:   map[work.JobID]PriorState{},
		done:    map[work.TaskID]bool{},
		started: map[work.TaskID]uint64{},
	}
	for i, cores := range []int{2, 3, 1} {
		name := fmt.Sprintf("vm-%d", i)
		sim.vms[name] = &simVM{name: name, capacity: cores, running: map[work.Run]bool{}, stopped: map[work.Run]bool{}}
	}
	sim.electLeader()
	for _, name := range sim.names() {
		sim.join(sim.vms[name])
	}
	return sim
}

func (sim *simulation) names() []string { return []string{"vm-0", "vm-1", "vm-2"} }

// electLeader begins a term; all agents have to join again, and entries have to submit
// the open jobs again.
func (sim *simulation) electLeader() {
	sim.handOver()
	sim.term++
	sim.local = false
	sim.replacePlanner(NewPlanner(sim.term, sim.now.Add(simLeaseTimeout), sim.names()))
}

// placeLocally lets the entry place jobs, while there is no leader.
func (sim *simulation) placeLocally() {
	sim.handOver()
	sim.local = true
	sim.replacePlanner(NewSharedPlanner(sim.term, sim.now, sim.names()))
}

func (sim *simulation) replacePlanner(p *Planner) {
	sim.planner = p
	p.SetShares(sim.shares)
	p.SetDrained(sim.now, sim.drains)
	for _, vm := range sim.vms {
		vm.connected = false
		vm.inFlight = nil
	}
	sim.toResubmit = sim.openIDs()
}

// handOver records the state of the open jobs for the next planner.
func (sim *simulation) handOver() {
	for _, id := range sim.openIDs() {
		if sim.local && sim.planner.Has(id) {
			sim.prior[id] = sim.planner.HandOver(sim.now, id, simLeaseTimeout)
			continue
		}
		prior := sim.prior[id]
		prior.SentToLeader = true
		sim.prior[id] = prior
	}
}

// resubmit submits a job that another planner had to the current one.
func (sim *simulation) resubmit(index int) {
	id := sim.toResubmit[index]
	sim.toResubmit = slices.Delete(sim.toResubmit, index, index+1)
	if j := sim.open[id]; j != nil {
		sim.planner.Add(sim.now, j, sim.prior[id])
	}
}

func (sim *simulation) openIDs() []work.JobID {
	var ids []work.JobID
	for id := range sim.open {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// join begins a session: the fence invalidates orders of earlier sessions, then the
// endpoint lists its runs and ends.
func (sim *simulation) join(vm *simVM) {
	sim.sessions++
	vm.session = SessionID(sim.term<<20 | sim.sessions)
	vm.connected = true
	vm.inFlight = nil
	var listed []ListedRun
	for _, r := range vm.sorted() {
		listed = append(listed, ListedRun{Run: r})
		if !sim.local {
			vm.running[r] = false // the leader renews its lease from now on
		}
	}
	if !sim.local {
		vm.fence = vm.session
	}
	vm.renew(sim)
	sim.planner.Join(sim.now, Endpoint{
		Session: vm.session, Fence: vm.fence, VM: vm.name, Instance: "incarnation", Pool: "desk", DataCentre: vm.dataCentre(),
		Capacity: work.Resources{CPU: 1000 * vm.capacity, MemoryMB: 4096}, UsedByOthers: sim.usedByOthers(vm),
	}, listed, vm.ends)
	vm.ends = nil
}

// dataCentre returns the VM's data centre: vm-0 has one of its own.
func (vm *simVM) dataCentre() string {
	if vm.name == "vm-0" {
		return "east"
	}
	return "west"
}

// drain drains data centres, and withdraws the drains of all others.
func (sim *simulation) drain(dataCentres ...string) {
	sim.drains = work.DataCentreDrains{Revision: sim.drains.Revision + 1, DataCentres: dataCentres}
	sim.planner.SetDrained(sim.now, sim.drains)
}

// joinUnreachable lets an agent that does not reach its endpoint list the runs that it
// was ordered to start.
func (sim *simulation) joinUnreachable(vm *simVM) {
	sim.sessions++
	sim.planner.JoinUnreachable(sim.now, Endpoint{
		Session: SessionID(sim.term<<20 | sim.sessions), VM: vm.name, Instance: "incarnation", Pool: "desk",
	}, vm.sorted(), nil, sim.now.Add(simLeaseTimeout))
}

// usedByOthers returns the resources that the agent reports to the entry as used by
// runs of others.
func (sim *simulation) usedByOthers(vm *simVM) work.Resources {
	taken := work.Resources{}
	for _, own := range vm.running {
		if sim.local && !own {
			taken.CPU += 1000
		}
	}
	return taken
}

// renew renews the lease of the runs of the current planner.
func (vm *simVM) renew(sim *simulation) {
	if sim.local {
		vm.entryRenewed = sim.now
	} else {
		vm.renewed = sim.now
	}
}

// disconnect cuts an agent off. Its runs go on until the lease has expired.
func (sim *simulation) disconnect(vm *simVM) {
	vm.connected = false
	vm.inFlight = nil
	renewed := vm.renewed
	if sim.local {
		renewed = vm.entryRenewed
	}
	sim.planner.Lost(vm.session, renewed.Add(simLeaseTimeout))
}

// advance moves the clock: leases of unreachable agents expire on the endpoint before
// the planner assumes so.
func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	for _, name := range sim.names() {
		vm := sim.vms[name]
		if vm.connected {
			vm.renew(sim)
		}
		for _, r := range vm.sorted() {
			renewed := vm.renewed
			if vm.running[r] {
				renewed = vm.entryRenewed
			}
			if sim.now.Sub(renewed) >= simLeaseTimeout-10*time.Millisecond {
				sim.finishRun(vm, r, work.LeaseExpired)
			}
		}
	}
	sim.planner.Tick(sim.now)
}

// dispatch sends the planner's orders to connected agents.
func (sim *simulation) dispatch(t *rapid.T) {
	sim.planner.Assign(sim.now)
	for _, o := range sim.planner.TakeOrders() {
		for _, name := range sim.names() {
			vm := sim.vms[name]
			if vm.session == o.Session && !o.Stop && sim.drains.Contains(vm.dataCentre()) {
				t.Fatalf("%v starts on %s, which is drained", o.Run, vm.name)
			}
			if vm.session == o.Session && vm.connected {
				vm.inFlight = append(vm.inFlight, o)
			}
		}
	}
	for _, rejected := range sim.planner.TakeRejected() {
		for task := range sim.started {
			if task.Job == rejected.Job.ID && !rejected.MayHaveRun {
				t.Fatalf("%s is refused as not run, and %v has started", task.Job, task)
			}
		}
		delete(sim.open, rejected.Job.ID)
	}
	for _, s := range sim.planner.TakeFinished() {
		delete(sim.open, s.ID)
		for t := range sim.done {
			if t.Job == s.ID {
				delete(sim.done, t)
			}
		}
	}
}

// execute lets an endpoint execute or refuse an order, and checks the invariants.
func (sim *simulation) execute(t *rapid.T, vm *simVM, index int, refuse bool) {
	o := vm.inFlight[index]
	vm.inFlight = slices.Delete(vm.inFlight, index, index+1)
	switch {
	case o.Stop && vm.isRunning(o.Run):
		delete(vm.running, o.Run)
		sim.planner.Ended(sim.now, vm.session, work.End{Run: o.Run, Reason: work.Stopped})
	case o.Stop:
		vm.stopped[o.Run] = true
		sim.planner.Refused(sim.now, vm.session, o.Run, RefusedUnanswered)
	case refuse || vm.stopped[o.Run]:
		sim.planner.Refused(sim.now, vm.session, o.Run, RefusedUnanswered)
	case sim.local && len(vm.running) >= vm.capacity:
		sim.planner.SetUsedByOthers(vm.session, sim.usedByOthers(vm))
		sim.planner.Refused(sim.now, vm.session, o.Run, RefusedCapacity)
	default:
		sim.start(t, vm, o)
	}
}

func (sim *simulation) start(t *rapid.T, vm *simVM, o Order) {
	for _, other := range sim.vms {
		for r := range other.running {
			if r.Task == o.Run.Task {
				t.Fatalf("%v starts on %s while run %d is running on %s", o.Run, vm.name, r.Number, other.name)
			}
		}
	}
	if len(vm.running) >= vm.capacity {
		t.Fatalf("%v starts on %s, which has no free capacity", o.Run, vm.name)
	}
	if o.Run.Number <= sim.started[o.Run.Task] {
		t.Fatalf("%v starts after run %d, which has the same or a higher number", o.Run, sim.started[o.Run.Task])
	}
	sim.started[o.Run.Task] = o.Run.Number
	vm.running[o.Run] = sim.local
}

func (vm *simVM) isRunning(r work.Run) bool {
	_, ok := vm.running[r]
	return ok
}

func (sim *simulation) finishRun(vm *simVM, r work.Run, reason work.EndReason) {
	delete(vm.running, r)
	end := work.End{Run: r, Reason: reason}
	if vm.connected {
		sim.planner.SetUsedByOthers(vm.session, sim.usedByOthers(vm))
		sim.planner.Ended(sim.now, vm.session, end)
		return
	}
	vm.ends = append(vm.ends, end)
}

// TestInvariantsHoldInRandomSimulations guards against two concurrent runs of one task,
// starts beyond an endpoint's capacity and run numbers that do not increase, under
// lost agents, changes of the leader, entries that place jobs while there is none,
// refused and delayed orders, abandoned jobs, drains, and jobs that are submitted again.
// It also guards against tasks that never run, against starts in a drained data centre,
// and against a refusal of a job that has run.
func TestInvariantsHoldInRandomSimulations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				sim.planner.verify(t, sim.now)
				sim.dispatch(t)
			},
			"drain or withdraw": func(t *rapid.T) {
				sim.drain([][]string{nil, {"east"}, {"west"}, {"east", "west"}}[rapid.IntRange(0, 3).Draw(t, "drained")]...)
			},
			"change shares": func(t *rapid.T) {
				sim.shares = testShares([]map[string]int{nil, {"proofs": 30}, {"proofs": 50, "q": 80}}[rapid.IntRange(0, 2).Draw(t, "shares")])
				sim.planner.SetShares(sim.shares)
			},
			"submit": func(t *rapid.T) {
				sim.nextJob++
				j := oneStep(fmt.Sprintf("job-%d", sim.nextJob), rapid.IntRange(1, 3).Draw(t, "tasks"))
				if sim.nextJob%3 == 0 {
					j.Queue, j.Priority = "proofs", 1
				}
				if sim.nextJob%2 == 1 {
					j.Target = time.Hour // it is never refused, so that it has to end
				}
				sim.open[j.ID] = j
				sim.planner.Add(sim.now, j, PriorState{})
			},
			"resubmit": func(t *rapid.T) {
				if len(sim.toResubmit) == 0 {
					t.Skip("no job to submit again")
				}
				sim.resubmit(rapid.IntRange(0, len(sim.toResubmit)-1).Draw(t, "job"))
			},
			"abandon and resubmit": func(t *rapid.T) {
				ids := sim.openIDs()
				if len(ids) == 0 {
					t.Skip("no open job")
				}
				id := rapid.SampledFrom(ids).Draw(t, "job")
				sim.planner.Abandon(sim.now, id)
				if rapid.Bool().Draw(t, "again") {
					sim.planner.Add(sim.now, sim.open[id], PriorState{SentToLeader: true})
				} else {
					delete(sim.open, id)
				}
			},
			"carry out all": func(t *rapid.T) {
				for _, name := range sim.names() {
					for vm := sim.vms[name]; len(vm.inFlight) > 0; {
						sim.execute(t, vm, 0, false)
					}
				}
			},
			"carry out": func(t *rapid.T) {
				vm := sim.vms[rapid.SampledFrom(sim.names()).Draw(t, "vm")]
				if len(vm.inFlight) == 0 {
					t.Skip("no order in flight")
				}
				index := rapid.IntRange(0, len(vm.inFlight)-1).Draw(t, "order")
				sim.execute(t, vm, index, rapid.IntRange(0, 5).Draw(t, "refuse") == 0)
			},
			"finish": func(t *rapid.T) {
				vm := sim.vms[rapid.SampledFrom(sim.names()).Draw(t, "vm")]
				if len(vm.running) == 0 {
					t.Skip("no run")
				}
				r := rapid.SampledFrom(vm.sorted()).Draw(t, "run")
				sim.finishRun(vm, r, rapid.SampledFrom([]work.EndReason{work.Done, work.Done, work.Failed}).Draw(t, "how"))
			},
			"join or lose": func(t *rapid.T) {
				vm := sim.vms[rapid.SampledFrom(sim.names()).Draw(t, "vm")]
				if vm.connected && rapid.Bool().Draw(t, "lose") {
					sim.disconnect(vm)
					return
				}
				sim.join(vm)
			},
			"join unreachable": func(t *rapid.T) {
				vm := sim.vms[rapid.SampledFrom(sim.names()).Draw(t, "vm")]
				if vm.connected || sim.local {
					t.Skip("connected, or there is no leader")
				}
				sim.joinUnreachable(vm)
			},
			"pass": func(t *rapid.T) {
				sim.advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			},
			"change leader": func(t *rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "rare") > 0 {
					t.Skip("leaders change rarely")
				}
				sim.electLeader()
			},
			"lose the leader": func(t *rapid.T) {
				if sim.local || rapid.IntRange(0, 4).Draw(t, "rare") > 0 {
					t.Skip("leaders are rarely lost")
				}
				sim.placeLocally()
			},
		})
		sim.finishAll(t)
	})
}

// sorted returns the current runs in the order of their numbers.
func (vm *simVM) sorted() []work.Run {
	return slices.SortedFunc(maps.Keys(vm.running), func(a, b work.Run) int { return cmp.Compare(a.Number, b.Number) })
}

// finishAll lets all agents join and all runs end Done: every open job must end.
func (sim *simulation) finishAll(t *rapid.T) {
	sim.drain()
	for len(sim.toResubmit) > 0 {
		sim.resubmit(0)
	}
	for range 200 {
		sim.advance(200 * time.Millisecond)
		for _, name := range sim.names() {
			vm := sim.vms[name]
			if !vm.connected {
				sim.join(vm)
			}
			for len(vm.inFlight) > 0 {
				sim.execute(t, vm, 0, false)
			}
			for _, r := range vm.sorted() {
				sim.finishRun(vm, r, work.Done)
			}
		}
		sim.dispatch(t)
		if len(sim.open) == 0 {
			return
		}
	}
	t.Fatalf("%d jobs did not end: %v", len(sim.open), sim.openIDs())
}
