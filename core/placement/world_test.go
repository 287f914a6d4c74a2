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

// Worlds take many steps, since a fault needs a job, a run, a loss and a second
// start in a row.
func TestMain(m *testing.M) {
	testseed.MainWith(m, map[string]string{"rapid.steps": "150", "rapid.checks": "400"})
}

// world is what really happens on the endpoints, beside the leader's view of it.
// Orders may be carried out, refused or lost with their session; agents come and
// go; leaders change; callers submit jobs again.
type world struct {
	board    *Board
	now      time.Time
	term     uint64
	sessions uint64
	vms      map[string]*worldVM
	// local is set while the board is that of an entry, which places jobs because
	// there is no leader.
	local bool
	// open are the best-effort jobs whose callers wait.
	open map[work.JobID]*work.Job
	// earlier is what the entry knows of jobs that were on another board.
	earlier map[work.JobID]Earlier
	// late are the open jobs that the present leader wasn't told of yet.
	late    []work.JobID
	nextJob int
	// done are the tasks that have ended Done in a job's present life.
	done map[work.TaskID]bool
	// started is the highest run number started for each task.
	started map[work.TaskID]uint64
}

// worldVM is an endpoint with its agent.
type worldVM struct {
	name     string
	capacity int
	session  SessionID
	// connected is false while the leader can't reach the agent.
	connected bool
	// renewed is when a leader last renewed the agent's lease, and entryRenewed
	// when the entry did.
	renewed, entryRenewed time.Time
	// fence is the latest session with a leader.
	fence SessionID
	// running has what runs; the value is set for what the entry started.
	running map[work.Run]bool
	// stopped are runs that were stopped before they began; they never begin.
	stopped map[work.Run]bool
	ends    []work.End
	// inFlight are orders on their way in the present session.
	inFlight []Order
}

const worldGone = time.Second

func newWorld() *world {
	w := &world{
		now:     time.Unix(1000, 0),
		vms:     map[string]*worldVM{},
		open:    map[work.JobID]*work.Job{},
		earlier: map[work.JobID]Earlier{},
		done:    map[work.TaskID]bool{},
		started: map[work.TaskID]uint64{},
	}
	for i, cores := range []int{2, 3, 1} {
		name := fmt.Sprintf("vm-%d", i)
		w.vms[name] = &worldVM{name: name, capacity: cores, running: map[work.Run]bool{}, stopped: map[work.Run]bool{}}
	}
	w.lead()
	for _, name := range w.names() {
		w.join(w.vms[name])
	}
	return w
}

func (w *world) names() []string { return []string{"vm-0", "vm-1", "vm-2"} }

// lead begins a term; all agents have to join again, and entries to submit the
// open jobs again.
func (w *world) lead() {
	w.handOver()
	w.term++
	w.local = false
	w.replace(NewBoard(w.term, w.now.Add(worldGone), w.names()))
}

// lead by the entry itself, while there is no leader.
func (w *world) leadLocally() {
	w.handOver()
	w.local = true
	w.replace(NewSharedBoard(w.term, w.now.Add(worldGone), w.names()))
}

func (w *world) replace(b *Board) {
	w.board = b
	for _, vm := range w.vms {
		vm.connected = false
		vm.inFlight = nil
	}
	w.late = w.openIDs()
}

// handOver notes what the next holder of the open jobs must know.
func (w *world) handOver() {
	for _, id := range w.openIDs() {
		if w.local && w.board.Knows(id) {
			w.earlier[id] = w.board.HandOver(w.now, id, worldGone)
			continue
		}
		e := w.earlier[id]
		e.Offered = true
		w.earlier[id] = e
	}
}

// resubmit tells the leader of a job that an earlier leader had.
func (w *world) resubmit(at int) {
	id := w.late[at]
	w.late = slices.Delete(w.late, at, at+1)
	if j := w.open[id]; j != nil {
		w.board.Add(w.now, j, w.earlier[id])
	}
}

