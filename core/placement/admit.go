package placement

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

const (
	// admitWithin is the multiple of the objective within which a job must be
	// expected to complete. Later results are worth a fifth, and their work
	// would make other jobs late too.
	admitFactor = 1.6
	// overhead is the time for acceptance, messages and the record of the ends.
	overhead = 40 * time.Millisecond
	// Bounds of the time after which a refused caller may come back.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
)

// Admission tells whether a job is accepted.
type Admission struct {
	Accepted bool
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
	// Expected is the estimated time to completion, Limit the longest that is
	// accepted, and Wait the part of it until the job's tasks start.
	Expected, Limit, Wait time.Duration
}

// Admit estimates when a job would complete behind the work that comes before
// it, and refuses one that would come too late. A refusal says that the job has not
// run, so one that may have run elsewhere is never refused.
func (p *Planner) Admit(now time.Time, j *work.Job, prior PriorState) Admission {
	if prior.MayHaveRun() {
		return Admission{Accepted: true}
	}
	wait := p.queueWait(now, j)
	expected := wait + j.Chain() + overhead
	limit := time.Duration(admitFactor * float64(j.Objective()))
	if expected <= limit {
		return Admission{Accepted: true, Expected: expected, Limit: limit, Wait: wait}
	}
	return Admission{Expected: expected, Limit: limit, Wait: wait, RetryAfter: min(max(expected-limit, minRetryAfter), maxRetryAfter)}
}

// waitFor estimates the time until all queued work of the same or a higher
// priority has been placed.
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
		return 0 // the endpoints are about to join
	}
	if rate == 0 {
		return maxRetryAfter
	}
	return time.Duration(queued / rate * float64(time.Second))
}
