package runner

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/runtable"
	"github.com/cicadapulley/cicadapulley/core/work"
)

func drainsOf(revision uint64, dataCentres ...string) *mesh.Drains {
	return &mesh.Drains{State: work.DataCentreDrains{Revision: revision, DataCentres: dataCentres}}
}

// TestDrainedAgentRefusesStarts guards against a start in a drained data centre by the
// leader or an entry that doesn't know of the drain, also after older drains of a control VM
// that is behind, and against an agent that refuses starts after the withdrawal.
func TestDrainedAgentRefusesStarts(t *testing.T) {
	f := newUnregisteredFixture(t)
	f.agent.Register(Registration{Incarnation: someIncarnation})
	f.fakeScheduler = f.connectLeader(7)
	f.orderRun(someRun)
	assert.Assert(t, f.awaitRunning(someRun))
	f.agent.Standby(nil, drainsOf(4, "east"))
	f.agent.Standby(nil, drainsOf(3))
	assertRefused := func(s *fakeScheduler, session placement.SessionID, r work.Run) {
		t.Helper()
		s.order(session, r)
		report := awaitMessage[*mesh.Report](f, s)
		assert.Equal(t, len(report.Refused), 1)
		assert.Equal(t, report.Refused[0].Reason, placement.RefusedDrained)
	}
	assertRefused(f.fakeScheduler, 7, runOf("b", 11))
	f.conn.Send(drainsOf(5))
	f.order(7, runOf("b", 12))
	assert.Assert(t, f.awaitRunning(runOf("b", 12)), "an order follows the drains that came before it on its connection")
	f.endpoint.finish(runOf("b", 12)) // room for a later run
	assert.Equal(t, len(awaitMessage[*mesh.Report](f, f.fakeScheduler).Ends), 1)
	f.conn.Send(drainsOf(6, "east"))
	assertRefused(f.fakeScheduler, 7, runOf("b", 13))
	f.conn.Close()
	entry := f.connectEntry("entry-1", 1)
	inventory := awaitMessage[*mesh.Inventory](f, entry)
	assert.Equal(t, inventory.Endpoint.DataCentre, "east")
	assert.Assert(t, !inventory.Endpoint.Draining, "a drain may be withdrawn during the session")
	assertRefused(entry, 1, runOf("c", 14))
	f.agent.Standby(nil, drainsOf(7, "west"))
	entry.order(1, runOf("c", 15))
	assert.Assert(t, f.awaitRunning(runOf("c", 15)))
	assert.Assert(t, f.awaitRunning(someRun), "a drain stops no run")
}

// lossyEndpoint loses each start, after a call of onStart.
type lossyEndpoint struct {
	*fakeEndpoint
	starts  atomic.Int64
	onStart func()
}

func (e *lossyEndpoint) Start(context.Context, string, StartRequest) (runtable.Answer, error) {
	e.starts.Add(1)
	e.onStart()
	return runtable.Answer{}, errSilent
}

// TestUnansweredStartIsNotRepeatedInADrain guards against a task that begins after a drain,
// because the agent repeats a start that the endpoint has not answered.
func TestUnansweredStartIsNotRepeatedInADrain(t *testing.T) {
	f := newUnregisteredFixture(t)
	lossy := &lossyEndpoint{fakeEndpoint: f.endpoint, onStart: func() { f.agent.Standby(nil, drainsOf(4, "east")) }}
	f.agent.opts.Endpoint = lossy
	f.agent.Register(Registration{Incarnation: someIncarnation})
	f.fakeScheduler = f.connectLeader(7)
	f.orderRun(someRun)
	report := awaitMessage[*mesh.Report](f, f.fakeScheduler)
	assert.Equal(t, len(report.Refused), 1)
	assert.Equal(t, report.Refused[0].Reason, placement.RefusedUnanswered, "the call may have been carried out until the stop was answered")
	time.Sleep(callTimeout)
	assert.Equal(t, lossy.starts.Load(), int64(1))
}
