package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Task is one task of a planned request.
type Task struct {
	Kind string
	// WorkMS is the run time at speed 1, in milliseconds.
	WorkMS float64
}

// Request is a planned request to an entry.
type Request struct {
	// SendOffset is the intended send time, from the start of the run.
	SendOffset time.Duration
	ID         string
	Stream     *Stream
	Tasks      []Task
	// Resubmit marks a job that is submitted again to other entries, once
	// while it runs and once after its answer.
	Resubmit bool
}

// WorkSeconds returns the work of all tasks, in seconds at speed 1.
func (r *Request) WorkSeconds() float64 {
	total := 0.0
	for _, t := range r.Tasks {
		total += t.WorkMS / 1000
	}
	return total
}

// IdealSeconds returns the ideal response time in seconds: the larger of the
// longest task at the mean speed and the total work spread over all slots.
func (r *Request) IdealSeconds(p *Profile) float64 {
	longest := 0.0
	for _, t := range r.Tasks {
		longest = max(longest, t.WorkMS/1000)
	}
	return max(longest/p.MeanSpeed(), r.WorkSeconds()/p.Capacity())
}

// PlanOptions set the load, length and seed of a plan.
type PlanOptions struct {
	// LoadFactor is the offered work relative to the capacity of all slots.
	LoadFactor float64
	Duration   time.Duration
	Seed       uint64
	// RunID makes the requests' ids unique among runs on one system.
	RunID string
	// MaxRequests bounds the plan.
	MaxRequests int
	// ResubmitShare is the fraction of the jobs that are submitted again.
	ResubmitShare float64
}

// NewPlan generates the requests of a run, ordered by send time. The arrivals of
// a stream are a Poisson process conditioned on the number of its events; job
// sizes are stratified, so that the offered work is close to the load factor.
func NewPlan(p *Profile, o PlanOptions) ([]*Request, error) {
	random := rand.New(rand.NewPCG(o.Seed, 0x10ad))
	var plan []*Request
	for i := range p.Streams {
		s := &p.Streams[i]
		work := o.LoadFactor * p.Capacity() * s.Share * o.Duration.Seconds()
		count := int(math.Round(work / s.meanWorkSeconds()))
		if len(plan)+count > o.MaxRequests {
			return nil, fmt.Errorf("the plan exceeds %d requests; lower --factor or --duration", o.MaxRequests)
		}
		plan = append(plan, p.planStream(s, count, o, random)...)
	}
	slices.SortFunc(plan, func(a, b *Request) int { return int(a.SendOffset - b.SendOffset) })
	return plan, nil
}

func (p *Profile) planStream(s *Stream, count int, o PlanOptions, random *rand.Rand) []*Request {
	strata := random.Perm(count)
	list := make([]*Request, count)
	for i := range list {
		quantile := (float64(strata[i]) + random.Float64()) / float64(count)
		r := &Request{
			SendOffset: p.Bursts.arrivalTime(random.Float64(), o.Duration),
			ID:         fmt.Sprintf("%s-%s-%d", o.RunID, s.Name, i),
			Stream:     s,
		}
		for range int(math.Round(s.Tasks.quantile(quantile))) {
			r.Tasks = append(r.Tasks, s.drawTask(random))
		}
		r.Resubmit = s.Form == FormJob && random.Float64() < o.ResubmitShare
		list[i] = r
	}
	return list
}

// arrivalTime maps u, uniform in [0, 1), to an arrival time. The density of
// arrivals is higher by b.Factor within bursts.
func (b Bursts) arrivalTime(u float64, duration time.Duration) time.Duration {
	if b.EveryMS <= 0 || b.LengthMS <= 0 || b.Factor <= 1 {
		return time.Duration(u * float64(duration))
	}
	totalMS := float64(duration) / float64(time.Millisecond)
	target := u * b.cumulativeDensity(totalMS)
	low, high := 0.0, totalMS
	for range 60 { // bisection to less than a nanosecond
		middle := (low + high) / 2
		if b.cumulativeDensity(middle) < target {
			low = middle
		} else {
			high = middle
		}
	}
	return time.Duration(low * float64(time.Millisecond))
}

// cumulativeDensity is the integral of the arrival density up to a time in
// milliseconds. Each period ends with a burst.
func (b Bursts) cumulativeDensity(ms float64) float64 {
	periods := math.Floor(ms / b.EveryMS)
	quietMS := b.EveryMS - b.LengthMS
	remainderMS := ms - periods*b.EveryMS
	return periods*(quietMS+b.LengthMS*b.Factor) + min(remainderMS, quietMS) + max(0, remainderMS-quietMS)*b.Factor
}
