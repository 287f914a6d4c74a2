package raft_test

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/raft"
)

const (
	electionTimeout = 100 * time.Millisecond
	heartbeat       = 20 * time.Millisecond
	// maxDrift is the largest deviation of a clock's rate that a lease allows.
	maxDrift = 0.05
)

// epoch is the virtual start; every server's clock also has its own offset.
var epoch = time.Unix(1_700_000_000, 0)

// disk is what a server keeps over a crash.
type disk struct {
	hard     raft.HardState
	snapshot raft.Snapshot
	entries  []raft.Entry
}

// save writes a Ready; torn leaves out the later parts, as a crash does.
func (d *disk) save(t testing.TB, rd raft.Ready, rng *rand.Rand, torn bool) {
	keep := len(rd.Entries)
	if torn {
		keep = rng.IntN(keep + 1)
	}
	if rd.Snapshot != nil {
		d.snapshot = *rd.Snapshot
		if torn && rng.IntN(2) == 0 {
			return
		}
		d.entries = nil
	}
	if rd.TruncateFrom > 0 {
		d.entries = slices.DeleteFunc(d.entries, func(e raft.Entry) bool { return e.Index >= rd.TruncateFrom })
	}
	for _, e := range rd.Entries[:keep] {
		last := d.snapshot.Index
		if len(d.entries) > 0 {
			last = d.entries[len(d.entries)-1].Index
		}
		assert.Equal(t, e.Index, last+1, "a gap in the saved log")
		d.entries = append(slices.Clip(d.entries), e)
	}
	if rd.HardState != nil && !torn {
		assert.Assert(t, rd.HardState.Commit >= d.hard.Commit, "the commit index went back")
		d.hard = *rd.HardState
	}
}

// recover deletes a log that an installed snapshot replaced, as storage does.
func (d *disk) recover() {
	gone := func(e raft.Entry) bool {
		return e.Index == d.snapshot.Index && e.Term != d.snapshot.Term
	}
	behind := len(d.entries) > 0 && d.entries[len(d.entries)-1].Index < d.snapshot.Index
	if behind || slices.ContainsFunc(d.entries, gone) {
		d.entries = nil
	}
}

// server runs a node on its own disk and clock.
type server struct {
	id   raft.ServerID
	node *raft.Node
	disk disk
	// life changes at a crash; events of an earlier life are void.
	life, timer int
	rate        float64
	offset      time.Duration
	applied     uint64
	hash        uint64
	// proposed holds the term of each unacknowledged proposal by its index.
	proposed map[uint64]uint64
}

func (s *server) up() bool { return s.node != nil }

type event struct {
	at  time.Duration
	seq int
	run func()
}

// cluster is a set of servers in virtual time, with the checks.
type cluster struct {
	t       testing.TB
	rng     *rand.Rand
	now     time.Duration
	events  []event
	seq     int
	servers []*server
	// cut holds the links that drop everything.
	cut map[[2]raft.ServerID]bool
	// loss, repeat and slow are probabilities for each message.
	loss, repeat, slow float64
	compactEvery       uint64

	leaders  map[uint64]raft.ServerID
	terms    map[uint64]uint64 // term of each applied index
	hashes   map[uint64]uint64 // state after each applied index
	floor    uint64            // the highest index acknowledged or read
	acked    int
	reads    int
	installs int
}

func newCluster(t testing.TB, seed uint64, size int) *cluster {
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]raft.ServerID]bool{},
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

// add starts a new server on an empty disk.
func (c *cluster) add(group raft.Group) *server {
	s := &server{
		id: serverID(len(c.servers)), disk: disk{snapshot: raft.Snapshot{Group: group}},
		rate:   1 + maxDrift*(2*c.rng.Float64()-1),
		offset: time.Duration(c.rng.Int64N(int64(time.Hour))),
	}
	c.servers = append(c.servers, s)
	c.start(s)
	return s
}

func (c *cluster) start(s *server) {
	s.disk.recover()
	node, err := raft.New(raft.Config{
		ID: s.id, Now: c.clock(s), ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeat,
		Rand: rand.New(rand.NewPCG(c.rng.Uint64(), 2)), MaxEntriesPerMessage: 4, MaxBytesPerMessage: 64, MaxInflight: 3,
		HardState: s.disk.hard, Snapshot: s.disk.snapshot, Entries: s.disk.entries,
	})
	assert.NilError(c.t, err)
	s.node = node
	s.proposed = map[uint64]uint64{}
	c.restore(s, s.disk.snapshot)
	c.pump(s)
}

func (c *cluster) crash(s *server) {
	s.node = nil
	s.life++
}

// clock returns a server's own time: it drifts within the allowed rate.
func (c *cluster) clock(s *server) time.Time {
	return epoch.Add(s.offset + time.Duration(float64(c.now)*s.rate))
}

func (c *cluster) after(d time.Duration, run func()) {
	c.seq++
	e := event{at: c.now + d, seq: c.seq, run: run}
	order := func(a, b event) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq)) }
	at, _ := slices.BinarySearchFunc(c.events, e, order)
	c.events = slices.Insert(c.events, at, e)
}

// run lets virtual time pass until done returns true; false after d.
func (c *cluster) run(d time.Duration, done func() bool) bool {
	end := c.now + d
	for c.events[0].at <= end {
		e := c.events[0]
		c.events = c.events[1:]
		c.now = e.at
		e.run()
		c.check()
		if done != nil && done() {
			return true
		}
	}
	c.now = end
	return false
}

// ms returns a random time of up to limit milliseconds.
func (c *cluster) ms(limit float64) time.Duration {
	return time.Duration(c.rng.Float64() * limit * float64(time.Millisecond))
}

