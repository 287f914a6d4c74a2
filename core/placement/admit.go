package placement

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

const (
	// admitFactor is the multiple of the objective within which a job must be
	// expected to complete. A later result is worth a fifth of a timely
	// one, and its work would make other jobs late too.
	admitFactor = 1.6
	// overhead is the time for accepting a job, sending messages and recording
	// the ends.
	overhead = 40 * time.Millisecond
	// Bounds of the time after which a refused caller may retry.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
)

// Admission is the decision whether to accept a job.
type Admission struct {
	Accepted bool
	// RetryAfter is the time after which a refused caller may retry.
	RetryAfter time.Duration
	// Expected is the estimated time to completion, Limit the longest that is
	// accepted, and Wait the part of it until the job's tasks start.
	Expected, Limit, Wait time.Duration
}

// Admit estimates when a job would complete after the work queued ahead of it,
// and refuses a job that would complete too late. A refusal reports to the caller
// that the job has not run, so a job that may have run elsewhere is never refused.
func (p *Planner) Admit(now time.Time, j *work.Job, prior PriorState) Admission {
	if prior.MayHaveRun() {
		return Admission{Accepted: true}
	}
	wait := p.queueWait(now, j)
	expected := wait + j.CriticalPath() + overhead
	limit := time.Duration(admitFactor * float64(j.Objective()))
	if expected <= limit {
		return Admission{Accepted: true, Expected: expected, Limit: limit, Wait: wait}
	}
	return Admission{Expected: expected, Limit: limit, Wait: wait, RetryAfter: min(max(expected-limit, minRetryAfter), maxRetryAfter)}
}

// queueWait estimates the time until all queued work of the same or a higher
// priority in the job's pool has been placed.
func (p *Planner) queueWait(now time.Time, j *work.Job) time.Duration {
	var queued float64 // core-seconds at nominal speed
	for _, g := range p.queue.groups {
		if g.timeliness == expired || g.job.spec.Priority > j.Priority || g.job.spec.Pool != j.Pool {
			continue
		}
		step := g.job.spec.Steps[g.step]
		queued += float64(len(g.tasks)) * float64(step.Need.CPU) / 1000 * step.Estimate.Seconds()
	}
	var rate float64 // core-seconds of nominal work a second
	for _, e := range p.order {
		if e.Pool == j.Pool && !e.Draining && e.leaseExpiry.IsZero() && e.health.available(now) {
			rate += float64(e.Capacity.CPU) / 1000 / e.slowdown.ratio
		}
	}
	if rate == 0 && p.awaitingEndpoints(now) {
		return 0 // endpoints are expected to join shortly
	}
	if rate == 0 {
		return maxRetryAfter
	}
	return time.Duration(queued / rate * float64(time.Second))
}
