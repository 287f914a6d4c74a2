package raft_test

import (
	"encoding/binary"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/raft"
)

// disk is the state of a server that survives a crash.
type disk struct {
	hardState raft.HardState
	snapshot  raft.Snapshot
	entries   []raft.Entry
}

// save writes the parts of a Ready. If torn is set, later parts may be missing, as
// after a crash during the write.
func (d *disk) save(c *cluster, rd raft.Ready, torn bool) {
	keep := len(rd.Entries)
	if torn {
		keep = c.rng.IntN(keep + 1)
	}
	if rd.Snapshot != nil {
		d.snapshot = *rd.Snapshot
		if torn && c.rng.IntN(2) == 0 {
			return
		}
		d.entries = nil
	}
	if rd.TruncateFrom > 0 {
		d.entries = slices.DeleteFunc(d.entries, func(e raft.Entry) bool { return e.Index >= rd.TruncateFrom })
	}
	for _, e := range rd.Entries[:keep] {
		c.require(e.Index == d.last()+1, "gap in the saved log: %d after %d", e.Index, d.last())
		d.entries = append(d.entries, e)
	}
	if rd.HardState != nil && !torn {
		c.require(rd.HardState.Commit >= d.hardState.Commit, "the saved commit index decreased")
		d.hardState = *rd.HardState
	}
}

func (d *disk) last() uint64 {
	if len(d.entries) == 0 {
		return d.snapshot.Index
	}
	return d.entries[len(d.entries)-1].Index
}

// covers reports whether the state that a message relies on is on disk.
func (d *disk) covers(m raft.Message) bool {
	switch {
	case m.Type == raft.MsgPreVote || m.Type == raft.MsgPreVoteReply:
		return true
	case m.Term != d.hardState.Term || m.Reject:
		return m.Term <= d.hardState.Term
	case m.Type == raft.MsgVoteReply:
		return d.hardState.Vote == m.To
	case m.Type == raft.MsgAppendReply || m.Type == raft.MsgSnapshotReply:
		return d.last() >= m.Index
	}
	return true
}

// recover deletes a log that an installed snapshot replaced, as the daemon's
// storage does.
func (d *disk) recover() {
	conflicting := func(e raft.Entry) bool {
		return e.Index == d.snapshot.Index && e.Term != d.snapshot.Term
	}
	if d.last() < d.snapshot.Index || slices.ContainsFunc(d.entries, conflicting) {
		d.entries = nil
	}
}

// server is a node with its own disk and clock.
type server struct {
	id   raft.ServerID
	node *raft.Node
	disk disk
	// incarnation is incremented at each crash; events of an earlier
	// incarnation are ignored. timerID is the number of the timer in force.
	incarnation, timerID int
	clockRate            float64
	clockOffset          time.Duration
	applied              uint64
	stateHash            uint64
	// proposed holds the term of each unacknowledged proposal by its index.
	proposed map[uint64]uint64
	// syncMillis is the maximum duration of a sync.
	syncMillis float64
	// stalledUntil is the virtual time until which the disk answers nothing.
	stalledUntil time.Duration
	// syncing is the Ready that is being synced; a crash may save part of it.
	syncing *raft.Ready
}

func (s *server) up() bool { return s.node != nil }

func (c *cluster) start(s *server) {
	s.disk.recover()
	node, err := raft.New(raft.Config{
		ID: s.id, Now: c.clock(s), ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeat,
		Rand: rand.New(rand.NewPCG(c.rng.Uint64(), 2)), MaxEntriesPerMessage: 4, MaxBytesPerMessage: 64, MaxInflight: 3,
		HardState: s.disk.hardState, Snapshot: s.disk.snapshot, Entries: s.disk.entries,
	})
	c.require(err == nil, "%s can't start: %v", s.id, err)
	s.node = node
	s.proposed = map[uint64]uint64{}
	c.restore(s, s.disk.snapshot)
	c.processReady(s)
}

// crash stops a server. The Ready that it was syncing may be lost, saved in part
// or saved completely.
func (c *cluster) crash(s *server) {
	if s.syncing != nil && c.rng.IntN(3) > 0 {
		s.disk.save(c, *s.syncing, c.rng.IntN(3) > 0)
	}
	s.syncing = nil
	s.node = nil
	s.incarnation++
}

