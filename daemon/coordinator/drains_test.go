package coordinator

import (
	"context"
	"net"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/link"
)

// dataCentres are those in the settings of a cluster.
var dataCentres = []string{"east", "west"}

// drain sends an order to one control VM until it is confirmed, and checks the answer.
func (c *cluster) drain(i int, dataCentre string, drained bool, want ...string) {
	c.Helper()
	var d work.DataCentreDrains
	c.eventually("the order is confirmed", func() bool {
		var err error
		d, err = c.managers[i].Drain(context.Background(), dataCentre, drained)
		assert.Assert(c, !errors.Is(err, ErrUnknownDataCentre))
		return err == nil
	})
	assert.DeepEqual(c, append([]string{}, d.DataCentres...), append([]string{}, want...))
}

// awaitDrains receives until a control VM announces the given drains.
func (p *peerConn) awaitDrains(want ...string) {
	p.Helper()
	for !slices.Equal(await[*mesh.Drains](p).State.DataCentres, want) {
	}
}

// TestEveryControlVMAnnouncesDrains guards against an entry or agent that does not learn
// of a drain or its withdrawal from each control VM, or learns it only after the first
// Welcome, on which it may already act.
func TestEveryControlVMAnnouncesDrains(t *testing.T) {
	c := newCluster(t, 3)
	c.leader()
	connect := func(i int, role mesh.Role) *peerConn {
		p := c.dial(i, &mesh.Hello{Role: role, VM: "vm-1", Address: "127.0.0.1:1"})
		go link.Ping(t.Context(), p.Conn, 100*time.Millisecond)
		first, err := p.Receive(5 * time.Second)
		assert.NilError(t, err)
		_, announced := first.(*mesh.Drains)
		assert.Assert(t, announced, "first message %T", first)
		return p
	}
	var clients []*peerConn
	for i := range c.managers {
		clients = append(clients, connect(i, mesh.RoleEntry), connect(i, mesh.RoleAgent))
	}
	// Each order goes to a VM that may not have applied the former one yet.
	c.drain(0, "west", true, "west")
	c.drain(1, "east", true, "east", "west")
	c.drain(2, "west", false, "east")
	for _, p := range clients {
		p.awaitDrains("east")
	}
	connect(0, mesh.RoleAgent)
}

// TestDrainsOutliveTheLeader guards against a confirmed drain that is lost with its
// leader, and against an order that is not confirmed again when it is repeated.
func TestDrainsOutliveTheLeader(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.leader()
	other := (leader + 1) % 3
	c.drain(other, "west", true, "west")
	c.cancels[leader]()
	c.drain(other, "west", true, "west")
	c.drain(other, "west", false)
	c.drain(other, "west", false)
}

// TestDelayedOrderIsRejected guards against an order that is delayed between two control
// VMs and drains a data centre again after the withdrawal.
func TestDelayedOrderIsRejected(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.leader()
	c.drain(leader, "west", true, "west")
	c.drain(leader, "west", false)
	delayed := &mesh.OperatorRequest{Drain: &ledger.DrainCommand{DataCentre: "west", Drained: true}}
	var r *mesh.OperatorResponse
	c.eventually("a leader answers", func() bool {
		leader = c.leader()
		follower := c.managers[(leader+1)%3].service.Load()
		if follower == nil {
			return false // it is starting
		}
		var err error
		r, err = follower.peers.call(t.Context(), c.addresses[leader], delayed)
		return err == nil && (r.Done || r.DrainRevision > 0)
	})
	assert.Assert(t, !r.Done, "%+v", r)
	assert.Equal(t, len(r.Drains.DataCentres), 0)
	assert.Assert(t, c.managers[leader].opts.Log.Count(events.DrainRejected) > 0)
	c.drain(leader, "west", false)
}

