package runner

import (
	"context"
	"sync"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/link"
)

const (
	// entrySilence is the time without a message after which an entry counts as
	// unreachable. It pings three times as often.
	entrySilence = 600 * time.Millisecond
	// maxEntryConnections bounds the connections of entries.
	maxEntryConnections = 64
)

// holder is who may order runs: the leader, or an entry while there is none.
type schedulerConn struct {
	// owner names it in what it orders.
	owner
	conn *link.Conn

	mu sync.Mutex
	// joined is the session's part for this holder; nil while there is none.
	participant *participant
	// offered names the next session with an entry, 0 if it hasn't offered one.
	offeredSession placement.SessionID
}

// deliver passes a message to the session that is joined to the holder. Without
// one the message belongs to a session that is over.
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

// leave ends a session's part for the holder.
func (c *schedulerConn) clearParticipant(p *participant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.participant == p {
		c.participant = nil
	}
}

// take returns the offered session and uses it up.
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
		Name: "runner/entries", MaxConnections: maxEntryConnections, Log: s.opts.Log,
	}, s.serveEntry)
}

// serveEntry reads an entry's connection until it fails.
func (s *Service) serveEntry(ctx context.Context, c *link.Conn, hello *mesh.Hello) error {
	if hello.Role != mesh.RoleEntry {
		return link.ErrUnexpected
	}
	entry := &schedulerConn{owner: owner{vm: hello.VM, period: hello.Period}, conn: c}
	s.attachEntry(entry)
	defer s.detachEntry(entry)
	for {
		m, err := c.Receive(entrySilence)
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

// attachEntry replaces an earlier connection of the same entry.
func (s *Service) attachEntry(entry *schedulerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.entries[entry.vm]; old != nil {
		old.conn.Close()
	}
	s.entries[entry.vm] = entry
	s.notify()
}

func (s *Service) detachEntry(entry *schedulerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[entry.vm] == entry {
		delete(s.entries, entry.vm)
		s.notify()
	}
}

// wake makes the session look at what it rests on.
func (s *Service) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify()
}

// basis is what a running session rests on.
type serviceState struct {
	registration *Registration
	fence        placement.SessionID
	leader       *schedulerConn
	entries      []*schedulerConn
	draining     bool
}

// basis returns what the present session rests on, and a channel that closes when
// that changes.
func (s *Service) currentState() (serviceState, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := serviceState{registration: s.registration, fence: s.fence, leader: s.leader, draining: s.draining}
	for _, entry := range s.entries {
		state.entries = append(state.entries, entry)
	}
	return state, s.changed
}

// joined is a session's part for one holder.
type participant struct {
	*schedulerConn
	session *session
	// id names the session to the holder.
	id placement.SessionID
	// pings counts the pings, and sentClocks has the endpoint's clock at those
	// without an answer. Guarded by the session's lock.
	pings      uint64
	sentClocks map[uint64]time.Duration
	// untold is set while the latest listing hasn't been told.
	listingUnsent bool
}
