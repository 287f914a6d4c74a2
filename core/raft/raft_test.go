package raft_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/raft"
)

// settle waits for a leader that serves reads.
func (c *cluster) settle() *server {
	ready := func() bool {
		l := c.leader()
		return l != nil && l.node.LeaseValid(c.clock(l))
	}
	assert.Assert(c.t, c.run(5*time.Second, ready), "no leader with a lease")
	return c.leader()
}

// progress requires new acknowledged entries and equal logs everywhere.
func (c *cluster) progress(d time.Duration) {
	before := c.acked
	assert.Assert(c.t, c.run(d, func() bool { return c.acked >= before+20 }), "no progress")
}

func TestGroupsOfEachSizeCommit(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		c := newCluster(t, uint64(size), size)
		c.settle()
		c.progress(5 * time.Second)
	}
}

// A server that returns after a long silent cut must not depose the leader,
// nor may one that restarts.
func TestReturningServerDoesNotDeposeTheLeader(t *testing.T) {
	for seed := range uint64(30) {
		c := newCluster(t, seed, 3)
		leader := c.settle()
		term := leader.node.Term()
		other := c.servers[0]
		if other == leader {
			other = c.servers[1]
		}
		c.isolate(other, true)
		c.run(20*electionTimeout, nil)
		if seed%2 == 1 {
			c.crash(other)
			c.start(other)
		}
		c.run(20*electionTimeout, nil)
		c.isolate(other, false)
		c.run(20*electionTimeout, nil)
		assert.Assert(t, leader.node.IsLeader(), "seed %d: the leader was deposed", seed)
		assert.Equal(t, leader.node.Term(), term, "seed %d", seed)
		assert.Equal(t, other.node.Leader(), leader.id, "seed %d", seed)
	}
}

// A server that never answered, as one added under a wrong address, must not
// become a voter, however short the log is: the group would lose a spare.
func TestSilentLearnerIsNotPromoted(t *testing.T) {
	c := newCluster(t, 1, 1)
	leader := c.settle()
	silent := c.add(raft.Group{})
	c.isolate(silent, true)
	change := raft.GroupChange{Type: raft.AddLearner, Server: raft.Server{ID: silent.id}}
	_, err := leader.node.ProposeGroup(c.clock(leader), change)
	assert.NilError(t, err)
	c.pump(leader)
	change.Type = raft.Promote
	for range 50 {
		c.run(time.Millisecond, nil)
		_, err = leader.node.ProposeGroup(c.clock(leader), change)
		assert.Assert(t, errors.Is(err, raft.ErrNotCaughtUp) || errors.Is(err, raft.ErrChangePending), "%v", err)
	}
	assert.ErrorIs(t, err, raft.ErrNotCaughtUp)
}

// A learner must get the log without waiting for the next proposal, which in a
// quiet group may never come.
func TestLearnerGetsTheLogOfAQuietGroup(t *testing.T) {
	c := newCluster(t, 1, 1)
	leader := c.settle()
	change := raft.GroupChange{Type: raft.AddLearner, Server: raft.Server{ID: "learner"}}
	_, err := leader.node.ProposeGroup(c.clock(leader), change)
	assert.NilError(t, err)
	sent := func(m raft.Message) bool { return m.To == "learner" && m.Type == raft.MsgAppend }
	assert.Assert(t, slices.ContainsFunc(leader.node.Ready().Messages, sent))
}
