package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/leaderless"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/fallback"
	"github.com/cicadapulley/cicadapulley/daemon/link"
)

// newConn returns a connection to a control VM and the other end of it.
func newConn(t *testing.T) (entry, control *link.Conn) {
	a, b := net.Pipe()
	entry, control = link.New(a), link.New(b)
	t.Cleanup(func() {
		entry.Close()
		control.Close()
		entry.Wait()
		control.Wait()
	})
	return entry, control
}

func welcome(term, version uint64, prefix string, agents ...ledger.Agent) *mesh.Welcome {
	return &mesh.Welcome{Leading: true, Term: term, Version: version, Agents: agents, Queues: []work.Queue{{Name: "q", Host: "h", Prefix: prefix, Pool: "desk"}}}
}

func newService() *Service {
	return New(Options{VM: "entry-1", Log: events.NewLog("entry-1", zap.NewNop(), events.NewClock())})
}

func (s *Service) mayPlace(t *testing.T) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, ok := s.awaitLeaderLoss(ctx)
	return ok
}

// TestEntryFetchesAVersionThatNoLeaderSent guards against an entry that runs jobs of a
// dropped route, or can't place any, because the leader that confirmed the change was
// lost before it had sent the configuration to this entry.
func TestEntryFetchesAVersionThatNoLeaderSent(t *testing.T) {
	s := newService()
	lost := &leader{}
	s.setLeader(lost, nil)
	s.applyWelcome(lost, welcome(1, 5, "/a/"))
	s.setLeader(nil, lost)
	time.Sleep(leaderless.PlacementDelay)
	assert.Assert(t, s.mayPlace(t))
	entry, control := newConn(t)
	s.Standby(entry, &mesh.Pong{ConfigurationVersion: 6})
	assert.Assert(t, !s.mayPlace(t), "a newer version is known")
	m, err := control.Receive(time.Second)
	assert.NilError(t, err)
	_, requested := m.(*mesh.NewSession)
	assert.Assert(t, requested, "the entry sent %T", m)
	fetched := welcome(0, 6, "/b/")
	fetched.Leading = false
	s.Standby(entry, fetched)
	assert.Assert(t, s.mayPlace(t))
	queue, _ := s.view.Routes().Match("h", "/b/")
	assert.Assert(t, queue != nil)
}

// TestDrainsOfAnyControlVMAreUsed guards against an entry that places tasks in a drained data
// centre: with drains from before it lost the leader, with a change that a control VM which
// doesn't lead sends later, or after older drains of one that is behind.
func TestDrainsOfAnyControlVMAreUsed(t *testing.T) {
	s := newService()
	lost := &leader{}
	s.setLeader(lost, nil)
	s.applyWelcome(lost, welcome(1, 5, "/a/"))
	s.setLeader(nil, lost)
	entry, _ := newConn(t)
	s.Standby(entry, &mesh.Drains{State: work.DataCentreDrains{Revision: 4, DataCentres: []string{"east"}}})
	s.Standby(entry, &mesh.Drains{State: work.DataCentreDrains{Revision: 3}})
	time.Sleep(leaderless.PlacementDelay)
	opts, ok := s.awaitLeaderLoss(t.Context())
	assert.Assert(t, ok && opts.Drains.Contains("east"))
	p := fallback.New(opts)
	s.setLocal(p)
	assert.Assert(t, p.Drained("east"))
	s.Standby(entry, &mesh.Drains{State: work.DataCentreDrains{Revision: 6, DataCentres: []string{"west"}}})
	assert.Assert(t, !p.Drained("east") && p.Drained("west"))
}

// TestReplacedConnectionChangesNothing guards against an entry whose agents or
// configuration are set back by a message that arrives on the connection to a replaced
// leader.
func TestReplacedConnectionChangesNothing(t *testing.T) {
	s := newService()
	first, second := &leader{}, &leader{}
	s.setLeader(first, nil)
	s.applyWelcome(first, welcome(1, 5, "/a/"))
	s.setLeader(second, nil)
	s.applyWelcome(second, welcome(1, 5, "/a/", ledger.Agent{VM: "side-1"}))
	s.applyWelcome(first, welcome(1, 5, "/a/"))
	assert.Equal(t, len(s.view.Agents()), 1)
}
