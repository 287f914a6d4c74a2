// Package ingress bounds what the clients of a listener take: connections, and memory for bodies
// and answers. Parent: the server that owns the listener, whose connections each have their own
// goroutine. Child: Report, which reports the limits that were met. State: the open connections and
// what their requests hold. Package core/intake makes the decisions.
package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadapulley/cicadapulley/core/intake"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// Options configure a Gate.
type Options struct {
	// Name names the listener in metrics and events.
	Name   string
	Limits intake.Limits
	// HeaderTimeout bounds the time for a request's header, and IdleTimeout the time between two
	// requests.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// BodyStallTimeout bounds the time in which nothing of a body arrives, and BodyTimeout the
	// time for all of it.
	BodyStallTimeout time.Duration
	BodyTimeout      time.Duration
	// WaitTimeout bounds how long a request waits for memory.
	WaitTimeout time.Duration
	// WriteTimeout bounds the time in which a client takes nothing of an answer; 0 leaves the
	// deadline to the owner of the connection.
	WriteTimeout time.Duration
	// ReceiveBytes is the kernel's buffer for bytes that have arrived on a connection and are not
	// read. It is outside the process's own memory.
	ReceiveBytes int
}

// limit is a limit that a client may meet.
type limit int

const (
	limitConnections limit = iota
	limitClientConnections
	limitMemory
	limitStalled
	limitSlowHeader
	limitSlowBody
	limitSlowAnswer
	limitStreams
	limitCount
)

var limitNames = [limitCount]string{"connections", "client_connections", "memory", "stalled", "slow_header", "slow_body", "slow_answer", "streams"}

// Gate bounds the clients of one listener.
type Gate struct {
	opts Options
	met  [limitCount]atomic.Uint64
	// reported is what Report has reported of met. Only its goroutine uses it.
	reported [limitCount]uint64

	mu    sync.Mutex
	table *intake.Table
}

// New returns a gate without connections.
func New(o Options) *Gate { return &Gate{opts: o, table: intake.NewTable(o.Limits)} }

// Listener returns a listener whose connections are bounded.
func (g *Gate) Listener(l net.Listener) net.Listener {
	if socket, ok := l.(syscall.Conn); ok && g.opts.ReceiveBytes > 0 {
		// Connections inherit the size. Set on a connection, it would come after the first bytes.
		if raw, err := socket.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, g.opts.ReceiveBytes) // a larger buffer also works
			})
		}
	}
	return &listener{Listener: l, gate: g}
}

// Configure sets the time limits of a server and follows the phases of its connections.
func (g *Gate) Configure(srv *http.Server) {
	srv.ReadHeaderTimeout = g.opts.HeaderTimeout
	srv.IdleTimeout = g.opts.IdleTimeout
	srv.Handler = g.limitStreams(g.limitUnreadBody(srv.Handler))
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, gateConn(c))
	}
	srv.ConnState = func(nc net.Conn, state http.ConnState) {
		c := gateConn(nc)
		if c == nil {
			return
		}
		switch state {
		case http.StateActive:
			c.progress(intake.Serving)
		case http.StateIdle:
			c.progress(intake.Idle)
		}
	}
}

// limitUnreadBody bounds the time for which the server waits for a body that the handler doesn't
// read. Without it, a request with such a body keeps its connection for as long as it likes.
func (g *Gate) limitUnreadBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 && r.ProtoMajor == 1 {
			if c, _ := r.Context().Value(connKey{}).(*conn); c != nil {
				_ = c.SetReadDeadline(time.Now().Add(g.opts.BodyStallTimeout)) // the connection has failed if this does
			}
		}
		next.ServeHTTP(w, r)
	})
}

// limitStreams refuses the requests of HTTP/2 connections that have too many. Each has a goroutine, its
// header and buffers.
func (g *Gate) limitStreams(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if r.ProtoMajor == 1 || c == nil {
			next.ServeHTTP(w, r)
			return
		}
		g.mu.Lock()
		opened := g.table.OpenStream(c.entry)
		g.mu.Unlock()
		if !opened {
			g.meet(limitStreams)
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer func() {
			g.mu.Lock()
			g.table.CloseStream(c.entry)
			g.mu.Unlock()
		}()
		next.ServeHTTP(w, r)
		// Otherwise the server sends a small answer after the handlers have returned, and a stream whose
		// client takes nothing would stay open without being counted.
		stream := http.NewResponseController(w)
		if stream.SetWriteDeadline(time.Now().Add(g.opts.WriteTimeout)) == nil {
			_ = stream.Flush() // fails if the stream has ended
		}
	})
}

// gateConn returns the connection that a gate's listener accepted, also below TLS.
func gateConn(nc net.Conn) *conn {
	if t, ok := nc.(interface{ NetConn() net.Conn }); ok {
		nc = t.NetConn()
	}
	c, _ := nc.(*conn)
	return c
}

// meet counts a limit that a client has met.
func (g *Gate) meet(l limit) { g.met[l].Add(1) }

// reportInterval is how often the limits that clients have met are reported.
const reportInterval = 5 * time.Second

