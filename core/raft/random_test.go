package raft_test

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/raft"
)

// seeds is the number of random runs for each group size, set by
// go test ./raft -run TestRandomFaults -args -seeds 500
var seeds = flag.Int("seeds", 12, "random runs for each group size")

// regressionSeeds have found faults before. 524 with 3 servers found the commit of
// an entry of an older term, a fault injected on purpose.
var regressionSeeds = []uint64{524}

func seedsUpTo(count int) []uint64 {
	list := make([]uint64, count)
	for i := range list {
		list[i] = uint64(i)
	}
	return list
}

// faults injects random faults into a cluster until stopped.
type faults struct {
	c       *cluster
	voters  int
	stopped bool
}

func (f *faults) injectNext() {
	if f.stopped {
		return
	}
	c := f.c
	s := c.chooseServer()
	switch c.rng.IntN(6) {
	case 0, 1:
		f.restart(s)
	case 2:
		c.setIsolated(s, true)
		c.after(c.randomMillis(1500), func() { c.setIsolated(s, false) })
	case 3:
		f.cutLink(s)
	case 4:
		f.transfer(s)
	case 5:
		f.changeGroup()
	}
	c.after(c.randomMillis(200), f.injectNext)
}

func (f *faults) restart(s *server) {
	if !s.up() {
		return
	}
	f.c.crash(s)
	f.c.after(f.c.randomMillis(200), func() {
		if !s.up() {
			f.c.start(s)
		}
	})
}

// cutLink cuts one direction of a link for up to 1 s.
func (f *faults) cutLink(from *server) {
	to := f.c.servers[f.c.rng.IntN(len(f.c.servers))]
	link := [2]raft.ServerID{from.id, to.id}
	f.c.cutLinks[link] = true
	f.c.after(f.c.randomMillis(1000), func() { f.c.cutLinks[link] = false })
}

func (f *faults) transfer(to *server) {
	if l := f.c.leader(); l != nil {
		_ = l.node.TransferLeadership(f.c.clock(l), to.id) // refusals are expected
		f.c.processReady(l)
	}
}

// changeGroup does one step of replacing servers: add, promote or remove.
func (f *faults) changeGroup() {
	l := f.c.leader()
	if l == nil {
		return
	}
	change := f.pick(l.node.Status())
	_, err := l.node.ProposeGroup(f.c.clock(l), change)
	if err == nil && change.Type == raft.AddLearner {
		f.c.add(raft.Group{})
	}
	f.c.require(err == nil || isExpected(err), "change %+v: %v", change, err)
	f.c.processReady(l)
}

func (f *faults) pick(st raft.Status) raft.GroupChange {
	group := st.Group
	for _, s := range group.Servers {
		removable := group.Voters() >= f.voters && s.ID != st.ID
		if !s.Voter && (group.Voters() < f.voters || f.voters < raft.MaxVoters && f.c.rng.IntN(2) == 0) {
			return raft.GroupChange{Type: raft.Promote, Server: s}
		}
		if s.Voter && removable && len(group.Servers) > f.voters && f.c.rng.IntN(3) == 0 {
			return raft.GroupChange{Type: raft.Remove, Server: s}
		}
	}
	return raft.GroupChange{Type: raft.AddLearner, Server: raft.Server{ID: serverID(len(f.c.servers))}}
}

func isExpected(err error) bool {
	for _, target := range []error{raft.ErrNotLeader, raft.ErrNotReady, raft.ErrChangePending,
		raft.ErrNotCaughtUp, raft.ErrQuorumAtRisk, raft.ErrInvalidChange} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// chooseServer returns a random server, the leader in half of the cases.
func (c *cluster) chooseServer() *server {
	s := c.servers[c.rng.IntN(len(c.servers))]
	if l := c.leader(); l != nil && c.rng.IntN(2) == 0 {
		s = l
	}
	return s
}

// stallNext stalls the disk of a random server, often the leader's, again and again.
func (f *faults) stallNext() {
	if f.stopped {
		return
	}
	c := f.c
	s := c.chooseServer()
	s.stalledUntil = c.now + c.randomMillis(1000)
	c.after(c.randomMillis(600), f.stallNext)
}

// heal ends all faults and restarts crashed servers.
func (f *faults) heal() {
	f.stopped = true
	c := f.c
	c.loss, c.duplicate, c.slow = 0, 0, 0
	clear(c.cutLinks)
	for _, s := range c.servers {
		s.stalledUntil = 0
		if !s.up() {
			c.start(s)
		}
	}
}

// playRandomFaults injects random faults for 8 s, with stalled disks among them if stalls is set,
// and requires that the group recovers.
func playRandomFaults(t *testing.T, seed uint64, size int, stalls bool) *cluster {
	c := newCluster(t, seed, size)
	c.loss, c.duplicate, c.slow = c.rng.Float64()*0.1, 0.05, 0.02
	c.compactEvery = 30
	f := &faults{c: c, voters: size}
	c.after(0, f.injectNext)
	if stalls {
		c.after(0, f.stallNext)
	}
	c.run(8*time.Second, nil)
	f.heal()
	c.requireProgress(5 * time.Second)
	c.requireConvergence()
	return c
}

// Guards against the same violations while disks stall and leaders yield because of that.
func TestRandomFaultsWithStalledDisks(t *testing.T) {
	for _, size := range []int{3, 5} {
		for _, seed := range seedsUpTo(*seeds) {
			t.Run(fmt.Sprintf("size=%d/seed=%d", size, seed), func(t *testing.T) { playRandomFaults(t, seed, size, true) })
		}
	}
}

// Guards against any violation of consensus safety under lost, duplicated, late and
// reordered messages, crashes during a sync, network cuts, clock drift, transfers
// and replaced servers, and against a group that makes no progress afterwards.
func TestRandomFaults(t *testing.T) {
	var acked, reads, installs, servers int
	for _, size := range []int{3, 5} {
		for _, seed := range append(regressionSeeds, seedsUpTo(*seeds)...) {
			t.Run(fmt.Sprintf("size=%d/seed=%d", size, seed), func(t *testing.T) {
				c := playRandomFaults(t, seed, size, false)
				acked, reads, installs = acked+c.acked, reads+c.reads, installs+c.snapshotInstalls
				servers += len(c.servers) - size
			})
		}
	}
	t.Logf("%d acknowledged, %d reads, %d snapshots installed, %d servers added", acked, reads, installs, servers)
	assert.Assert(t, acked > 0 && reads > 0 && installs > 0 && servers > 0, "some kinds of events never happened")
}

// requireConvergence requires every server of the group to apply all acknowledged
// entries.
func (c *cluster) requireConvergence() {
	c.proposalsPaused = true
	c.run(2*time.Second, nil)
	l := c.waitForLeader()
	for _, s := range c.servers {
		if _, member := l.node.Status().Group.Find(s.id); member {
			c.require(s.applied >= c.highestSeen && s.applied == l.applied, "%s applied %d, leader %s %d, acknowledged %d",
				s.id, s.applied, l.id, l.applied, c.highestSeen)
		}
	}
}
