// Package memnet is an in-memory network within one process. It simulates the
// delay of links and their faults: hosts that can't reach each other, and
// connections that drop all data from some time on while new ones work. Role dev
// and the failure tests run the daemons' code on it.
package memnet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cicadapulley/cicadapulley/daemon/transport"
)

// Network connects hosts by name.
type Network struct {
	// linkDelay is the one-way delay of each link.
	linkDelay time.Duration
	// sleep waits until a chunk is due.
	sleep func(time.Duration)

	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]struct{}
	// cut holds the pairs of hosts that can't reach each other.
	cut map[hostPair]bool
}

// hostPair has two hosts in alphabetical order.
type hostPair struct{ a, b string }

func pairOf(a, b string) hostPair {
	if a > b {
		a, b = b, a
	}
	return hostPair{a, b}
}

// New returns a network whose links have the given one-way delay.
func New(linkDelay time.Duration) *Network {
	return &Network{
		linkDelay: linkDelay,
		sleep:     time.Sleep,
		listeners: map[string]*listener{},
		conns:     map[*conn]struct{}{},
		cut:       map[hostPair]bool{},
	}
}

// WithSleep replaces time.Sleep for delays, such as by a more precise function.
// Call it before the network is used. Tests in virtual time keep time.Sleep.
func (n *Network) WithSleep(sleep func(time.Duration)) *Network {
	n.sleep = sleep
	return n
}

// Host returns the network interface of one host.
func (n *Network) Host(name string) transport.Network { return &host{network: n, name: name} }

// Cut makes two hosts unreachable to each other without errors: open connections
// drop all data, also after Heal, and new ones are not answered.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[pairOf(a, b)] = true
	n.silenceConns(pairOf(a, b))
}

// Heal makes new connections between two hosts work again after Cut.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, pairOf(a, b))
}

// Silence makes the open connections between two hosts drop all data, while new
// ones work.
func (n *Network) Silence(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silenceConns(pairOf(a, b))
}

// silenceConns marks the open connections between two hosts as silent. The
// caller holds mu.
func (n *Network) silenceConns(hosts hostPair) {
	for c := range n.conns {
		if c.hosts == hosts {
			c.silent.Store(true)
		}
	}
}

// Kill resets all connections of a host and closes its listeners, as when its
// process crashes.
func (n *Network) Kill(name string) {
	n.mu.Lock()
	var conns []*conn
	for c := range n.conns {
		if c.hosts.a == name || c.hosts.b == name {
			conns = append(conns, c)
		}
	}
	var listeners []*listener
	for _, l := range n.listeners {
		if l.host == name {
			listeners = append(listeners, l)
		}
	}
	n.mu.Unlock()
	for _, l := range listeners {
		l.Close()
	}
	for _, c := range conns {
		c.reset()
	}
}

// host implements transport.Network for one host.
type host struct {
	network *Network
	name    string
}

// Listen implements transport.Network. The address is "host:port".
func (h *host) Listen(_ context.Context, address string) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, fmt.Errorf("listen %s: address in use", address)
	}
	l := &listener{
		network:  n,
		host:     h.name,
		address:  address,
		incoming: make(chan net.Conn),
		closed:   make(chan struct{}),
	}
	n.listeners[address] = l
	return l, nil
}

// Dial implements transport.Network. Establishing a connection takes one round
// trip. A dial to a host that is cut off from this one waits until ctx is done.
func (h *host) Dial(ctx context.Context, address string) (net.Conn, error) {
	n := h.network
	if err := sleep(ctx, 2*n.linkDelay); err != nil {
		return nil, dialError(address, err)
	}
	n.mu.Lock()
	l := n.listeners[address]
	cut := l != nil && n.cut[pairOf(h.name, l.host)]
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, dialError(address, ctx.Err())
	}
	if l == nil {
		return nil, dialError(address, fmt.Errorf("connection refused"))
	}
	clientConn, serverConn := n.connect(h.name, l.host)
	select {
	case l.incoming <- serverConn:
		return clientConn, nil
	case <-l.closed:
		clientConn.Close()
		return nil, dialError(address, fmt.Errorf("connection refused"))
	case <-ctx.Done():
		clientConn.Close()
		return nil, dialError(address, ctx.Err())
	}
}

func dialError(address string, err error) error {
	return &net.OpError{Op: "dial", Net: "mem", Addr: addr(address), Err: err}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// listener accepts connections to one address.
type listener struct {
	network   *Network
	host      string
	address   string
	incoming  chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }

type addr string

// Network implements net.Addr.
func (a addr) Network() string { return "mem" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }
