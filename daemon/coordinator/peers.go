package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/link"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
)

const (
	// dialTimeout bounds the dial of another control VM. The round trip between VMs
	// takes at most a few milliseconds.
	dialTimeout = 250 * time.Millisecond
	// peerPingInterval is the time between pings to another control VM, and
	// peerTimeout the time without an answer after which the connection is closed.
	peerPingInterval = 200 * time.Millisecond
	peerTimeout      = 600 * time.Millisecond
)

// peerTransport sends Raft messages over one connection to each other control VM.
// It implements consensus.Transport.
type peerTransport struct {
	self raft.Server
	vm   string
	log  *events.Log

	mu     sync.Mutex
	runCtx context.Context
	conns  map[string]*link.Conn
	// goroutines are those that keep the connections alive.
	goroutines conc.WaitGroup
}

func newPeerTransport(self raft.Server, vm string, log *events.Log) *peerTransport {
	return &peerTransport{
		self:  self,
		vm:    vm,
		log:   log,
		conns: map[string]*link.Conn{},
	}
}

// Run waits until ctx ends, then closes all connections.
func (t *peerTransport) Run(ctx context.Context) error {
	t.mu.Lock()
	t.runCtx = ctx
	t.mu.Unlock()
	<-ctx.Done()
	t.mu.Lock()
	for _, c := range t.conns {
		c.Close()
	}
	t.mu.Unlock()
	t.goroutines.Wait()
	return nil
}

// Send implements consensus.Transport.
func (t *peerTransport) Send(ctx context.Context, address string, messages []raft.Message) error {
	c, err := t.connect(ctx, address)
	if err != nil {
		return err
	}
	c.Send(&mesh.RaftMessages{Messages: messages})
	return nil
}

func (t *peerTransport) openConn(address string) *link.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.conns[address]
	if c == nil {
		return nil
	}
	select {
	case <-c.Closed():
		return nil
	default:
		return c
	}
}

// connect returns the open connection to an address, or dials a new one.
func (t *peerTransport) connect(ctx context.Context, address string) (*link.Conn, error) {
	if c := t.openConn(address); c != nil {
		return c, nil
	}
	c, err := link.Dial(ctx, address, dialTimeout)
	if err != nil {
		return nil, err
	}
	c.Send(&mesh.Hello{Role: mesh.RoleControl, VM: t.vm, Server: &t.self})
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.conns[address]; old != nil {
		old.Close()
	}
	t.conns[address] = c
	if t.runCtx == nil || t.runCtx.Err() != nil {
		return c, nil
	}
	base := t.runCtx
	t.goroutines.Go(func() {
		_ = supervisor.CatchPanic(t.log, "coordinator/peers/"+address, func() error { return keepAlive(base, c) })
	})
	return c, nil
}

// keepAlive pings the peer, and closes the connection when no answer comes within
// peerTimeout. Otherwise a dead connection could stay open indefinitely although a
// new one would work.
func keepAlive(ctx context.Context, c *link.Conn) error {
	defer c.Close()
	for ctx.Err() == nil {
		c.Send(&mesh.Ping{})
		if _, err := c.Receive(peerTimeout); err != nil {
			return nil // the next message opens another connection
		}
		select {
		case <-ctx.Done():
		case <-c.Closed():
			return nil
		case <-time.After(peerPingInterval):
		}
	}
	return nil
}
