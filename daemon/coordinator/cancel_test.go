package coordinator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// TestCancelOvertakesTheRecord guards against a stored job that runs after its cancellation was
// acknowledged, or answered with "no such job", while the job was being recorded.
func TestCancelOvertakesTheRecord(t *testing.T) {
	c := newCluster(t, 3)
	version := uint64(0)
	c.withStableLeader(func(t testing.TB, leader int) {
		version++
		c.configure(leader, version)
		agent, _ := c.joinAgent(leader)
		defer agent.Close()
		s := c.managers[leader].service.Load()
		id := fmt.Sprintf("%016x", 0xa0+version)
		cancel := &mesh.Request{Operation: mesh.Cancel, Host: "h", Path: "/q/" + id}
		q := submission(id, false)
		found, outcome := s.resolve(q)
		assert.Equal(t, outcome, mesh.Outcome(0))
		r := &mesh.Response{}
		assert.Assert(t, prepare(q.Job, found, r))
		admission, term := s.admit(q.Job, placement.PriorState{})
		assert.Assert(t, term != nil && admission.Accepted)
		assert.Equal(t, s.submitOrCancel(t.Context(), cancel).Outcome, mesh.Uncertain, "the job may be recorded right after this")
		s.accept(t.Context(), term, q.Job, 0, r)
		assert.Equal(t, r.Outcome, mesh.Accepted)
		found, _ = s.resolve(q)
		assert.Assert(t, found.known)
		assert.Equal(t, found.state, work.Cancelled)
		assert.Equal(t, s.submitOrCancel(t.Context(), cancel).Outcome, mesh.Accepted)
		cancel.Path = "/q/00000000000000ff"
		assert.Equal(t, s.submitOrCancel(t.Context(), cancel).Outcome, mesh.NoJob)
	})
}

// TestNextLeaderHasCancellations guards against a job that starts after its DELETE was answered with "no such
// job": the entry that has it was cut off, and hands it over to the next leader (TestPatientSoak, seed 10).
func TestNextLeaderHasCancellations(t *testing.T) {
	c := newCluster(t, 3)
	version := uint64(0)
	leader, id := -1, ""
	c.withStableLeader(func(t testing.TB, stable int) {
		version++
		leader, id = stable, fmt.Sprintf("%016x", 0xb0+version)
		c.configure(leader, version)
		cancel := &mesh.Request{Operation: mesh.Cancel, Host: "h", Path: "/q/" + id}
		assert.Equal(t, c.managers[leader].service.Load().submitOrCancel(t.Context(), cancel).Outcome, mesh.NoJob)
	})
	c.cancels[leader]()
	c.nextLeader(leader)
	c.withStableLeader(func(t testing.TB, next int) {
		agent, _ := c.joinAgent(next)
		defer agent.Close()
		entry := c.dialEntry(next)
		defer entry.Close()
		const sequence = 7
		q := submission(id, true)
		q.Sequence = sequence
		q.PriorState = placement.PriorState{Waited: 30 * time.Second, SentToLeader: true}
		entry.Send(q)
		r := await[*mesh.Response](entry)
		assert.Equal(t, r.Sequence, uint64(sequence))
		assert.Equal(t, r.Outcome, mesh.Found, "%s", r.Detail)
		assert.Equal(t, r.State, work.Cancelled)
	})
}
