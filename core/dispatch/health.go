package dispatch

import (
	"math"
	"time"

	"github.com/cicadapulley/cicadapulley/core/verdict"
)

const (
	// quarantineEvidence is the log-likelihood ratio at which an endpoint is
	// quarantined. Three to four failures of a kind that rarely fails elsewhere
	// reach it.
	quarantineEvidence = 5.5
	// badFailureShare is the share of starts that a faulty endpoint is assumed
	// to fail.
	badFailureShare = 0.95
	// minFailureShare is the lowest failure share assumed for a kind. It limits
	// the evidence of one failure.
	minFailureShare = 0.05
	// minSuccesses is the number of successes of a kind before its failures
	// count against an endpoint.
	minSuccesses = 3
	// suspectFailures is the number of consecutive failures after which an
	// endpoint gets one task at a time.
	suspectFailures = 2
	// Bounds of the time between trials of a quarantined endpoint.
	minTrialInterval = 500 * time.Millisecond
	maxTrialInterval = 30 * time.Second
)

// health is the state of an endpoint's failure detector.
type health struct {
	// evidence is the cumulative sum, never below zero, of the log-likelihood
	// ratios of "faulty" to "like the rest of the fleet".
	evidence            float64
	consecutiveFailures int
	quarantined         bool
	// unavailable marks a quarantine because the endpoint could not be reached
	// or took no work. The answer to a trial may be lost too, so repeatable
	// tasks are preferred for it.
	unavailable      bool
	trialInterval    time.Duration
	nextTrial        time.Time
	quarantinedSince time.Time
}

// nextUnrestrictedTrial returns the time from which any task may be the trial.
// For an unavailable endpoint only repeatable tasks are used during one trial
// interval before that.
func (h *health) nextUnrestrictedTrial() time.Time {
	if !h.unavailable {
		return h.nextTrial
	}
	return h.nextTrial.Add(h.trialInterval)
}

// unsafeTrial reports whether an item should not be used as a trial, because
// it is not repeatable and its answer may be lost.
func (h *health) unsafeTrial(item *Item, now time.Time) bool {
	return h.quarantined && !item.Repeatable && now.Before(h.nextUnrestrictedTrial())
}

// outcome classifies the end of a start for the failure detector.
type outcome uint8

const (
	outcomeNeutral outcome = iota
	outcomeSuccess
	outcomeFailure
	// outcomeUnavailable means that the endpoint cannot be reached or takes no
	// work.
	outcomeUnavailable
)

func classify(r Report) outcome {
	if r.OK {
		return outcomeSuccess
	}
	switch r.Code {
	case verdict.CodeEndpointLost, verdict.CodeLeaseExpired, verdict.CodeShuttingDown, verdict.CodeUnavailable:
		return outcomeUnavailable
	case verdict.CodeEndpointBusy, verdict.CodeCancelled, verdict.CodeFenced, verdict.CodeAlreadyStarted,
		verdict.CodeBadRequest, verdict.CodeTooLarge:
		return outcomeNeutral
	case verdict.CodeDeadline:
		if r.Verdict == verdict.NotRun {
			return outcomeNeutral
		}
		return outcomeFailure
	default:
		return outcomeFailure
	}
}

// observeOutcome updates the kind's failure share over the fleet. Outcomes of
// an endpoint that fails repeatedly have less weight, so that one faulty
// endpoint does not dominate the share.
func (k *kind) observeOutcome(failed bool, e *endpoint) {
	gain := failureShareGain
	if e.health.consecutiveFailures >= suspectFailures {
		gain /= 8
	}
	target := 0.0
	if failed {
		target = 1
	}
	k.failureShare += gain * (target - k.failureShare)
	if !failed {
		k.successes++
	}
}

// evidenceOf returns the log-likelihood ratio of one outcome; a positive value
// is evidence that the endpoint is faulty.
func evidenceOf(k *kind, failed bool) float64 {
	if k.successes < minSuccesses {
		return 0
	}
	share := min(max(k.failureShare, minFailureShare), badFailureShare)
	if failed {
		return math.Log(badFailureShare / share)
	}
	return math.Log((1 - badFailureShare) / (1 - share))
}

func (s *Scheduler) recordOutcome(now time.Time, a *attempt, r Report) {
	e := a.endpoint
	switch classify(r) {
	case outcomeSuccess:
		s.recordSuccess(a)
	case outcomeFailure:
		s.recordFailure(now, a)
	case outcomeUnavailable:
		s.quarantine(now, e, true)
	case outcomeNeutral:
	}
}

func (s *Scheduler) recordSuccess(a *attempt) {
	h := &a.endpoint.health
	h.consecutiveFailures = 0
	a.kind.observeOutcome(false, a.endpoint)
	h.evidence = max(0, h.evidence+evidenceOf(a.kind, false))
	if h.quarantined && a.trial {
		s.readmit(a.endpoint)
	}
}

func (s *Scheduler) recordFailure(now time.Time, a *attempt) {
	e := a.endpoint
	h := &e.health
	a.kind.observeOutcome(true, e)
	h.consecutiveFailures++
	h.evidence = max(0, h.evidence+evidenceOf(a.kind, true))
	if h.quarantined && a.trial {
		s.scheduleTrial(now, e)
		return
	}
	if h.evidence >= quarantineEvidence {
		s.quarantine(now, e, false)
	}
}

// quarantine takes an endpoint out of use, unless that would leave less than
// half of the endpoints in use. For an endpoint in quarantine it schedules the
// next trial.
func (s *Scheduler) quarantine(now time.Time, e *endpoint, unavailable bool) {
	h := &e.health
	if h.quarantined {
		h.unavailable = h.unavailable || unavailable
		s.scheduleTrial(now, e)
		return
	}
	if e.removed() || 2*(s.quarantined+1) > len(s.endpoints) {
		return
	}
	h.quarantined = true
	h.unavailable = unavailable
	h.quarantinedSince = now
	h.trialInterval = 0
	s.quarantined++
	s.scheduleTrial(now, e)
}

// scheduleTrial sets the time of the next trial unless it is still ahead. It
// doubles the interval up to maxTrialInterval and applies a jitter of ±20%.
func (s *Scheduler) scheduleTrial(now time.Time, e *endpoint) {
	h := &e.health
	if now.Before(h.nextTrial) {
		return
	}
	h.trialInterval = min(max(2*h.trialInterval, minTrialInterval), maxTrialInterval)
	jitter := 0.8 + 0.4*s.random.Float64()
	h.nextTrial = now.Add(time.Duration(float64(h.trialInterval) * jitter))
}

func (s *Scheduler) readmit(e *endpoint) {
	if e.health.quarantined {
		s.quarantined--
	}
	e.health = health{}
}

// readmitExcess readmits the endpoints that have been in quarantine longest
// while more than half are quarantined, which happens when others were removed.
func (s *Scheduler) readmitExcess() {
	for 2*s.quarantined > len(s.endpoints) {
		var oldest *endpoint
		for _, e := range s.endpointList {
			if !e.health.quarantined {
				continue
			}
			if oldest == nil || e.health.quarantinedSince.Before(oldest.health.quarantinedSince) {
				oldest = e
			}
		}
		s.readmit(oldest)
		s.reindex(oldest)
	}
}
