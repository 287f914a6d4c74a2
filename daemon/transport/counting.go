package transport

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"
)

// CountingNetwork counts the connections of a network and their bytes, without
// TCP and IP headers.
type CountingNetwork struct {
	Network
	sent     atomic.Uint64
	received atomic.Uint64
	dials    atomic.Uint64
	accepts  atomic.Uint64
}

// Dial implements Network.
func (c *CountingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.dials.Add(1)
	return &countingConn{Conn: conn, network: c}, nil
}

// Listen implements Network.
func (c *CountingNetwork) Listen(ctx context.Context, address string) (net.Listener, error) {
	l, err := c.Network.Listen(ctx, address)
	if err != nil {
		return nil, err
	}
	return &countingListener{Listener: l, network: c}, nil
}

type countingListener struct {
	net.Listener
	network *CountingNetwork
}

// SyscallConn implements syscall.Conn, for the options of the socket.
func (l *countingListener) SyscallConn() (syscall.RawConn, error) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.New("the listener has no socket")
	}
	return socket.SyscallConn()
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.network.accepts.Add(1)
	return &countingConn{Conn: conn, network: l.network}, nil
}

type countingConn struct {
	net.Conn
	network *CountingNetwork
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.network.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.network.sent.Add(uint64(n))
	return n, err
}

// Collectors returns the metrics of the counters.
func (c *CountingNetwork) Collectors() []prometheus.Collector {
	return []prometheus.Collector{
		counter("cicadapulley_network_sent_bytes_total", "Bytes written to connections, without TCP and IP headers.", &c.sent),
		counter("cicadapulley_network_received_bytes_total", "Bytes read from connections, without TCP and IP headers.", &c.received),
		counter("cicadapulley_network_dials_total", "Connections opened.", &c.dials),
		counter("cicadapulley_network_accepts_total", "Connections accepted.", &c.accepts),
	}
}

func counter(name, help string, v *atomic.Uint64) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(v.Load()) })
}
