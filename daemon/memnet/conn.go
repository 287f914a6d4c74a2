package memnet

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// chunkBytes is the size of one read from a sender.
const chunkBytes = 32 << 10

// conn is a connection between two hosts: a pipe at each end and a forwarder
// in each direction that delays what passes, or drops it once silent.
type conn struct {
	network   *Network
	hosts     hostPair
	silent    atomic.Bool
	resetOnce sync.Once
	done      chan struct{}
	ends      [2]net.Conn
}

type chunk struct {
	data []byte
	due  time.Time
}

// connect returns the two ends of a new connection.
func (n *Network) connect(from, to string) (clientConn, serverConn net.Conn) {
	clientOuter, clientInner := net.Pipe()
	serverOuter, serverInner := net.Pipe()
	c := &conn{network: n, hosts: pairOf(from, to), done: make(chan struct{}), ends: [2]net.Conn{clientInner, serverInner}}
	n.mu.Lock()
	n.conns[c] = struct{}{}
	n.mu.Unlock()
	c.forward(clientInner, serverInner)
	c.forward(serverInner, clientInner)
	return clientOuter, serverOuter
}

// queue holds the chunks under way in one direction. It has no bound: a sender
// that waits for room under a lock of its own would stop a test's virtual time.
type queue struct {
	mu     sync.Mutex
	chunks []chunk
	closed bool
	// ready has room for one signal that there is something to take.
	ready chan struct{}
}

func newQueue() *queue { return &queue{ready: make(chan struct{}, 1)} }

func (q *queue) push(c chunk) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.chunks = append(q.chunks, c)
	q.signal()
}

func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.signal()
}

// signal wakes the receiver. The caller holds mu.
func (q *queue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// take returns all waiting chunks, and false once the queue is closed and empty.
func (q *queue) takeAll() ([]chunk, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.chunks
	q.chunks = nil
	return taken, len(taken) > 0 || !q.closed
}

// forward starts the two goroutines of one direction.
func (c *conn) forward(from, to net.Conn) {
	q := newQueue()
	go c.receive(from, q)
	go c.deliver(q, to)
}

// receive takes what an end wrote, at once, as the sender's kernel would.
func (c *conn) receive(from net.Conn, q *queue) {
	defer q.close()
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 && !c.silent.Load() {
			q.push(chunk{data: bytes.Clone(buf[:n]), due: time.Now().Add(c.network.linkDelay)})
		}
		if err != nil {
			return
		}
	}
}

// deliver hands chunks over when they are due. The end of a silent connection
// is not seen by the other side.
func (c *conn) deliver(q *queue, to net.Conn) {
	for c.deliverQueued(q, to) {
		select {
		case <-q.ready:
		case <-c.done:
			return
		}
	}
	if c.silent.Load() {
		return
	}
	c.reset()
}

// deliverTaken hands over what waits; it reports whether more may come.
func (c *conn) deliverQueued(q *queue, to net.Conn) bool {
	chunks, open := q.takeAll()
	for _, ch := range chunks {
		if wait := time.Until(ch.due); wait > 0 {
			c.network.sleep(wait)
		}
		if c.silent.Load() {
			continue
		}
		if _, err := to.Write(ch.data); err != nil {
			return false
		}
	}
	return open
}

// reset ends the connection on both sides.
func (c *conn) reset() {
	c.resetOnce.Do(func() {
		close(c.done)
		c.ends[0].Close()
		c.ends[1].Close()
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
		delete(c.network.conns, c)
	})
}
