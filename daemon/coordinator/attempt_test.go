package coordinator

import (
	"testing"
	"time"

	"github.com/cicadapulley/cicadapulley/daemon/internal/undisturbed"
)

// maxDelay is the delay of the process after which the leader's lease may have lapsed, and connections may
// have timed out.
const maxDelay = 100 * time.Millisecond

// withStableLeader runs a check that relies on one leader, whose lease holds all the time. On a busy machine an
// election, or a lease that lapses for a moment, may refuse or undo what the check does. So the check is repeated
// if it fails and the leadership was disturbed meanwhile; without a disturbance its failure counts. The check uses
// the given testing.TB only.
func (c *cluster) withStableLeader(check func(t testing.TB, leader int)) {
	c.Helper()
	test, leader := c.TB, -1
	defer func() { c.TB = test }()
	watch := func() func() string {
		c.TB = test
		leader = c.leader()
		return c.watchLeadership(leader)
	}
	undisturbed.Check(test, maxDelay, watch, func(t testing.TB) {
		c.TB = t
		check(t, leader)
	})
}

// watchLeadership returns a function that returns what has disturbed the leadership since, empty if nothing has.
func (c *cluster) watchLeadership(leader int) func() string {
	service := c.managers[leader].service.Load()
	number, leads := uint64(0), false
	if service != nil {
		number, leads = service.driver.LeadingTerm()
	}
	return func() string {
		if !leads || c.managers[leader].service.Load() != service {
			return "the leader was stopped"
		}
		if now, ok := service.driver.LeadingTerm(); !ok || now != number {
			return "the leader's lease lapsed"
		}
		return ""
	}
}
