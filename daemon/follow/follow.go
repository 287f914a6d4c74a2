// Package follow keeps an entry or agent connected to all control VMs, so that a
// new leader can notify it at once. Parent: the root of the process. Children: one
// goroutine for each known control VM, which dials, reads, and serves the
// connection while that VM leads. An agent's connection that an entry relays is served by
// the goroutine that accepted it. Restart rule: a connection that ends is opened again,
// a relayed one by the leader's next order. State: the known addresses, the leader that is
// served with its term, and the trial of a direct connection that is to replace a relayed one.
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
	// leaderTimeout is the time without a message after which the connection to a
	// leader is closed, and leaderPingInterval the time between pings to it. There
	// is no service while the timeout runs, whereas a timeout on a leader that is
	// only slow costs no more than a new session, which takes a few milliseconds.
	leaderTimeout      = 350 * time.Millisecond
	leaderPingInterval = 100 * time.Millisecond
	// standbyTimeout and standbyPingInterval apply to the connections to other
	// control VMs, which are many and carry little else than pings.
	standbyTimeout      = time.Second
	standbyPingInterval = 300 * time.Millisecond
	// relayedStandbyTimeout is how long a relayed connection stays open while its control VM
	// does not lead. It covers a lease of the leader that expires for a moment.
	relayedStandbyTimeout = 500 * time.Millisecond
	// maxAddresses bounds the known control VMs.
	maxAddresses = 16
)

// ErrNoLongerLeads is returned by Leader.Receive when the control VM has lost the
// leadership.
var ErrNoLongerLeads = errors.New("the control VM no longer leads")

// ErrConnected is returned for a relayed connection while a leader is heard without it.
var ErrConnected = errors.New("connected to a leader")

// Leader is a connection to a leader.
type Leader struct {
	*link.Conn
	// Welcome is the latest that the leader has sent.
	Welcome *mesh.Welcome
	// Address is the one that was dialled, empty for a relayed connection.
	Address string
	// RelayedBy is the VM of the entry that relays the connection, empty for a direct one.
	RelayedBy string
	// follower receives changes of the group's members.
	follower *Follower
}

// Receive returns the leader's next message. The error is ErrNoLongerLeads if the
// VM has lost the leadership, or that of the connection.
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

// Options configure a follower.
type Options struct {
	// Hello is the first message on each connection.
	Hello *mesh.Hello
	// Addresses are those of the control VMs in the settings.
	Addresses []string
	// Serve uses the connection while its VM leads. It must return when the
	// connection fails, the VM loses the leadership, or ctx ends, as when a leader
	// of a later term has been found.
	Serve func(ctx context.Context, l *Leader) error
	// Standby receives the messages of control VMs that do not lead; nil drops them. The
	// goroutine of the connection calls it.
	Standby func(c *link.Conn, m mesh.Message)
	// QueueBytes bounds the bytes that wait to be sent on a connection; 0 for the default.
	QueueBytes int
	Log        *events.Log
}

// Follower keeps connections to the control VMs. It is safe for concurrent use.
type Follower struct {
	opts  Options
	group *supervisor.Group

	mu        sync.Mutex
	runCtx    context.Context
	addresses []string
	// term is the latest term that has been served. current is the leader that is served,
	// nil for none, and cancelServe ends the context of its Serve call.
	term        uint64
	current     *Leader
	cancelServe context.CancelFunc
	trials      trials
}

// New returns a follower; Run opens its connections.
func New(o Options) *Follower {
	if o.Standby == nil {
		o.Standby = func(*link.Conn, mesh.Message) {}
	}
	return &Follower{opts: o, group: supervisor.NewGroup("follow", o.Log), addresses: slices.Clone(o.Addresses), trials: newTrials()}
}

// Run keeps the connections open until ctx ends.
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

// Add adds the addresses of control VMs and connects to new ones, up to maxAddresses.
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

// updateMembers adds the group's members. The list of a leader is complete, so
// other addresses are removed, except for those in the settings.
func (f *Follower) updateMembers(m *mesh.Members) {
	if m.Leading {
		f.removeOthers(m.Addresses)
	}
	f.Add(m.Addresses)
}

// removeOthers removes the addresses that are neither members nor in the settings.
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

// startConnection starts the goroutine for one control VM. The caller holds mu.
func (f *Follower) startConnection(address string) {
	f.group.Start(f.runCtx, address, func(ctx context.Context) error { return f.keepConnected(ctx, address) })
}

