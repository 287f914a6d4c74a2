package coordinator

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/raft"
)

const (
	// searchStep is the time between two states of the search.
	searchStep = 500 * time.Millisecond
	// searchCatchUp is how long a VM counts as failed after it is back, and how long a successor has to
	// be there before the VM that it replaces may stop for good without counting as failed.
	searchCatchUp = 4 * time.Second
	// searchLeave is how long a stopping VM waits for its replacement.
	searchLeave = 2 * time.Second
	// searchSpares is the number of VMs beside the target size.
	searchSpares = 2
)

// searchVM is a control VM in the search. Times are steps.
type searchVM struct {
	// incarnation numbers the identities at the VM's address; 0 before its first start.
	incarnation int
	// up is set while the process runs, and stopping since a planned stop began.
	up, stopping bool
	// since is when it was started last, or began to stop.
	since int
	// restartAt is when its process starts again; 0 for no time.
	restartAt int
}

// groupWorld is a state of the search: the group in force and its VMs.
type groupWorld struct {
	step, voters int
	vms          []searchVM
	group        raft.Group
	// heard has when former identities in the group were last heard.
	heard map[raft.ServerID]int
	// successors is how many VMs that joined later have not replaced another one yet.
	successors int
	trace      []string
}

func searchID(vm, incarnation int) raft.ServerID {
	return raft.ServerID(fmt.Sprintf("%d.%d", vm, incarnation))
}

func (w *groupWorld) id(vm int) raft.ServerID { return searchID(vm, w.vms[vm].incarnation) }

func newGroupWorld(voters int) *groupWorld {
	w := &groupWorld{step: 100, voters: voters, vms: make([]searchVM, voters+searchSpares), heard: map[raft.ServerID]int{}}
	for vm := range voters {
		w.vms[vm] = searchVM{incarnation: 1, up: true}
		w.group.Servers = append(w.group.Servers, raft.Server{ID: w.id(vm), Address: fmt.Sprint(vm), Voter: true})
	}
	return w
}

func (w *groupWorld) clone() *groupWorld {
	c := *w
	c.vms = slices.Clone(w.vms)
	c.group = w.group.Clone()
	c.heard = map[raft.ServerID]int{}
	for id, at := range w.heard {
		c.heard[id] = at
	}
	c.trace = slices.Clone(w.trace)
	return &c
}

// key identifies a state; times count from the present and are bounded by what they can cause.
func (w *groupWorld) key() string {
	var b strings.Builder
	age := func(at int) int { return min(w.step-at, int(learnerTimeout/searchStep)+1) }
	for _, vm := range w.vms {
		fmt.Fprint(&b, vm.incarnation, vm.up, vm.stopping, age(vm.since), vm.restartAt > 0, ";")
	}
	for _, s := range w.group.Servers {
		fmt.Fprint(&b, s.ID, s.Voter, age(w.heard[s.ID]), ";")
	}
	fmt.Fprint(&b, w.successors)
	return b.String()
}

// failed counts the VMs that count as failed.
func (w *groupWorld) failed() (count int) {
	for _, vm := range w.vms {
		if vm.incarnation == 0 || vm.stopping && vm.restartAt == 0 {
			continue
		}
		recent := vm.since > 0 && time.Duration(w.step-vm.since)*searchStep < searchCatchUp
		if !vm.up || recent {
			count++
		}
	}
	return count
}

// running reports whether the server of an identity runs.
func (w *groupWorld) running(id raft.ServerID) bool {
	for vm := range w.vms {
		if w.vms[vm].up && w.id(vm) == id {
			return true
		}
	}
	return false
}

// majorityAlive reports whether the voters that run can commit in a group.
func (w *groupWorld) majorityAlive(g raft.Group) bool {
	count := 0
	for _, s := range g.Servers {
		if s.Voter && w.running(s.ID) {
			count++
		}
	}
	return count >= g.Majority()
}

// advance lets a step of time pass: VMs start, the leader changes the group, stopping VMs end.
func (w *groupWorld) advance() {
	w.step++
	for vm := range w.vms {
		v := &w.vms[vm]
		if v.restartAt > 0 && w.step >= v.restartAt {
			*v = searchVM{incarnation: v.incarnation, up: true, since: w.step}
		}
	}
	for _, s := range w.group.Servers {
		if w.running(s.ID) {
			w.heard[s.ID] = w.step
		}
	}
	const changesPerStep = 4
	for range changesPerStep {
		w.changeGroup()
	}
	for vm := range w.vms {
		v := &w.vms[vm]
		server, member := w.group.Find(w.id(vm))
		successor := w.group.Voters() > w.voters || slices.ContainsFunc(w.group.Servers, func(s raft.Server) bool { return !s.Voter && s.ID != w.id(vm) })
		late := time.Duration(w.step-v.since)*searchStep >= searchLeave
		if v.stopping && v.up && (!member || !server.Voter || !successor || late) {
			v.up = false
		}
	}
}

