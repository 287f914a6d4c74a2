package raft_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/raft"
)

// waitForLeader runs the cluster until there is a leader that may serve reads.
func (c *cluster) waitForLeader() *server {
	ready := func() bool {
		l := c.leader()
		return l != nil && l.node.LeaseValid(c.clock(l))
	}
	assert.Assert(c.t, c.run(5*time.Second, ready), "no leader with a lease")
	return c.leader()
}

// requireProgress requires newly acknowledged entries within d.
func (c *cluster) requireProgress(d time.Duration) {
	before := c.acked
	assert.Assert(c.t, c.run(d, func() bool { return c.acked >= before+20 }), "too few entries acknowledged")
}

func (c *cluster) others(than *server) []*server {
	return slices.DeleteFunc(slices.Clone(c.servers), func(s *server) bool { return s == than })
}

// commitChange proposes a group change until it is accepted and committed.
func (c *cluster) commitChange(change raft.GroupChange) {
	committed := func() bool {
		l := c.leader()
		if l == nil {
			return false
		}
		st := l.node.Status()
		server, found := st.Group.Find(change.Server.ID)
		done := found != (change.Type == raft.Remove) && (change.Type != raft.Promote || server.Voter)
		if !done {
			_, err := l.node.ProposeGroup(c.clock(l), change)
			c.require(err == nil || isExpected(err), "change %+v: %v", change, err)
			if err == nil {
				c.processReady(l)
			}
		}
		return done && st.GroupIndex <= st.Commit
	}
	assert.Assert(c.t, c.run(5*time.Second, committed), "change %+v isn't committed", change)
}

// Guards against a group size that can't elect a leader or commit entries.
func TestGroupsOfEachSizeCommit(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		c := newCluster(t, uint64(size), size)
		c.waitForLeader()
		c.requireProgress(5 * time.Second)
	}
}

// Guards against a deposed leader when a server returns after a long network cut,
// also after a restart, and when a server can send but not receive. Without writes
// its log is as up to date as the leader's, so only the pre-vote rule prevents it.
func TestReturningServerDoesNotDeposeTheLeader(t *testing.T) {
	for seed := range uint64(30) {
		c := newCluster(t, seed, 3)
		leader := c.waitForLeader()
		c.proposalsPaused = seed%3 > 0
		term := leader.node.Term()
		other := c.others(leader)[0]
		c.setIsolated(other, true)
		c.cutLinks[[2]raft.ServerID{other.id, leader.id}] = seed%4 < 2
		c.run(20*electionTimeout, nil)
		if seed%2 == 1 {
			c.crash(other)
			c.start(other)
		}
		c.run(20*electionTimeout, nil)
		c.setIsolated(other, false)
		c.run(20*electionTimeout, nil)
		assert.Assert(t, leader.node.IsLeader(), "seed %d: the leader was deposed", seed)
		assert.Equal(t, leader.node.Term(), term, "seed %d", seed)
		assert.Equal(t, other.node.Leader(), leader.id, "seed %d", seed)
	}
}

// leaderCutoffs are the ways in which TestCutOffLeaderLosesItsLeaseFirst ends the
// contact between a leader and its followers.
var leaderCutoffs = []func(c *cluster, old, candidate, voter *server){
	func(c *cluster, old, _, _ *server) { c.setIsolated(old, true) },
	// Followers that restart lose the time of their last contact with the leader.
	func(c *cluster, old, candidate, voter *server) {
		c.setIsolated(old, true)
		c.crash(candidate)
		c.start(candidate)
		c.crash(voter)
		c.start(voter)
	},
	// A server that lost contact earlier requests votes all the time.
	func(c *cluster, old, candidate, _ *server) {
		c.cutWithEqualLogs(old, candidate)
		c.setIsolated(old, true)
	},
	func(c *cluster, old, candidate, voter *server) {
		c.cutWithEqualLogs(old, candidate)
		c.setIsolated(old, true)
		c.crash(voter)
		c.start(voter)
	},
	// The leader's messages are lost, but it receives late replies.
	func(c *cluster, old, candidate, voter *server) {
		c.cutWithEqualLogs(old, candidate)
		c.slow = 0.5
		c.run(electionTimeout, nil)
		c.slow = 0
		c.cutLinks[[2]raft.ServerID{old.id, voter.id}] = true
	},
	// The leader is cut off in the middle of a transfer.
	func(c *cluster, old, candidate, _ *server) {
		c.proposalsPaused = true
		c.run(2*electionTimeout, nil)
		assert.NilError(c.t, old.node.TransferLeadership(c.clock(old), candidate.id))
		c.processReady(old)
		c.run(electionTimeout, func() bool { return candidate.node.Term() > old.node.Term() })
		c.setIsolated(old, true)
	},
}

