package follow

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/link"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func testLog() *events.Log { return events.NewLog("test", zap.NewNop(), events.NewClock()) }

// fakeControl simulates a control VM.
type fakeControl struct {
	address string
	// conns receives each connection of the follower, closed a value for each
	// connection that ends.
	conns  chan *link.Conn
	closed chan bool
}

func newFakeControl(t *testing.T, welcome *mesh.Welcome) *fakeControl {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c := &fakeControl{address: l.Addr().String(), conns: make(chan *link.Conn, 10), closed: make(chan bool, 10)}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = link.Serve(ctx, l, link.ServeOptions{Name: "control", MaxConnections: 4, Log: testLog()}, func(_ context.Context, conn *link.Conn, _ *mesh.Hello) error {
			conn.Send(welcome)
			c.conns <- conn
			for {
				m, err := conn.Receive(5 * time.Second)
				if err != nil {
					c.closed <- true
					return err
				}
				if _, ok := m.(*mesh.Ping); ok {
					conn.Send(&mesh.Pong{})
				}
			}
		})
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return c
}

func receive[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(5 * time.Second):
		t.Fatalf("timed out waiting for %s", what)
	}
	panic("unreachable")
}

// TestNewMembersAreFollowed guards against clients that can't find a leader because
// its VM joined the group after they connected, and against connections to VMs that
// have left it.
func TestNewMembersAreFollowed(t *testing.T) {
	second := newFakeControl(t, &mesh.Welcome{})
	first := newFakeControl(t, &mesh.Welcome{Leading: true, Term: 1})
	f := New(Options{
		Hello: &mesh.Hello{Role: mesh.RoleEntry}, Addresses: []string{first.address}, Log: testLog(),
		Serve: func(_ context.Context, l *Leader) error {
			for {
				if _, err := l.Receive(); err != nil {
					return err
				}
			}
		},
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	leader := receive(t, "connection to the first VM", first.conns)
	leader.Send(&mesh.Members{Addresses: []string{first.address, second.address}, Leading: true})
	receive(t, "connection to the second VM", second.conns)
	leader.Send(&mesh.Members{Addresses: []string{first.address}, Leading: true})
	receive(t, "end of the connection to the second VM", second.closed)
	select {
	case <-second.conns:
		t.Fatal("a VM that has left the group is connected to again")
	case <-time.After(300 * time.Millisecond):
	}
}
