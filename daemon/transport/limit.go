package transport

import (
	"net"
	"sync"
)

// LimitListener bounds the open connections of a listener. Further ones wait
// in the kernel's queue until one closes.
func LimitListener(l net.Listener, connections int) net.Listener {
	return &limitListener{Listener: l, free: make(chan struct{}, connections), closed: make(chan struct{})}
}

type limitListener struct {
	net.Listener
	free   chan struct{}
	once   sync.Once
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.free <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.free
		return nil, err
	}
	return &limitedConn{Conn: c, release: func() { <-l.free }}, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
