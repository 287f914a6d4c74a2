package coordinator

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/lease"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/relay"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/link"
	"github.com/cicadapulley/cicadapulley/daemon/scheduler"
)

// client is the connection of an entry or agent. It stays open across changes of
// leadership, so that a new leader can notify all clients at once.
type client struct {
	service *Service
	conn    *link.Conn
	role    mesh.Role
	vm      string
	// address is the address at which entries reach an agent.
	address string
	// id numbers the clients of this process, and openedAt is when the client connected.
	id       relay.ConnectionID
	openedAt time.Time
	// relayedBy is the VM of the entry that relays an agent's connection, empty for a direct
	// one. relays is the number of agents that an entry relays at most.
	relayedBy string
	relays    int
	// silent is set while nothing has arrived for relay.SuspectTimeout. Guarded by Service.mu.
	silent bool
	// session is the current session of an agent, nil without a term. Guarded by
	// Service.mu.
	session *agentSession
	// welcomed is set once a Welcome that announces this VM as the leader has been
	// queued for the client. Guarded by Service.mu.
	welcomed bool
	// waiting maps the sequence numbers of an entry's requests to the best-effort
	// jobs that they wait for. Only the connection's goroutine uses it.
	waiting    map[uint64]work.JobID
	goroutines sync.WaitGroup
}

// serveClient serves the connection of an entry or agent until it fails.
func (s *Service) serveClient(ctx context.Context, c *link.Conn, hello *mesh.Hello) error {
	if err := checkHello(hello); err != nil {
		s.opts.Log.Emit(events.Event{ID: events.ConnectionRefused, Peer: c.Remote(), Err: err})
		return err
	}
	cl := &client{
		service: s, conn: c, role: hello.Role, vm: hello.VM, address: hello.Address, relayedBy: hello.RelayedBy, relays: hello.Relays,
		waiting: map[uint64]work.JobID{},
	}
	s.mu.Lock()
	s.updateDrains()
	s.openedClient(cl)
	s.clients[cl] = true
	s.sendDrains(cl)
	s.sendWelcome(cl)
	s.mu.Unlock()
	defer cl.goroutines.Wait()
	defer s.removeClient(cl)
	for {
		m, err := c.Receive(clientTimeout)
		if err != nil {
			s.opts.Log.Emit(events.Event{ID: events.ClientLost, Peer: hello.VM, Err: err})
			return err
		}
		cl.handle(ctx, m)
	}
}

// checkHello returns an error if the name or the address of an entry or agent can't be
// used. Both are sent on to other processes, and the agents' are recorded.
func checkHello(hello *mesh.Hello) error {
	if !work.ValidName(hello.VM) {
		return errors.Newf("name of %d bytes is not valid", len(hello.VM))
	}
	if hello.RelayedBy != "" && !work.ValidName(hello.RelayedBy) {
		return errors.Newf("name of the relaying entry of %d bytes is not valid", len(hello.RelayedBy))
	}
	if hello.Address == "" && hello.Role == mesh.RoleEntry {
		return nil
	}
	_, err := netip.ParseAddrPort(hello.Address)
	return errors.Wrap(err, "address")
}

// sendWelcome notifies a client whether this VM leads. If it does, an agent gets a new
// session. The caller holds mu.
func (s *Service) sendWelcome(cl *client) { cl.conn.Send(s.welcome(cl)) }

// sendConfiguration answers an entry that lacks a version which this VM has applied. It
// may have no leader that could send it. The caller holds mu.
func (s *Service) sendConfiguration(cl *client) {
	w := s.welcome(cl)
	if !w.Leading {
		s.driver.Local(func() { s.addConfiguration(cl, w) })
	}
	cl.conn.Send(w)
}

// welcome returns a client's next Welcome. The caller holds mu.
func (s *Service) welcome(cl *client) *mesh.Welcome {
	w := &mesh.Welcome{Members: s.members()}
	cl.welcomed = false
	if s.leads(s.term) {
		cl.welcomed = true
		w.Leading = true
		w.Term = s.term.number
		if cl.role == mesh.RoleAgent {
			s.endSession(cl)
			cl.session = s.newSession(cl)
			w.Session = cl.session.ID
			w.Incarnation, w.EndpointDraining = s.incarnationOf(cl.vm)
		} else {
			s.addFallbackData(cl, w)
		}
	}
	return w
}

// addFallbackData adds the agents and queues that entries need to place jobs while
// there is no leader.
func (s *Service) addFallbackData(cl *client, w *mesh.Welcome) {
	s.driver.Local(func() {
		for _, a := range s.machine.Agents() {
			w.Agents = append(w.Agents, ledger.Agent{VM: a.VM, Address: a.Address})
		}
		s.addConfiguration(cl, w)
	})
}

