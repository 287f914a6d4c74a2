package dispatch

import (
	"math"
	"time"

	"github.com/cicadapulley/cicadapulley/core/verdict"
)

const (
	// speculationShare is the number of starts beyond the grant that each
	// success allows: it bounds their refusals to 1.3% of the tasks.
	speculationShare = 0.013
	// speculationBurst bounds the saved starts beyond the grant.
	speculationBurst = 64.0
)

// speculation is a token bucket for starts beyond the grant. A start that was
// not refused returns its token.
type speculation struct {
	// spent is counted instead of what is left, so that the zero value is full.
	spent float64
}

// available reports whether a start may take a token. Bulk work leaves half of
// the tokens to other tasks.
func (s *speculation) available(bulk bool) bool {
	if bulk {
		return s.spent+1 <= speculationBurst/2
	}
	return s.spent+1 <= speculationBurst
}

func (s *speculation) take()          { s.spent++ }
func (s *speculation) earn(x float64) { s.spent = max(0, s.spent-x) }

// learn takes over the load, the run time and the correction of the flow's
// charge from a report.
func (s *Scheduler) learn(now time.Time, f *flight, r Report) {
	e := f.endpoint
	if r.Load != nil {
		e.apply(now, *r.Load)
	}
	refused := r.Verdict == verdict.NotRun
	if refused {
		s.noteRefusal(now, f, r)
	} else {
		e.busyUntil = time.Time{}
		if f.spare {
			s.speculation.earn(1)
		}
	}
	if r.OK {
		s.budget.success()
		s.speculation.earn(speculationShare)
		f.kind.observe(r.RunTime, e)
		s.centre()
	}
	s.settle(f, r, refused)
	e.updatePenalty(now)
}

func (s *Scheduler) noteRefusal(now time.Time, f *flight, r Report) {
	s.stats.Refused++
	if r.Code != verdict.CodeEndpointBusy {
		return
	}
	e := f.endpoint
	s.budget.busy++
	if r.Load == nil {
		e.granted = min(e.granted, e.inFlight())
		e.reported = now
	}
	e.others = max(e.others, e.Slots-e.inFlight())
	e.busyUntil = now.Add(busyPause)
}

// settle corrects the flow's charge to the work that was done: none after a
// refusal, the observed run time after a run.
func (s *Scheduler) settle(f *flight, r Report, refused bool) {
	actual := f.work
	if refused {
		actual = 0
	} else if r.RunTime > 0 {
		actual = max(minWork, r.RunTime.Seconds()*math.Exp(f.endpoint.logSpeed))
	}
	s.fair.charge(f.flow, actual-f.work)
}
