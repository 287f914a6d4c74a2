package raft_test

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cicadapulley/cicadapulley/core/raft"
)

const (
	electionTimeout = 100 * time.Millisecond
	heartbeat       = 20 * time.Millisecond
	// maxDrift is the largest deviation of a clock's rate that a lease allows.
	maxDrift = 0.05
	// maxEvents stops a run in which servers answer each other endlessly.
	maxEvents = 1_000_000
)

// epoch is the start of virtual time. Each server's clock has its own offset too.
var epoch = time.Unix(1_700_000_000, 0)

type event struct {
	at  time.Duration
	seq int
	run func()
}

// cluster simulates a set of servers in virtual time and checks their invariants.
type cluster struct {
	t       testing.TB
	rng     *rand.Rand
	now     time.Duration
	events  []event
	seq     int
	servers []*server
	// cutLinks holds the links, by sender and receiver, that drop all messages.
	cutLinks map[[2]raft.ServerID]bool
	// loss, duplicate and slow are probabilities for each message.
	loss, duplicate, slow float64
	// delayMillis is the maximum delay of a message that isn't slow.
	delayMillis float64
	// proposalsPaused stops the proposals of the simulated caller.
	proposalsPaused bool
	compactEvery    uint64

	leaders          map[uint64]raft.ServerID
	terms            map[uint64]uint64 // term of each applied index
	hashes           map[uint64]uint64 // state after each applied index
	highestSeen      uint64            // the highest index acknowledged or read
	acked            int
	reads            int
	snapshotInstalls int
	eventsHandled    int
}

func newCluster(t testing.TB, seed uint64, size int) *cluster {
	c := &cluster{
		t: t, delayMillis: 4, rng: rand.New(rand.NewPCG(seed, 1)), cutLinks: map[[2]raft.ServerID]bool{},
		leaders: map[uint64]raft.ServerID{}, terms: map[uint64]uint64{}, hashes: map[uint64]uint64{},
	}
	var group raft.Group
	for i := range size {
		group.Servers = append(group.Servers, raft.Server{ID: serverID(i), Voter: true})
	}
	for range size {
		c.add(group)
	}
	c.after(0, c.propose)
	return c
}

func serverID(i int) raft.ServerID { return raft.ServerID(fmt.Sprintf("s%d", i)) }

// add starts a new server with an empty disk.
func (c *cluster) add(group raft.Group) *server {
	s := &server{
		id: serverID(len(c.servers)), disk: disk{snapshot: raft.Snapshot{Group: group}},
		clockRate:   1 + maxDrift*float64(c.rng.IntN(3)-1),
		syncMillis:  []float64{2, 6, 40}[c.rng.IntN(3)],
		clockOffset: time.Duration(c.rng.Int64N(int64(time.Hour))),
	}
	c.servers = append(c.servers, s)
	c.start(s)
	return s
}

// clock returns the time of a server's own clock, whose rate is off by up to
// maxDrift.
func (c *cluster) clock(s *server) time.Time {
	return epoch.Add(s.clockOffset + time.Duration(float64(c.now)*s.clockRate))
}

func (c *cluster) after(d time.Duration, run func()) {
	c.seq++
	e := event{at: c.now + d, seq: c.seq, run: run}
	order := func(a, b event) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq)) }
	at, _ := slices.BinarySearchFunc(c.events, e, order)
	c.events = slices.Insert(c.events, at, e)
}

// run advances virtual time until done returns true. It returns false if that
// doesn't happen within d.
func (c *cluster) run(d time.Duration, done func() bool) bool {
	end := c.now + d
	for c.events[0].at <= end {
		e := c.events[0]
		c.events = c.events[1:]
		c.now = e.at
		c.eventsHandled++
		c.require(c.eventsHandled < maxEvents, "too many events: the servers answer each other endlessly")
		e.run()
		c.check()
		if done != nil && done() {
			return true
		}
	}
	c.now = end
	return false
}

