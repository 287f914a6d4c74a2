package runner

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/runtable"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// watch monitors the state that the session depends on until the session ends: the
// endpoint's incarnation, the fencing token, the leader, the entries and drains.
func (s *session) watch(ctx context.Context) {
	for ctx.Err() == nil {
		state, changed := s.service.currentState()
		r := state.registration
		switch {
		case r == nil || r.Instance != s.registration.Instance || r.StartTimeMS != s.registration.StartTimeMS:
			s.end(errRegistrationChanged)
			return
		case state.fence != s.fence:
			s.end(errFenceReplaced)
			return
		}
		if r.Draining || state.draining {
			s.startDraining(r.Draining)
		}
		s.updateParticipants(state)
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// updateParticipants applies a change of the leader or the entries.
func (s *session) updateParticipants(state serviceState) {
	s.mu.Lock()
	lostLeader := s.leader
	if lostLeader != nil && state.leader == lostLeader.schedulerConn {
		lostLeader = nil
	}
	if lostLeader != nil {
		s.leader = nil
		delete(s.participants, lostLeader.VM)
		s.table.LoseLeader()
	}
	hasLeader := s.leader != nil
	s.mu.Unlock()
	if lostLeader != nil {
		lostLeader.clearParticipant(lostLeader)
		s.service.opts.Log.Emit(events.Event{ID: events.SessionOrphaned, Ticket: uint64(s.fence)})
	}
	if hasLeader {
		return
	}
	s.removeDisconnected(state.entries)
	for _, entry := range state.entries {
		if id := entry.takeOffer(); id != 0 {
			s.joinEntry(entry, id)
			s.service.opts.Log.Emit(events.Event{ID: events.EntryJoined, Peer: entry.owner.VM, Ticket: uint64(id)})
		}
	}
}

// joinEntry lets an entry take part in the session that it has offered.
func (s *session) joinEntry(entry *schedulerConn, id placement.SessionID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := newParticipant(s, entry, id)
	s.addParticipant(p, s.table.Join(now(), p.Scheduler))
}

// removeDisconnected removes the entries whose connection has ended.
func (s *session) removeDisconnected(connected []*schedulerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for vm, p := range s.participants {
		found := false
		for _, entry := range connected {
			found = found || entry == p.schedulerConn
		}
		if !found {
			delete(s.participants, vm)
			s.table.Remove(p.Scheduler)
		}
	}
}

// releaseParticipants ends the participation of all schedulers. It notifies entries
// whether a leader has taken over or another session without a leader follows.
func (s *session) releaseParticipants() {
	for _, p := range s.participantList() {
		p.clearParticipant(p)
		if p.VM == "" {
			continue
		}
		if errors.Is(context.Cause(s.ctx), errFenceReplaced) {
			p.conn.Send(&mesh.SessionEnded{Session: p.ID})
		} else {
			p.conn.Send(&mesh.NewSession{})
		}
	}
}

// startDraining accepts no more runs, because the agent stops or, if endpoint is set,
// because the endpoint does.
func (s *session) startDraining(endpoint bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.table.StartDraining(endpoint) {
		return
	}
	for _, p := range s.participants {
		s.sendReport(p, &mesh.Report{Draining: true, EndpointDraining: endpoint})
	}
}

// sendReport sends a report to a participant. The caller holds mu, since the change of the table: a report of a later
// change must not overtake it. Send doesn't block.
func (s *session) sendReport(p *participant, r *mesh.Report) {
	report := *r
	report.Session = p.ID
	report.UsedByOthers = s.table.UsedByOthers(p.Scheduler)
	p.conn.Send(&report)
}

// reportToOwner sends a report on runs to their owner, and to the leader if there is
// one. Reports on the last leader's runs go to all entries, since each may have taken
// over some of its jobs. The caller holds mu, as for sendReport.
func (s *session) reportToOwner(o runtable.Owner, r *mesh.Report) {
	for _, p := range s.participants {
		if o.VisibleTo(p.VM) {
			s.sendReport(p, r)
		}
	}
}
