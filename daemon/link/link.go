// Package link carries messages between two processes over one TCP connection.
// Parent: the component that opened or accepted the connection. Children: one
// writer, which writes all queued messages in one batch. Restart rule: none; a
// failed connection is closed and its owner opens another. State: the queued
// messages.
package link

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/daemon/ingress"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
)

const (
	// maxQueuedMessages bounds the messages that wait for the writer. The connection
	// to a peer that falls further behind is closed.
	maxQueuedMessages = 8192
	// defaultQueueBytes bounds the bytes that wait for the writer unless LimitQueue sets another
	// bound.
	defaultQueueBytes = 4 << 20
	// writeTimeout bounds one write. The connection to a peer that reads nothing for
	// this time is closed.
	writeTimeout = time.Second
	// maxWriteBytes is the size from which encoded messages are written before
	// further ones are encoded.
	maxWriteBytes = 64 << 10
	// maxRetainedBytes is the size up to which the buffer of encoded messages is kept
	// for the next batch.
	maxRetainedBytes = 4 << 10
	// maxRetainedQueue is the number of messages for which a connection keeps memory
	// while its queue is empty.
	maxRetainedQueue = 64
	// bufferBytes is the size of the read buffer.
	bufferBytes = 4 << 10
)

// Conn is a connection. Send and Close are safe for concurrent use; Receive may be
// called by one goroutine at a time.
type Conn struct {
	conn   net.Conn
	reader *bufio.Reader
	// sentAt and receivedAt are when the latest message was queued and received, as the
	// time since openedAt.
	openedAt           time.Time
	sentAt, receivedAt atomic.Int64
	// failure is why the writer ended, nil if it has not failed.
	failure atomic.Pointer[error]
	// maxBytes bounds a received message, and memory counts what it takes. Only the
	// goroutine that calls Receive uses them.
	maxBytes  int
	memory    ingress.Request
	closed    chan struct{}
	closeOnce sync.Once
	writer    sync.WaitGroup

	mu sync.Mutex
	// queuedBytes is the estimated size of the messages in the queue and of those that the writer has
	// taken and not written, and largestQueued that of the largest one since there was none.
	// queueLimit bounds the bytes beside the largest message, so that a message of any size can
	// be sent, and small ones behind it.
	queuedBytes, largestQueued, queueLimit int
	// queue has the messages that wait for the writer. It is a slice and not a
	// buffered channel, which would take 128 KiB for each of the hundreds of
	// connections of a control VM, most of which never have two messages waiting.
	queue []queuedMessage
	// queued has a buffer of one and wakes the writer.
	queued chan struct{}
}

// queuedMessage is a message with its estimated size.
type queuedMessage struct {
	mesh.Message
	bytes int
}

// New returns a Conn that owns the TCP connection c, and starts its writer.
func New(c net.Conn) *Conn {
	l := &Conn{
		conn:     c,
		reader:   bufio.NewReaderSize(c, bufferBytes),
		maxBytes: mesh.MaxMessageBytes,
		openedAt: time.Now(),
		closed:   make(chan struct{}),

		queueLimit: defaultQueueBytes,
		queued:     make(chan struct{}, 1),
	}
	l.writer.Go(func() {
		defer l.Close()
		if err := supervisor.CatchPanic(nil, "", l.write); err != nil {
			l.failure.Store(&err) // the owner gets it from Receive
		}
	})
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

// LimitQueue bounds the bytes that wait for the writer, beside the largest message; 0 for the
// default.
func (l *Conn) LimitQueue(bytes int) {
	if bytes == 0 {
		bytes = defaultQueueBytes
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queueLimit = bytes
}

// Send queues a message without blocking. If the queue is full, it closes the
// connection.
func (l *Conn) Send(m mesh.Message) {
	l.sentAt.Store(int64(time.Since(l.openedAt)))
	size := mesh.SizeEstimate(m)
	l.mu.Lock()
	largest := max(l.largestQueued, size)
	full := len(l.queue) >= maxQueuedMessages || l.queuedBytes+size-largest > l.queueLimit
	if !full {
		l.queue = append(l.queue, queuedMessage{m, size})
		l.queuedBytes += size
		l.largestQueued = largest
	}
	l.mu.Unlock()
	if full {
		l.Close()
		return
	}
	select {
	case l.queued <- struct{}{}:
	default:
	}
}

// takeQueue returns the queued messages and empties the queue, which then uses the
// memory of spare.
func (l *Conn) takeQueue(spare []queuedMessage) []queuedMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := l.queue
	l.queue = spare[:0]
	return batch
}

// written gives back the bytes of messages that have been written.
func (l *Conn) written(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queuedBytes -= bytes
	if l.queuedBytes == 0 {
		l.largestQueued = 0
	}
}

// LimitMessages bounds the size of the messages that Receive returns from now on. A
// larger message fails the connection.
func (l *Conn) LimitMessages(bytes int) { l.maxBytes = bytes }

// Receive returns the next message, or fails if none arrives within timeout.
func (l *Conn) Receive(timeout time.Duration) (mesh.Message, error) {
	if err := l.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, errors.Wrap(err, "set read deadline")
	}
	m, err := mesh.Read(l.reader, l.maxBytes, l.memory.Grow)
	l.memory.EndMessage()
	if failure := l.failure.Load(); err != nil && failure != nil {
		return nil, errors.Wrap(*failure, "write")
	}
	if err == nil {
		l.receivedAt.Store(int64(time.Since(l.openedAt)))
	}
	return m, err
}

// quiet reports whether the connection needs a ping, which is checked once in each
// interval: nothing has arrived within the last half of it, or nothing has been sent in
// it, so that the peer might take this end for lost. The answer to the last ping arrived
// nearly an interval ago, so that an idle connection gets a ping in each.
func (l *Conn) quiet(interval time.Duration) bool {
	now := time.Since(l.openedAt)
	return now-time.Duration(l.receivedAt.Load()) >= interval/2 || now-time.Duration(l.sentAt.Load()) >= interval
}

// HeardWithin reports whether a message has arrived within the last d.
func (l *Conn) HeardWithin(d time.Duration) bool {
	received := l.receivedAt.Load()
	return received > 0 && time.Since(l.openedAt)-time.Duration(received) <= d
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

// write sends queued messages until the connection is closed or fails.
func (l *Conn) write() error {
	var buffer bytes.Buffer
	var batch []queuedMessage
	for {
		select {
		case <-l.closed:
			return nil
		case <-l.queued:
		}
		batch = l.takeQueue(batch)
		if err := l.writeBatch(&buffer, batch); err != nil {
			return err
		}
		if buffer.Cap() > maxRetainedBytes {
			buffer = bytes.Buffer{}
		}
		if cap(batch) > maxRetainedQueue {
			batch = nil
		}
	}
}

// writeBatch writes messages in as few writes as possible.
func (l *Conn) writeBatch(buffer *bytes.Buffer, batch []queuedMessage) error {
	waiting := 0
	for i, m := range batch {
		if err := mesh.Encode(buffer, m.Message); err != nil {
			return err
		}
		waiting += m.bytes
		batch[i] = queuedMessage{} // only its encoded form is needed from here on
		if buffer.Len() < maxWriteBytes && i < len(batch)-1 {
			continue
		}
		if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := buffer.WriteTo(l.conn); err != nil {
			return err
		}
		l.written(waiting)
		waiting = 0
	}
	return nil
}
