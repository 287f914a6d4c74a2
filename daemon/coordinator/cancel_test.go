package coordinator

import (
	"fmt"
	"testing"

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
