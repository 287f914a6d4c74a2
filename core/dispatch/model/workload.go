package model

import (
	"fmt"
	"math"
	"time"
)

// kindSpec is a kind of task: its mean work at the fleet's mean speed, the spread
// of the work of single tasks, and the declared run time.
type kindSpec struct {
	name string
	// work is in seconds; sigma is the standard deviation of its logarithm.
	work     float64
	sigma    float64
	declared time.Duration
}

// requestSpec is a class of requests.
type requestSpec struct {
	kind kindSpec
	// share is the class's share of the offered work.
	share float64
	// callers is the number of callers that send this class.
	callers    int
	minTasks   int
	maxTasks   int
	repeatable bool
	deadline   time.Duration
	// burstFactor is the ratio of the rate during bursts to that outside.
	burstFactor float64
}

func (r requestSpec) meanTasks() float64 { return float64(r.minTasks+r.maxTasks) / 2 }

// Workload is a mix of request classes.
type Workload struct {
	Name    string
	classes []requestSpec
}

const (
	// Every burstPeriod the rate of bursting classes rises for burstLength.
	burstPeriod = 5 * time.Second
	burstLength = 200 * time.Millisecond
)

// Dala is a mix of price quotes, order checks, wholesale bookings, long
// curing-batch checks and order-scheduling jobs of up to 790 tasks. Declared
// run times are up to 10 times wrong.
func Dala() Workload {
	return Workload{Name: "dala", classes: []requestSpec{
		{kind: kindSpec{"quote", 0.05, 0.02, 500 * time.Millisecond}, share: 0.35, callers: 6,
			minTasks: 1, maxTasks: 1, repeatable: true, deadline: 2 * time.Second, burstFactor: 2},
		{kind: kindSpec{"order", 0.15, 0.2, 150 * time.Millisecond}, share: 0.25, callers: 6,
			minTasks: 1, maxTasks: 1, repeatable: true, deadline: 3 * time.Second, burstFactor: 1},
		{kind: kindSpec{"wholesale", 0.2, 0.2, 20 * time.Millisecond}, share: 0.1, callers: 2,
			minTasks: 1, maxTasks: 1, deadline: 5 * time.Second, burstFactor: 1},
		{kind: kindSpec{"curing", 3, 0.3, 300 * time.Millisecond}, share: 0.1, callers: 2,
			minTasks: 1, maxTasks: 4, repeatable: true, deadline: 30 * time.Second, burstFactor: 1},
		{kind: kindSpec{"schedule", 0.12, 0.3, 100 * time.Millisecond}, share: 0.2, callers: 3,
			minTasks: 20, maxTasks: 790, deadline: 30 * time.Second, burstFactor: 1},
	}}
}

// Hsinchu is a mix of price checks at checkout, stock holds and renewal runs.
func Hsinchu() Workload {
	return Workload{Name: "hsinchu", classes: []requestSpec{
		{kind: kindSpec{"price", 0.05, 0.02, 50 * time.Millisecond}, share: 0.45, callers: 3,
			minTasks: 1, maxTasks: 1, repeatable: true, deadline: time.Second, burstFactor: 2},
		{kind: kindSpec{"hold", 0.1, 0.1, time.Second}, share: 0.25, callers: 3,
			minTasks: 1, maxTasks: 1, deadline: 2 * time.Second, burstFactor: 2},
		{kind: kindSpec{"renewal", 0.4, 0.4, 40 * time.Millisecond}, share: 0.3, callers: 2,
			minTasks: 10, maxTasks: 400, deadline: 60 * time.Second, burstFactor: 1},
	}}
}

// WorkloadNamed returns the workload of a name, dala or hsinchu; any other name
// is an error.
func WorkloadNamed(name string) (Workload, error) {
	switch name {
	case "dala":
		return Dala(), nil
	case "hsinchu":
		return Hsinchu(), nil
	default:
		return Workload{}, fmt.Errorf("unknown workload %q", name)
	}
}

// source sends the requests of one class to random entries.
type source struct {
	run  *run
	spec requestSpec
	// rate is the mean number of requests per second outside bursts.
	rate float64
	sent int
}

func newSource(r *run, spec requestSpec, offeredWork float64) *source {
	perSecond := offeredWork * spec.share / (spec.kind.work * spec.meanTasks())
	burstShare := burstLength.Seconds() / burstPeriod.Seconds()
	return &source{run: r, spec: spec, rate: perSecond / (1 + burstShare*(spec.burstFactor-1))}
}

// currentRate returns the rate in requests per second at the current time.
func (s *source) currentRate() float64 {
	elapsed := s.run.sim.now.Sub(s.run.startTime) % burstPeriod
	if elapsed < burstLength {
		return s.rate * s.spec.burstFactor
	}
	return s.rate
}

// scheduleNext schedules the next arrival at the peak rate and sends it with the
// probability of the current rate (thinning).
func (s *source) scheduleNext() {
	peakRate := s.rate * max(1, s.spec.burstFactor)
	gap := s.run.sim.random.ExpFloat64() / peakRate
	s.run.sim.after(time.Duration(gap*float64(time.Second)), func() {
		if s.run.sim.random.Float64()*peakRate < s.currentRate() {
			s.send()
		}
		s.scheduleNext()
	})
}

func (s *source) send() {
	sim := s.run.sim
	s.sent++
	count := s.spec.minTasks + sim.random.IntN(s.spec.maxTasks-s.spec.minTasks+1)
	req := &request{
		spec:      s.spec,
		caller:    fmt.Sprintf("%s%d", s.spec.kind.name, sim.random.IntN(s.spec.callers)),
		id:        fmt.Sprintf("%s-%d", s.spec.kind.name, s.sent),
		arrived:   sim.now,
		remaining: count,
	}
	for range count {
		req.work = append(req.work, s.drawWork())
	}
	e := s.run.entries[sim.random.IntN(len(s.run.entries))]
	e.receive(req)
}

// drawWork returns the work of one task in seconds: a sample of a log-normal
// distribution with the mean of the kind.
func (s *source) drawWork() float64 {
	sigma := s.spec.kind.sigma
	return s.spec.kind.work * math.Exp(sigma*s.run.sim.random.NormFloat64()-sigma*sigma/2)
}