func (w *world) openIDs() []work.JobID {
	var ids []work.JobID
	for id := range w.open {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// join begins a session: the fence cuts off earlier orders, then the endpoint
// lists what it has.
func (w *world) join(vm *worldVM) {
	w.sessions++
	vm.session = SessionID(w.term<<20 | w.sessions)
	vm.connected = true
	vm.inFlight = nil
	var listed []ListedRun
	for _, r := range vm.sorted() {
		listed = append(listed, ListedRun{Run: r})
		if !w.local {
			vm.running[r] = false // the leader renews its lease from now on
		}
	}
	if !w.local {
		vm.fence = vm.session
	}
	vm.renew(w)
	w.board.Join(w.now, Endpoint{
		Session: vm.session, Fence: vm.fence, VM: vm.name, Instance: "life", Pool: "desk",
		Capacity: work.Resources{CPU: 1000 * vm.capacity, MemoryMB: 4096}, Others: w.others(vm),
	}, listed, vm.ends)
	vm.ends = nil
}

// others returns the room that the agent tells the entry that others' runs take.
func (w *world) others(vm *worldVM) work.Resources {
	taken := work.Resources{}
	for _, own := range vm.running {
		if w.local && !own {
			taken.CPU += 1000
		}
	}
	return taken
}

// renew renews the lease of the runs whose starter is in touch.
func (vm *worldVM) renew(w *world) {
	if w.local {
		vm.entryRenewed = w.now
	} else {
		vm.renewed = w.now
	}
}

// lose cuts an agent off. Its endpoint goes on until the lease has ended.
func (w *world) lose(vm *worldVM) {
	vm.connected = false
	vm.inFlight = nil
	renewed := vm.renewed
	if w.local {
		renewed = vm.entryRenewed
	}
	w.board.Lost(vm.session, renewed.Add(worldGone))
}

// pass lets time go by: leases of unreachable agents end before the leader
// counts on it.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for _, name := range w.names() {
		vm := w.vms[name]
		if vm.connected {
			vm.renew(w)
		}
		for _, r := range vm.sorted() {
			renewed := vm.renewed
			if vm.running[r] {
				renewed = vm.entryRenewed
			}
			if w.now.Sub(renewed) >= worldGone-10*time.Millisecond {
				w.finish(vm, r, work.Lapsed)
			}
		}
	}
	w.board.Tick(w.now)
}

// dispatch sends the board's orders to agents that can be reached.
func (w *world) dispatch() {
	w.board.Assign(w.now)
	for _, o := range w.board.TakeOrders() {
		for _, name := range w.names() {
			vm := w.vms[name]
			if vm.session == o.Session && vm.connected {
				vm.inFlight = append(vm.inFlight, o)
			}
		}
	}
	for _, s := range w.board.TakeSettled() {
		delete(w.open, s.ID)
		for t := range w.done {
			if t.Job == s.ID {
				delete(w.done, t)
			}
		}
	}
}

// carryOut lets an endpoint act on an order, and checks the promises.
func (w *world) carryOut(t *rapid.T, vm *worldVM, at int, refuse bool) {
	o := vm.inFlight[at]
	vm.inFlight = slices.Delete(vm.inFlight, at, at+1)
	switch {
	case o.Stop && vm.runs(o.Run):
		delete(vm.running, o.Run)
		w.board.Ended(w.now, vm.session, work.End{Run: o.Run, How: work.Stopped})
	case o.Stop:
		vm.stopped[o.Run] = true
		w.board.Refused(w.now, vm.session, o.Run, RefusedUnanswered)
	case refuse || vm.stopped[o.Run]:
		w.board.Refused(w.now, vm.session, o.Run, RefusedUnanswered)
	case w.local && len(vm.running) >= vm.capacity:
		w.board.SetOthers(vm.session, w.others(vm))
		w.board.Refused(w.now, vm.session, o.Run, RefusedRoom)
	default:
		w.start(t, vm, o)
	}
}

func (w *world) start(t *rapid.T, vm *worldVM, o Order) {
	for _, other := range w.vms {
		for r := range other.running {
			if r.Task == o.Run.Task {
				t.Fatalf("%v starts at %s while run %d goes on at %s", o.Run, vm.name, r.Run, other.name)
			}
		}
	}
	if len(vm.running) >= vm.capacity {
		t.Fatalf("%v starts at %s, which is full", o.Run, vm.name)
	}
	if o.Run.Run <= w.started[o.Run.Task] {
		t.Fatalf("%v starts after run %d", o.Run, w.started[o.Run.Task])
	}
	w.started[o.Run.Task] = o.Run.Run
	vm.running[o.Run] = w.local
}

func (vm *worldVM) runs(r work.Run) bool {
	_, ok := vm.running[r]
	return ok
}

