package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
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
	// queueBytes bounds the bytes that wait to be sent on a connection; 0 for the default.
	queueBytes int
	log        *events.Log

	// onMembers is called with a leader's answers to requests to leave the group.
	onMembers func(*mesh.Members)

	// running is closed when Run has set runCtx.
	running chan struct{}

	mu     sync.Mutex
	runCtx context.Context
	conns  map[string]*link.Conn
	// lastCall is the sequence number of the latest call, and calls has those that
	// wait for an answer.
	lastCall uint64
	calls    map[uint64]chan *mesh.OperatorResponse
	// goroutines are those that read the connections and keep them alive.
	goroutines conc.WaitGroup
}

func newPeerTransport(self raft.Server, vm string, queueBytes int, log *events.Log) *peerTransport {
	return &peerTransport{
		self:       self,
		vm:         vm,
		queueBytes: queueBytes,
		log:        log,
		running:    make(chan struct{}),
		conns:      map[string]*link.Conn{},
		calls:      map[uint64]chan *mesh.OperatorResponse{},
	}
}

// Run waits until ctx ends, then closes all connections.
func (t *peerTransport) Run(ctx context.Context) error {
	t.mu.Lock()
	t.runCtx = ctx
	t.mu.Unlock()
	close(t.running)
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

// call sends an operator's request to another control VM and returns its answer. It
// fails if the connection or ctx ends before the answer arrives.
func (t *peerTransport) call(ctx context.Context, address string, q *mesh.OperatorRequest) (*mesh.OperatorResponse, error) {
	c, err := t.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	sent := *q
	waiter := make(chan *mesh.OperatorResponse, 1)
	t.mu.Lock()
	t.lastCall++
	sent.Sequence = t.lastCall
	t.calls[sent.Sequence] = waiter
	t.mu.Unlock()
	defer t.removeCall(sent.Sequence)
	c.Send(&sent)
	select {
	case r := <-waiter:
		return r, nil
	case <-c.Closed():
		return nil, errors.Newf("the connection to %s ended before the answer", address)
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "answer of %s", address)
	}
}

func (t *peerTransport) removeCall(sequence uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.calls, sequence)
}

// deliver passes an answer to the call that waits for it, if there is one.
func (t *peerTransport) deliver(r *mesh.OperatorResponse) {
	t.mu.Lock()
	waiter := t.calls[r.Sequence]
	delete(t.calls, r.Sequence)
	t.mu.Unlock()
	if waiter != nil {
		waiter <- r // buffered for the only answer
	}
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

// connect returns the open connection to an address, or dials a new one. It waits
// until Run has begun, which reads the connections and closes them.
func (t *peerTransport) connect(ctx context.Context, address string) (*link.Conn, error) {
	select {
	case <-t.running:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if c := t.openConn(address); c != nil {
		return c, nil
	}
	c, err := link.Dial(ctx, address, dialTimeout)
	if err != nil {
		return nil, err
	}
	// A VM that catches up gets many appends at once, and their data is that of the log, so that the
	// queue takes little memory of its own.
	c.LimitQueue(max(t.queueBytes, mesh.MaxMessageBytes))
	c.Send(&mesh.Hello{Role: mesh.RoleControl, VM: t.vm, Server: &t.self})
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.conns[address]; old != nil {
		old.Close()
	}
	t.conns[address] = c
	if t.runCtx.Err() != nil {
		c.Close()
		return nil, t.runCtx.Err()
	}
	base := t.runCtx
	t.goroutines.Go(func() {
		_ = supervisor.CatchPanic(t.log, "coordinator/peers/"+address, func() error { return t.readConn(base, c) }) // reported
	})
	return c, nil
}

// readConn reads the answers of a peer, and closes the connection when none comes
// within peerTimeout. Otherwise a dead connection could stay open indefinitely
// although a new one would work.
func (t *peerTransport) readConn(ctx context.Context, c *link.Conn) error {
	defer c.Close()
	go link.Ping(ctx, c, peerPingInterval)
	for ctx.Err() == nil {
		m, err := c.Receive(peerTimeout)
		if err != nil {
			return nil // the next message opens another connection
		}
		switch m := m.(type) {
		case *mesh.OperatorResponse:
			t.deliver(m)
		case *mesh.Members:
			t.onMembers(m)
		}
	}
	return nil
}
