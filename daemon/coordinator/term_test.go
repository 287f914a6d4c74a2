package coordinator

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/placement"
)

// TestEarlierTermPlacesNothing guards against a VM that lost the leadership and won a
// later term, and goes on with the planner of the earlier one, which lacks what the
// leader between them has placed.
func TestEarlierTermPlacesNothing(t *testing.T) {
	c := newCluster(t, 1)
	s := c.managers[c.leader()].service.Load()
	c.configure(0, 1)
	c.eventually("the term has begun", func() bool { return s.whileLeading(func(*term, time.Time) {}) })
	s.mu.Lock()
	s.term.number--
	stale := s.term
	leads := s.leads(stale)
	w := s.welcome(&client{service: s, role: mesh.RoleEntry})
	s.mu.Unlock()
	assert.Assert(t, !leads)
	assert.Assert(t, !w.Leading, "a client is told to use the earlier term")
	c.eventually("the next term begins", func() bool {
		current := false
		s.whileLeading(func(t *term, _ time.Time) { current = t != stale })
		return current
	})
}

// TestLeaderAppliesShares guards against shares that don't reach the planner: with a
// configuration that comes into force during the term, or at the start of the next term.
func TestLeaderAppliesShares(t *testing.T) {
	c := newCluster(t, 1)
	s := c.managers[c.leader()].service.Load()
	applied := func() (in *term) {
		s.whileLeading(func(t *term, now time.Time) {
			if len(t.Planner.ShareUses(now)) == 1 {
				in = t
			}
		})
		return in
	}
	c.configure(0, 1)
	c.eventually("the term has the share", func() bool { return applied() != nil })
	former := applied()
	s.mu.Lock()
	former.number--
	s.mu.Unlock()
	c.eventually("the next term has the share", func() bool { next := applied(); return next != nil && next != former })
}

// TestStallCause guards against a leader that is silent for a while without a line that tells a paused process
// from work that took long (TestPlannedStops, 350 ms without a message).
func TestStallCause(t *testing.T) {
	assert.Equal(t, stallCause(time.Millisecond, tickInterval), "")
	assert.Equal(t, stallCause(350*time.Millisecond, time.Millisecond), "work took 350ms")
	assert.Equal(t, stallCause(time.Millisecond, 400*time.Millisecond), "did not run for 350ms")
}

// TestTermDetectsInterference guards against an option that doesn't reach the planner of
// a new term, and against metrics that a leader lacks.
func TestTermDetectsInterference(t *testing.T) {
	c := newCluster(t, 1)
	m := c.managers[c.leader()]
	c.eventually("the planner of the term detects interference", func() bool {
		detects := false
		m.readPlanner(func(p *placement.Planner, _ time.Time) { detects = p.DetectsInterference() })
		return detects
	})
	registry := prometheus.NewPedanticRegistry()
	registry.MustRegister(m.Collectors()...)
	families, err := registry.Gather()
	assert.NilError(t, err)
	exported := false
	for _, f := range families {
		exported = exported || f.GetName() == "cicadapulley_interference_pairs"
	}
	assert.Assert(t, exported)
}

// TestLeaderWithStalledDiskIsReplaced guards against a group that serves nobody for as long as the disk of its
// leader stalls: the leader keeps its lease, and can't apply what the others have committed.
func TestLeaderWithStalledDiskIsReplaced(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.leader()
	c.configure(leader, 1)
	c.disks[leader].stalled.Store(true)
	t.Cleanup(func() { c.disks[leader].stalled.Store(false) })
	c.configure((leader+1)%3, 2)
	next := c.nextLeader(leader)
	c.assertDocument(next, 2)
	c.disks[leader].stalled.Store(false)
	c.assertDocument(leader, 2)
}

// TestLeftJobsAreAbandonedWithoutLease guards against a job that a leader keeps, and starts later, because its
// caller left while the leader could not serve, as during a stall of its disk.
func TestLeftJobsAreAbandonedWithoutLease(t *testing.T) {
	c := newCluster(t, 1)
	s := c.managers[c.leader()].service.Load()
	c.configure(0, 1)
	agent, _ := c.joinAgent(0)
	defer agent.Close()
	q := submission("00000000000000b1", true)
	q.Sequence = 7
	found, outcome := s.resolve(q)
	assert.Equal(t, outcome, mesh.Outcome(0))
	assert.Assert(t, prepare(q.Job, found, &mesh.Response{}))
	assert.Assert(t, s.placeBestEffort(nil, found, q) == nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term.number-- // another VM may lead
	assert.Assert(t, !s.leads(s.term) && s.term.Planner.Has(q.Job.ID))
	s.abandonIn(s.term, nil, q.Sequence, q.Job.ID)
	assert.Assert(t, !s.term.Planner.Has(q.Job.ID))
}
