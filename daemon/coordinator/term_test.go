package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
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

// TestStallCause guards against a leader that is silent for a while without a line that tells a paused process
// from work that took long (TestPlannedStops, 350 ms without a message).
func TestStallCause(t *testing.T) {
	assert.Equal(t, stallCause(time.Millisecond, tickInterval), "")
	assert.Equal(t, stallCause(350*time.Millisecond, time.Millisecond), "work took 350ms")
	assert.Equal(t, stallCause(time.Millisecond, 400*time.Millisecond), "did not run for 350ms")
}
