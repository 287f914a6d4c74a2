package transport

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRequestQueueIsBounded guards against a process that keeps the bodies of many requests to one that
// reads nothing, against a bound that refuses a single large request, and against bytes that stay
// counted after the requests have ended.
func TestRequestQueueIsBounded(t *testing.T) {
	const limit, size, requests = 1 << 20, 64 << 10, 100
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer silent.Close()
	client := NewClient(ClientOptions{Network: TCP{}, QueueBytes: limit})
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var refused atomic.Int32
	post := func(size int) {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+silent.Addr().String(), bytes.NewReader(make([]byte, size)))
		assert.Check(t, err)
		resp, err := client.Do(r)
		if err == nil {
			resp.Body.Close()
		}
		if errors.Is(err, errQueueFull) {
			refused.Add(1)
		}
	}
	var open sync.WaitGroup
	open.Go(func() { post(8 * limit) })
	q := client.Transport.(*queueTransport)
	waiting := func() int64 {
		q.mu.Lock()
		defer q.mu.Unlock()
		return q.queues[silent.Addr().String()].bytes
	}
	for waiting() < 8*limit {
		time.Sleep(time.Millisecond)
	}
	for range requests {
		open.Go(func() { post(size) })
	}
	for refused.Load() < requests-limit/size && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, refused.Load(), int32(requests-limit/size))
	assert.Equal(t, waiting(), int64(9*limit))
	cancel()
	open.Wait()
	for deadline := time.Now().Add(5 * time.Second); waiting() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "%d bytes", waiting())
	}
}
