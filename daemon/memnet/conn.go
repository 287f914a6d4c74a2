package memnet

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// chunkBytes is the size of the buffer for one read from a sender.
const chunkBytes = 32 << 10

// conn is a connection between two hosts: a pipe at each end, and goroutines for
// each direction that delay the data, or drop it once the connection is silent.
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

// connect returns the client's and the server's end of a new connection.
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

// queue holds the chunks in transit in one direction. It is unbounded: a sender
// that waited for space while holding a lock would stop a test's virtual time.
type queue struct {
	mu     sync.Mutex
	chunks []chunk
	closed bool
	// ready has a buffer of one signal, sent after each push and on close.
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

// signal wakes deliver. The caller holds mu.
func (q *queue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// takeAll removes and returns all chunks. It returns false once the queue is
// closed and empty.
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

// receive reads what one end writes without delay, as the sender's kernel would.
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

// deliver writes chunks to the other end when they are due. When a silent
// connection ends, the other end isn't closed.
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

// deliverQueued writes the queued chunks and reports whether more may follow.
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

// reset closes both ends of the connection.
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
