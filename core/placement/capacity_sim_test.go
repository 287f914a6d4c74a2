package placement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// capacitySim runs a planner under a load of 1.35 times the capacity of 12 endpoints of 4
// cores. Tasks take 100 ms by their estimate, and vary by 40%. Callers that are refused return
// after the time that they were told, and after a latency of up to 50 ms.
type capacitySim struct {
	planner *Planner
	random  *rand.Rand
	now     time.Time
	end     time.Time
	events  simEvents
	callers map[work.JobID]*simCaller
	results map[string]*capacityResult
	// returning is the part of the refused callers that return, at most maxReturns times.
	returning float64
	// remember is set if the planner remembers refused callers.
	remember bool
}

const maxReturns = 3

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

func percent(n, of int) string { return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(max(of, 1))) }

func (r *capacityResult) String() string {
	return fmt.Sprintf("in time %s, late %s; refused once %s, returned %d, of these served on return %s, in time on return %s", percent(r.inTime, r.callers), percent(r.late, r.callers),
		percent(r.refusedOnce, r.callers), r.returned, percent(r.servedOnReturn, r.returned), percent(r.inTimeOnReturn, r.returned))
}

type simEvent struct {
	at time.Time
	do func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newCapacitySim(returning float64, remember bool) *capacitySim {
	now := time.Unix(1000, 0)
	s := &capacitySim{
		planner: NewPlanner(1, now, nil), random: rand.New(rand.NewPCG(1, 2)), now: now, end: now.Add(time.Minute),
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
	heap.Push(&s.events, simEvent{s.now.Add(d), do})
}

// run simulates a minute with the given queues.
func (s *capacitySim) run(queues ...loadQueue) map[string]*capacityResult {
	for _, q := range queues {
		s.results[q.name] = &capacityResult{}
		s.arrive(q)
	}
	s.tick()
	for len(s.events) > 0 && s.now.Before(s.end.Add(30*time.Second)) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
		s.place()
	}
	return s.results
}

func (s *capacitySim) tick() {
	s.planner.Tick(s.now)
	s.after(50*time.Millisecond, s.tick)
}

func (s *capacitySim) arrive(q loadQueue) {
	if s.now.After(s.end) {
		return
	}
	j := oneStep(fmt.Sprintf("job-%d", len(s.callers)), 1)
	j.Queue, j.Priority = q.name, q.priority
	s.callers[j.ID] = &simCaller{job: j}
	s.results[q.name].callers++
	s.request(s.callers[j.ID])
	interval := 100 * time.Millisecond / time.Duration(48)
	s.after(time.Duration(s.random.ExpFloat64()*float64(interval)/q.load), func() { s.arrive(q) })
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
	retryAfter := a.RetryAfter
	if !s.remember {
		s.planner.refused.remove(c.job.ID)
		retryAfter = min(max(a.Expected-a.Limit, minRetryAfter), maxRetryAfter) // as before
	}
	if c.returns == 0 {
		s.results[c.job.Queue].refusedOnce++
	}
	if c.returns == maxReturns || s.random.Float64() >= s.returning {
		return
	}
	told := time.Duration(math.Ceil(retryAfter.Seconds())) * time.Second
	s.after(told+time.Duration(s.random.Float64()*float64(50*time.Millisecond)), func() {
		c.returns++
		if c.returns == 1 {
			s.results[c.job.Queue].returned++
		}
		s.request(c)
	})
}

func (s *capacitySim) place() {
	s.planner.Assign(s.now)
	for _, o := range s.planner.TakeOrders() {
		run := 100 * time.Millisecond * time.Duration(1000*math.Exp(0.4*s.random.NormFloat64()-0.08)) / 1000
		s.after(run, func() { s.planner.Ended(s.now, o.Session, work.End{Run: o.Run, Reason: work.Done}) })
	}
	for _, r := range s.planner.TakeRejected() {
		s.refused(s.callers[r.Job.ID], r.Admission)
	}
	for _, f := range s.planner.TakeFinished() {
		c := s.callers[f.ID]
		r := s.results[c.job.Queue]
		inTime := s.now.Sub(c.sent) <= c.job.Objective()
		if inTime {
			r.inTime++
		} else {
			r.late++
		}
		if c.returns == 1 {
			r.servedOnReturn++
			if inTime {
				r.inTimeOnReturn++
			}
		}
	}
}
