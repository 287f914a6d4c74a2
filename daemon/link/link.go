// Package link carries messages between two processes over one TCP connection.
// Parent: the component that opened or accepted the connection. Children: one
// writer, which writes all queued messages in one batch. Restart rule: none; a
// failed connection is closed and its owner opens another. State: the queued
// messages.
package link

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/mesh"
)

const (
	// maxQueuedMessages bounds the messages that wait for the writer. The connection
	// to a peer that falls further behind is closed.
	maxQueuedMessages = 8192
	// writeTimeout bounds the write of one batch. The connection to a peer that
	// reads nothing for this time is closed.
	writeTimeout = time.Second
	// bufferBytes is the size of the read buffer and of the write buffer.
	bufferBytes = 16 << 10
)

// ErrClosed is returned after the connection has been closed or has failed.
var ErrClosed = errors.New("connection closed")

// Conn is a connection. Send and Close are safe for concurrent use; Receive may be
// called by one goroutine at a time.
type Conn struct {
	conn      net.Conn
	reader    *bufio.Reader
	queue     chan mesh.Message
	closed    chan struct{}
	closeOnce sync.Once
	writer    sync.WaitGroup
}

// New returns a Conn that owns the TCP connection c, and starts its writer.
func New(c net.Conn) *Conn {
	l := &Conn{
		conn:   c,
		reader: bufio.NewReaderSize(c, bufferBytes),
		queue:  make(chan mesh.Message, maxQueuedMessages),
		closed: make(chan struct{}),
	}
	l.writer.Go(l.write)
	return l
}

// Dial opens a connection, or fails after timeout.
func Dial(ctx context.Context, address string, timeout time.Duration) (*Conn, error) {
	d := net.Dialer{Timeout: timeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	return New(c), nil
}

// Remote returns the IP address of the peer.
func (l *Conn) Remote() string {
	host, _, err := net.SplitHostPort(l.conn.RemoteAddr().String())
	if err != nil {
		return l.conn.RemoteAddr().String()
	}
	return host
}

// Send queues a message without blocking. If the queue is full, it closes the
// connection.
func (l *Conn) Send(m mesh.Message) {
	select {
	case l.queue <- m:
	default:
		l.Close()
	}
}

// Receive returns the next message, or fails if none arrives within timeout.
func (l *Conn) Receive(timeout time.Duration) (mesh.Message, error) {
	if err := l.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, errors.Wrap(err, "set read deadline")
	}
	return mesh.Read(l.reader)
}

// Closed returns a channel that is closed when the connection is closed.
func (l *Conn) Closed() <-chan struct{} { return l.closed }

// Close closes the connection at once; queued messages are dropped.
func (l *Conn) Close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		_ = l.conn.Close() // nothing depends on its error
	})
}

// Wait blocks until the writer has returned.
func (l *Conn) Wait() { l.writer.Wait() }

// write sends queued messages until the connection fails.
func (l *Conn) write() {
	defer l.Close()
	w := bufio.NewWriterSize(l.conn, bufferBytes)
	for {
		select {
		case <-l.closed:
			return
		case m := <-l.queue:
			if err := l.writeBatch(w, m); err != nil {
				return // the owner gets the error of its next Receive
			}
		}
	}
}

// writeBatch writes a message and all messages that are queued behind it.
func (l *Conn) writeBatch(w *bufio.Writer, m mesh.Message) error {
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	for {
		data, err := mesh.Encode(m)
		if err != nil {
			return err
		}
		if _, err := w.Write(data); err != nil {
			return err
		}
		select {
		case m = <-l.queue:
		default:
			return w.Flush()
		}
	}
}
