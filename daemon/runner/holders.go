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
type holder struct {
	// owner names it in what it orders.
	owner
	conn *link.Conn

	mu sync.Mutex
	// joined is the session's part for this holder; nil while there is none.
	joined *joined
	// offered names the next session with an entry, 0 if it hasn't offered one.
	offered placement.SessionID
}

// deliver passes a message to the session that is joined to the holder. Without
// one the message belongs to a session that is over.
func (h *holder) deliver(m mesh.Message) {
	h.mu.Lock()
	j := h.joined
	h.mu.Unlock()
	if j != nil {
		j.session.handle(j, m)
	}
}

func (h *holder) join(j *joined) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.joined = j
}

// leave ends a session's part for the holder.
func (h *holder) leave(j *joined) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.joined == j {
		h.joined = nil
	}
}

// take returns the offered session and uses it up.
func (h *holder) take() placement.SessionID {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := h.offered
	h.offered = 0
	return id
}

func (h *holder) offer(id placement.SessionID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.offered = id
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
	h := &holder{owner: owner{vm: hello.VM, period: hello.Period}, conn: c}
	s.attachEntry(h)
	defer s.detachEntry(h)
	for {
		m, err := c.Receive(entrySilence)
		if err != nil {
			s.opts.Log.Emit(events.Event{ID: events.ClientLost, Peer: hello.VM, Err: err})
			return err
		}
		switch m := m.(type) {
		case *mesh.Welcome:
			h.offer(m.Session)
			s.wake()
		case *mesh.Ping:
			c.Send(&mesh.Pong{Sequence: m.Sequence})
		default:
			h.deliver(m)
		}
	}
}

// attachEntry replaces an earlier connection of the same entry.
func (s *Service) attachEntry(h *holder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.entries[h.vm]; old != nil {
		old.conn.Close()
	}
	s.entries[h.vm] = h
	s.notify()
}

func (s *Service) detachEntry(h *holder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[h.vm] == h {
		delete(s.entries, h.vm)
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
type basis struct {
	registered *Registration
	fence      placement.SessionID
	leader     *holder
	entries    []*holder
	draining   bool
}

// basis returns what the present session rests on, and a channel that closes when
// that changes.
func (s *Service) basis() (basis, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := basis{registered: s.registered, fence: s.fence, leader: s.leader, draining: s.draining}
	for _, h := range s.entries {
		b.entries = append(b.entries, h)
	}
	return b, s.changed
}

// joined is a session's part for one holder.
type joined struct {
	*holder
	session *session
	// id names the session to the holder.
	id placement.SessionID
	// pings counts the pings, and sentClocks has the endpoint's clock at those
	// without an answer. Guarded by the session's lock.
	pings      uint64
	sentClocks map[uint64]time.Duration
	// untold is set while the latest listing hasn't been told.
	untold bool
}
