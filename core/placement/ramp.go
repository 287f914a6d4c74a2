package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

const (
	// rampStart is the share of its capacity that an endpoint gets first after a drain, and
	// the least that slow runs reduce it to.
	rampStart = 0.25
	// rampMinStep is the least growth with a run that ends in time. A run that takes more of
	// the endpoint adds its own part, so that the share doubles with each round of runs.
	rampMinStep = 0.05
	// rampSlowFactor is the multiple of the expected run time from which a run counts as
	// slow. Estimates are off by 40%, and run times vary as much.
	rampSlowFactor = 2.0
	// rampShrink multiplies the share when a run was slow.
	rampShrink = 0.7
	// rampDuration ends every ramp. Endpoints are cold for some seconds only, and one that
	// gets no runs, or very long ones, must not stay limited.
	rampDuration = 10 * time.Second
	// rampSlackFactor and rampSlack are what a task that waits for another endpoint than a
	// ramped one keeps of its time: this multiple of the rest of its job's longest chain,
	// and a duration. A single step of 100 ms with a stretch of 1.6 waits for up to 75 ms.
	rampSlackFactor = 1.25
	rampSlack       = 20 * time.Millisecond
)

// ramp is the part of its capacity that an endpoint gets after a drain, when it may be
// cold.
type ramp struct {
	began time.Time
	// share is the part of the capacity that runs which started since began may take.
	share float64
	// ratio is the endpoint's slowdown at the beginning, by which runs are judged: the
	// learned one follows the cold runs.
	ratio float64
}

func newRamp(now time.Time, ratio float64) *ramp {
	return &ramp{began: now, share: rampStart, ratio: ratio}
}

// over reports whether the endpoint has its whole capacity again.
func (r *ramp) over(now time.Time) bool {
	return r.share >= 1 || now.Sub(r.began) >= rampDuration
}

// observe applies the end of a run that took the given part of the endpoint. expected is
// its run time on the warm endpoint.
func (r *ramp) observe(part float64, expected, took time.Duration) {
	if float64(took) > rampSlowFactor*float64(expected) {
		r.slow()
		return
	}
	r.share = min(r.share+max(part, rampMinStep), 1)
}

// slow reduces the share, because runs are slower than expected.
func (r *ramp) slow() { r.share = max(r.share*rampShrink, rampStart) }

// limit returns the part of the capacity that the ramp gives. Amounts are rounded up, so
// that it includes a whole accelerator.
func (r *ramp) limit(capacity work.Resources) work.Resources {
	part := func(n int) int { return int(math.Ceil(float64(n) * r.share)) }
	return work.Resources{CPU: part(capacity.CPU), MemoryMB: part(capacity.MemoryMB), GPU: part(capacity.GPU)}
}

// largestPart returns the largest part that a task takes of any resource.
func largestPart(need, capacity work.Resources) float64 {
	part := func(n, of int) float64 {
		if of <= 0 {
			return 0
		}
		return float64(n) / float64(of)
	}
	return max(part(need.CPU, capacity.CPU), part(need.MemoryMB, capacity.MemoryMB), part(need.GPU, capacity.GPU))
}

// available returns the free resources that a new run may take.
func (e *endpoint) available() work.Resources {
	if e.ramp == nil {
		return e.free
	}
	return e.availableInRamp()
}

// availableInRamp returns the free resources that a new run may take during a ramp. Runs
// that started before it don't count against the limit, and one run may take any free
// amount: a task that needs more than the share, or a long run, must not close the
// endpoint.
func (e *endpoint) availableInRamp() work.Resources {
	left := e.ramp.limit(e.Capacity).Minus(e.UsedByOthers)
	alone := true
	for _, r := range e.runs {
		if !r.since.Before(e.ramp.began) {
			left = left.Minus(r.need)
			alone = false
		}
	}
	if alone {
		return e.free
	}
	return work.Resources{CPU: min(e.free.CPU, left.CPU), MemoryMB: min(e.free.MemoryMB, left.MemoryMB), GPU: min(e.free.GPU, left.GPU)}
}

// share returns the part of its capacity that the endpoint may use.
func (e *endpoint) share() float64 {
	if e.ramp == nil {
		return 1
	}
	return e.ramp.share
}

// observeRamp applies the end of a run that was done to the endpoint's ramp.
func (e *endpoint) observeRamp(now time.Time, r *run) {
	if e.ramp == nil || r.since.Before(e.ramp.began) {
		return
	}
	s := &r.job.spec.Steps[r.Task.Step]
	outsideRack := s.PreferredRack != "" && !slices.Contains(e.Labels, s.PreferredRack)
	e.ramp.observe(largestPart(r.need, e.Capacity), expectedRunTime(s, e.ramp.ratio, outsideRack), now.Sub(r.since))
}

// beginRamp limits an endpoint that is no longer drained.
func (p *Planner) beginRamp(e *endpoint, r *ramp) {
	p.endRamp(e)
	e.ramp = r
	p.ramped = append(p.ramped, e)
}

// endRamp gives an endpoint its whole capacity.
func (p *Planner) endRamp(e *endpoint) {
	if e.ramp != nil {
		e.ramp = nil
		p.ramped = slices.DeleteFunc(p.ramped, func(o *endpoint) bool { return o == e })
		p.pools.mark(e)
	}
}

// endRamps ends the ramps that are over.
func (p *Planner) endRamps(now time.Time) {
	for _, e := range slices.Clone(p.ramped) {
		if e.ramp.over(now) {
			p.endRamp(e)
		}
	}
}

// rampsYield reports whether a step's tasks may exceed the limits of ramps if no other
// endpoint has room: they would hardly be in time if they waited, and the caller still has
// a use for the result.
func (p *Planner) rampsYield(now time.Time, j *job, step int) bool {
	if now.After(j.expiresAt) {
		return false
	}
	ratio := max(p.bestRatio(now, j.spec.Pool, j.spec.Steps[step].RequiredLabel), 1)
	needed := time.Duration(rampSlackFactor*ratio*float64(restOfChain(j.spec, step))) + rampSlack
	return !now.Add(needed).Before(j.due)
}

// restOfChain returns the estimate of the longest chain of steps that begins with a step.
// Steps come after those that they depend on.
func restOfChain(spec *work.Job, step int) time.Duration {
	begins := make([]time.Duration, len(spec.Steps))
	longest := time.Duration(0)
	for i := step; i < len(spec.Steps); i++ {
		before := time.Duration(0)
		for _, dependency := range spec.Steps[i].After {
			if dependency >= step {
				before = max(before, begins[dependency])
			}
		}
		if i != step && before == 0 {
			continue // not after the step
		}
		estimate := spec.Steps[i].Estimate
		if estimate <= 0 {
			estimate = defaultEstimate
		}
		begins[i] = before + estimate
		longest = max(longest, begins[i])
	}
	return longest
}

// searchRamped looks for an endpoint without regard to the limits of ramps.
func (p *Planner) searchRamped(q *query) {
	q.ignoreRamps = true
	for _, e := range p.ramped {
		q.outsideRack = q.step.PreferredRack != "" && !slices.Contains(e.Labels, q.step.PreferredRack)
		q.consider(e)
	}
}
