// Package transport creates the HTTP clients and servers that connect the
// system's processes. Network abstracts over real, delayed and in-memory
// connections.
package transport

import (
	"context"
	"net"
)

// Network opens and accepts connections.
type Network interface {
	// Dial connects to an address.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// Listen returns a listener for connections to an address.
	Listen(ctx context.Context, address string) (net.Listener, error)
}

// TCP is the Network of the operating system.
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