// pump does what a driver does: it sends, saves, applies and sets the timer.
func (c *cluster) pump(s *server) {
	for s.up() && s.node.HasReady() {
		rd := s.node.Ready()
		c.send(rd.Messages)
		c.apply(s, rd.CommittedEntries)
		life := s.life
		switch {
		case rd.MustSync:
			c.after(c.ms(6), func() { c.finishSync(s, rd, life) })
		default:
			s.disk.save(c.t, rd, c.rng, false)
			c.send(rd.MessagesAfterSync)
			s.node.Advance(rd)
		}
	}
	c.setTimer(s)
}

// finishSync ends a sync; a crash in the meantime may have torn it.
func (c *cluster) finishSync(s *server, rd raft.Ready, life int) {
	if life != s.life {
		return
	}
	s.disk.save(c.t, rd, c.rng, false)
	c.send(rd.MessagesAfterSync)
	if rd.Snapshot != nil {
		c.installs++
		c.restore(s, *rd.Snapshot)
	}
	s.node.Advance(rd)
	c.pump(s)
}

func (c *cluster) setTimer(s *server) {
	if !s.up() || s.node.NextDeadline().IsZero() {
		return
	}
	s.timer++
	timer, life := s.timer, s.life
	wait := time.Duration(float64(s.node.NextDeadline().Sub(c.clock(s)))/s.rate) + time.Microsecond
	c.after(max(wait, time.Microsecond), func() {
		if timer == s.timer && life == s.life {
			s.node.Tick(c.clock(s))
			c.pump(s)
		}
	})
}

func (c *cluster) send(messages []raft.Message) {
	for _, m := range messages {
		for range 1 + c.chance(c.repeat) {
			if c.chance(c.loss) == 1 {
				continue
			}
			delay := c.ms(4)
			if c.chance(c.slow) == 1 {
				delay = c.ms(400)
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
		if s.id == m.To && s.up() && !c.cut[[2]raft.ServerID{m.From, m.To}] {
			s.node.Step(c.clock(s), m)
			c.pump(s)
		}
	}
}

// apply checks that all servers apply the same log and acknowledges proposals.
func (c *cluster) apply(s *server, entries []raft.Entry) {
	for _, e := range entries {
		assert.Equal(c.t, e.Index, s.applied+1, "%s applies with a gap", s.id)
		h := fnv.New64a()
		h.Write(binary.BigEndian.AppendUint64(e.Data, s.hash))
		s.applied, s.hash = e.Index, h.Sum64()
		if hash, seen := c.hashes[e.Index]; seen {
			assert.Equal(c.t, s.hash, hash, "%s applies another entry %d", s.id, e.Index)
			assert.Equal(c.t, e.Term, c.terms[e.Index])
		}
		c.hashes[e.Index], c.terms[e.Index] = s.hash, e.Term
		if term, mine := s.proposed[e.Index]; mine && term == e.Term {
			c.acked++
			c.floor = max(c.floor, e.Index)
		}
		delete(s.proposed, e.Index)
	}
}

func (c *cluster) restore(s *server, snapshot raft.Snapshot) {
	s.applied, s.hash = snapshot.Index, 0
	if snapshot.Index > 0 {
		s.hash = binary.BigEndian.Uint64(snapshot.Data)
		assert.Equal(c.t, s.hash, c.hashes[s.applied], "%s restores another state", s.id)
	}
}

// compact saves a snapshot and drops most of the log.
func (c *cluster) compact(s *server) {
	snapshot, err := s.node.SnapshotAt(s.applied)
	if err != nil || snapshot.Index < s.disk.snapshot.Index+c.compactEvery {
		return
	}
	snapshot.Data = binary.BigEndian.AppendUint64(nil, s.hash)
	s.disk.snapshot = snapshot
	keep := snapshot.Index - min(2, snapshot.Index)
	s.disk.entries = slices.DeleteFunc(slices.Clone(s.disk.entries), func(e raft.Entry) bool { return e.Index <= keep })
	s.node.SetSnapshot(snapshot)
	assert.NilError(c.t, s.node.Compact(keep))
}

// propose is a caller that never stops.
func (c *cluster) propose() {
	for _, s := range c.servers {
		if s.up() && s.node.IsLeader() {
			first, err := s.node.Propose(c.clock(s), c.payloads())
			if err == nil {
				s.proposed[first] = s.node.Term()
				c.pump(s)
			}
		}
		if s.up() && c.compactEvery > 0 {
			c.compact(s)
		}
	}
	c.after(c.ms(20), c.propose)
}

func (c *cluster) payloads() [][]byte {
	payloads := make([][]byte, 1+c.rng.IntN(3))
	for i := range payloads {
		payloads[i] = binary.BigEndian.AppendUint64(nil, c.rng.Uint64())
	}
	return payloads
}

// check runs after each event: one leader for each term, and a read under the
// lease sees everything acknowledged or read before.
func (c *cluster) check() {
	for _, s := range c.servers {
		if !s.up() || !s.node.IsLeader() {
			continue
		}
		if known, seen := c.leaders[s.node.Term()]; seen {
			assert.Equal(c.t, known, s.id, "two leaders of term %d", s.node.Term())
		}
		c.leaders[s.node.Term()] = s.id
		if s.node.LeaseValid(c.clock(s)) && s.applied >= s.node.ReadIndex() {
			assert.Assert(c.t, s.applied >= c.floor, "%s reads %d after %d was seen", s.id, s.applied, c.floor)
			c.floor = s.applied
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

// isolate cuts or heals all links of a server.
func (c *cluster) isolate(s *server, cut bool) {
	for _, other := range c.servers {
		c.cut[[2]raft.ServerID{s.id, other.id}] = cut
		c.cut[[2]raft.ServerID{other.id, s.id}] = cut
	}
}
