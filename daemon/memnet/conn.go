package memnet

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// chunkBytes is the size of one read from a sender.
	chunkBytes = 32 << 10
	// queueChunks bounds the chunks under way in one direction.
	queueChunks = 256
)

// conn is a connection between two hosts: a pipe at each end and a forwarder
// in each direction that delays what passes, or drops it once silent.
type conn struct {
	network *Network
	pair    pair
	silent  atomic.Bool
	once    sync.Once
	done    chan struct{}
	ends    [2]net.Conn
}

type chunk struct {
	data []byte
	due  time.Time
}

// connect returns the two ends of a new connection.
func (n *Network) connect(from, to string) (near, far net.Conn) {
	nearOuter, nearInner := net.Pipe()
	farOuter, farInner := net.Pipe()
	c := &conn{network: n, pair: pairOf(from, to), done: make(chan struct{}), ends: [2]net.Conn{nearInner, farInner}}
	n.mu.Lock()
	n.conns[c] = struct{}{}
	n.mu.Unlock()
	c.forward(nearInner, farInner)
	c.forward(farInner, nearInner)
	return nearOuter, farOuter
}

// forward starts the two goroutines of one direction.
func (c *conn) forward(from, to net.Conn) {
	queue := make(chan chunk, queueChunks)
	go c.receive(from, queue)
	go c.deliver(queue, to)
}

// receive takes what an end wrote. It never blocks on a silent connection, as
// a sender's kernel would not for a while.
func (c *conn) receive(from net.Conn, queue chan<- chunk) {
	defer close(queue)
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		if n > 0 && !c.silent.Load() {
			select {
			case queue <- chunk{data: buf[:n], due: time.Now().Add(c.network.oneWay)}:
			case <-c.done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// deliver hands chunks over when they are due. The end of a silent connection
// is not seen by the other side.
func (c *conn) deliver(queue <-chan chunk, to net.Conn) {
	for ch := range queue {
		if wait := time.Until(ch.due); wait > 0 {
			c.network.sleep(wait)
		}
		if c.silent.Load() {
			continue
		}
		if _, err := to.Write(ch.data); err != nil {
			break
		}
	}
	if c.silent.Load() {
		return
	}
	c.reset()
}

// reset ends the connection on both sides.
func (c *conn) reset() {
	c.once.Do(func() {
		close(c.done)
		c.ends[0].Close()
		c.ends[1].Close()
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
		delete(c.network.conns, c)
	})
}
