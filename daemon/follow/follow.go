// Package follow keeps an entry or agent connected to all control VMs, so that a
// new leader can tell it at once. Parent: the root of the process. Children: one
// goroutine for each known control VM, which dials, reads, and serves the
// connection while that VM leads. Restart rule: a connection that ends is opened
// again. State: the known addresses and the term that is served.
package follow

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/link"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
)

const (
	// leaderSilence is the time without a message after which a leader counts as
	// lost, and leaderPing the pause between pings to it. Service stands still
	// meanwhile; a leader that is only slow costs a new session of a few
	// milliseconds.
	leaderTimeout      = 350 * time.Millisecond
	leaderPingInterval = 100 * time.Millisecond
	// standbySilence and standbyPing are the same for the connections to other
	// control VMs, which are many and carry nothing else.
	standbyTimeout      = time.Second
	standbyPingInterval = 300 * time.Millisecond
	// maxKnown bounds the known addresses.
	maxAddresses = 16
)

// ErrNoLongerLeads ends the service of a connection whose VM lost its term.
var ErrNoLongerLeads = errors.New("the control VM no longer leads")

// Leader is the connection to a leader.
type Leader struct {
	*link.Conn
	// Welcome is the leader's latest.
	Welcome *mesh.Welcome
	// follower learns of changes of the group.
	follower *Follower
}

// Receive returns the leader's next message. It fails with ErrNoLongerLeads if
// the leader has lost its term.
func (l *Leader) Receive() (mesh.Message, error) {
	m, err := l.Conn.Receive(leaderTimeout)
	if err != nil {
		return nil, err
	}
	switch m := m.(type) {
	case *mesh.Members:
		l.follower.updateMembers(m)
	case *mesh.Welcome:
		if !m.Leading {
			return nil, ErrNoLongerLeads
		}
		l.Welcome = m
	}
	return m, nil
}

// Options are what a follower needs.
type Options struct {
	Hello *mesh.Hello
	// Addresses are control VMs known from the settings.
	Addresses []string
	// Serve uses the connection while its VM leads. It returns when the
	// connection fails, the leader loses its term, or ctx ends because a leader
	// of a later term is there.
	Serve func(ctx context.Context, l *Leader) error
	Log   *events.Log
}

// Follower keeps the connections. It is safe for concurrent use.
type Follower struct {
	opts  Options
	group *supervisor.Group

	mu        sync.Mutex
	runCtx    context.Context
	addresses []string
	// term is the latest that is served, and replaced ends its service.
	term        uint64
	cancelServe context.CancelFunc
}

// New returns a follower; Run connects it.
func New(o Options) *Follower {
	return &Follower{opts: o, group: supervisor.NewGroup("follow", o.Log), addresses: slices.Clone(o.Addresses)}
}

// Run keeps the connections until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.mu.Lock()
	f.runCtx = ctx
	for _, address := range f.addresses {
		f.startConnection(address)
	}
	f.mu.Unlock()
	<-ctx.Done()
	f.group.StopAll()
	return nil
}

// Add makes more control VMs known.
func (f *Follower) Add(addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range addresses {
		if slices.Contains(f.addresses, address) || len(f.addresses) >= maxAddresses {
			continue
		}
		f.addresses = append(f.addresses, address)
		if f.runCtx != nil {
			f.startConnection(address)
		}
	}
}

// learn takes the group's members. A leader knows all of them, so the others are
// forgotten, but for those of the settings.
func (f *Follower) updateMembers(m *mesh.Members) {
	if m.Leading {
		f.removeOthers(m.Addresses)
	}
	f.Add(m.Addresses)
}

func (f *Follower) removeOthers(members []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addresses = slices.DeleteFunc(f.addresses, func(address string) bool {
		if slices.Contains(members, address) || slices.Contains(f.opts.Addresses, address) {
			return false
		}
		f.group.Stop(address)
		return true
	})
}

// start begins to follow one control VM. The caller holds mu.
func (f *Follower) startConnection(address string) {
	f.group.Start(f.runCtx, address, func(ctx context.Context) error { return f.keepConnected(ctx, address) })
}

// follow keeps the connection to one control VM, and serves it while that VM leads.
func (f *Follower) keepConnected(ctx context.Context, address string) error {
	return link.Keep(ctx, address, f.handleConn)
}

// attend reads a connection until it fails, and serves it while its VM leads.
func (f *Follower) handleConn(ctx context.Context, c *link.Conn) {
	c.Send(f.opts.Hello)
	pingCtx, stopPing := context.WithCancel(ctx)
	defer stopPing()
	go link.Ping(pingCtx, c, standbyPingInterval)
	for {
		m, err := c.Receive(standbyTimeout)
		if err != nil {
			return // the connection is opened again
		}
		if members, ok := m.(*mesh.Members); ok {
			f.updateMembers(members)
		}
		w, ok := m.(*mesh.Welcome)
		if !ok {
			continue
		}
		f.updateMembers(&mesh.Members{Addresses: w.Members, Leading: w.Leading})
		if w.Leading && !f.serveLeader(ctx, &Leader{Conn: c, Welcome: w, follower: f}) {
			return
		}
	}
}

// lead serves a leader's connection. It tells whether the connection is still
// in use afterwards.
func (f *Follower) serveLeader(ctx context.Context, l *Leader) bool {
	serveCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !f.claimTerm(l.Welcome.Term, cancel) {
		return true // a leader of a later term is known
	}
	go link.Ping(serveCtx, l.Conn, leaderPingInterval)
	f.opts.Log.Emit(events.Event{ID: events.LeaderFound, Peer: l.Remote(), Ticket: l.Welcome.Term})
	err := f.opts.Serve(serveCtx, l)
	f.opts.Log.Emit(events.Event{ID: events.LeaderGone, Peer: l.Remote(), Ticket: l.Welcome.Term, Err: err})
	return errors.Is(err, ErrNoLongerLeads)
}

// claim ends the service of an earlier term; false if a later one is served.
func (f *Follower) claimTerm(term uint64, cancel context.CancelFunc) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if term < f.term {
		return false
	}
	if f.cancelServe != nil {
		f.cancelServe()
	}
	f.term = term
	f.cancelServe = cancel
	return true
}
