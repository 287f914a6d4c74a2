package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// maxReturns is how often a simulated caller returns after a refusal.
const maxReturns = 3

// capacitySim runs a planner for a minute on 12 endpoints of 4 cores. Tasks take 100 ms by
// their estimate, and vary by 40%. Callers that are refused return at the second after the time
// that they were told, and up to 50 ms later.
type capacitySim struct {
	planner    *Planner
	random     *rand.Rand
	now, start time.Time
	events     []simEvent // in the order of their times
	callers    map[work.JobID]*simCaller
	results    map[string]*capacityResult
	// returning is the part of the refused callers that return.
	returning float64
	// remember is set if the planner remembers refused callers.
	remember bool
}

type simEvent struct {
	at time.Time
	do func()
}

// loadQueue is a queue and its load, as a multiple of the capacity.
type loadQueue struct {
	name     string
	priority int
	load     float64
}

type simCaller struct {
	job     *work.Job
	returns int
	sent    time.Time
}

// capacityResult counts the callers of a queue.
type capacityResult struct {
	callers, inTime, late, refusedOnce, returned, servedOnReturn, inTimeOnReturn int
}

func (r *capacityResult) String() string {
	percent := func(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }
	return fmt.Sprintf("in time %.1f%%, late %.1f%%; refused at first %.1f%%, returned %d, of these served on return %.1f%%, in time on return %.1f%%",
		percent(r.inTime, r.callers), percent(r.late, r.callers), percent(r.refusedOnce, r.callers),
		r.returned, percent(r.servedOnReturn, r.returned), percent(r.inTimeOnReturn, r.returned))
}

func newCapacitySim(returning float64, remember bool) *capacitySim {
	now := time.Unix(1000, 0)
	s := &capacitySim{
		planner: NewPlanner(1, now, nil), random: rand.New(rand.NewPCG(1, 2)), now: now, start: now,
		callers: map[work.JobID]*simCaller{}, results: map[string]*capacityResult{}, returning: returning, remember: remember,
	}
	for i := range 12 {
		s.planner.Join(now, Endpoint{
			Session: SessionID(i + 1), VM: fmt.Sprintf("vm-%d", i), Instance: "incarnation", Pool: "desk", Capacity: work.Resources{CPU: 4000, MemoryMB: 65536},
		}, nil, nil)
	}
	return s
}

func (s *capacitySim) after(d time.Duration, do func()) {
	at := s.now.Add(d)
	index := sort.Search(len(s.events), func(i int) bool { return s.events[i].at.After(at) })
	s.events = slices.Insert(s.events, index, simEvent{at, do})
}

func (s *capacitySim) run(queues ...loadQueue) map[string]*capacityResult {
	for _, q := range queues {
		s.results[q.name] = &capacityResult{}
		s.arrive(q)
	}
	s.tick()
	for s.now.Sub(s.start) < 90*time.Second {
		next := s.events[0]
		s.events = s.events[1:]
		s.now = next.at
		next.do()
		s.place()
	}
	return s.results
}

func (s *capacitySim) tick() {
	s.planner.Tick(s.now)
	s.after(50*time.Millisecond, s.tick)
}

func (s *capacitySim) arrive(q loadQueue) {
	if s.now.Sub(s.start) > time.Minute {
		return
	}
	j := oneStep(fmt.Sprintf("job-%d", len(s.callers)), 1)
	j.Queue, j.Priority = q.name, q.priority
	s.callers[j.ID] = &simCaller{job: j}
	s.results[q.name].callers++
	s.request(s.callers[j.ID])
	interval := 100e6 / 48 / q.load // in nanoseconds
	s.after(time.Duration(s.random.ExpFloat64()*interval), func() { s.arrive(q) })
}

func (s *capacitySim) request(c *simCaller) {
	c.sent = s.now
	if a := s.planner.Admit(s.now, c.job, PriorState{}); !a.Accepted {
		s.refused(c, a)
		return
	}
	s.planner.Add(s.now, c.job, PriorState{})
}

func (s *capacitySim) refused(c *simCaller, a Admission) {
	r, retryAfter := s.results[c.job.Queue], a.RetryAfter
	if !s.remember {
		s.planner.refused.remove(c.job.ID)
		retryAfter = min(max(a.Expected-a.Limit, minRetryAfter), maxRetryAfter) // as before
	}
	if c.returns == 0 {
		r.refusedOnce++
	}
	if c.returns == maxReturns || s.random.Float64() >= s.returning {
		return
	}
	told := time.Duration(math.Ceil(retryAfter.Seconds())) * time.Second
	s.after(told+time.Duration(s.random.Float64()*50e6), func() {
		if c.returns++; c.returns == 1 {
			r.returned++
		}
		s.request(c)
	})
}

func (s *capacitySim) place() {
	s.planner.Assign(s.now)
	for _, o := range s.planner.TakeOrders() {
		took := 100e6 * math.Exp(0.4*s.random.NormFloat64()-0.08) // in nanoseconds
		s.after(time.Duration(took), func() { s.planner.Ended(s.now, o.Session, work.End{Run: o.Run, Reason: work.Done}) })
	}
	for _, r := range s.planner.TakeRejected() {
		s.refused(s.callers[r.Job.ID], r.Admission)
	}
	for _, f := range s.planner.TakeFinished() {
		c := s.callers[f.ID]
		r := s.results[c.job.Queue]
		inTime, late := 1, 0
		if s.now.Sub(c.sent) > c.job.Objective() {
			inTime, late = 0, 1
		}
		r.inTime += inTime
		r.late += late
		if c.returns == 1 {
			r.servedOnReturn++
			r.inTimeOnReturn += inTime
		}
	}
}
