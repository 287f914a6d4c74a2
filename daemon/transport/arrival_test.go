package transport

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTimeSinceData guards against a request that counts as new although its data has
// waited in the kernel, as while its process was suspended.
func TestTimeSinceData(t *testing.T) {
	const delay = 200 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	client, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer client.Close()
	_, err = client.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\n\r\n"))
	assert.NilError(t, err)
	time.Sleep(delay)
	waited := make(chan time.Duration, 1)
	s := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		waited <- TimeSinceData(r.Context())
	})}
	KeepConns(s)
	go func() { _ = s.Serve(l) }() // ends with Close
	defer s.Close()
	got := <-waited
	assert.Assert(t, got >= delay/2, "%s", got) // the kernel counts in steps of some milliseconds
	assert.Equal(t, TimeSinceData(context.Background()), time.Duration(0))
}
