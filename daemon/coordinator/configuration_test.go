package coordinator

import (
	"context"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/link"
)

// dialEntry connects an entry that keeps its connection alive.
func (c *cluster) dialEntry(i int) *peerConn {
	c.Helper()
	entry := c.dial(i, &mesh.Hello{Role: mesh.RoleEntry, VM: "entry-1"})
	go link.Ping(c.Context(), entry.Conn, 100*time.Millisecond)
	return entry
}

// awaitVersion reports whether an entry receives a version of the configuration within
// the time.
func (p *peerConn) awaitVersion(version uint64, within time.Duration) bool {
	p.Helper()
	for deadline := time.Now().Add(within); time.Now().Before(deadline); {
		m, err := p.Receive(within)
		assert.NilError(p, err)
		if w, ok := m.(*mesh.Welcome); ok && w.Version >= version {
			return true
		}
	}
	return false
}

// TestEntriesReceiveAVersionWhoseProposerLeft guards against entries that go on placing
// jobs by an older configuration after a change was confirmed: the operator's first
// request is cancelled before its commit, and the same change, sent again, finds its
// version in force.
func TestEntriesReceiveAVersionWhoseProposerLeft(t *testing.T) {
	c := newCluster(t, 3)
	version := uint64(1)
	c.configure(c.leader(), version)
	c.withStableLeader(func(t testing.TB, leader int) {
		entry := c.dialEntry(leader)
		defer entry.Close()
		assert.Assert(t, entry.awaitVersion(version, 5*time.Second))
		const rounds = 12
		missed := 0
		for n := range rounds {
			version++
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(n)*50*time.Microsecond)
			_ = c.managers[leader].Configure(ctx, configuration(version)) // cancelled before the commit, or not
			cancel()
			c.configure(leader, version)
			if !entry.awaitVersion(version, 500*time.Millisecond) {
				missed++
			}
		}
		assert.Equal(t, missed, 0, "confirmed versions that the entry has not received, of %d", rounds)
	})
}

// TestEveryControlVMGivesItsVersion guards against an entry that has lost its leader and
// can't learn from other control VMs that it lacks a confirmed version, or can't get it
// from them.
func TestEveryControlVMGivesItsVersion(t *testing.T) {
	c := newCluster(t, 3)
	c.configure(c.leader(), 4)
	c.withStableLeader(func(t testing.TB, leader int) {
		for i := range c.managers {
			entry := c.dialEntry(i)
			c.eventually("the VM reports the version", func() bool {
				entry.Send(&mesh.Ping{})
				return await[*mesh.Pong](entry).ConfigurationVersion == 4
			})
			entry.Send(&mesh.NewSession{})
			assert.Assert(t, entry.awaitVersion(4, 5*time.Second))
			if i == leader {
				entry.Send(&mesh.Request{Sequence: 1, Operation: mesh.Inspect, Host: "h", Path: "/unknown/"})
				r := await[*mesh.Response](entry)
				assert.Equal(t, r.Outcome, mesh.NoQueue)
				assert.Equal(t, r.Version, uint64(4))
			}
			entry.Close()
		}
	})
}

// TestLongestConfigurationIsKept guards against a configuration that is recorded and that no control VM can
// decode afterwards: each ended when it applied the command, and again whenever it replayed its log. The longest
// permitted lists must reach the leader from another control VM, every replica and the entries; longer ones must
// not reach the log.
func TestLongestConfigurationIsKept(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.leader()
	follower := (leader + 1) % len(c.managers)
	longest := configuration(1)
	for n := range work.MaxPools - 1 {
		longest.Pools = append(longest.Pools, strconv.FormatInt(int64(n), 36))
	}
	tooLong := *longest
	tooLong.Version, tooLong.Pools = 2, append(slices.Clone(longest.Pools), "one more")
	c.eventually("a control VM that doesn't lead confirms the longest list", func() bool {
		return c.managers[follower].Configure(t.Context(), longest) == nil
	})
	entry := c.dialEntry(c.leader())
	defer entry.Close()
	assert.Assert(t, entry.awaitVersion(1, 5*time.Second))
	refusal := c.managers[leader].Configure(t.Context(), &tooLong)
	time.Sleep(100 * time.Millisecond) // what is committed is applied
	for range len(c.exits) {
		assert.NilError(t, <-c.exits, "a control VM has ended")
	}
	assert.ErrorContains(t, refusal, "services: 131073, must be at most 131072")
	c.assertServing(c.leader(), 3)
}
