package ingress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cicadapulley/cicadapulley/core/intake"
)

var (
	// ErrBusy is returned when a request finds no memory in time.
	ErrBusy = errors.New("too many requests hold memory")
	// ErrSlow is returned for a body that arrives too slowly.
	ErrSlow = errors.New("the body arrives too slowly")
	// ErrTooLarge is returned for a body or message over the limit.
	ErrTooLarge = errors.New("the body or message is too large")
)

type connKey struct{}

// Request counts the memory that one request holds. The zero value, for a server without a gate,
// counts nothing. Only the request's goroutine uses it.
type Request struct {
	conn *conn
	// stream sets the deadlines of an HTTP/2 stream; nil for HTTP/1.
	stream *http.ResponseController
	held   int64
}

// Begin returns the Request of an HTTP request. The caller must call End.
func Begin(w http.ResponseWriter, r *http.Request) Request {
	q := Request{}
	q.conn, _ = r.Context().Value(connKey{}).(*conn)
	if q.conn != nil && r.ProtoMajor > 1 {
		q.stream = http.NewResponseController(w)
	}
	return q
}

func (q *Request) setReadDeadline(t time.Time) error {
	if q.stream != nil {
		return q.stream.SetReadDeadline(t)
	}
	return q.conn.SetReadDeadline(t)
}

// BeginMessages returns the Request of a connection that carries messages and not HTTP.
func BeginMessages(nc net.Conn) Request { return Request{conn: gateConn(nc)} }

// Established states that the connection's client has said who it is. From now on the connection is
// closed for another only while it receives a large message.
func (q *Request) Established() {
	if q.conn != nil {
		q.conn.progress(intake.Serving)
	}
}

// maxMessageFactor bounds the cost of one message as a multiple of the memory for all. A snapshot may
// cost more than all messages may hold, and is read alone; four times an eighth or a sixth of a
// machine's memory still fits into it.
const maxMessageFactor = 4

// Grow takes memory for a message that is going to use n bytes, as Resize does. Reads count as progress
// until EndMessage.
func (q *Request) Grow(n int) error {
	if q.conn != nil && int64(n) > maxMessageFactor*q.conn.gate.opts.Limits.Bytes {
		return ErrTooLarge
	}
	err := q.Resize(int64(n))
	if q.conn != nil && err == nil {
		q.conn.progress(intake.Body)
		q.conn.followsReads.Store(true)
	}
	return err
}

// EndMessage gives back what a message has taken, after it was read and decoded, or failed.
func (q *Request) EndMessage() {
	if q.conn == nil || q.held == 0 {
		return
	}
	q.conn.followsReads.Store(false)
	q.conn.progress(intake.Serving)
	q.End()
}

// End gives back all that the request holds.
func (q *Request) End() { q.Resize(0) }

// Resize changes what the request holds to n bytes. To hold more, it waits for up to WaitTimeout,
// and then returns ErrBusy. A request that costs more than all requests may hold takes what one
// request can get, so that it is served alone.
func (q *Request) Resize(n int64) error {
	if q.conn == nil {
		return nil
	}
	g := q.conn.gate
	g.mu.Lock()
	n = min(n, g.table.Largest())
	if n <= q.held {
		g.table.Give(q.conn.entry, q.held-n)
		q.held = n
		g.mu.Unlock()
		return nil
	}
	more := n - q.held
	// While the request waits, it is not its client that is slow.
	g.table.Progress(q.conn.entry, intake.Serving, time.Now())
	if g.table.Take(q.conn.entry, more) {
		q.held = n
		g.mu.Unlock()
		return nil
	}
	w := g.table.Wait(q.conn.entry, more)
	g.mu.Unlock()
	if !q.await(w, more) {
		g.meet(limitMemory)
		return ErrBusy
	}
	q.held = n
	return nil
}

// await waits until a request for more bytes is granted, for up to WaitTimeout. Meanwhile it closes
// the slowest connections.
func (q *Request) await(w *intake.Waiter, more int64) (granted bool) {
	g := q.conn.gate
	end := time.Now().Add(g.opts.WaitTimeout)
	for {
		now := time.Now()
		g.mu.Lock()
		victim := g.table.Slowest(q.conn.entry, more, now)
		if now.After(end) {
			defer g.mu.Unlock()
			return !g.table.Cancel(w)
		}
		g.mu.Unlock()
		if victim != nil {
			g.meet(limitStalled)
			_ = victim.Value.(*conn).Close() // its request gives back what it holds
		}
		timer := time.NewTimer(min(g.opts.Limits.StalledAfter, end.Sub(now)+time.Millisecond))
		select {
		case <-w.Granted:
			timer.Stop()
			return true
		case <-timer.C:
		}
	}
}

// Add takes memory for n bytes beside what the request holds, as Resize does.
func (q *Request) Add(n int64) error { return q.Resize(q.held + n) }

// Answer takes memory for an answer, beside what the request holds, and bounds the time for which an
// HTTP/2 stream waits until its client takes size bytes. On HTTP/1 the connection does.
func (q *Request) Answer(memory, size int) error {
	if err := q.Add(int64(memory)); err != nil || q.stream == nil {
		return err
	}
	parts := time.Duration(1 + size/maxWriteBytes)
	return q.stream.SetWriteDeadline(time.Now().Add(parts * q.conn.gate.opts.WriteTimeout))
}

