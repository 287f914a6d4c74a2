package placement

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

const (
	// suspendAfter is the number of consecutive failures after which an endpoint
	// is suspended. About 1 in 500 tasks fails by its own fault, so two failures
	// in a row indicate a faulty endpoint.
	suspendAfter = 2
	// minSuspension and maxSuspension bound the suspension; each further failure
	// doubles it.
	minSuspension = time.Second
	maxSuspension = 8 * time.Second
	// suspicionPeriod is how long the expected run times of an endpoint are
	// multiplied by suspicionFactor after a failure.
	suspicionPeriod = time.Second
	suspicionFactor = 4
)

// health tracks the recent failures of an endpoint.
type health struct {
	consecutiveFailures int
	failedAt            time.Time
	suspendedUntil      time.Time
	// trial is set while the single run after a suspension has not ended.
	trial bool
}

func (h *health) failed(now time.Time) {
	h.consecutiveFailures++
	h.failedAt = now
	h.trial = false
	if h.consecutiveFailures < suspendAfter {
		return
	}
	suspension := minSuspension << min(h.consecutiveFailures-suspendAfter, 3)
	h.suspendedUntil = now.Add(min(suspension, maxSuspension))
}

func (h *health) succeeded() { *h = health{} }

// available reports whether the endpoint may get a run. After a suspension it gets
// one at a time until one succeeds.
func (h *health) available(now time.Time) bool {
	return !now.Before(h.suspendedUntil) && !h.trial
}

// started records a start; the first after a suspension is a trial.
func (h *health) started(time.Time) {
	if h.consecutiveFailures >= suspendAfter {
		h.trial = true
	}
}

// penalize returns the expected run time for comparing endpoints, increased after a
// recent failure.
func (h *health) penalize(now time.Time, expected time.Duration) time.Duration {
	if h.consecutiveFailures > 0 && now.Sub(h.failedAt) < suspicionPeriod {
		return expected * suspicionFactor
	}
	return expected
}

// observeEnd updates slowdown and health from the end of a run.
func (e *endpoint) observeEnd(now time.Time, r *run, reason work.EndReason) {
	switch reason {
	case work.Done:
		e.health.succeeded()
		e.slowdown.observe(r.job.spec.Steps[r.Task.Step].Estimate, now.Sub(r.since))
	case work.Failed:
		e.health.failed(now)
	case work.Stopped, work.LeaseExpired, work.GangBroken, work.GangIncomplete, work.Lost:
		e.health.trial = false
	}
}
