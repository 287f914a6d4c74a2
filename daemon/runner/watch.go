package runner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// watch follows what the session rests on until it ends: the endpoint's life, the
// leader's token, the leader itself, the entries and drains.
func (s *session) watch(ctx context.Context) {
	for ctx.Err() == nil {
		b, changed := s.service.basis()
		r := b.registered
		switch {
		case r == nil || r.Instance != s.reg.Instance || r.StartTimeMS != s.reg.StartTimeMS:
			s.end(errChanged)
			return
		case b.fence != s.fence:
			s.end(errReplaced)
			return
		}
		if r.Draining || b.draining {
			s.startDraining()
		}
		s.follow(b)
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// follow takes changes of the holders.
func (s *session) follow(b basis) {
	s.mu.Lock()
	lost := s.leader
	if lost != nil && b.leader == lost.holder {
		lost = nil
	}
	if lost != nil {
		s.leader = nil
		delete(s.joined, lost.vm)
		s.acknowledgeBestEffort()
	}
	led := s.leader != nil
	s.mu.Unlock()
	if lost != nil {
		lost.leave(lost)
		s.service.opts.Log.Emit(events.Event{ID: events.SessionOrphaned, Ticket: uint64(s.fence)})
	}
	if led {
		return
	}
	s.dropEntries(b.entries)
	for _, h := range b.entries {
		if id := h.take(); id != 0 {
			s.join(&joined{holder: h, session: s, id: id, sentClocks: map[uint64]time.Duration{}}, nil)
			s.service.opts.Log.Emit(events.Event{ID: events.EntryJoined, Peer: h.vm, Ticket: uint64(id)})
		}
	}
}

// dropEntries forgets the entries whose connection has ended.
func (s *session) dropEntries(present []*holder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for vm, j := range s.joined {
		found := false
		for _, h := range present {
			found = found || h == j.holder
		}
		if !found {
			delete(s.joined, vm)
		}
	}
}

// leaveAll ends the session's parts for all holders. Entries are told whether a
// leader has taken over or whether another session without one follows.
func (s *session) leaveAll() {
	for _, j := range s.holders() {
		j.leave(j)
		if j.vm == "" {
			continue
		}
		if errors.Is(context.Cause(s.ctx), errReplaced) {
			j.conn.Send(&mesh.SessionEnded{Session: j.id})
		} else {
			j.conn.Send(&mesh.NewSession{})
		}
	}
}

func (s *session) startDraining() {
	s.mu.Lock()
	already := s.draining
	s.draining = true
	s.mu.Unlock()
	if already {
		return
	}
	for _, j := range s.holders() {
		s.tell(j, &mesh.Report{Draining: true})
	}
}

// tell sends a report to a holder.
func (s *session) tell(j *joined, r *mesh.Report) {
	report := *r
	report.Session = j.id
	s.mu.Lock()
	report.UsedByOthers = s.others(j)
	s.mu.Unlock()
	j.conn.Send(&report)
}

// report sends news of runs to their owner. News of the last leader's runs goes to
// all entries, since each may have taken some of its jobs.
func (s *session) report(o owner, r *mesh.Report) {
	for _, j := range s.holders() {
		if concerns(o, j.vm) {
			s.tell(j, r)
		}
	}
}

// leaderHeard returns when a leader last answered.
func (s *Service) leaderHeard() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard
}

func (s *Service) hearLeader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = now()
}
