package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/intake"
	"github.com/cicadapulley/cicadapulley/daemon/clientload"
)

// newTestGate returns a gate with short time limits and little memory.
func newTestGate() *Gate {
	return New(Options{
		Name: "test",
		Limits: intake.Limits{
			Connections: 8, ClientConnections: 8, Bytes: 60 << 10, ClientBytes: 60 << 10, ReservedBytes: 20 << 10, SmallBytes: 4 << 10,
			StalledAfter: 30 * time.Millisecond,
		},
		HeaderTimeout: 100 * time.Millisecond, IdleTimeout: time.Second, BodyStallTimeout: time.Second,
		BodyTimeout: 3 * time.Second, WaitTimeout: 200 * time.Millisecond, WriteTimeout: 100 * time.Millisecond, ReceiveBytes: 8 << 10,
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

// waitMet waits until clients have met limits and nothing is counted any more.
func waitMet(t *testing.T, g *Gate, limits ...limit) {
	t.Helper()
	for range 1000 {
		connections, held := g.use()
		unmet := slices.ContainsFunc(limits, func(l limit) bool { return g.met[l].Load() == 0 })
		if !unmet && connections == 0 && held == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	connections, held := g.use()
	t.Fatalf("%d connections and %d bytes stay counted, or a limit of %v was not met", connections, held, limits)
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
	for range 2 {
		send(body + strings.Repeat("x", 10<<10))
	}
	for held := int64(0); held < 2*16<<10; _, held = g.use() {
		time.Sleep(time.Millisecond) // until both have taken a buffer of 16 KiB
	}
	time.Sleep(2 * g.opts.Limits.StalledAfter)
	whole := send(body + strings.Repeat("x", 32<<10))
	resp, err := http.ReadResponse(bufio.NewReader(whole), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	_ = whole.Close()
	waitMet(t, g, limitStalled)
	send(body + "x")
	waitMet(t, g, limitSlowBody)
	send("POST / HTTP/1.1\r\nHost:")
	send("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx")
	send(strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 1000))
	waitMet(t, g, limitSlowHeader, limitSlowAnswer)
}

// TestUnreadStreams guards against HTTP/2 streams that stay open without being counted, since their
// clients take nothing of small answers, and against streams that stay counted for ever.
func TestUnreadStreams(t *testing.T) {
	const streams, requests = 4, 20
	o := newTestGate().opts
	o.Limits.Streams, o.Limits.ClientStreams, o.WriteTimeout = streams, streams, 3*time.Second
	g := New(o)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, strings.Repeat("x", 1<<10)) })}
	srv.Protocols = new(http.Protocols)
	srv.Protocols.SetUnencryptedHTTP2(true)
	g.Configure(srv)
	go func() { _ = srv.Serve(g.Listener(l)) }()
	defer srv.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, clientload.Streams(c, requests, http.MethodGet, "/", "text/plain", nil))
	assert.Equal(t, g.met[limitStreams].Load(), uint64(requests-streams))
	open := func() int {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.table.Streams()
	}
	assert.Equal(t, open(), streams)
	for deadline := time.Now().Add(10 * time.Second); open() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline))
	}
}

// TestMessageCost guards against a message whose decoded form fills the memory, and against a snapshot
// that is refused since it costs more than all messages may hold.
func TestMessageCost(t *testing.T) {
	g := newTestGate()
	near, far := net.Pipe()
	defer near.Close()
	q := BeginMessages(g.admit(far))
	assert.NilError(t, q.Grow(4*60<<10))
	assert.Equal(t, q.Grow(4*60<<10+1), ErrTooLarge)
	q.EndMessage()
	_ = q.conn.Close()
	waitMet(t, g)
}

// FuzzReadBody guards against bytes or connections that stay counted after requests of any form, which
// end anywhere, while others hold up to all of the memory.
func FuzzReadBody(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcdePOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab"), uint16(0), false)
	f.Add([]byte("PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n1\r\nx\r\n0\r\n\r\n"), uint16(60<<10), false)
	f.Add([]byte("PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n"+strings.Repeat("x", 40000)), uint16(1000), true)
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n"+strings.Repeat("x", 20000)), uint16(39000), true)
	f.Fuzz(func(t *testing.T, data []byte, others uint16, closed bool) {
		g := newTestGate()
		g.opts.WaitTimeout = time.Millisecond
		near, far := net.Pipe()
		defer near.Close()
		c, other := g.admit(far), g.admit(near)
		held := Request{conn: other}
		_ = held.Resize(int64(others)) // ErrBusy if it is over the limit
		in := bufio.NewReader(bytes.NewReader(data))
		for range 3 {
			r, err := http.ReadRequest(in)
			if err != nil {
				break
			}
			q := Request{conn: c}
			body, err := q.ReadBody(r, testLimit)
			if err == nil {
				_ = q.Resize(4 * int64(len(body)))
			}
			if closed {
				_ = c.Close()
			}
			q.End()
		}
		held.End()
		_, _ = c.Close(), other.Close()
		if connections, bytes := g.use(); connections != 0 || bytes != 0 {
			t.Fatalf("%d connections and %d bytes stay counted", connections, bytes)
		}
	})
}
