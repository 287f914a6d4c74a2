package runner

import (
	"context"
	"sync"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/runtable"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/link"
)

const (
	// entryTimeout is the time without a message after which the connection of an
	// entry is closed. Entries ping at a third of it.
	entryTimeout = 600 * time.Millisecond
	// MaxEntryConnections limits the connections of entries.
	MaxEntryConnections = 64
)

// schedulerConn is the connection to a scheduler that may order runs: the leader,
// or an entry while there is no leader.
type schedulerConn struct {
	// owner identifies the scheduler as the owner of the runs that it orders.
	owner runtable.Owner
	conn  *link.Conn

	mu sync.Mutex
	// participant is the scheduler's participation in the current session; nil if
	// it has none.
	participant *participant
	// offeredSession is the session that an entry has offered; 0 if there is no
	// unused offer.
	offeredSession placement.SessionID
}

// deliver passes a message to the session in which the scheduler participates.
// Without a participant the message belongs to a session that has ended and is
// dropped.
func (c *schedulerConn) deliver(m mesh.Message) {
	c.mu.Lock()
	p := c.participant
	c.mu.Unlock()
	if p != nil {
		p.session.handle(p, m)
	}
}

func (c *schedulerConn) setParticipant(p *participant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.participant = p
}

// clearParticipant ends the scheduler's participation in a session.
func (c *schedulerConn) clearParticipant(p *participant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.participant == p {
		c.participant = nil
	}
}

// takeOffer returns the offered session and clears the offer.
func (c *schedulerConn) takeOffer() placement.SessionID {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := c.offeredSession
	c.offeredSession = 0
	return id
}

func (c *schedulerConn) setOffer(id placement.SessionID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offeredSession = id
}

// serveEntries accepts the connections of entries until ctx ends.
func (s *Service) serveEntries(ctx context.Context) error {
	return link.Serve(ctx, s.opts.Listener, link.ServeOptions{
		Name: "runner/entries", MaxConnections: MaxEntryConnections, Gate: s.opts.Gate, QueueBytes: s.opts.QueueBytes, Log: s.opts.Log,
	}, s.serveEntry)
}

// serveEntry reads an entry's connection until it fails. One that the entry relays to the
// leader is served as if this agent had dialled it.
func (s *Service) serveEntry(ctx context.Context, c *link.Conn, hello *mesh.Hello) error {
	if hello.Role == mesh.RoleRelay && s.opts.ServeRelayed != nil && work.ValidName(hello.VM) {
		return s.opts.ServeRelayed(ctx, c, hello.VM)
	}
	if hello.Role != mesh.RoleEntry {
		return link.ErrUnexpected
	}
	entry := &schedulerConn{owner: runtable.Owner{VM: hello.VM, Period: hello.Period}, conn: c}
	s.attachEntry(entry)
	defer s.detachEntry(entry)
	for {
		m, err := c.Receive(entryTimeout)
		if err != nil {
			s.opts.Log.Emit(events.Event{ID: events.ClientLost, Peer: hello.VM, Err: err})
			return err
		}
		switch m := m.(type) {
		case *mesh.Welcome:
			entry.setOffer(m.Session)
			s.wake()
		case *mesh.Ping:
			c.Send(&mesh.Pong{Sequence: m.Sequence})
		default:
			entry.deliver(m)
		}
	}
}

// attachEntry adds an entry's connection and closes an earlier one of that entry.
func (s *Service) attachEntry(entry *schedulerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.entries[entry.owner.VM]; old != nil {
		old.conn.Close()
	}
	s.entries[entry.owner.VM] = entry
	s.notify()
}

func (s *Service) detachEntry(entry *schedulerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[entry.owner.VM] == entry {
		delete(s.entries, entry.owner.VM)
		s.notify()
	}
}

// wake makes the session check the service's state.
func (s *Service) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify()
}

// serviceState is the state of the service on which a running session depends.
type serviceState struct {
	registration *Registration
	fence        placement.SessionID
	leader       *schedulerConn
	entries      []*schedulerConn
	draining     bool
}

// currentState returns the state on which the current session depends, and a
// channel that closes when that state changes.
func (s *Service) currentState() (serviceState, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := serviceState{registration: s.registration, fence: s.fence, leader: s.leader, draining: s.draining}
	for _, entry := range s.entries {
		state.entries = append(state.entries, entry)
	}
	return state, s.changed
}

// participant is the participation of one scheduler in one session. The session's lock
// guards its Scheduler.
type participant struct {
	*schedulerConn
	*runtable.Scheduler
	session *session
}

func newParticipant(s *session, c *schedulerConn, id placement.SessionID) *participant {
	return &participant{schedulerConn: c, Scheduler: runtable.NewScheduler(c.owner, id), session: s}
}