// addConfiguration adds the configuration that this VM has applied to an entry's Welcome.
// The caller holds the driver's lock.
func (s *Service) addConfiguration(cl *client, w *mesh.Welcome) {
	if c := s.machine.Configuration(); c != nil {
		w.Queues = c.Queues
		w.Version = c.Version
		s.opts.Log.Emit(events.Event{ID: events.ConfigurationSent, Peer: cl.vm, Ticket: c.Version})
	}
}

// configurationVersion returns the version that this VM has applied, 0 before the first.
func (s *Service) configurationVersion() uint64 {
	version := uint64(0)
	s.driver.Local(func() {
		if c := s.machine.Configuration(); c != nil {
			version = c.Version
		}
	})
	return version
}

// incarnationOf returns the latest recorded incarnation of a VM's endpoint, nil if
// there is none, and whether it is draining.
func (s *Service) incarnationOf(vm string) (incarnation *work.Incarnation, draining bool) {
	s.driver.Local(func() {
		if a, ok := s.machine.Agent(vm); ok {
			incarnation = &a.Incarnation
			draining = a.EndpointDraining
		}
	})
	return incarnation, draining
}

// eachEntry calls fn for each connected entry to which this VM has announced
// itself as the leader. The caller holds mu.
func (s *Service) eachEntry(fn func(*client)) {
	for cl := range s.clients {
		if cl.role == mesh.RoleEntry && cl.welcomed {
			fn(cl)
		}
	}
}

// removeClient removes a client whose connection has ended. An entry that is still
// running submits its jobs again within reconnectTimeout; otherwise no request
// waits for them any more and they are abandoned.
func (s *Service) removeClient(cl *client) {
	s.mu.Lock()
	s.endSession(cl)
	s.closedClient(cl)
	delete(s.clients, cl)
	s.mu.Unlock()
	if len(cl.waiting) == 0 {
		return
	}
	time.Sleep(reconnectTimeout)
	for sequence, id := range cl.waiting {
		s.abandon(cl.conn, sequence, id)
	}
}

// reconnectTimeout is how long an entry may take to reconnect after its connection
// broke, which a silent entry's does after clientTimeout.
const reconnectTimeout = lease.AbandonAfter - clientTimeout

// newSession begins a session of an agent in the current term. The caller holds mu.
func (s *Service) newSession(cl *client) *agentSession {
	s.term.sessionCount++
	return &agentSession{
		Session: &scheduler.Session{
			ID: placement.SessionID(s.term.number<<sessionBits | s.term.sessionCount), VM: cl.vm, Conn: cl.conn, RenewedAt: now(),
		},
		client: cl,
		term:   s.term,
	}
}

// spawn runs fn in a goroutine of the connection. A panic closes the connection, whose
// state it may have left incomplete.
func (cl *client) spawn(fn func()) {
	cl.goroutines.Go(func() {
		if err := cl.service.catchPanic("server/"+cl.vm, fn); err != nil {
			cl.conn.Close()
		}
	})
}

// handle handles one message of the client.
func (cl *client) handle(ctx context.Context, m mesh.Message) {
	switch m := m.(type) {
	case *mesh.Ping:
		cl.ping(m)
	case *mesh.Request:
		cl.request(ctx, m)
	case *mesh.Abandon:
		cl.service.abandon(cl.conn, m.Sequence, cl.waiting[m.Sequence])
		delete(cl.waiting, m.Sequence)
	case *mesh.NewSession:
		cl.newSession()
	case *mesh.Inventory:
		if a := cl.sessionByID(m.Endpoint.Session); a != nil {
			a.join(ctx, m)
		}
	case *mesh.PossibleRuns:
		if a := cl.sessionByID(m.Session); a != nil {
			a.joinUnreachable(m)
		}
	case *mesh.Report:
		if a := cl.sessionByID(m.Session); a != nil {
			a.report(ctx, m)
		}
	}
}

// newSession answers a request for a session, or an entry's for the configuration.
func (cl *client) newSession() {
	s := cl.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if cl.role == mesh.RoleEntry {
		s.sendConfiguration(cl)
		return
	}
	s.sendWelcome(cl)
}

// ping answers a ping, and renews the lease of the session that it names unless
// another VM may lead by now.
func (cl *client) ping(m *mesh.Ping) {
	pong := &mesh.Pong{Sequence: m.Sequence}
	if a := cl.sessionByID(m.Session); a != nil {
		a.renew(m, pong)
	}
	if cl.role == mesh.RoleEntry {
		pong.ConfigurationVersion = cl.service.configurationVersion()
	}
	cl.conn.Send(pong)
}

// sessionByID returns the current session if it has the given ID, nil otherwise.
func (cl *client) sessionByID(id placement.SessionID) *agentSession {
	if id == 0 {
		return nil
	}
	cl.service.mu.Lock()
	defer cl.service.mu.Unlock()
	if cl.session == nil || cl.session.ID != id {
		return nil
	}
	return cl.session
}
