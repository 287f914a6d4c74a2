package dispatch

import (
	"math"
	"time"

	"github.com/cicadapulley/cicadapulley/core/verdict"
)

const (
	// speculationPerSuccess is the number of starts beyond the grant that each
	// success allows. It limits their refusals to 1.3% of the tasks.
	speculationPerSuccess = 0.013
	// speculationBurst is the maximum number of tokens.
	speculationBurst = 64.0
)

// speculation is a token bucket for starts beyond the grant. A start that was
// not refused returns its token.
type speculation struct {
	// spent is the number of tokens taken. It is counted instead of the tokens
	// left, so that the zero value is a full bucket.
	spent float64
}

// available reports whether a start may take a token. Bulk work may use half of
// the tokens.
func (s *speculation) available(bulk bool) bool {
	if bulk {
		return s.spent+1 <= speculationBurst/2
	}
	return s.spent+1 <= speculationBurst
}

func (s *speculation) take()                 { s.spent++ }
func (s *speculation) credit(tokens float64) { s.spent = max(0, s.spent-tokens) }

// applyReport updates the endpoint's load, the estimates and the flow's charge
// from a report.
func (s *Scheduler) applyReport(now time.Time, a *attempt, r Report) {
	e := a.endpoint
	if r.Load != nil {
		e.applyLoad(now, *r.Load)
	}
	refused := r.Verdict == verdict.NotRun
	if refused {
		s.recordRefusal(now, a, r)
	} else {
		e.busyUntil = time.Time{}
		if a.speculative {
			s.speculation.credit(1)
		}
	}
	if r.OK {
		s.retryBudget.recordSuccess()
		s.speculation.credit(speculationPerSuccess)
		a.kind.observeRun(r.RunTime, e)
		s.normalizeSpeeds()
	}
	s.correctCharge(a, r, refused)
	e.updatePenalty(now)
}

func (s *Scheduler) recordRefusal(now time.Time, a *attempt, r Report) {
	s.counters.Refused++
	if r.Code != verdict.CodeEndpointBusy {
		return
	}
	e := a.endpoint
	s.retryBudget.busyRefusals++
	if r.Load == nil {
		e.granted = min(e.granted, e.inFlight())
		e.lastReport = now
	}
	e.usedByOthers = max(e.usedByOthers, e.Slots-e.inFlight())
	e.busyUntil = now.Add(busyBackoff)
}

// correctCharge corrects the flow's charge to the work that was done: none after
// a refusal, the observed run time after a run.
func (s *Scheduler) correctCharge(a *attempt, r Report, refused bool) {
	actual := a.work
	if refused {
		actual = 0
	} else if r.RunTime > 0 {
		actual = max(minWork, r.RunTime.Seconds()*math.Exp(a.endpoint.logSpeed))
	}
	s.fair.charge(a.flow, actual-a.work)
}
