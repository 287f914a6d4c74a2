package runner

import (
	"maps"
	"slices"

	"github.com/cicadapulley/cicadapulley/api/mesh"
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
func (s *Service) setPossibleRuns(r *Registration, runs []work.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.possible = &possibleRuns{incarnation: incarnationName(*r), runs: runs}
}

// setIncarnationEnded records that no run of the last session's incarnation exists any
// more.
func (s *Service) setIncarnationEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.possible.ended = true
	s.possible.runs = nil
}

// possibleRuns returns the runs that may exist at an incarnation of the endpoint. It
// returns false if this agent has had no session with it.
func (s *Service) possibleRuns(r *Registration) ([]work.Run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.possible == nil || s.possible.incarnation != incarnationName(*r) {
		return nil, false
	}
	return s.possible.runs, true
}

// possibleRuns returns the runs that may exist at the endpoint after the session, and
// those whose ends a leader has to record and may not have recorded.
func (s *session) possibleRuns() []work.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := slices.Collect(maps.Keys(s.runs))
	for _, e := range s.unacked {
		if !e.bestEffort {
			list = append(list, e.run)
		}
	}
	return list
}

// reportPossibleRuns sends the leader the runs that may exist at an endpoint that has
// not answered the first hold, if this agent knows them all.
func (s *session) reportPossibleRuns() {
	runs, known := s.service.possibleRuns(&s.registration)
	if s.leader == nil || !known {
		return
	}
	from := s.service.lastLeaderContact().Add(-lostEndWindow)
	s.leader.conn.Send(&mesh.PossibleRuns{Session: s.fence, Runs: runs, Ends: s.service.records.endsSince(from, "")})
}