// cutWithEqualLogs cuts the links between a follower and the leader while all logs
// are equal, so that the follower's log is recent enough to be elected.
func (c *cluster) cutWithEqualLogs(leader, follower *server) {
	c.proposalsPaused = true
	c.run(2*electionTimeout, nil)
	c.setLinkCut(leader, follower, true)
	c.run(4*electionTimeout+c.randomMillis(50), nil)
}

// Guards against two leaders that may serve reads: a leader that is cut off must
// have lost its lease when another is elected. The leader's clock is as slow and
// the others' clocks are as fast as the drift allows.
func TestCutOffLeaderLosesItsLeaseFirst(t *testing.T) {
	for seed := range uint64(600) {
		c := newCluster(t, seed, 3)
		old := c.waitForLeader()
		c.delayMillis = 0.2
		for _, s := range c.servers {
			s.syncMillis = 0.2
			c.setRate(s, 1+maxDrift)
		}
		c.setRate(old, 1-maxDrift)
		candidate, voter := c.others(old)[0], c.others(old)[1]
		leaderCutoffs[seed%uint64(len(leaderCutoffs))](c, old, candidate, voter)
		replaced := func() bool {
			isNew := candidate.node.IsLeader() || voter.node.IsLeader()
			c.require(!isNew || !old.node.LeaseValid(c.clock(old)), "seed %d: two leaders may serve reads", seed)
			return isNew
		}
		assert.Assert(t, c.run(5*time.Second, replaced), "seed %d: no new leader", seed)
		c.proposalsPaused = false
		c.requireProgress(5 * time.Second)
	}
}

// Guards against a leader that counts an entry as its own copy before it is
// synced. A second server has the entry, and the leader crashes before its sync.
func TestLeaderCountsOnlyItsSyncedLog(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, 3)
		old := c.waitForLeader()
		c.proposalsPaused = true
		c.run(2*electionTimeout, nil)
		holder, lagging := c.others(old)[0], c.others(old)[1]
		c.setIsolated(lagging, true)
		old.syncMillis = 1e9
		_, err := old.node.Propose(c.clock(old), c.payloads())
		assert.NilError(t, err)
		c.processReady(old)
		c.run(electionTimeout/2, nil)
		assert.Equal(t, holder.node.Status().LastIndex, old.node.Status().LastIndex)
		c.setIsolated(lagging, false)
		c.setIsolated(holder, true)
		old.syncing = nil
		c.crash(old)
		old.syncMillis = 6
		c.start(old)
		c.proposalsPaused = false
		c.requireProgress(5 * time.Second)
		c.setIsolated(holder, false)
		c.requireConvergence()
	}
}

// Guards against an endless search for a matching entry when a server's log
// conflicts from before the end of the leader's compacted prefix: the server must
// get a snapshot.
func TestConflictBeforeCompactedPrefix(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.compactEvery = 10
	old := c.waitForLeader()
	c.setIsolated(old, true)
	for range 100 {
		_, err := old.node.Propose(c.clock(old), c.payloads())
		assert.NilError(t, err)
	}
	c.processReady(old)
	c.run(10*electionTimeout, nil)
	leader := c.leader()
	assert.Assert(t, leader.node.Status().LastIndex < old.node.Status().LastIndex)
	c.proposalsPaused = true // further compaction would end the search too
	c.crash(leader)          // the next leader starts its search at the end of its log
	c.setIsolated(old, false)
	c.waitForLeader()
	c.start(leader)
	c.requireConvergence()
	assert.Assert(t, c.snapshotInstalls > 0)
}

// Guards against a group that fails when a second server is lost right after the
// first one was replaced: after a crash, with a new server that hasn't received
// its promotion, and with an old server that hasn't received the change that added
// the new one.
func TestSecondLossRightAfterRepair(t *testing.T) {
	for seed := range uint64(45) {
		c := newCluster(t, seed, 3)
		leader := c.waitForLeader()
		lost, other := c.others(leader)[0], c.others(leader)[1]
		replacement := raft.Server{ID: serverID(3)}
		if seed%3 == 0 {
			c.crash(lost)
		}
		c.setIsolated(other, seed%3 == 2)
		c.commitChange(raft.GroupChange{Type: raft.AddLearner, Server: replacement})
		learner := c.add(raft.Group{})
		c.setLinkCut(learner, other, seed%3 == 2)
		promote := raft.GroupChange{Type: raft.Promote, Server: replacement}
		accepted := func() bool {
			_, err := leader.node.ProposeGroup(c.clock(leader), promote)
			return err == nil
		}
		assert.Assert(t, c.run(5*time.Second, accepted), "seed %d: the learner's promotion isn't accepted", seed)
		if seed%3 == 1 {
			c.setIsolated(learner, true)
		}
		c.processReady(leader)
		c.commitChange(promote)
		c.commitChange(raft.GroupChange{Type: raft.Remove, Server: raft.Server{ID: lost.id}})
		c.crash(leader)
		clear(c.cutLinks)
		c.setIsolated(lost, true)
		c.requireProgress(5 * time.Second)
	}
}