// changeGroup makes the change that the leader finds due.
func (w *groupWorld) changeGroup() {
	if !w.majorityAlive(w.group) {
		return
	}
	now := time.Unix(1_000_000, 0)
	status := raft.Status{Group: w.group.Clone(), LastIndex: 100}
	requests := groupRequests{}
	for vm := range w.vms {
		v := w.vms[vm]
		if v.stopping {
			requests.leaving = append(requests.leaving, w.id(vm))
		} else if v.up {
			requests.joining = append(requests.joining, raft.Server{ID: w.id(vm), Address: fmt.Sprint(vm)})
		}
	}
	for _, s := range w.group.Servers {
		status.Servers = append(status.Servers, raft.ServerStatus{Server: s, Match: 100, LastContact: now.Add(-time.Duration(w.step-w.heard[s.ID]) * searchStep)})
		leads := s.Voter && w.running(s.ID) && !slices.Contains(requests.leaving, s.ID)
		if leads && status.ID == "" {
			status.ID = s.ID
		}
	}
	change, due := nextChange(status, requests, w.voters, now)
	if !due || status.ID == "" {
		return
	}
	next := w.group.Clone()
	switch i := slices.IndexFunc(next.Servers, func(s raft.Server) bool { return s.ID == change.Server.ID }); change.Type {
	case raft.AddLearner:
		next.Servers = append(next.Servers, change.Server)
		w.heard[change.Server.ID] = w.step
	case raft.Promote:
		next.Servers[i].Voter = true
	case raft.Remove:
		next.Servers = slices.Delete(next.Servers, i, i+1)
	}
	if w.majorityAlive(next) {
		w.group = next
	}
}

// events returns the states that follow from one event each, within what may fail at the same time.
func (w *groupWorld) events() (next []*groupWorld) {
	tolerated := (w.voters - 1) / 2
	add := func(name string, vm int, change func(c *groupWorld, v *searchVM)) {
		c := w.clone()
		change(c, &c.vms[vm])
		c.trace = append(c.trace, fmt.Sprintf("%d: %s %d", w.step-100, name, vm))
		if c.failed() <= tolerated {
			next = append(next, c)
		}
	}
	started := false
	for vm := range w.vms {
		v := w.vms[vm]
		switch {
		case v.incarnation == 0 && !started:
			started = true
			add("start successor", vm, func(c *groupWorld, v *searchVM) {
				*v = searchVM{incarnation: 1, up: true}
				c.successors++
			})
		case v.up && !v.stopping:
			add("lose the disk of", vm, func(_ *groupWorld, v *searchVM) {
				*v = searchVM{incarnation: v.incarnation + 1, since: w.step, restartAt: w.step + 1}
			})
			add("restart", vm, func(_ *groupWorld, v *searchVM) {
				*v = searchVM{incarnation: v.incarnation, since: w.step, restartAt: w.step + 1}
			})
			if w.successors > 0 && w.successorsReady() {
				add("stop for good", vm, func(c *groupWorld, v *searchVM) {
					v.stopping, v.since = true, w.step
					c.successors--
				})
			}
		}
	}
	return next
}

// successorsReady reports whether all VMs that run have been there for searchCatchUp, as an operator
// waits before stopping one for good.
func (w *groupWorld) successorsReady() bool {
	return !slices.ContainsFunc(w.vms, func(v searchVM) bool {
		return v.incarnation > 0 && !v.stopping && (!v.up || time.Duration(w.step-v.since)*searchStep < searchCatchUp && v.since > 0)
	})
}

// TestNoOrderOfReplacementsLosesTheMajority guards against a group that one more loss than the present ones, within
// what is tolerated, leaves without a majority for good, as a planned replacement did (review/11). It tries all orders
// of successors, planned stops, restarts and lost disks, with gaps of half a second.
func TestNoOrderOfReplacementsLosesTheMajority(t *testing.T) {
	for voters, depth := range map[int]int{3: 10, 5: 4} {
		t.Run(fmt.Sprint(voters), func(t *testing.T) {
			t.Parallel()
			level := []*groupWorld{newGroupWorld(voters)}
			seen := map[string]bool{}
			for range depth {
				var following []*groupWorld
				for _, w := range level {
					for _, c := range append(w.events(), w) {
						assert.Assert(t, c.majorityAlive(c.group), "no majority: %v %v", c.trace, c.group)
						c = c.clone()
						c.advance()
						assert.Assert(t, c.majorityAlive(c.group), "no majority: %v %v", c.trace, c.group)
						if key := c.key(); !seen[key] {
							seen[key] = true
							following = append(following, c)
						}
					}
				}
				level = following
			}
			t.Logf("%d states, %d steps", len(seen), depth)
		})
	}
}
