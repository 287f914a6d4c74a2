package placement

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/interference"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// maxAvoided bounds the endpoints with an interfering run that one search looks at. The
// bounds of the index don't contain interference, so a search could look at every endpoint.
const maxAvoided = 16

// DetectInterference makes the planner learn which queues slow each other down on one
// endpoint, and prefer other endpoints for their tasks. It is called before any other
// method.
func (p *Planner) DetectInterference() { p.interference = interference.NewTable() }

// DetectsInterference reports whether DetectInterference was called.
func (p *Planner) DetectsInterference() bool { return p.interference != nil }

// InterferenceFindings returns the pairs of queues that are known to interfere.
func (p *Planner) InterferenceFindings() []interference.Finding {
	if p.interference == nil {
		return nil
	}
	return p.interference.Findings()
}

// InterferenceObservations returns the number of ended runs that were used as evidence.
func (p *Planner) InterferenceObservations() uint64 {
	if p.interference == nil {
		return 0
	}
	return p.interference.Observed
}

// TakeInterferenceChanges returns the findings that were made or dropped since the last call.
func (p *Planner) TakeInterferenceChanges() []interference.Change {
	if p.interference == nil {
		return nil
	}
	return p.interference.TakeChanges()
}

// reviewInterference updates the findings.
func (p *Planner) reviewInterference(now time.Time) {
	if p.interference != nil {
		p.interference.Review(now)
	}
}

// newNeighbours returns the state of an endpoint for the detection, nil without it.
func (p *Planner) newNeighbours() *interference.Endpoint {
	if p.interference == nil {
		return nil
	}
	return &interference.Endpoint{}
}

// queueID returns the ID of a job's queue in the detection.
func (p *Planner) queueID(now time.Time, queue string) interference.QueueID {
	if p.interference == nil {
		return interference.Untracked
	}
	return p.interference.Queue(now, queue)
}

// recordNeighbours stores what is on the endpoint of a run that is about to start.
func (p *Planner) recordNeighbours(r *run) {
	if p.interference == nil {
		return
	}
	r.neighbours = r.endpoint.neighbours.Neighbours()
	r.observable = true
	if p.interference.Concerns(r.job.queueID) && !p.interfering(r.job.queueID, r.endpoint).Empty() {
		p.Stats.BesideInterfering++
		r.slowdown = p.slowdownBeside(r.job.queueID, r.endpoint)
	}
}

// estimate returns the estimate of the task, increased by the interference that was known
// at the start, so that the endpoint is not rated slow because of it.
func (r *run) estimate() time.Duration {
	estimate := r.job.spec.Steps[r.Task.Step].Estimate
	if r.slowdown <= 1 {
		return estimate
	}
	return time.Duration(float64(estimate) * r.slowdown)
}

// countNeighbour counts a run as a neighbour of the others on its endpoint, or no longer.
func (r *run) countNeighbour(added bool) {
	switch {
	case r.endpoint.neighbours == nil:
	case added:
		r.queueID = r.job.queueID
		r.endpoint.neighbours.Start(r.queueID)
	default:
		r.endpoint.neighbours.End(r.queueID)
	}
}

// observeInterference passes the end of a run to the detection. The tasks of a step share
// the error of their estimate and count as one observation. It is that of the first task: a
// choice by the time of the end would prefer the faster ones.
func (p *Planner) observeInterference(now time.Time, r *run, reason work.EndReason) {
	if p.interference == nil || !r.observable || reason != work.Done || r.Task.Index != 0 || r.job.spec.Steps[r.Task.Step].Estimate <= 0 {
		return
	}
	p.interference.Observe(now, r.queueID, r.endpoint.neighbours, r.neighbours, r.expected, now.Sub(r.since))
}

// interfering returns the queues on the endpoint that slow a queue or are slowed by it.
func (p *Planner) interfering(id interference.QueueID, e *endpoint) interference.Set {
	slowedBy, slows := p.interference.SlowedBy(id), p.interference.Slows(id)
	for i := range slowedBy {
		slowedBy[i] |= slows[i]
	}
	return e.neighbours.Present().Intersect(slowedBy)
}

// avoidance is the part of a query that prefers endpoints without interfering runs. A
// nil avoidance has no preferences.
type avoidance struct {
	planner *Planner
	queue   interference.QueueID
	// seen counts the endpoints with interfering runs, and fastest is the shortest
	// expected run time on them, without interference.
	seen    int
	fastest time.Duration
}

// newAvoidance returns the preferences for a job's tasks, nil if its queue is in no finding.
func (p *Planner) newAvoidance(j *job) *avoidance {
	if p.interference == nil || !p.interference.Concerns(j.queueID) {
		return nil
	}
	return &avoidance{planner: p, queue: j.queueID}
}

// exhausted reports whether the search has looked at enough endpoints.
func (a *avoidance) exhausted() bool { return a != nil && a.seen >= maxAvoided }

// addInterference returns the expected run time for comparing endpoints, increased by the
// interference with the runs on the endpoint.
func (q *query) addInterference(e *endpoint, expected time.Duration) time.Duration {
	a := q.avoid
	if a == nil {
		return expected
	}
	present := a.planner.interfering(a.queue, e)
	if present.Empty() {
		return expected
	}
	if a.seen == 0 || expected < a.fastest {
		a.fastest = expected
	}
	a.seen++
	slowed := time.Duration(float64(expected) * a.planner.slowdownBeside(a.queue, e))
	if q.best != nil && slowed > q.expected {
		return slowed // not preferred, whatever the delay of the others
	}
	return slowed + a.planner.delay(a.queue, e, expected)
}

// slowdownBeside returns the factor by which a task of a queue that starts on the endpoint is
// slowed, by the strongest of the interfering runs.
func (p *Planner) slowdownBeside(id interference.QueueID, e *endpoint) float64 {
	slowdown := 1.0
	for other := range e.neighbours.Present().Intersect(p.interference.SlowedBy(id)).All() {
		slowdown = max(slowdown, p.interference.Slowdown(id, other))
	}
	return slowdown
}

// delay returns the time by which a task of a queue that starts on the endpoint delays
// the runs there. A run is taken to go on for half of the task's run time: a look at what is
// left of each run costs more than the rest of the search.
func (p *Planner) delay(id interference.QueueID, e *endpoint, expected time.Duration) time.Duration {
	total := 0.0
	for other := range p.interference.Slows(id).Intersect(e.neighbours.Present()).All() {
		total += float64(e.neighbours.Count(other)) * (p.interference.Slowdown(other, id) - 1)
	}
	return time.Duration(total * float64(expected) / 2)
}

// chooseEndpoint returns the endpoint that is expected to finish the task first, nil if
// none has capacity or it is better to wait. It avoids interference only as long as
// that does not make the task wait.
func (p *Planner) chooseEndpoint(now time.Time, j *job, step, index int) *endpoint {
	if a := p.newAvoidance(j); a != nil {
		if e := p.chooseAvoiding(now, j, step, index, a); e != nil {
			if a.seen > 0 && a.fastest < e.expectedRunTime(&j.spec.Steps[step]) && p.interfering(a.queue, e).Empty() {
				p.Stats.Avoided++
			}
			return e
		}
	}
	return p.chooseAvoiding(now, j, step, index, nil)
}
