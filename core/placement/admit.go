package placement

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

const (
	// admitFactor is the multiple of the objective within which a job must be
	// expected to complete while work is queued ahead of it. A later result is worth a
	// fifth of a timely one, and its work would make other jobs late too. Without a
	// queue the limit is ExpiryFactor: a late result is better than none.
	admitFactor = 1.6
	// standingAdmitFactor replaces admitFactor while the queue has not been empty for
	// standingQueueTime. A queue that stays is as long as admission lets it become: with a
	// limit beyond the objective all jobs behind it would be late, not only the excess.
	standingAdmitFactor = 1.25
	standingQueueTime   = 400 * time.Millisecond
	// overhead is the time for accepting a job, sending messages and recording
	// the ends.
	overhead = 40 * time.Millisecond
	// Bounds of the time after which a refused caller may retry.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
	// maxPlacementTime bounds estimates, so that callers' large estimates don't overflow them.
	maxPlacementTime = 24 * time.Hour
)

// Admission is the decision whether to accept a job.
type Admission struct {
	Accepted bool
	// RetryAfter is the time after which a refused caller may retry.
	RetryAfter time.Duration
	// Expected is the estimated time to completion since the caller's request, Limit
	// the longest that is accepted, Wait the part of it in the queue, and Waited the part
	// that has passed.
	Expected, Limit, Wait, Waited time.Duration
}

// Admit estimates when a job would complete after the work queued ahead of it,
// and refuses a job that would complete too late. A refusal reports to the caller
// that the job has not run, so a job that may have run elsewhere is never refused.
// A refusal is remembered, so that the caller is admitted before newcomers on return.
func (p *Planner) Admit(now time.Time, j *work.Job, prior PriorState) Admission {
	p.refused.advance(now)
	if p.refused.returns(now, j.ID) {
		p.refused.learn(allReturn)
	}
	a := p.admission(now, j, prior)
	if a.Accepted {
		p.refused.remove(j.ID)
	} else {
		a.RetryAfter = p.promiseReturn(now, j, a.RetryAfter)
	}
	return a
}

// admission decides whether to accept a job. The RetryAfter of a refusal is a lower bound.
func (p *Planner) admission(now time.Time, j *work.Job, prior PriorState) Admission {
	if prior.MayHaveRun() || p.knowsRunsOf(j.ID) {
		return Admission{Accepted: true}
	}
	wait := p.queueWait(now, j)
	expected := prior.Waited + wait + j.CriticalPath() + overhead
	factor := p.admitFactor(now, j, wait)
	limit := time.Duration(factor * float64(j.Objective()))
	a := Admission{Accepted: expected <= limit, Expected: expected, Limit: limit, Wait: wait, Waited: prior.Waited}
	if len(p.drains.DataCentres) > 0 && allDrained(j, p.drainsLeaveNone) && !p.awaitingEndpoints(now) {
		a.Accepted = false
		a.RetryAfter = drainedRetryAfter
	}
	return a
}

// admitFactor returns the multiple of a job's objective within which it must be expected
// to complete after a wait.
func (p *Planner) admitFactor(now time.Time, j *work.Job, wait time.Duration) float64 {
	if wait == 0 {
		return ExpiryFactor
	}
	for key, since := range p.queuedSince {
		if key.pool == j.Pool && key.priority <= j.Priority && now.Sub(since) >= standingQueueTime {
			return standingAdmitFactor
		}
	}
	return admitFactor
}

// trackQueues records since when work has been queued for each pool and priority. Work of
// a higher priority counts, since it is placed first.
func (p *Planner) trackQueues(now time.Time) {
	for key := range p.queuedSince {
		if p.queue.load.ahead(key.pool, key.priority) == 0 {
			delete(p.queuedSince, key)
		}
	}
	for key := range p.queue.load {
		if _, queued := p.queuedSince[key]; !queued {
			p.queuedSince[key] = now
		}
	}
}

// queueWait estimates the time until all work that comes before the job has been placed:
// queued work of the same or a higher priority in its pool, and work of refused callers.
func (p *Planner) queueWait(now time.Time, j *work.Job) time.Duration {
	part := p.refused.returning
	if p.refused.returns(now, j.ID) {
		part = 0
	}
	return p.placementTime(now, j.Pool, p.workAhead(j, &p.refused.due, part))
}

// workAhead returns the workload that comes before a job: what is queued, and with it a part
// of that of refused callers. The latter doesn't count while nothing is queued: endpoints
// are not left idle for callers that may not return.
func (p *Planner) workAhead(j *work.Job, refused *refusedWork, part workload) workload {
	ahead := p.queue.load.ahead(j.Pool, j.Priority)
	if part > 0 && len(refused.loads) > 0 && ahead > 0 {
		ahead += refused.ahead(j.Pool, j.Priority) / allReturn * part
	}
	s := p.shares.of(j)
	if s == nil {
		return ahead
	}
	own := s.queued
	if part > 0 && own > 0 {
		own += refused.queues[s.shareKey] / allReturn * part
	}
	return s.ahead(ahead, own)
}

// placementTime estimates the time until work in a pool has been placed.
func (p *Planner) placementTime(now time.Time, pool string, w workload) time.Duration {
	rate := p.rate(now, pool)
	if joined := len(p.order); joined > 0 && p.awaitingEndpoints(now) {
		// The endpoints that are expected to join shortly do their part of the work.
		rate *= float64(joined+len(p.awaitedVMs)) / float64(joined)
	}
	if rate == 0 && p.awaitingEndpoints(now) {
		return 0 // endpoints are expected to join shortly
	}
	if rate == 0 {
		return maxRetryAfter
	}
	return time.Duration(min(w.seconds()/rate, maxPlacementTime.Seconds()) * float64(time.Second))
}