// processReady does the work of a driver: it sends, saves, applies and sets the
// timer.
func (c *cluster) processReady(s *server) {
	for s.up() && s.node.HasReady() {
		rd := s.node.Ready()
		c.send(s, rd.Messages)
		c.apply(s, rd.CommittedEntries)
		incarnation := s.incarnation
		switch {
		case rd.MustSync:
			s.syncing = &rd
			stall := max(s.stalledUntil-c.now, 0)
			c.after(stall+c.randomMillis(s.syncMillis), func() { c.finishSync(s, rd, incarnation) })
		default:
			s.disk.save(c, rd, false)
			c.send(s, rd.MessagesAfterSync)
			s.node.Advance(rd)
		}
	}
	c.setTimer(s)
}

// finishSync completes a sync, unless the server has crashed in the meantime.
func (c *cluster) finishSync(s *server, rd raft.Ready, incarnation int) {
	if incarnation != s.incarnation {
		return
	}
	s.syncing = nil
	s.disk.save(c, rd, false)
	c.send(s, rd.MessagesAfterSync)
	if rd.Snapshot != nil {
		c.snapshotInstalls++
		c.restore(s, *rd.Snapshot)
	}
	s.node.Advance(rd)
	c.processReady(s)
}

// setRate changes the rate of a server's clock from now on.
func (c *cluster) setRate(s *server, rate float64) {
	s.clockOffset += time.Duration(float64(c.now) * (s.clockRate - rate))
	s.clockRate = rate
	c.setTimer(s)
}

func (c *cluster) setTimer(s *server) {
	if !s.up() || s.node.NextDeadline().IsZero() {
		return
	}
	s.timerID++
	timerID, incarnation := s.timerID, s.incarnation
	wait := time.Duration(float64(s.node.NextDeadline().Sub(c.clock(s)))/s.clockRate) + time.Microsecond
	c.after(max(wait, time.Microsecond), func() {
		if timerID == s.timerID && incarnation == s.incarnation {
			s.node.Tick(c.clock(s))
			c.processReady(s)
		}
	})
}

// apply checks that all servers apply the same log, and counts the server's own
// proposals as acknowledged.
func (c *cluster) apply(s *server, entries []raft.Entry) {
	for _, e := range entries {
		c.require(e.Index == s.applied+1, "%s applies %d after %d", s.id, e.Index, s.applied)
		h := fnv.New64a()
		h.Write(binary.BigEndian.AppendUint64(slices.Clip(e.Data), s.stateHash))
		s.applied, s.stateHash = e.Index, h.Sum64()
		if hash, seen := c.hashes[e.Index]; seen {
			same := s.stateHash == hash && e.Term == c.terms[e.Index]
			c.require(same, "%s applies an entry %d that differs from the other servers'", s.id, e.Index)
		}
		c.hashes[e.Index], c.terms[e.Index] = s.stateHash, e.Term
		if term, mine := s.proposed[e.Index]; mine && term == e.Term {
			c.acked++
			c.highestSeen = max(c.highestSeen, e.Index)
		}
		delete(s.proposed, e.Index)
	}
}

func (c *cluster) restore(s *server, snapshot raft.Snapshot) {
	s.applied, s.stateHash = snapshot.Index, 0
	if snapshot.Index > 0 {
		s.stateHash = binary.BigEndian.Uint64(snapshot.Data)
		c.require(s.stateHash == c.hashes[s.applied], "%s restores a state that differs from the other servers'", s.id)
	}
}

// compact saves a snapshot and removes all but the last two entries of the log
// that it covers.
func (c *cluster) compact(s *server) {
	snapshot, err := s.node.SnapshotAt(s.applied)
	if err != nil || snapshot.Index < s.disk.snapshot.Index+c.compactEvery {
		return
	}
	snapshot.Data = binary.BigEndian.AppendUint64(nil, s.stateHash)
	s.disk.snapshot = snapshot
	keep := snapshot.Index - min(2, snapshot.Index)
	s.disk.entries = slices.DeleteFunc(slices.Clone(s.disk.entries), func(e raft.Entry) bool { return e.Index <= keep })
	s.node.SetSnapshot(snapshot)
	err = s.node.Compact(keep)
	c.require(err == nil, "%s can't compact: %v", s.id, err)
}
