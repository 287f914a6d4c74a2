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
	suspendFirst = time.Second
	suspendMost  = 8 * time.Second
	// doubtPeriod is how long one failure makes an endpoint look slower, and
	// doubtFactor by how much.
	doubtPeriod = time.Second
	doubtFactor = 4
)

// health is an endpoint's recent record.
type health struct {
	streak     int
	failedAt   time.Time
	restsUntil time.Time
	// trial is set while the one run after a rest is out.
	trial bool
}

// failed notes a failure.
func (h *health) failed(now time.Time) {
	h.streak++
	h.failedAt = now
	h.trial = false
	if h.streak < suspendAfter {
		return
	}
	rest := suspendFirst << min(h.streak-suspendAfter, 3)
	h.restsUntil = now.Add(min(rest, suspendMost))
}

// succeeded notes a success.
func (h *health) succeeded() { *h = health{} }

// available tells whether the endpoint may get a run: after a rest one at a time.
func (h *health) available(now time.Time) bool {
	return !now.Before(h.restsUntil) && !h.trial
}

// started notes a start; the first after a rest is a trial.
func (h *health) started(time.Time) {
	if h.streak >= suspendAfter {
		h.trial = true
	}
}

// weigh returns the time by which the endpoint is compared.
func (h *health) weigh(now time.Time, expected time.Duration) time.Duration {
	if h.streak > 0 && now.Sub(h.failedAt) < doubtPeriod {
		return expected * doubtFactor
	}
	return expected
}

// learn updates speed and health from the end of a run.
func (e *endpoint) learn(now time.Time, r *run, how work.How) {
	switch how {
	case work.Done:
		e.health.succeeded()
		e.speed.observe(r.job.spec.Steps[r.Task.Step].Estimate, now.Sub(r.since))
	case work.Failed:
		e.health.failed(now)
	case work.Stopped, work.Lapsed, work.Broken, work.Alone, work.Vanished:
		e.health.trial = false
	}
}
