package runner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/mesh"
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
		delete(s.participants, lostLeader.vm)
		s.acknowledgeBestEffort()
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
			s.addParticipant(&participant{schedulerConn: entry, session: s, id: id, sentClocks: map[uint64]time.Duration{}}, nil)
			s.service.opts.Log.Emit(events.Event{ID: events.EntryJoined, Peer: entry.vm, Ticket: uint64(id)})
		}
	}
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
		}
	}
}

// releaseParticipants ends the participation of all schedulers. It notifies entries
// whether a leader has taken over or another session without a leader follows.
func (s *session) releaseParticipants() {
	for _, p := range s.participantList() {
		p.clearParticipant(p)
		if p.vm == "" {
			continue
		}
		if errors.Is(context.Cause(s.ctx), errFenceReplaced) {
			p.conn.Send(&mesh.SessionEnded{Session: p.id})
		} else {
			p.conn.Send(&mesh.NewSession{})
		}
	}
}

// startDraining accepts no more runs, because the agent stops or, if endpoint is set,
// because the endpoint does.
func (s *session) startDraining(endpoint bool) {
	s.mu.Lock()
	already := s.draining && (s.endpointDraining || !endpoint)
	s.draining = true
	s.endpointDraining = s.endpointDraining || endpoint
	s.mu.Unlock()
	if already {
		return
	}
	for _, p := range s.participantList() {
		s.sendReport(p, &mesh.Report{Draining: true, EndpointDraining: endpoint})
	}
}

// sendReport sends a report to a participant.
func (s *session) sendReport(p *participant, r *mesh.Report) {
	report := *r
	report.Session = p.id
	s.mu.Lock()
	report.UsedByOthers = s.usedByOthers(p)
	s.mu.Unlock()
	p.conn.Send(&report)
}

// reportToOwner sends a report on runs to their owner, and to the leader if there is
// one. Reports on the last leader's runs go to all entries, since each may have taken
// over some of its jobs.
func (s *session) reportToOwner(o owner, r *mesh.Report) {
	for _, p := range s.participantList() {
		if visibleTo(o, p.vm) {
			s.sendReport(p, r)
		}
	}
}

// lastLeaderContact returns when a leader last answered.
func (s *Service) lastLeaderContact() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaderContactAt
}

func (s *Service) recordLeaderContact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaderContactAt = now()
}
