package harness

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cicadapulley/cicadapulley/daemon/storage"
	"github.com/cicadapulley/cicadapulley/daemon/transport"
)

var errProcessKilled = errors.New("process was killed")

// gate controls the network and disk access of one incarnation of a process.
// After close, its remaining goroutines can neither send, answer nor write.
type gate struct {
	mu     sync.Mutex
	closed bool
	open   map[io.Closer]struct{}
}

func newGate() *gate { return &gate{open: map[io.Closer]struct{}{}} }

// close closes the incarnation's connections and listeners.
func (g *gate) close() {
	g.mu.Lock()
	g.closed = true
	open := g.open
	g.open = map[io.Closer]struct{}{}
	g.mu.Unlock()
	for c := range open {
		c.Close()
	}
}

func (g *gate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// register records a resource for close, or closes it if the gate is closed.
func (g *gate) register(c io.Closer) error {
	g.mu.Lock()
	if !g.closed {
		g.open[c] = struct{}{}
		g.mu.Unlock()
		return nil
	}
	g.mu.Unlock()
	c.Close()
	return errProcessKilled
}

func (g *gate) unregister(c io.Closer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.open, c)
}

// gatedNetwork is a network that fails once the gate is closed.
type gatedNetwork struct {
	transport.Network
	gate *gate
}

// Dial implements transport.Network.
func (n gatedNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	if n.gate.isClosed() {
		return nil, errProcessKilled
	}
	c, err := n.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return n.gate.wrapConn(c)
}

// Listen implements transport.Network.
func (n gatedNetwork) Listen(ctx context.Context, address string) (net.Listener, error) {
	l, err := n.Network.Listen(ctx, address)
	if err != nil {
		return nil, err
	}
	return gatedListener{l, n.gate}, n.gate.register(l)
}

type gatedListener struct {
	net.Listener
	gate *gate
}

// Accept implements net.Listener.
func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.gate.wrapConn(c)
}

func (g *gate) wrapConn(c net.Conn) (net.Conn, error) {
	gc := &gatedConn{Conn: c, gate: g}
	return gc, g.register(gc)
}

type gatedConn struct {
	net.Conn
	gate *gate
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	if c.gate.isClosed() {
		return 0, errProcessKilled
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	c.gate.unregister(c)
	return c.Conn.Close()
}

// gatedFS is a file system whose changes fail once the gate is closed.
type gatedFS struct {
	storage.FS
	gate *gate
	// delay is the duration of each sync of a file.
	delay time.Duration
}

func (f gatedFS) check() error {
	if f.gate.isClosed() {
		return errProcessKilled
	}
	return nil
}

// Create implements storage.FS.
func (f gatedFS) Create(name string) (storage.File, error) {
	if err := f.check(); err != nil {
		return nil, err
	}
	file, err := f.FS.Create(name)
	return gatedFile{file, f}, err
}

// Rename implements storage.FS.
func (f gatedFS) Rename(from, to string) error {
	if err := f.check(); err != nil {
		return err
	}
	return f.FS.Rename(from, to)
}

// Remove implements storage.FS.
func (f gatedFS) Remove(name string) error {
	if err := f.check(); err != nil {
		return err
	}
	return f.FS.Remove(name)
}

// SyncDir implements storage.FS.
func (f gatedFS) SyncDir(dir string) error {
	if err := f.check(); err != nil {
		return err
	}
	return f.FS.SyncDir(dir)
}

type gatedFile struct {
	storage.File
	fs gatedFS
}

// Write implements storage.File.
func (f gatedFile) Write(p []byte) (int, error) {
	if err := f.fs.check(); err != nil {
		return 0, err
	}
	return f.File.Write(p)
}

// Sync implements storage.File. It fails if the process is killed during the sync.
func (f gatedFile) Sync() error {
	time.Sleep(f.fs.delay)
	if err := f.fs.check(); err != nil {
		return err
	}
	return f.File.Sync()
}
