package transport

import (
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// defaultQueueBytes bounds the bytes that wait to be sent to one process unless ClientOptions set
// another bound.
const defaultQueueBytes = 4 << 20

// errQueueFull is returned for a request of which nothing has been sent.
var errQueueFull = errors.New("too many bytes wait to be sent to this process")

// queueTransport bounds the bytes of requests that wait to be sent to one process. A process that
// reads nothing could otherwise hold a body for each of thousands of streams, for the second until its
// connection is closed.
type queueTransport struct {
	countingTransport
	limit int64

	mu sync.Mutex
	// queues has the bytes that wait, by address, of the addresses for which there are some.
	queues map[string]queue
}

// queue is what waits for one address.
type queue struct {
	// bytes is the size of the bodies that have not been sent, and largest that of the largest one
	// since there was none. The bound is for the bytes beside it, so that a request of any size
	// can be sent.
	bytes, largest int64
}

// RoundTrip implements http.RoundTripper.
func (t *queueTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body == nil || r.ContentLength <= 0 {
		return t.countingTransport.RoundTrip(r)
	}
	if !t.add(r.URL.Host, r.ContentLength) {
		_ = r.Body.Close() // nothing has been read
		return nil, errQueueFull
	}
	sent := sync.OnceFunc(func() { t.remove(r.URL.Host, r.ContentLength) })
	defer sent()
	// The client closes the body only with the answer, which may take long.
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { sent() }})
	return t.countingTransport.RoundTrip(r.WithContext(ctx))
}

func (t *queueTransport) add(address string, n int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queues[address]
	q.largest = max(q.largest, n)
	q.bytes += n
	if q.bytes-q.largest > t.limit {
		return false
	}
	t.queues[address] = q
	return true
}

func (t *queueTransport) remove(address string, n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queues[address]
	q.bytes -= n
	if q.bytes == 0 {
		delete(t.queues, address)
		return
	}
	t.queues[address] = q
}