// Guards against an uncommitted change that isn't rolled back, a second change
// while one is pending, and the promotion of a learner that has not caught up.
func TestUncommittedChangeRollsBack(t *testing.T) {
	c := newCluster(t, 1, 3)
	old := c.waitForLeader()
	c.setIsolated(old, true)
	add := func(id raft.ServerID) error {
		_, err := old.node.ProposeGroup(c.clock(old), raft.GroupChange{Type: raft.AddLearner, Server: raft.Server{ID: id}})
		return err
	}
	assert.NilError(t, add("x"))
	assert.Equal(t, len(old.node.Status().Group.Servers), 4)
	assert.ErrorIs(t, add("y"), raft.ErrChangePending)
	c.run(20*electionTimeout, nil)
	assert.ErrorIs(t, add("y"), raft.ErrNotLeader)
	c.setIsolated(old, false)
	c.requireProgress(5 * time.Second)
	c.requireConvergence()
	assert.Equal(t, len(old.node.Status().Group.Servers), 3)

	c.proposalsPaused = false
	unreachable := raft.Server{ID: "z"}
	c.commitChange(raft.GroupChange{Type: raft.AddLearner, Server: unreachable})
	leader := c.waitForLeader()
	c.run(20*electionTimeout, nil)
	_, err := leader.node.ProposeGroup(c.clock(leader), raft.GroupChange{Type: raft.Promote, Server: unreachable})
	assert.ErrorIs(t, err, raft.ErrNotCaughtUp)
}

// Guards against messages from servers outside the group or to a former server ID
// that influence an election, and against votes of a server with a new data folder.
func TestUnknownServersAreIgnored(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.proposalsPaused = true
	unjoined := c.add(raft.Group{})
	c.waitForLeader()
	for _, s := range c.servers {
		c.setIsolated(s, true) // keeps heartbeats and elections of the others away
		c.now += 3 * electionTimeout / 2
		before := s.node.Status()
		for _, kind := range []raft.MessageType{raft.MsgPreVote, raft.MsgVote, raft.MsgTransferVote, raft.MsgAppendReply} {
			s.node.Step(c.clock(s), raft.Message{Type: kind, From: "unknown", To: s.id, Term: 99, Index: before.LastIndex, LogTerm: before.Term})
			s.node.Step(c.clock(s), raft.Message{Type: kind, From: "s0", To: "former", Term: 99, Index: 99, LogTerm: 99})
		}
		assert.DeepEqual(t, s.node.Status().Term, before.Term)
	}
	unjoined.node.Step(c.clock(unjoined), raft.Message{Type: raft.MsgTransferVote, From: "s0", To: unjoined.id, Term: 99, Index: 99, LogTerm: 99})
	assert.Assert(t, !unjoined.node.HasReady(), "a server with a new data folder votes")
}

// Guards against a leader that serves nobody for as long as its own disk stalls, although the other
// voters commit its entries, and against a leadership that moves when all disks are slow.
func TestLeaderWithStalledDiskYields(t *testing.T) {
	const stall = 20 * electionTimeout
	for seed := range uint64(20) {
		c := newCluster(t, seed, 3)
		leader := c.waitForLeader()
		leader.stalledUntil = c.now + stall
		began := c.now
		other := func() bool { l := c.leader(); return l != nil && l != leader }
		assert.Assert(t, c.run(5*electionTimeout, other), "seed %d: no other leader while the disk stalls", seed)
		next := c.leader()
		applied := next.applied
		assert.Assert(t, c.run(2*electionTimeout, func() bool { return next.applied > applied }), "seed %d: the next leader serves", seed)
		assert.Assert(t, c.now < began+stall, "seed %d", seed)
		c.run(stall, nil)
		c.requireProgress(5 * time.Second)
		c.requireConvergence()

		leader = c.waitForLeader()
		term := leader.node.Status().Term
		for _, s := range c.servers {
			s.stalledUntil = c.now + stall
		}
		c.run(stall, nil)
		assert.Equal(t, leader.node.Status().Term, term, "seed %d: the leadership moves although all disks stall", seed)
	}
}
