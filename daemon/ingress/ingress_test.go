package ingress

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/intake"
)

// newTestGate returns a gate with short time limits and room for two bodies of limit bytes.
func newTestGate() *Gate {
	return New(Options{
		Name: "test",
		Limits: intake.Limits{
			Connections: 8, ClientConnections: 8, Bytes: 60 << 10, ClientBytes: 60 << 10, ReservedBytes: 20 << 10, SmallBytes: 4 << 10,
			StalledAfter: 30 * time.Millisecond,
		},
		HeaderTimeout: 100 * time.Millisecond, IdleTimeout: time.Second, BodyStallTimeout: 300 * time.Millisecond,
		BodyTimeout: time.Second, WaitTimeout: 200 * time.Millisecond, WriteTimeout: 100 * time.Millisecond, ReceiveBytes: 8 << 10,
	})
}

const testLimit = 32 << 10

// serve serves a listener with a handler that reads each body, unless the method is GET.
func serve(t testing.TB, g *Gate, l net.Listener) {
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := Begin(w, r)
		defer q.End()
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, strings.Repeat("x", 16<<10))
			return
		}
		_, err := q.ReadBody(r, testLimit)
		switch {
		case errors.Is(err, ErrBusy), errors.Is(err, ErrSlow):
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		}
	})}
	g.Configure(srv)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = srv.Serve(g.Listener(l))
	}()
	t.Cleanup(func() {
		_ = srv.Close()
		<-stopped
	})
}

func (g *Gate) use() (connections int, held int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Connections(), g.table.Held()
}

// waitEmpty waits until nothing is counted.
func waitEmpty(t testing.TB, g *Gate) {
	for range 200 {
		if connections, held := g.use(); connections == 0 && held == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	connections, held := g.use()
	t.Fatalf("%d connections and %d bytes stay counted", connections, held)
}

// TestSlowClients guards against clients that keep memory or a connection by doing nothing: a body, a
// header and an unread body that stop, and answers that are not read. A whole body is served
// although bodies that stop hold all the memory.
func TestSlowClients(t *testing.T) {
	g := newTestGate()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	serve(t, g, l)
	send := func(text string) net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = io.WriteString(c, text)
		return c
	}
	const body = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 32768\r\n\r\n"
	for range 3 {
		send(body + strings.Repeat("x", 17<<10))
	}
	time.Sleep(60 * time.Millisecond) // they stall
	whole := send(body + strings.Repeat("x", 32<<10))
	resp, err := http.ReadResponse(bufio.NewReader(whole), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Assert(t, g.met[limitStalled].Load() > 0)
	_ = whole.Close()
	send(body + "x")
	waitEmpty(t, g)
	assert.Assert(t, g.met[limitSlowBody].Load() > 0)
	send("POST / HTTP/1.1\r\nHost:")
	send("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx")
	unread := send(strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 1000))
	waitEmpty(t, g)
	assert.Assert(t, g.met[limitSlowHeader].Load() > 0 && g.met[limitSlowAnswer].Load() > 0)
	_ = unread.Close()
}

// pipeListener accepts one connection.
type pipeListener struct{ conns chan net.Conn }

func (*pipeListener) Close() error   { return nil }
func (*pipeListener) Addr() net.Addr { return nil }

func (l *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, os.ErrClosed
	}
	return c, nil
}

// FuzzReadBody guards against bytes or connections that stay counted after requests of any form,
// which end anywhere.
func FuzzReadBody(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcdePOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab"))
	f.Add([]byte("PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n1\r\nx\r\n0\r\n\r\n"))
	f.Add([]byte("PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n" + strings.Repeat("x", 40000)))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 99999999\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		g := newTestGate()
		near, far := net.Pipe()
		l := &pipeListener{conns: make(chan net.Conn, 1)}
		l.conns <- far
		close(l.conns)
		serve(t, g, l)
		go func() { _, _ = io.Copy(io.Discard, near) }()
		_ = near.SetDeadline(time.Now().Add(time.Second))
		_, _ = near.Write(data)
		_ = near.Close()
		waitEmpty(t, g)
	})
}
