package placement

import (
	"slices"
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
	// trialPeriod is how long the single run after a suspension may keep other runs
	// from the endpoint. A faulty endpoint has failed or stalled a run by then, whereas
	// a sound one may need much longer for it.
	trialPeriod = time.Second
	// maxBlamedEndpoints is the number of endpoints whose health the failures of one
	// step count against while none of its tasks has succeeded. A step that fails
	// wherever it runs says nothing about the endpoints, and must not suspend all of them.
	maxBlamedEndpoints = 2
)

// health tracks the recent failures of an endpoint.
type health struct {
	consecutiveFailures int
	failedAt            time.Time
	suspendedAt         time.Time
	suspendedUntil      time.Time
	// trial is set while the single run after a suspension has not ended. It keeps other
	// runs from the endpoint until trialUntil.
	trial      bool
	trialUntil time.Time
}

func (h *health) failed(now time.Time) {
	h.consecutiveFailures++
	h.failedAt = now
	h.trial = false
	if h.consecutiveFailures < suspendAfter {
		return
	}
	suspension := minSuspension << min(h.consecutiveFailures-suspendAfter, 3)
	h.suspendedAt = now
	h.suspendedUntil = now.Add(min(suspension, maxSuspension))
}

// refused records that a start which was ordered at a time was refused as unhealthy or invalid.
// Starts from before the suspension are refused for the cause that led to it, and don't prolong it.
func (h *health) refused(now, orderedAt time.Time) {
	if orderedAt.After(h.suspendedAt) {
		h.failed(now)
	}
}

func (h *health) succeeded() { *h = health{} }

// available reports whether the endpoint may get a run.
func (h *health) available(now time.Time) bool { return !now.Before(h.availableAt()) }

// availableAt returns the time before which the endpoint gets no run: the end of its
// suspension or, while a trial is in progress, of the trial period.
func (h *health) availableAt() time.Time {
	if h.trial && h.trialUntil.After(h.suspendedUntil) {
		return h.trialUntil
	}
	return h.suspendedUntil
}

// started records a start; the first after a suspension is a trial. A further start means
// that the trial has lasted for its period without a failure. The endpoint is then in use
// again, and the next failure suspends it.
func (h *health) started(now time.Time) {
	switch {
	case h.trial:
		h.trial = false
		h.consecutiveFailures = suspendAfter - 1
	case h.consecutiveFailures >= suspendAfter:
		h.trial = true
		h.trialUntil = now.Add(trialPeriod)
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
		r.job.outcomes[r.Task.Step].succeeded = true
		e.health.succeeded()
		e.observeRamp(now, r)
		if !r.adopted {
			e.slowdown.observe(r.estimate(), now.Sub(r.since))
		}
	case work.Failed:
		if r.job.outcomes[r.Task.Step].blames(e.VM) {
			e.health.failed(now)
		} else {
			e.health.trial = false
		}
	case work.Stopped, work.LeaseExpired, work.GangBroken, work.GangIncomplete, work.Lost:
		e.health.trial = false
	}
}

// stepOutcomes are the outcomes of a step's runs, as far as they matter for the health of
// the endpoints.
type stepOutcomes struct {
	// succeeded is set once a task of the step has ended Done.
	succeeded bool
	// failedOn has the first VMs with a failed run.
	failedOn []string
}

// blames records a failed run on a VM, and reports whether it counts against the endpoint.
func (o *stepOutcomes) blames(vm string) bool {
	known := slices.Contains(o.failedOn, vm)
	if !known && len(o.failedOn) < maxBlamedEndpoints {
		o.failedOn = append(o.failedOn, vm)
		known = true
	}
	return known || o.succeeded
}
