// Package transport makes the HTTP clients and servers between the system's
// processes. A Network hides whether connections are real, delayed or in memory.
package transport

import (
	"context"
	"net"
)

// Network opens and accepts connections.
type Network interface {
	// Dial connects to an address.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// Listen accepts connections at an address.
	Listen(ctx context.Context, address string) (net.Listener, error)
}

// TCP is the real network.
type TCP struct{}

// Dial implements Network.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Listen implements Network.
func (TCP) Listen(ctx context.Context, address string) (net.Listener, error) {
	var c net.ListenConfig
	return c.Listen(ctx, "tcp", address)
}
