package placement

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

const (
	// suspendAfter is the number of failures in a row after which an endpoint
	// rests. Tasks that fail by their own fault are about 1 in 500, so two in a
	// row point to the endpoint.
	suspendAfter = 2
	// suspendFirst and suspendMost bound the rest; each further failure doubles it.
	minSuspension = time.Second
	maxSuspension = 8 * time.Second
	// doubtPeriod is how long one failure makes an endpoint look slower, and
	// doubtFactor by how much.
	suspicionPeriod = time.Second
	suspicionFactor = 4
)

// health is an endpoint's recent record.
type health struct {
	consecutiveFailures int
	failedAt            time.Time
	suspendedUntil      time.Time
	// trial is set while the one run after a rest is out.
	trial bool
}

// failed notes a failure.
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

// succeeded notes a success.
func (h *health) succeeded() { *h = health{} }

// available tells whether the endpoint may get a run: after a rest one at a time.
func (h *health) available(now time.Time) bool {
	return !now.Before(h.suspendedUntil) && !h.trial
}

// started notes a start; the first after a rest is a trial.
func (h *health) started(time.Time) {
	if h.consecutiveFailures >= suspendAfter {
		h.trial = true
	}
}

// weigh returns the time by which the endpoint is compared.
func (h *health) penalize(now time.Time, expected time.Duration) time.Duration {
	if h.consecutiveFailures > 0 && now.Sub(h.failedAt) < suspicionPeriod {
		return expected * suspicionFactor
	}
	return expected
}

// learn updates speed and health from the end of a run.
func (e *endpoint) observeEnd(now time.Time, r *run, how work.How) {
	switch how {
	case work.Done:
		e.health.succeeded()
		e.slowdown.observe(r.job.spec.Steps[r.Task.Step].Estimate, now.Sub(r.since))
	case work.Failed:
		e.health.failed(now)
	case work.Stopped, work.Lapsed, work.Broken, work.Alone, work.Vanished:
		e.health.trial = false
	}
}
