package raft_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/raft"
)

// Guards against promoting a learner that never answered, such as one added with a
// wrong address, however short the log is: the group would then tolerate one
// failure less.
func TestSilentLearnerIsNotPromoted(t *testing.T) {
	c := newCluster(t, 1, 1)
	leader := c.waitForLeader()
	unreachable := c.add(raft.Group{})
	c.setIsolated(unreachable, true)
	change := raft.GroupChange{Type: raft.AddLearner, Server: raft.Server{ID: unreachable.id}}
	_, err := leader.node.ProposeGroup(c.clock(leader), change)
	assert.NilError(t, err)
	c.processReady(leader)
	change.Type = raft.Promote
	for range 50 {
		c.run(time.Millisecond, nil)
		_, err = leader.node.ProposeGroup(c.clock(leader), change)
		assert.Assert(t, errors.Is(err, raft.ErrNotCaughtUp) || errors.Is(err, raft.ErrChangePending), "%v", err)
	}
	assert.ErrorIs(t, err, raft.ErrNotCaughtUp)
}

// Guards against a learner that receives the log only with the next proposal,
// which may never come in an idle group.
func TestLearnerGetsTheLogOfAQuietGroup(t *testing.T) {
	c := newCluster(t, 1, 1)
	leader := c.waitForLeader()
	change := raft.GroupChange{Type: raft.AddLearner, Server: raft.Server{ID: "learner"}}
	_, err := leader.node.ProposeGroup(c.clock(leader), change)
	assert.NilError(t, err)
	sent := func(m raft.Message) bool { return m.To == "learner" && m.Type == raft.MsgAppend }
	assert.Assert(t, slices.ContainsFunc(leader.node.Ready().Messages, sent))
}
