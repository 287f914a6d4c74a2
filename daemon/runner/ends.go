package runner

import (
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/work"
)

const (
	// maxListedEnds is the number of ends that an endpoint lists at a time.
	maxListedEnds = 500
	// maxUnacked limits the ends that wait for the next leader to record them. At
	// the limit the agent accepts no more runs from entries, so that fewer than
	// maxListedEnds are listed: later ones would not be reported.
	maxUnacked = 400
	// lapseMargin is the time after the latest deadline, on the endpoint's clock, after which its
	// lease has certainly lapsed.
	lapseMargin = 50 * time.Millisecond
)

type unackedEnd struct {
	run        work.Run
	number     uint64
	bestEffort bool
	// disputed is set for an end that a leader must record. A leader out of contact takes
	// the run for lapsed and may start the task elsewhere, so until the end is acknowledged or the
	// endpoint's lease has lapsed, the lease must not outlast the contact with the leader.
	disputed bool
}

// recordNewEnds records the ends that have not been reported yet and returns their
// reports by the owner of the run.
func (s *session) recordNewEnds(ends []End) map[owner]*mesh.Report {
	reports := map[owner]*mesh.Report{}
	for _, e := range ends {
		if e.Number <= s.reportedUpTo {
			continue
		}
		s.reportedUpTo = e.Number
		started, _ := s.service.records.lookup(e.End.Run)
		s.service.records.recordEnd(now(), e.End)
		delete(s.runs, e.End.Run)
		s.unacked = append(s.unacked, unackedEnd{
			run: e.End.Run, number: e.Number, bestEffort: started.bestEffort,
			disputed: !started.bestEffort && e.End.Reason.Durable(),
		})
		r := reportFor(reports, started.owner)
		r.Ends = append(r.Ends, mesh.NumberedEnd{Number: e.Number, End: e.End, BestEffort: started.bestEffort})
	}
	return reports
}

// hasDisputedEnds reports whether an end is disputed. The caller holds mu.
func (s *session) hasDisputedEnds() bool {
	return slices.ContainsFunc(s.unacked, func(e unackedEnd) bool { return e.disputed })
}

// settleEnds settles the disputed ends if the endpoint's lease has lapsed, which a listing
// shows by its clock: ends from before a lapse are void. The caller holds mu.
func (s *session) settleEnds(clock time.Duration) {
	if s.leader != nil || clock <= s.latestDeadline+lapseMargin {
		return
	}
	for i := range s.unacked {
		s.unacked[i].disputed = false
	}
}

func reportFor(reports map[owner]*mesh.Report, o owner) *mesh.Report {
	if reports[o] == nil {
		reports[o] = &mesh.Report{}
	}
	return reports[o]
}

// acknowledge allows the endpoint to drop its ends up to a number.
func (s *session) acknowledge(upTo uint64) {
	s.mu.Lock()
	s.ackedUpTo = max(s.ackedUpTo, upTo)
	for len(s.unacked) > 0 && s.unacked[0].number <= s.ackedUpTo {
		s.unacked = s.unacked[1:]
	}
	s.mu.Unlock()
	select {
	case s.ackedChanged <- struct{}{}:
	default:
	}
}

// acknowledgeBestEffort allows the endpoint to drop the ends that need no record,
// up to the first that does. It has no effect while there is a leader, which
// acknowledges all ends; entries acknowledge none. The caller holds mu.
func (s *session) acknowledgeBestEffort() {
	for s.leader == nil && len(s.unacked) > 0 && s.unacked[0].bestEffort {
		s.ackedUpTo = s.unacked[0].number
		s.unacked = s.unacked[1:]
	}
}
