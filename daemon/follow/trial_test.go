package follow

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/daemon/link"
)

// agent is a follower whose connections the test opens. Time is virtual.
type agent struct {
	*testing.T
	*Follower
	ctx context.Context
	// served receives the entry of each connection that is served, empty for a direct one.
	served chan string
}

func testAgent(t *testing.T, test func(a *agent)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		a := &agent{T: t, ctx: ctx, served: make(chan string, 100)}
		a.Follower = New(Options{Hello: &mesh.Hello{Role: mesh.RoleAgent, VM: "agent-1"}, Log: testLog(), Serve: func(ctx context.Context, l *Leader) error {
			defer context.AfterFunc(ctx, l.Close)()
			a.served <- l.RelayedBy
			for {
				if _, err := l.Receive(); err != nil {
					return err
				}
			}
		}})
		test(a)
	})
}

// connection is a connection to the leader of term 1, which the test plays. ended receives the
// result of ServeRelayed.
type connection struct {
	leader *link.Conn
	ended  chan error
	// silent is set for a leader that answers no pings.
	silent atomic.Bool
}

// connect opens a connection, which entry relays unless it is empty.
func (a *agent) connect(entry string) *connection {
	near, far := net.Pipe()
	c := &connection{leader: link.New(far), ended: make(chan error, 1)}
	go func() {
		defer c.leader.Close()
		for {
			m, err := c.leader.Receive(time.Hour)
			if err != nil {
				return
			}
			switch m.(type) {
			case *mesh.Hello, *mesh.NewSession:
				c.leader.Send(&mesh.Welcome{Leading: true, Term: 1})
			case *mesh.Ping:
				if !c.silent.Load() {
					c.leader.Send(&mesh.Pong{})
				}
			}
		}
	}()
	go func() {
		conn := link.New(near)
		defer conn.Close()
		defer context.AfterFunc(a.ctx, conn.Close)()
		if entry != "" {
			c.ended <- a.ServeRelayed(a.ctx, conn, entry)
			return
		}
		a.handleConn(a.ctx, &Leader{Conn: conn, follower: a.Follower}, a.opts.Hello)
	}()
	return c
}

// assertServed checks which connections have been served since the last check.
func (a *agent) assertServed(entries ...string) {
	a.Helper()
	synctest.Wait()
	assert.Equal(a, len(a.served), len(entries))
	for _, entry := range entries {
		assert.Equal(a, <-a.served, entry)
	}
}

// TestRelayIsRefusedWhileConnected guards against a relay that ends a direct connection
// which works.
func TestRelayIsRefusedWhileConnected(t *testing.T) {
	testAgent(t, func(a *agent) {
		direct := a.connect("")
		a.assertServed("")
		time.Sleep(time.Second)
		assert.Equal(t, <-a.connect("e1").ended, ErrConnected)
		direct.leader.Close()
		a.assertServed()
		relayed := a.connect("e1")
		a.assertServed("e1")
		time.Sleep(time.Second)
		assert.Equal(t, <-a.connect("e2").ended, ErrConnected)
		relayed.leader.Send(&mesh.Welcome{})
		time.Sleep(relayedStandbyTimeout + standbyPingInterval)
		assert.NilError(t, <-relayed.ended, "its control VM leads no longer")
	})
}

// TestDirectConnectionReplacesRelayed guards against an agent that stays relayed, or that is
// without a leader when the relay ends.
func TestDirectConnectionReplacesRelayed(t *testing.T) {
	testAgent(t, func(a *agent) {
		relayed := a.connect("e1")
		a.assertServed("e1")
		a.connect("")
		time.Sleep(minTrialTime - 50*time.Millisecond)
		a.assertServed()
		time.Sleep(200 * time.Millisecond)
		a.assertServed("")
		assert.NilError(t, <-relayed.ended)
	})
	testAgent(t, func(a *agent) {
		relayed := a.connect("e1")
		a.assertServed("e1")
		a.connect("")
		synctest.Wait()
		relayed.leader.Close()
		a.assertServed("")
	})
	testAgent(t, func(a *agent) {
		relayed := a.connect("e1")
		a.assertServed("e1")
		a.connect("")
		synctest.Wait()
		relayed.silent.Store(true)
		time.Sleep(300 * time.Millisecond)
		a.connect("e2")
		a.assertServed("e2")
		time.Sleep(minTrialTime + leaderPingInterval)
		a.assertServed("")
	})
}

// TestUnsteadyConnections guards against an agent that changes between relayed and direct
// connections because the network fails again and again.
func TestUnsteadyConnections(t *testing.T) {
	testAgent(t, func(a *agent) {
		a.connect("e1")
		a.assertServed("e1")
		for range 100 {
			direct := a.connect("")
			time.Sleep(900 * time.Millisecond)
			direct.leader.Close()
			time.Sleep(400 * time.Millisecond)
		}
		a.assertServed()
	})
	testAgent(t, func(a *agent) {
		changes := 0
		a.connect("e1")
		a.assertServed("e1")
		for range 100 { // each direct connection holds for 10 s
			direct := a.connect("")
			time.Sleep(10 * time.Second)
			direct.leader.Close()
			synctest.Wait()
			if len(a.served) == 0 {
				continue
			}
			changes++
			a.assertServed("")
			a.connect("e1")
			a.assertServed("e1")
		}
		assert.Equal(t, changes, 4, "after 1, 2, 4 and 8 s")
	})
}
