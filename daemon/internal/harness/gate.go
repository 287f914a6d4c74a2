package harness

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"

	"github.com/cicadapulley/cicadapulley/daemon/storage"
	"github.com/cicadapulley/cicadapulley/daemon/transport"
)

var errDead = errors.New("the process is dead")

// gate is what one life of a process reaches of the outside. After close,
// goroutines that are left of the life can neither send, answer nor write.
type gate struct {
	mu     sync.Mutex
	closed bool
	open   map[io.Closer]struct{}
}

func newGate() *gate { return &gate{open: map[io.Closer]struct{}{}} }

// close ends the life's connections and listeners.
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

func (g *gate) dead() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// adopt registers a resource, or closes it if the life is over.
func (g *gate) adopt(c io.Closer) error {
	g.mu.Lock()
	if !g.closed {
		g.open[c] = struct{}{}
		g.mu.Unlock()
		return nil
	}
	g.mu.Unlock()
	c.Close()
	return errDead
}

func (g *gate) drop(c io.Closer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.open, c)
}

// gatedNetwork is a network through a gate.
type gatedNetwork struct {
	transport.Network
	gate *gate
}

// Dial implements transport.Network.
func (n gatedNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	if n.gate.dead() {
		return nil, errDead
	}
	c, err := n.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return n.gate.conn(c)
}

// Listen implements transport.Network.
func (n gatedNetwork) Listen(ctx context.Context, address string) (net.Listener, error) {
	l, err := n.Network.Listen(ctx, address)
	if err != nil {
		return nil, err
	}
	return gatedListener{l, n.gate}, n.gate.adopt(l)
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
	return l.gate.conn(c)
}

func (g *gate) conn(c net.Conn) (net.Conn, error) {
	gc := &gatedConn{Conn: c, gate: g}
	return gc, g.adopt(gc)
}

type gatedConn struct {
	net.Conn
	gate *gate
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	if c.gate.dead() {
		return 0, errDead
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	c.gate.drop(c)
	return c.Conn.Close()
}

// gatedFS is a file system through a gate.
type gatedFS struct {
	storage.FS
	gate *gate
}

func (f gatedFS) check() error {
	if f.gate.dead() {
		return errDead
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

// Sync implements storage.File.
func (f gatedFile) Sync() error {
	if err := f.fs.check(); err != nil {
		return err
	}
	return f.File.Sync()
}
