package placement

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// RejectedJob is a best-effort job that was admitted and is refused before any of its tasks
// has begun.
type RejectedJob struct {
	Job *work.Job
	// MayHaveRun is set if this planner or an earlier one may have started a task, as on an
	// endpoint that was lost. The refusal must not say that the job has not run.
	MayHaveRun bool
	// Admission is the decision at the time of the refusal.
	Admission Admission
}

// shed refuses queued best-effort jobs of which nothing has run and whose results would
// come when they have no more value for their callers. It answers a load that grows, or
// endpoints that are lost, after jobs were admitted: without it these callers wait until
// their own time-outs and learn nothing about whether the job has run.
//
// The work ahead of a job is that of the groups before it in the queue, without those
// that are refused. Runs in progress aren't counted, so that the estimate is too low
// rather than too high.
func (p *Planner) shed(now time.Time) {
	pools := map[string]*poolBacklog{}
	own := map[*queueShare]workload{}
	var rejected []RejectedJob
	for _, g := range p.queue.groups {
		name := g.job.spec.Pool
		pool := pools[name]
		if pool == nil {
			pool = &poolBacklog{}
			pools[name] = pool
		}
		share := g.job.share
		if p.mayShed(g.job) {
			if !pool.rated {
				pool.rate, pool.rated = p.rate(now, name), true
			}
			if a, hopeless := hopeless(now, g.job, pool.wait(share.ahead(pool.ahead, own[share]))); hopeless {
				rejected = append(rejected, newRejectedJob(g.job, a))
				continue
			}
		}
		w := workload(len(g.tasks)) * g.taskWorkload()
		pool.ahead += w
		if share != nil {
			own[share] += w
		}
	}
	p.Stats.Shed += uint64(len(rejected))
	p.reject(now, rejected)
}

// poolBacklog is the work ahead of a group in the queue of its pool, and the rate at which the pool does it.
type poolBacklog struct {
	ahead workload
	// rate is set with rated, once a job needs it.
	rate  float64
	rated bool
}

// wait returns the time that work takes, 0 while the pool has no usable endpoint.
func (b *poolBacklog) wait(ahead workload) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	return time.Duration(ahead.seconds() / b.rate * float64(time.Second))
}

func newRejectedJob(j *job, a Admission) RejectedJob {
	return RejectedJob{Job: j.spec, MayHaveRun: j.mayHaveRun || j.started, Admission: a}
}

// reject closes jobs for TakeRejected. Callers that may try again are told when.
func (p *Planner) reject(now time.Time, rejected []RejectedJob) {
	for _, r := range rejected {
		p.Close(r.Job.ID)
	}
	for i := range rejected {
		if r := &rejected[i]; !r.MayHaveRun {
			r.Admission.RetryAfter = p.promiseReturn(now, r.Job, r.Admission.RetryAfter)
		}
	}
	p.rejected = append(p.rejected, rejected...)
}

// mayShed reports whether a job is one that may be refused: nothing of it has run.
func (p *Planner) mayShed(j *job) bool {
	return j.spec.BestEffort && !j.begun && len(p.runs[j.spec.ID]) == 0
}

// hopeless reports whether a job's result would come too late after a wait for the work ahead of it.
func hopeless(now time.Time, j *job, wait time.Duration) (Admission, bool) {
	limit := j.expiresAt.Sub(j.arrived)
	waited := now.Sub(j.arrived)
	expected := waited + wait + j.criticalPath
	if expected <= limit {
		return Admission{}, false
	}
	return Admission{Expected: expected, Limit: limit, Wait: wait, Waited: waited, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}, true
}

// TakeRejected returns the jobs that were refused since the last call.
func (p *Planner) TakeRejected() []RejectedJob {
	rejected := p.rejected
	p.rejected = nil
	return rejected
}
