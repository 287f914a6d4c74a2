package transport

import (
	"net"
	"sync"
)

// LimitListener limits the open connections of a listener. Further connections
// wait in the kernel's accept queue until one closes.
func LimitListener(l net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: l, semaphore: make(chan struct{}, limit), closed: make(chan struct{})}
}

type limitedListener struct {
	net.Listener
	semaphore chan struct{}
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.semaphore <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.semaphore
		return nil, err
	}
	return &limitedConn{Conn: c, release: func() { <-l.semaphore }}, nil
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	closeOnce sync.Once
	release   func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.closeOnce.Do(c.release)
	return c.Conn.Close()
}
