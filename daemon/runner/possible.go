package runner

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/runtable"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// possibleRuns are the runs that may exist at an incarnation of the endpoint.
type possibleRuns struct {
	incarnation string
	runs        []work.Run
	// ended is set if the incarnation has ended, or all of its runs have since their
	// lease has expired.
	ended bool
}

// setPossibleRuns records the runs that may exist at the endpoint after a session.
func (s *Service) setPossibleRuns(p *possibleRuns) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.possible = p
}

// possibleRuns returns the runs that may exist at an incarnation of the endpoint. It
// returns false if this agent has had no session with it.
func (s *Service) possibleRuns(r *Registration) ([]work.Run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.possible == nil || s.possible.incarnation != runtable.InstanceName(r.Incarnation) {
		return nil, false
	}
	return s.possible.runs, true
}

// possibleRuns returns the runs that may exist at the endpoint after the session.
func (s *session) possibleRuns() *possibleRuns {
	p := &possibleRuns{incarnation: runtable.InstanceName(s.registration.Incarnation)}
	if cause := context.Cause(s.ctx); errors.Is(cause, errLeaseExpired) || errors.Is(cause, errOtherInstance) {
		p.ended = true
		return p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p.runs = s.table.PossibleRuns()
	return p
}

// reportPossibleRuns sends the leader the runs that may exist at an endpoint that has
// not answered the first hold, if this agent knows them all.
func (s *session) reportPossibleRuns() {
	runs, known := s.service.possibleRuns(&s.registration)
	if s.leader == nil || !known {
		return
	}
	s.mu.Lock()
	ends := s.service.records.LostEnds("")
	s.mu.Unlock()
	s.leader.conn.Send(&mesh.PossibleRuns{Session: s.fence, Runs: runs, Ends: numberedEnds(ends)})
}
