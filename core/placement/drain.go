package placement

import (
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// drainedRetryAfter is the time after which a caller may retry that was refused because all
// endpoints for its job are drained. Drains last for minutes.
const drainedRetryAfter = maxRetryAfter

// SetDrained applies the operator's drains of data centres. Endpoints of a drained data
// centre get no starts and don't count in admission; their runs continue. Endpoints that
// join later are drained too. After the withdrawal an endpoint's capacity returns in
// steps. Drains of an older revision are ignored.
func (p *Planner) SetDrained(now time.Time, d work.DataCentreDrains) {
	if d.Revision < p.drains.Revision {
		return
	}
	p.drains = work.DataCentreDrains{Revision: d.Revision, DataCentres: slices.Clone(d.DataCentres)}
	for _, e := range p.order {
		drained := p.drains.Contains(e.DataCentre)
		if drained == e.drained {
			continue
		}
		e.drained = drained
		if drained {
			p.endRamp(e)
		} else {
			p.beginRamp(e, newRamp(now, e.slowdown.ratio))
		}
		p.pools.mark(e)
	}
	p.refuseDrained(now)
}

// Drained reports whether a data centre is drained.
func (p *Planner) Drained(dataCentre string) bool { return p.drains.Contains(dataCentre) }

// allDrained reports whether the drains leave no endpoint for a job: in its pool, or with
// a label that one of its steps requires. leaveNone reports it for a pool and a label.
func allDrained(j *work.Job, leaveNone func(pool, label string) bool) bool {
	if leaveNone(j.Pool, "") {
		return true
	}
	return slices.ContainsFunc(j.Steps, func(s work.Step) bool {
		return s.RequiredLabel != "" && leaveNone(j.Pool, s.RequiredLabel)
	})
}

// refuseDrained refuses the waiting best-effort jobs for which the drains leave no endpoint:
// their callers would wait until their own time limits. A stored job waits for the withdrawal.
func (p *Planner) refuseDrained(now time.Time) {
	if len(p.drains.DataCentres) == 0 || p.awaitingEndpoints(now) {
		return
	}
	leaveNone := map[indexKey]bool{}
	memo := func(pool, label string) bool {
		key := indexKey{pool: pool, label: label}
		none, known := leaveNone[key]
		if !known {
			none = p.drainsLeaveNone(pool, label)
			leaveNone[key] = none
		}
		return none
	}
	var refused []*job
	for _, g := range p.queue.groups {
		j := g.job
		if j.spec.BestEffort && !j.started && !j.mayHaveRun && !slices.Contains(refused, j) && allDrained(j.spec, memo) {
			refused = append(refused, j)
		}
	}
	var rejected []RejectedJob
	for _, j := range refused {
		waited := now.Sub(j.arrived)
		rejected = append(rejected, newRejectedJob(j, Admission{
			Expected: waited + drainedRetryAfter + j.criticalPath + overhead, Limit: j.due.Sub(j.arrived), Wait: drainedRetryAfter, Waited: waited, RetryAfter: drainedRetryAfter,
		}))
	}
	p.reject(now, rejected)
}

// drainsLeaveNone reports whether a pool has drained endpoints with a label, and every
// other one gets no runs either until it has a new session or answers again. An endpoint
// that is suspended for some seconds is left. An empty label stands for all endpoints.
func (p *Planner) drainsLeaveNone(pool, label string) bool {
	drained := false
	for _, e := range p.order {
		if e.Pool != pool || label != "" && !slices.Contains(e.Labels, label) {
			continue
		}
		if !e.drained && !e.Draining && !e.unreachable && e.leaseExpiry.IsZero() {
			return false
		}
		drained = drained || e.drained
	}
	return drained
}

// hasAlternative reports whether the task of a run on a drained endpoint could start on
// another endpoint. Otherwise the run is not stopped for a new start: until the
// withdrawal there would be none.
func (p *Planner) hasAlternative(now time.Time, r *run) bool {
	return !r.endpoint.drained || p.bestRatio(now, r.job.spec.Pool, r.job.spec.Steps[r.Task.Step].RequiredLabel) > 0
}