// require fails the test unless ok. It is cheaper than assert when ok is true.
func (c *cluster) require(ok bool, format string, args ...any) {
	if !ok {
		c.t.Fatalf("at %v: "+format, append([]any{c.now}, args...)...)
	}
}

// randomMillis returns a random duration of up to limit milliseconds.
func (c *cluster) randomMillis(limit float64) time.Duration {
	return time.Duration(c.rng.Float64() * limit * float64(time.Millisecond))
}

func (c *cluster) send(from *server, messages []raft.Message) {
	for _, m := range messages {
		c.require(from.disk.covers(m), "%s sends %+v before its sync, saved is %+v", from.id, m, from.disk.hardState)
		for range 1 + c.chance(c.duplicate) {
			if c.chance(c.loss) == 1 {
				continue
			}
			delay := c.randomMillis(c.delayMillis)
			if c.chance(c.slow) == 1 {
				delay = c.randomMillis(400)
			}
			c.after(delay, func() { c.deliver(m) })
		}
	}
}

func (c *cluster) chance(p float64) int {
	if c.rng.Float64() < p {
		return 1
	}
	return 0
}

func (c *cluster) deliver(m raft.Message) {
	for _, s := range c.servers {
		if s.id == m.To && s.up() && !c.cutLinks[[2]raft.ServerID{m.From, m.To}] {
			s.node.Step(c.clock(s), m)
			c.processReady(s)
		}
	}
}

// propose simulates a caller that proposes entries all the time, and compacts the
// servers' logs.
func (c *cluster) propose() {
	for _, s := range c.servers {
		if s.up() && s.node.IsLeader() && !c.proposalsPaused {
			first, err := s.node.Propose(c.clock(s), c.payloads())
			if err == nil {
				s.proposed[first] = s.node.Term()
				c.processReady(s)
			}
		}
		if s.up() && c.compactEvery > 0 {
			c.compact(s)
		}
	}
	c.after(c.randomMillis(20), c.propose)
}

func (c *cluster) payloads() [][]byte {
	payloads := make([][]byte, 1+c.rng.IntN(3))
	for i := range payloads {
		payloads[i] = binary.BigEndian.AppendUint64(nil, c.rng.Uint64())
	}
	return payloads
}

// check runs after each event. It requires one leader for each term, at most one
// valid lease, and that a read under the lease sees every entry acknowledged or
// read before.
func (c *cluster) check() {
	leases := 0
	for _, s := range c.servers {
		if !s.up() || !s.node.IsLeader() {
			continue
		}
		if known, seen := c.leaders[s.node.Term()]; seen {
			c.require(known == s.id, "two leaders of term %d: %s, %s", s.node.Term(), known, s.id)
		}
		c.leaders[s.node.Term()] = s.id
		if !s.node.LeaseValid(c.clock(s)) {
			continue
		}
		leases++
		c.require(leases == 1, "%s holds a second valid lease", s.id)
		if s.applied >= s.node.ReadIndex() {
			c.require(s.applied >= c.highestSeen, "%s reads at index %d after index %d was acknowledged or read", s.id, s.applied, c.highestSeen)
			c.highestSeen = s.applied
			c.reads++
		}
	}
}

// leader returns the leader of the latest term, nil if there is none.
func (c *cluster) leader() *server {
	var latest *server
	for _, s := range c.servers {
		if s.up() && s.node.IsLeader() && (latest == nil || s.node.Term() > latest.node.Term()) {
			latest = s
		}
	}
	return latest
}

// setIsolated cuts or restores all links of a server.
func (c *cluster) setIsolated(s *server, cut bool) {
	for _, other := range c.servers {
		c.setLinkCut(s, other, cut)
	}
}

func (c *cluster) setLinkCut(a, b *server, cut bool) {
	c.cutLinks[[2]raft.ServerID{a.id, b.id}] = cut
	c.cutLinks[[2]raft.ServerID{b.id, a.id}] = cut
}
