package transport

import (
	"context"
	"net"
	"sync"
	"time"
)

// Delayed adds a one-way delay to everything that passes through connections
// of another network, in both directions. Experiments use it to model links.
type Delayed struct {
	Network
	OneWay time.Duration
}

// Dial implements Network. The connection's set-up takes one round trip.
func (d Delayed) Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := d.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * d.OneWay)
	return newDelayedConn(c, d.OneWay), nil
}

// delayedConn delays what is written and what is read. Each direction has one
// goroutine that forwards chunks when they are due.
type delayedConn struct {
	net.Conn
	oneWay time.Duration
	out    chan chunk
	in     net.Conn
	once   sync.Once
	closed chan struct{}
}

type chunk struct {
	data []byte
	due  time.Time
}

// chunkQueue bounds the chunks under way in each direction.
const chunkQueue = 1024

// readBuffer is the size of one read from the real connection, in bytes.
const readBuffer = 32 << 10

func newDelayedConn(c net.Conn, oneWay time.Duration) *delayedConn {
	near, far := net.Pipe()
	d := &delayedConn{
		Conn:   c,
		oneWay: oneWay,
		out:    make(chan chunk, chunkQueue),
		in:     near,
		closed: make(chan struct{}),
	}
	arrivals := make(chan chunk, chunkQueue)
	go d.receive(arrivals)
	go d.forward(arrivals, far, func() { far.Close() })
	go d.forward(d.out, c, func() { c.Close() })
	return d
}

// receive reads from the real connection and stamps what arrives.
func (d *delayedConn) receive(arrivals chan<- chunk) {
	defer close(arrivals)
	for {
		buf := make([]byte, readBuffer)
		n, err := d.Conn.Read(buf)
		if n > 0 && !d.enqueue(arrivals, buf[:n]) {
			return
		}
		if err != nil {
			return
		}
	}
}

func (d *delayedConn) enqueue(queue chan<- chunk, data []byte) bool {
	select {
	case queue <- chunk{data: data, due: time.Now().Add(d.oneWay)}:
		return true
	case <-d.closed:
		return false
	}
}

// forward writes each chunk when it is due. After Close it still writes what
// was queued before.
func (d *delayedConn) forward(queue <-chan chunk, to net.Conn, onEnd func()) {
	defer onEnd()
	for {
		select {
		case c, ok := <-queue:
			if !ok || !deliver(c, to) {
				return
			}
		case <-d.closed:
			flush(queue, to)
			return
		}
	}
}

func deliver(c chunk, to net.Conn) bool {
	time.Sleep(time.Until(c.due))
	_, err := to.Write(c.data)
	return err == nil
}

func flush(queue <-chan chunk, to net.Conn) {
	for {
		select {
		case c, ok := <-queue:
			if !ok || !deliver(c, to) {
				return
			}
		default:
			return
		}
	}
}

// Read implements net.Conn.
func (d *delayedConn) Read(p []byte) (int, error) { return d.in.Read(p) }

// Write implements net.Conn. It returns before the data is on its way.
func (d *delayedConn) Write(p []byte) (int, error) {
	data := append([]byte(nil), p...)
	if !d.enqueue(d.out, data) {
		return 0, net.ErrClosed
	}
	return len(p), nil
}

// Close implements net.Conn. The real connection closes after the last queued write.
func (d *delayedConn) Close() error {
	d.once.Do(func() {
		close(d.closed)
		d.in.Close()
	})
	return nil
}

// SetDeadline implements net.Conn for the reading side.
func (d *delayedConn) SetDeadline(t time.Time) error { return d.in.SetDeadline(t) }

// SetReadDeadline implements net.Conn.
func (d *delayedConn) SetReadDeadline(t time.Time) error { return d.in.SetReadDeadline(t) }
