package raft_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