// TestOutdatedOrderIsGivenUp guards against an order that is forwarded although the
// control VM was suspended for so long that its operator may have given another one.
func TestOutdatedOrderIsGivenUp(t *testing.T) {
	c := newCluster(t, 1)
	c.leader()
	c.drain(0, "west", false)
	ctx := WithArrival(t.Context(), boottime.Now().Add(-operatorTimeout))
	_, err := c.managers[0].Drain(ctx, "west", true)
	assert.Assert(t, errors.Is(err, ErrUnavailable), "%v", err)
	assert.ErrorContains(t, err, "given up")
	c.drain(0, "west", false)
	assert.Equal(t, c.managers[0].opts.Log.Count(events.DataCentreDrained), uint64(0))
}

// TestUnknownDataCentres guards against a misspelt order that is confirmed, and against a
// drained data centre that can't be withdrawn because the settings no longer have it.
func TestUnknownDataCentres(t *testing.T) {
	c := newCluster(t, 1)
	c.leader()
	s := c.managers[0].service.Load()
	s.commit(t, ledger.Command{Drain: &ledger.DrainCommand{DataCentre: "former", Drained: true}})
	for _, name := range []string{"wets", ""} {
		for _, drained := range []bool{true, false} {
			_, err := c.managers[0].Drain(t.Context(), name, drained)
			assert.Assert(t, errors.Is(err, ErrUnknownDataCentre), "%q: %v", name, err)
		}
	}
	c.drain(0, "former", true, "former")
	c.drain(0, "former", false)
	c.drain(0, "former", false)
	_, err := c.managers[0].Drain(t.Context(), "former", true)
	assert.Assert(t, errors.Is(err, ErrUnknownDataCentre), "%v", err)
}

// TestLastDataCentreIsReported guards against an operator who drains the last data centre
// and is not told why no task starts.
func TestLastDataCentreIsReported(t *testing.T) {
	c := newCluster(t, 1)
	c.leader()
	c.drain(0, "west", true, "west")
	assert.Equal(t, c.managers[0].opts.Log.Count(events.NoDataCentreLeft), uint64(0))
	c.drain(0, "east", true, "east", "west")
	assert.Equal(t, c.managers[0].opts.Log.Count(events.NoDataCentreLeft), uint64(1))
}

// TestFormerLeaderConfirmsNoDrain guards against an order that is confirmed although its
// leader runs former code, which takes it for a request to read and answers that.
func TestFormerLeaderConfirmsNoDrain(t *testing.T) {
	c := newCluster(t, 1)
	c.leader()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		accepted, err := l.Accept()
		if err != nil {
			return
		}
		conn := link.New(accepted)
		defer conn.Close()
		for {
			m, err := conn.Receive(5 * time.Second)
			if err != nil {
				return
			}
			if q, ok := m.(*mesh.OperatorRequest); ok {
				conn.Send(&mesh.OperatorResponse{Sequence: q.Sequence, Done: true, Document: []byte("{}")})
			}
		}
	}()
	order := &mesh.OperatorRequest{Drain: &ledger.DrainCommand{DataCentre: "west", Drained: true}}
	r, err := c.managers[0].service.Load().operateAt(t.Context(), l.Addr().String(), order)
	assert.NilError(t, err)
	assert.Assert(t, !r.Done)
	assert.Equal(t, r.Detail, errFormerLeader.Error())
}

// TestDrainsAreBounded guards against orders for ever new names, which the settings allow without data_centres: all
// records stay, and above 131,072 of them no entry or agent could decode the Drains that begin each connection.
func TestDrainsAreBounded(t *testing.T) {
	c := newClusterOf(t, 1, nil)
	leader := c.managers[c.leader()]
	order := func(n int, drained bool) error {
		_, err := leader.Drain(t.Context(), "dc-"+strconv.Itoa(n), drained)
		return err
	}
	for n := range maxDrainRecords {
		c.eventually("the order is confirmed", func() bool { return order(n, true) == nil })
	}
	err := order(maxDrainRecords, true)
	assert.Assert(t, errors.Is(err, ErrUnknownDataCentre), "%v", err)
	assert.ErrorContains(t, err, "1024 data centres have been named, the most that are recorded")
	assert.NilError(t, order(7, true), "a repeated order")
	assert.NilError(t, order(7, false), "a withdrawal")
	assert.NilError(t, order(7, true), "an order for a known name")
}