// Report reports the limits that clients have met, in one event for each interval, until ctx ends.
func Report(ctx context.Context, log *events.Log, gates ...*Gate) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		var text strings.Builder
		for _, g := range gates {
			g.describeMet(&text)
		}
		if text.Len() > 0 {
			log.Emit(events.Event{ID: events.ClientsLimited, Text: strings.TrimSpace(text.String())})
		}
	}
}

// describeMet writes how often each limit was met since the last call.
func (g *Gate) describeMet(text *strings.Builder) {
	for l := range g.met {
		n := g.met[l].Load()
		if n > g.reported[l] {
			fmt.Fprintf(text, " %s/%s %d", g.opts.Name, limitNames[l], n-g.reported[l])
		}
		g.reported[l] = n
	}
}

// Collectors returns the metrics of several gates.
func Collectors(gates ...*Gate) []prometheus.Collector {
	return []prometheus.Collector{collector(gates)}
}

type collector []*Gate

var (
	limitedDesc     = prometheus.NewDesc("cicadapulley_clients_limited_total", "Connections and requests of clients that met a limit, by listener and limit.", []string{"listener", "limit"}, nil)
	connectionsDesc = prometheus.NewDesc("cicadapulley_client_connections", "Open connections of clients, by listener.", []string{"listener"}, nil)
	heldDesc        = prometheus.NewDesc("cicadapulley_client_bytes", "Memory that is counted for the bodies and answers of open requests, by listener.", []string{"listener"}, nil)
)

// Describe implements prometheus.Collector.
func (c collector) Describe(ch chan<- *prometheus.Desc) {
	ch <- limitedDesc
	ch <- connectionsDesc
	ch <- heldDesc
}

// Collect implements prometheus.Collector.
func (c collector) Collect(ch chan<- prometheus.Metric) {
	for _, g := range c {
		g.mu.Lock()
		connections, held := g.table.Connections(), g.table.Held()
		g.mu.Unlock()
		for l := range g.met {
			ch <- prometheus.MustNewConstMetric(limitedDesc, prometheus.CounterValue, float64(g.met[l].Load()), g.opts.Name, limitNames[l])
		}
		ch <- prometheus.MustNewConstMetric(connectionsDesc, prometheus.GaugeValue, float64(connections), g.opts.Name)
		ch <- prometheus.MustNewConstMetric(heldDesc, prometheus.GaugeValue, float64(held), g.opts.Name)
	}
}

type listener struct {
	net.Listener
	gate *Gate
}

// Accept implements net.Listener. A connection that is over a limit is closed at once.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.admit(nc); c != nil {
			return c, nil
		}
		_ = nc.Close() // nothing has been read from it
	}
}

// admit adds a connection, or returns nil.
func (g *Gate) admit(nc net.Conn) *conn {
	address := nc.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		address = host
	}
	c := &conn{Conn: nc, gate: g}
	g.mu.Lock()
	entry, victim, reason := g.table.Open(address, time.Now())
	if entry != nil {
		entry.Value = c
		c.entry = entry
	}
	g.mu.Unlock()
	switch reason {
	case intake.TooMany:
		g.meet(limitConnections)
	case intake.TooManyOfClient:
		g.meet(limitClientConnections)
	}
	if victim != nil {
		_ = victim.Value.(*conn).Close() // its server goroutine ends with a read error
	}
	if entry == nil {
		return nil
	}
	return c
}

// conn is a connection of a gate.
type conn struct {
	net.Conn
	gate  *Gate
	entry *intake.Conn
	// followsReads is set while each read counts as progress of a body.
	followsReads atomic.Bool
	// received is set once a byte has been received. A balancer may open connections in advance,
	// which are closed like slow ones but not counted.
	received atomic.Bool
}

// SyscallConn implements syscall.Conn, for readers of the socket's options.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection has no socket")
	}
	return raw.SyscallConn()
}

func (c *conn) progress(p intake.Phase) { c.progressAt(p, time.Now()) }

func (c *conn) progressAt(p intake.Phase, now time.Time) {
	c.gate.mu.Lock()
	c.gate.table.Progress(c.entry, p, now)
	c.gate.mu.Unlock()
}

func (c *conn) phase() intake.Phase {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.entry.Phase()
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received.Load() {
		c.received.Store(true)
	}
	if n > 0 && c.followsReads.Load() {
		c.progress(intake.Body)
	}
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && c.received.Load() && c.phase() == intake.Header {
		c.gate.meet(limitSlowHeader)
	}
	return n, err
}

// maxWriteBytes bounds the part of an answer that a client must take within WriteTimeout.
const maxWriteBytes = 64 << 10

// Write implements net.Conn. A client that takes nothing of an answer for WriteTimeout loses its
// connection.
func (c *conn) Write(p []byte) (written int, err error) {
	if c.gate.opts.WriteTimeout == 0 {
		return c.Conn.Write(p)
	}
	before := c.phase()
	defer func() { c.progress(before) }()
	for {
		now := time.Now()
		c.progressAt(intake.Answer, now)
		if err := c.Conn.SetWriteDeadline(now.Add(c.gate.opts.WriteTimeout)); err != nil {
			return written, err
		}
		part := p[written:min(len(p), written+maxWriteBytes)]
		n, err := c.Conn.Write(part)
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.gate.meet(limitSlowAnswer)
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.gate.mu.Lock()
	c.gate.table.Close(c.entry)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}
