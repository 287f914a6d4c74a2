package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/relay"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// beginRelays returns the planner of relays for a new term. The caller holds mu and the
// driver's lock.
func (s *Service) beginRelays(now time.Time) *relay.Planner {
	p := relay.New()
	for _, a := range s.machine.Agents() {
		p.Enrol(now, a.VM, a.Address)
	}
	for cl := range s.clients {
		if cl.role == mesh.RoleAgent {
			p.Opened(cl.openedAt, cl.vm, cl.id, cl.relayedBy)
			p.SetSilent(now, cl.vm, cl.id, cl.silent)
		}
	}
	return p
}

// openedClient gives a client its number, and lets the relays of the current term follow an
// agent's connection. The caller holds mu.
func (s *Service) openedClient(cl *client) {
	s.lastClient++
	cl.id = s.lastClient
	cl.openedAt = now()
	if s.term == nil || cl.role != mesh.RoleAgent {
		return
	}
	if cl.relayedBy != "" {
		s.opts.Log.Emit(events.Event{ID: events.RelayBegan, Peer: cl.vm, Text: cl.relayedBy})
	}
	s.term.relays.Opened(cl.openedAt, cl.vm, cl.id, cl.relayedBy)
}

// closedClient records the end of a client's connection for the relays. The caller holds mu.
func (s *Service) closedClient(cl *client) {
	if s.term != nil && cl.role == mesh.RoleAgent {
		s.term.relays.Closed(now(), cl.vm, cl.id)
	}
}

// orderRelays tells entries which agents to relay. The caller holds mu.
func (s *Service) orderRelays(t *term, now time.Time) {
	limit := relay.Limit(s.opts.Relays)
	if limit == 0 {
		return
	}
	s.findSilentAgents(t, now)
	if !t.relays.Waiting() {
		return
	}
	clients := map[string]*client{}
	var entries []relay.Entry
	s.eachEntry(func(cl *client) {
		previous := clients[cl.vm]
		if cl.relays <= 0 || previous != nil && previous.id > cl.id {
			return // it relays nothing, or has opened another connection since
		}
		clients[cl.vm] = cl
		if previous == nil {
			entries = append(entries, relay.Entry{VM: cl.vm, Limit: min(limit, cl.relays)})
		}
	})
	slices.SortFunc(entries, func(a, b relay.Entry) int { return cmp.Compare(a.VM, b.VM) })
	for _, o := range t.relays.Plan(now, entries) {
		clients[o.Entry].conn.Send(&mesh.Relay{VM: o.VM, Address: o.Address})
	}
}

// findSilentAgents lets the relays know which agents' connections are open but silent. The
// caller holds mu.
func (s *Service) findSilentAgents(t *term, now time.Time) {
	for cl := range s.clients {
		if cl.role != mesh.RoleAgent {
			continue
		}
		if silent := !cl.conn.HeardWithin(relay.SuspectTimeout); silent != cl.silent {
			cl.silent = silent
			t.relays.SetSilent(now, cl.vm, cl.id, silent)
		}
	}
}

// relayedAgents returns the number of relayed connections; it is 0 while this VM doesn't lead.
func (s *Service) relayedAgents() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term == nil {
		return 0
	}
	return float64(s.term.relays.Relayed())
}