type requestKey struct{}

// Context returns a context with the request. Only the request's goroutine may use it.
func (q *Request) Context(ctx context.Context) context.Context {
	return context.WithValue(ctx, requestKey{}, q)
}

// FromContext returns the request of a context, or one that counts nothing.
func FromContext(ctx context.Context) *Request {
	if q, ok := ctx.Value(requestKey{}).(*Request); ok {
		return q
	}
	return &Request{}
}

// Buffered reads the body of each request, of up to limit bytes, before the next handler, which
// would read it whole with no limit. Body and decoded form stay counted until the request ends.
// decodedBytes returns the memory of the decoded form without the text; a request for which it is
// more than all requests may hold is refused. A request that is refused here has had no effect.
func Buffered(limit int, decodedBytes func(r *http.Request, body []byte) int, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := Begin(w, r)
		defer q.End()
		data, err := q.ReadBody(r, limit)
		if err == nil {
			err = q.holdDecoded(len(data), decodedBytes(r, data))
		}
		switch {
		case err == nil:
			r = r.WithContext(q.Context(r.Context()))
			r.Body = io.NopCloser(bytes.NewReader(data))
			next.ServeHTTP(w, r)
			return
		case errors.Is(err, ErrBusy), errors.Is(err, ErrSlow):
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case errors.Is(err, ErrTooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		default:
			w.WriteHeader(http.StatusBadRequest)
		}
	})
}

// holdDecoded takes memory for a body that the handler copies, whose copy it decodes.
func (q *Request) holdDecoded(bodyBytes, decoded int) error {
	if q.conn != nil && int64(decoded) > q.conn.gate.opts.Limits.Bytes {
		return ErrTooLarge
	}
	return q.Resize(4*int64(bodyBytes) + int64(decoded))
}

const (
	// firstBytes is the buffer for a body of unknown size, and the largest that is allocated for
	// a size which a header promises.
	firstBytes = 4 << 10
	// emptyReads bounds consecutive reads of a body without a byte.
	emptyReads = 100
)

// ReadBody reads a body of up to limit bytes. The memory for it is taken as its bytes arrive. After
// an error, an answer should close the connection, since the client may still be sending.
func (q *Request) ReadBody(r *http.Request, limit int) ([]byte, error) {
	if r.ContentLength > int64(limit) {
		return nil, ErrTooLarge
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	data, err := q.readAll(r, limit)
	if q.conn == nil {
		return data, err
	}
	if err != nil {
		// The rest of the body isn't waited for.
		_ = q.setReadDeadline(time.Unix(1, 0)) // the connection has failed if this does
		if errors.Is(err, os.ErrDeadlineExceeded) {
			q.conn.gate.meet(limitSlowBody)
			err = ErrSlow
		}
	} else if err = q.setReadDeadline(time.Time{}); err == nil {
		q.conn.progress(intake.Serving)
	}
	return data, err
}

// readAll reads a body into a buffer that doubles when it is full.
func (q *Request) readAll(r *http.Request, limit int) ([]byte, error) {
	size := firstBytes
	if r.ContentLength > 0 {
		size = int(min(r.ContentLength, firstBytes))
	}
	if err := q.Resize(int64(size)); err != nil {
		return nil, err
	}
	data := make([]byte, 0, size)
	var end time.Time
	for empty := 0; ; {
		if len(data) == cap(data) {
			if r.ContentLength == int64(len(data)) {
				return data, q.expectEnd(r)
			}
			size = 2 * cap(data)
			if r.ContentLength > 0 {
				size = int(min(int64(size), r.ContentLength))
			}
			size = min(size, limit+1)
			// Both buffers exist while the bytes are copied.
			if err := q.Resize(int64(cap(data) + size)); err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, size), data...)
			_ = q.Resize(int64(size)) // less than before, which never fails
		}
		if err := q.extendDeadline(&end); err != nil {
			return nil, err
		}
		n, err := r.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if len(data) > limit {
			return nil, ErrTooLarge
		}
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
		if empty++; n > 0 {
			empty = 0
		}
		if empty > emptyReads {
			return nil, io.ErrNoProgress
		}
	}
}

// expectEnd reads the end of a body whose last byte has been read, so that the server sees that
// the connection can be used again.
func (q *Request) expectEnd(r *http.Request) error {
	var one [1]byte
	if n, err := r.Body.Read(one[:]); n != 0 || err != io.EOF {
		return errors.Join(io.ErrUnexpectedEOF, err)
	}
	return nil
}

// extendDeadline allows the next bytes of a body to arrive within BodyStallTimeout, but not after
// end, which it sets before the first.
func (q *Request) extendDeadline(end *time.Time) error {
	if q.conn == nil {
		return nil
	}
	now := time.Now()
	if end.IsZero() {
		*end = now.Add(q.conn.gate.opts.BodyTimeout)
	}
	deadline := now.Add(q.conn.gate.opts.BodyStallTimeout)
	if deadline.After(*end) {
		deadline = *end
	}
	if q.stream == nil { // other streams share an HTTP/2 connection, which is not closed for one of them
		q.conn.progressAt(intake.Body, now)
	}
	return q.setReadDeadline(deadline)
}
