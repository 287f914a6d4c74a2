package leaderless

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRunningJobOutlivesItsLeader guards against a job that is answered with an uncertain
// outcome at the moment in which the leader is lost, because it had already run for longer
// than a request waits for a leader. Its tasks go on, and the next leader takes them over.
func TestRunningJobOutlivesItsLeader(t *testing.T) {
	w := Wait{Arrived: lostAt, Objective: 1276 * time.Millisecond}
	w.LeaderLostAt = lostAt.Add(2500 * time.Millisecond)
	assert.Assert(t, w.Until().Equal(w.LeaderLostAt.Add(LeaderTimeout)))
	w.LeaderLostAt = lostAt.Add(100 * time.Millisecond)
	assert.Assert(t, w.Until().Equal(lostAt.Add(3*1276*time.Millisecond)), "the result still has value")
}

// TestNewRequestIsNotHeldBeyondItsObjective guards against a request that is held although
// no leader has received it and its result would be late.
func TestNewRequestIsNotHeldBeyondItsObjective(t *testing.T) {
	assert.Assert(t, Wait{Arrived: lostAt, Objective: 150 * time.Millisecond}.Until().Equal(lostAt.Add(150*time.Millisecond)))
	assert.Assert(t, Wait{Arrived: lostAt, Objective: time.Minute}.Until().Equal(lostAt.Add(LeaderTimeout)))
	assert.Assert(t, Wait{Arrived: lostAt}.Until().Equal(lostAt.Add(LeaderTimeout)), "unknown queue")
}