// keepConnected keeps the connection to one control VM open, and serves it while
// that VM leads.
func (f *Follower) keepConnected(ctx context.Context, address string) error {
	return link.KeepConnected(ctx, address, f.opts.QueueBytes, func(ctx context.Context, c *link.Conn) {
		f.handleConn(ctx, &Leader{Conn: c, Address: address, follower: f}, f.opts.Hello)
	})
}

// ServeRelayed serves a connection to the leader that an entry relays, until it fails or
// its control VM leads no longer. It returns ErrConnected at once while a leader is heard.
func (f *Follower) ServeRelayed(ctx context.Context, c *link.Conn, entry string) error {
	if f.hearsLeader() {
		return ErrConnected
	}
	hello := *f.opts.Hello
	hello.RelayedBy = entry
	f.handleConn(ctx, &Leader{Conn: c, RelayedBy: entry, follower: f}, &hello)
	return nil
}

// hearsLeader reports whether the leader that is served has sent anything recently.
func (f *Follower) hearsLeader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current != nil && f.current.heard()
}

// heard reports whether a message arrived within the time of two pings.
func (l *Leader) heard() bool { return l.HeardWithin(2 * leaderPingInterval) }

// handleConn reads a connection until it fails, and serves it while its VM leads.
func (f *Follower) handleConn(ctx context.Context, l *Leader, hello *mesh.Hello) {
	l.Send(hello)
	pingCtx, stopPing := context.WithCancel(ctx)
	defer stopPing()
	go link.Ping(pingCtx, l.Conn, standbyPingInterval)
	defer f.endTrial(l)
	ledAt := time.Now()
	for {
		m, err := l.Conn.Receive(f.receiveTimeout(l))
		if err != nil {
			return // the connection is opened again
		}
		if members, ok := m.(*mesh.Members); ok {
			f.updateMembers(members)
		}
		w, ok := m.(*mesh.Welcome)
		if ok {
			f.updateMembers(&mesh.Members{Addresses: w.Members, Leading: w.Leading})
		}
		if !ok || !w.Leading {
			if l.RelayedBy != "" && time.Since(ledAt) > relayedStandbyTimeout {
				return
			}
			f.opts.Standby(l.Conn, m)
			f.checkTrial(l)
			continue
		}
		l.Welcome = w
		if !f.serveLeader(ctx, l) {
			return
		}
		ledAt = time.Now()
	}
}

// serveLeader serves a leader's connection. It reports whether the connection can
// still be used afterwards.
func (f *Follower) serveLeader(ctx context.Context, l *Leader) bool {
	serveCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !f.claimTerm(ctx, l, cancel) {
		// A leader of a later term has been found, or this connection is on trial. A relayed
		// one is not needed.
		return l.RelayedBy == ""
	}
	go link.Ping(serveCtx, l.Conn, leaderPingInterval)
	f.opts.Log.Emit(events.Event{ID: events.LeaderFound, Peer: l.Remote(), Ticket: l.Welcome.Term, Text: l.describe()})
	defer f.release(l) // also after a panic
	err := f.opts.Serve(serveCtx, l)
	f.opts.Log.Emit(events.Event{ID: events.LeaderGone, Peer: l.Remote(), Ticket: l.Welcome.Term, Text: l.describe(), Err: err})
	return errors.Is(err, ErrNoLongerLeads)
}

// describe returns the detail of events about the connection.
func (l *Leader) describe() string {
	if l.RelayedBy == "" {
		return ""
	}
	return "relayed by " + l.RelayedBy
}

// claimTerm records the term of l as the latest, and ends the service that it replaces. It
// returns false if a later term has been served, if a relayed connection finds the same
// leader heard, or if a direct connection that is to replace a relayed one is on trial.
func (f *Follower) claimTerm(ctx context.Context, l *Leader, cancel context.CancelFunc) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	term := l.Welcome.Term
	if term < f.term {
		return false
	}
	if f.current != nil && term == f.term {
		if l.RelayedBy != "" && f.current.heard() {
			return false
		}
		if l.RelayedBy == "" && f.current.RelayedBy != "" && !f.trials.passed(l) {
			f.trials.begin(ctx, l)
			return false
		}
	}
	f.trials.claimed(l, term > f.term)
	if f.cancelServe != nil {
		f.cancelServe()
	}
	f.term = term
	f.current = l
	f.cancelServe = cancel
	return true
}

// release records that a leader is served no longer. A direct connection on trial replaces
// it at once.
func (f *Follower) release(l *Leader) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != l {
		return
	}
	f.current = nil
	f.trials.finish()
}
