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
	badFailShare = 0.95
	// minFailShare bounds the evidence of one failure.
	minFailShare = 0.05
	// minSuccesses is the number of successes of a kind before its failures
	// count against an endpoint.
	minSuccesses = 3
	// suspectStreak is the number of failures in a row after which an endpoint
	// gets one task at a time.
	suspectStreak = 2
	// firstTrial and maxTrial bound the time between single trials.
	firstTrial = 500 * time.Millisecond
	maxTrial   = 30 * time.Second
)

// health is the state of an endpoint's failure detector.
type health struct {
	// evidence is a cumulative sum of logarithms of likelihood ratios of "bad"
	// against "like the fleet".
	evidence    float64
	streak      int
	quarantined bool
	// lost marks a quarantine because the connection was lost. A trial may
	// lose its answer, so repeatable tasks are preferred for it.
	lost      bool
	interval  time.Duration
	nextTrial time.Time
	since     time.Time
}

// anyTrial returns when a trial may take any task: one interval after a
// repeatable one was wanted.
func (h *health) anyTrial() time.Time {
	if !h.lost {
		return h.nextTrial
	}
	return h.nextTrial.Add(h.interval)
}

// unsafe reports whether an item should not be a trial, because its answer may
// be lost and it cannot be repeated.
func (h *health) unsafe(item *Item, now time.Time) bool {
	return h.quarantined && !item.Repeatable && now.Before(h.anyTrial())
}

// outcome classifies the end of a start for the failure detector.
type outcome uint8

const (
	outcomeNeutral outcome = iota
	outcomeSuccess
	outcomeFailure
	// outcomeLost means that the endpoint cannot be reached or takes no work.
	outcomeLost
)

func classify(r Report) outcome {
	if r.OK {
		return outcomeSuccess
	}
	switch r.Code {
	case verdict.CodeEndpointLost, verdict.CodeLeaseExpired, verdict.CodeShuttingDown, verdict.CodeUnavailable:
		return outcomeLost
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
	gain := failGain
	if e.health.streak >= suspectStreak {
		gain /= 8
	}
	target := 0.0
	if failed {
		target = 1
	}
	k.failures += gain * (target - k.failures)
	if !failed {
		k.successes++
	}
}

// evidenceOf returns the evidence that one outcome gives against an endpoint.
func evidenceOf(k *kind, failed bool) float64 {
	if k.successes < minSuccesses {
		return 0
	}
	share := min(max(k.failures, minFailShare), badFailShare)
	if failed {
		return math.Log(badFailShare / share)
	}
	return math.Log((1 - badFailShare) / (1 - share))
}

func (s *Scheduler) noteOutcome(now time.Time, f *flight, r Report) {
	e := f.endpoint
	switch classify(r) {
	case outcomeSuccess:
		s.noteSuccess(f)
	case outcomeFailure:
		s.noteFailure(now, f)
	case outcomeLost:
		s.quarantine(now, e, true)
	case outcomeNeutral:
	}
}

func (s *Scheduler) noteSuccess(f *flight) {
	h := &f.endpoint.health
	h.streak = 0
	f.kind.observeOutcome(false, f.endpoint)
	h.evidence = max(0, h.evidence+evidenceOf(f.kind, false))
	if h.quarantined && f.trial {
		s.readmit(f.endpoint)
	}
}

func (s *Scheduler) noteFailure(now time.Time, f *flight) {
	e := f.endpoint
	h := &e.health
	f.kind.observeOutcome(true, e)
	h.streak++
	h.evidence = max(0, h.evidence+evidenceOf(f.kind, true))
	if h.quarantined && f.trial {
		s.scheduleTrial(now, e)
		return
	}
	if h.evidence >= quarantineEvidence {
		s.quarantine(now, e, false)
	}
}

// quarantine takes an endpoint out of use, unless that would leave less than
// half of the endpoints in use.
func (s *Scheduler) quarantine(now time.Time, e *endpoint, lost bool) {
	h := &e.health
	if h.quarantined {
		h.lost = h.lost || lost
		s.scheduleTrial(now, e)
		return
	}
	if e.removed() || 2*(s.quarantined+1) > len(s.endpoints) {
		return
	}
	h.quarantined = true
	h.lost = lost
	h.since = now
	h.interval = 0
	s.quarantined++
	s.scheduleTrial(now, e)
}

// scheduleTrial doubles the interval up to maxTrial and adds jitter of 20%.
func (s *Scheduler) scheduleTrial(now time.Time, e *endpoint) {
	h := &e.health
	if now.Before(h.nextTrial) {
		return
	}
	h.interval = min(max(2*h.interval, firstTrial), maxTrial)
	jitter := 0.8 + 0.4*s.random.Float64()
	h.nextTrial = now.Add(time.Duration(float64(h.interval) * jitter))
}

func (s *Scheduler) readmit(e *endpoint) {
	if e.health.quarantined {
		s.quarantined--
	}
	e.health = health{}
}

// releaseExcess readmits the longest quarantined endpoints when more than half
// are quarantined because others left.
func (s *Scheduler) releaseExcess() {
	for 2*s.quarantined > len(s.endpoints) {
		var oldest *endpoint
		for _, e := range s.endpointList {
			if !e.health.quarantined {
				continue
			}
			if oldest == nil || e.health.since.Before(oldest.health.since) {
				oldest = e
			}
		}
		s.readmit(oldest)
		s.place(oldest)
	}
}
