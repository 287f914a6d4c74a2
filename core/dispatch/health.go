package dispatch

import (
	"math"
	"time"

	"github.com/cicadapulley/cicadapulley/core/verdict"
)

const (
	// quarantineEvidence is the logarithm of the likelihood ratio at which an
	// endpoint is quarantined: three to four failures of a kind that
	// rarely fails elsewhere.
	quarantineEvidence = 5.5
	// badFailShare is the share of starts that a bad endpoint is assumed to fail.
	badFailureShare = 0.95
	// minFailShare bounds the evidence of one failure.
	minFailureShare = 0.05
	// minSuccesses is the number of successes of a kind before its failures
	// count against an endpoint.
	minSuccesses = 3
	// suspectStreak is the number of failures in a row after which an endpoint
	// gets one task at a time.
	suspectFailures = 2
	// firstTrial and maxTrial bound the time between single trials.
	minTrialInterval = 500 * time.Millisecond
	maxTrialInterval = 30 * time.Second
)

// health is the state of an endpoint's failure detector.
type health struct {
	// evidence is a cumulative sum of logarithms of likelihood ratios of "bad"
	// against "like the fleet".
	evidence            float64
	consecutiveFailures int
	quarantined         bool
	// lost marks a quarantine because the connection was lost. A trial may
	// lose its answer, so repeatable tasks are preferred for it.
	unavailable      bool
	trialInterval    time.Duration
	nextTrial        time.Time
	quarantinedSince time.Time
}

// anyTrial returns when a trial may take any task: one interval after a
// repeatable one was wanted.
func (h *health) nextUnrestrictedTrial() time.Time {
	if !h.unavailable {
		return h.nextTrial
	}
	return h.nextTrial.Add(h.trialInterval)
}

// unsafe reports whether an item should not be a trial, because its answer may
// be lost and it cannot be repeated.
func (h *health) unsafeTrial(item *Item, now time.Time) bool {
	return h.quarantined && !item.Repeatable && now.Before(h.nextUnrestrictedTrial())
}

// outcome classifies the end of a start for the failure detector.
type outcome uint8

const (
	outcomeNeutral outcome = iota
	outcomeSuccess
	outcomeFailure
	// outcomeLost means that the endpoint cannot be reached or takes no work.
	outcomeUnavailable
)

func classify(r Report) outcome {
	if r.OK {
		return outcomeSuccess
	}
	switch r.Code {
	case verdict.CodeEndpointLost, verdict.CodeLeaseLapsed, verdict.CodeShuttingDown, verdict.CodeUnavailable:
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

// observeOutcome updates the kind's share of failures over the fleet. An
// endpoint that fails repeatedly counts less, so that it does not pass for the fleet.
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

// evidenceOf returns the evidence that one outcome gives against an endpoint.
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
// half of the endpoints in use.
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

// scheduleTrial doubles the interval up to maxTrial and adds jitter of 20%.
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

// releaseExcess readmits the longest quarantined endpoints when more than half
// are quarantined because others left.
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