// finish ends a run.
func (w *world) finish(vm *worldVM, r work.Run, how work.How) {
	delete(vm.running, r)
	end := work.End{Run: r, How: how}
	if vm.connected {
		w.board.SetOthers(vm.session, w.others(vm))
		w.board.Ended(w.now, vm.session, end)
		return
	}
	vm.ends = append(vm.ends, end)
}

// TestPromisesHoldInRandomWorlds guards against two runs of one task at a time,
// starts beyond an endpoint's room and run numbers that don't rise, under lost
// agents, changes of the leader, entries that place jobs while there is none,
// refused and late orders, abandoned jobs and jobs that are submitted again. It also guards against tasks that never run.
func TestPromisesHoldInRandomWorlds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { w.dispatch() },
			"submit": func(t *rapid.T) {
				w.nextJob++
				j := oneStep(fmt.Sprintf("job-%d", w.nextJob), rapid.IntRange(1, 3).Draw(t, "tasks"))
				w.open[j.ID] = j
				w.board.Add(w.now, j, Earlier{})
			},
			"resubmit": func(t *rapid.T) {
				if len(w.late) == 0 {
					t.Skip("all jobs are known")
				}
				w.resubmit(rapid.IntRange(0, len(w.late)-1).Draw(t, "job"))
			},
			"abandon and resubmit": func(t *rapid.T) {
				ids := w.openIDs()
				if len(ids) == 0 {
					t.Skip("no open job")
				}
				id := rapid.SampledFrom(ids).Draw(t, "job")
				w.board.Abandon(w.now, id)
				if rapid.Bool().Draw(t, "again") {
					w.board.Add(w.now, w.open[id], Earlier{Offered: true})
				} else {
					delete(w.open, id)
				}
			},
			"carry out all": func(t *rapid.T) {
				for _, name := range w.names() {
					for vm := w.vms[name]; len(vm.inFlight) > 0; {
						w.carryOut(t, vm, 0, false)
					}
				}
			},
			"carry out": func(t *rapid.T) {
				vm := w.vms[rapid.SampledFrom(w.names()).Draw(t, "vm")]
				if len(vm.inFlight) == 0 {
					t.Skip("no order")
				}
				at := rapid.IntRange(0, len(vm.inFlight)-1).Draw(t, "order")
				w.carryOut(t, vm, at, rapid.IntRange(0, 5).Draw(t, "refuse") == 0)
			},
			"finish": func(t *rapid.T) {
				vm := w.vms[rapid.SampledFrom(w.names()).Draw(t, "vm")]
				if len(vm.running) == 0 {
					t.Skip("nothing runs")
				}
				r := rapid.SampledFrom(vm.sorted()).Draw(t, "run")
				w.finish(vm, r, rapid.SampledFrom([]work.How{work.Done, work.Done, work.Failed}).Draw(t, "how"))
			},
			"join or lose": func(t *rapid.T) {
				vm := w.vms[rapid.SampledFrom(w.names()).Draw(t, "vm")]
				if vm.connected && rapid.Bool().Draw(t, "lose") {
					w.lose(vm)
					return
				}
				w.join(vm)
			},
			"pass": func(t *rapid.T) {
				w.pass(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			},
			"change leader": func(t *rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "rare") > 0 {
					t.Skip("leaders change rarely")
				}
				w.lead()
			},
			"lose the leader": func(t *rapid.T) {
				if w.local || rapid.IntRange(0, 4).Draw(t, "rare") > 0 {
					t.Skip("leaders are rarely lost")
				}
				w.leadLocally()
			},
		})
		w.settleAll(t)
	})
}

// sorted returns what runs in the order of the run numbers.
func (vm *worldVM) sorted() []work.Run {
	return slices.SortedFunc(maps.Keys(vm.running), func(a, b work.Run) int { return cmp.Compare(a.Run, b.Run) })
}

// settleAll lets all agents join and all runs end well: every open job must end.
func (w *world) settleAll(t *rapid.T) {
	for len(w.late) > 0 {
		w.resubmit(0)
	}
	for range 200 {
		w.pass(200 * time.Millisecond)
		for _, name := range w.names() {
			vm := w.vms[name]
			if !vm.connected {
				w.join(vm)
			}
			for len(vm.inFlight) > 0 {
				w.carryOut(t, vm, 0, false)
			}
			for _, r := range vm.sorted() {
				w.finish(vm, r, work.Done)
			}
		}
		w.dispatch()
		if len(w.open) == 0 {
			return
		}
	}
	t.Fatalf("%d jobs never end: %v", len(w.open), w.openIDs())
}
