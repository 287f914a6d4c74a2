package placement

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/interference"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// interferenceSim runs a planner on simulated endpoints, whose runs progress at a rate
// that depends on the endpoint and on the runs beside them. Estimates are off by 40% and run
// times vary by as much, 3% of the tasks take 7 times as long, and endpoints have speeds from
// 0.7 to 1.7.
type interferenceSim struct {
	planner *Planner
	random  *rand.Rand
	now     time.Time
	start   time.Time
	hosts   []*simHost
	queues  []simQueue
	jobs    int
	// slowdown is the factor by which a run of a queue progresses slower while another
	// queue has a run on the same endpoint.
	slowdown func(queue, beside string) float64
	// slow multiplies the run times on an endpoint with a number of runs.
	slow func(h *simHost, runs int) float64
	// busy multiplies the arrivals of a queue.
	busy func(queue string) float64
	// results are the completed jobs by queue of those that arrived from measureFrom to
	// measureUntil, 0 for no end.
	measureFrom, measureUntil time.Duration
	results                   map[string]*simResult
	submitted                 map[work.JobID]time.Time
	orders                    uint64 // a hash of all orders
	changes                   []interference.Change
	refused                   int
	// runTimes is the source of a task's work; random if it is nil.
	runTimes func(work.TaskID) *rand.Rand
}

type simQueue struct {
	name     string
	estimate time.Duration
	// share is the share of the endpoints' cores that its work takes, if nothing interferes.
	share float64
	// tasks is the number of tasks of each job; 0 stands for one.
	tasks int
	next  time.Time
}

type simHost struct {
	session SessionID
	speed   float64
	cores   int
	runs    []*simRun
	at      time.Time
}

type simRun struct {
	run   work.Run
	queue string
	left  float64 // seconds of work at nominal speed
}

type simResult struct {
	submitted, done, inTime int
	// stretch sums the times from submission to completion over the estimates.
	stretch float64
	all     []float64
}

func newInterferenceSim(seed uint64, hosts, cores int, queues []simQueue, detect bool) *interferenceSim {
	now := time.Unix(1000, 0)
	s := &interferenceSim{
		planner: NewPlanner(1, now, nil), random: rand.New(rand.NewPCG(seed, 2)), now: now, start: now, queues: slices.Clone(queues),
		slowdown: func(string, string) float64 { return 1 }, slow: func(*simHost, int) float64 { return 1 },
		busy: func(string) float64 { return 1 }, results: map[string]*simResult{}, submitted: map[work.JobID]time.Time{},
	}
	if detect {
		s.planner.DetectInterference()
	}
	for i := range hosts {
		h := &simHost{session: SessionID(i + 1), speed: 0.7 + float64(i*61%100)/100, cores: cores, at: now}
		s.hosts = append(s.hosts, h)
		s.planner.Join(now, Endpoint{
			Session: h.session, VM: fmt.Sprintf("vm-%d", i), Instance: "incarnation", Pool: "desk",
			Labels: []string{"a"}, Capacity: work.Resources{CPU: 1000 * cores, MemoryMB: 65536},
		}, nil, nil)
	}
	for i := range s.queues {
		s.queues[i].next = now
		s.results[s.queues[i].name] = &simResult{}
	}
	return s
}

// rate returns the progress of a run in seconds of work per second.
func (s *interferenceSim) rate(h *simHost, r *simRun) float64 {
	slowdown := 1.0
	for _, o := range h.runs {
		if o != r {
			slowdown = max(slowdown, s.slowdown(r.queue, o.queue))
		}
	}
	return 1 / h.speed / slowdown / s.slow(h, len(h.runs))
}

// advance lets the runs of an endpoint progress until now.
func (s *interferenceSim) advance(h *simHost) {
	elapsed := s.now.Sub(h.at).Seconds()
	h.at = s.now
	progress := make([]float64, len(h.runs))
	for i, r := range h.runs {
		progress[i] = elapsed * s.rate(h, r)
	}
	for i, r := range h.runs {
		r.left -= progress[i]
	}
}

// nextEnd returns the next end of a run on an endpoint, nil if it has none.
func (s *interferenceSim) nextEnd(h *simHost) (*simRun, time.Time) {
	var first *simRun
	var at time.Time
	for _, r := range h.runs {
		t := h.at.Add(time.Duration(max(r.left/s.rate(h, r), 0) * float64(time.Second)))
		if first == nil || t.Before(at) {
			first, at = r, t
		}
	}
	return first, at
}

// run lets time pass: runs end, jobs arrive, and the planner places them.
func (s *interferenceSim) run(d time.Duration) {
	tick := s.now
	for s.now.Sub(s.start) < d {
		var host *simHost
		var ending *simRun
		at := tick
		for _, h := range s.hosts {
			if r, t := s.nextEnd(h); r != nil && t.Before(at) {
				host, ending, at = h, r, t
			}
		}
		arriving := -1
		for i := range s.queues {
			if s.queues[i].next.Before(at) {
				arriving, at = i, s.queues[i].next
			}
		}
		s.now = at
		switch {
		case arriving >= 0:
			s.arrive(&s.queues[arriving])
		case ending != nil:
			s.end(host, ending, work.Done)
		default:
			tick = tick.Add(50 * time.Millisecond)
			s.planner.Tick(s.now)
			s.changes = append(s.changes, s.planner.TakeInterferenceChanges()...)
		}
		s.place()
	}
}

func (s *interferenceSim) arrive(q *simQueue) {
	s.jobs++
	cores := 0.0
	for _, h := range s.hosts {
		cores += float64(h.cores) / h.speed
	}
	// The mean of the run times over the estimates is about 1.4.
	interval := 1.4 * q.estimate.Seconds() * float64(max(q.tasks, 1)) / (q.share * cores * s.busy(q.name))
	q.next = s.now.Add(time.Duration(s.random.ExpFloat64() * interval * float64(time.Second)))
	j := oneStep(fmt.Sprintf("job-%d", s.jobs), max(q.tasks, 1))
	j.Queue = q.name
	j.Steps[0].Estimate = time.Duration(float64(q.estimate) * math.Exp(0.5*s.random.NormFloat64()))
	if s.measured(s.now) {
		s.results[q.name].submitted++
	}
	if !s.planner.Admit(s.now, j, PriorState{}).Accepted {
		s.refused++
		return
	}
	s.submitted[j.ID] = s.now
	s.planner.Add(s.now, j, PriorState{})
}

// measured reports whether a job that arrived at a time belongs to the results.
func (s *interferenceSim) measured(arrived time.Time) bool {
	since := arrived.Sub(s.start)
	return since >= s.measureFrom && (s.measureUntil == 0 || since < s.measureUntil)
}

func (s *interferenceSim) end(h *simHost, r *simRun, reason work.EndReason) {
	s.advance(h)
	h.runs = slices.DeleteFunc(h.runs, func(o *simRun) bool { return o == r })
	s.planner.Ended(s.now, h.session, work.End{Run: r.run, Reason: reason})
}

func (s *interferenceSim) place() {
	s.planner.Assign(s.now)
	for _, o := range s.planner.TakeOrders() {
		sum := fnv.New64a()
		fmt.Fprint(sum, s.orders, o.Session, o.Run, o.Stop)
		s.orders = sum.Sum64()
		h := s.hosts[int(o.Session-1)%len(s.hosts)]
		if o.Stop {
			for _, r := range h.runs {
				if r.run == o.Run {
					s.end(h, r, work.Stopped)
					break
				}
			}
			continue
		}
		s.advance(h)
		h.runs = append(h.runs, s.newRun(o))
	}
	for _, f := range s.planner.TakeFinished() {
		s.record(f)
	}
}

func (s *interferenceSim) newRun(o Order) *simRun {
	j := s.planner.jobs[o.Run.Task.Job]
	random := s.random
	if s.runTimes != nil {
		random = s.runTimes(o.Run.Task)
	}
	left := j.spec.Steps[0].Estimate.Seconds() * math.Exp(0.4*random.NormFloat64()+0.4*random.NormFloat64())
	if random.Float64() < 0.03 {
		left *= 7
	}
	return &simRun{run: o.Run, queue: j.spec.Queue, left: left}
}

func (s *interferenceSim) record(f FinishedJob) {
	submitted := s.submitted[f.ID]
	delete(s.submitted, f.ID)
	if !s.measured(submitted) {
		return
	}
	r := s.results[f.Summary.Queue]
	r.done++
	if f.Summary.Took <= f.Summary.Objective {
		r.inTime++
	}
	estimate := (f.Summary.Objective - 60*time.Millisecond).Seconds() / 1.6
	r.stretch += f.Summary.Took.Seconds() / estimate
	r.all = append(r.all, f.Summary.Took.Seconds()/estimate)
}

// share returns the share of the submitted jobs that completed within their objective.
func (r *simResult) share() float64 { return float64(r.inTime) / float64(r.submitted) }

func (r *simResult) String() string {
	slices.Sort(r.all)
	return fmt.Sprintf("%d jobs, %d done, %.1f%% in time, time/estimate mean %.2f median %.2f p95 %.2f",
		r.submitted, r.done, 100*r.share(), r.stretch/float64(r.done), r.all[len(r.all)/2], r.all[len(r.all)*95/100])
}

// total returns the share of all submitted jobs that completed within their objective.
func (s *interferenceSim) total() float64 {
	var sum simResult
	for _, r := range s.results {
		sum.submitted += r.submitted
		sum.inTime += r.inTime
	}
	return sum.share()
}

func (s *interferenceSim) log(t *testing.T, name string) {
	for _, q := range s.queues {
		t.Logf("%s: %s: %v", name, q.name, s.results[q.name])
	}
	t.Logf("%s: all: %.1f%% in time; avoided %d, beside an interfering run %d, moved %d, refused %d of %d jobs",
		name, 100*s.total(), s.planner.Stats.Avoided, s.planner.Stats.BesideInterfering, s.planner.Stats.Moves, s.refused, s.jobs)
	for _, f := range s.planner.InterferenceFindings() {
		t.Logf("%s: at the end: %s beside %s: %.2f times", name, f.Queue, f.Beside, f.Slowdown)
	}
	for _, c := range s.changes {
		t.Logf("%s: %s beside %s: %.2f times, confidence %.5f, %.0f runs, after %v, dropped %t",
			name, c.Queue, c.Beside, c.Slowdown, c.Confidence, c.Observations, c.Since.Sub(s.start), c.Dropped)
	}
}

// TestCallersGainWhenQueuesInterfere guards against a detection that doesn't help: where
// a queue takes twice as long beside another, more of its jobs must be in time with the detection
// than without it, and not fewer of the other queues'.
func TestCallersGainWhenQueuesInterfere(t *testing.T) {
	// With less room fewer tasks can avoid each other.
	for _, c := range []struct{ load, gain float64 }{{0.4, 0.08}, {0.6, 0.06}, {0.8, 0.01}} {
		load := c.load
		queues := []simQueue{
			{name: "quiet", estimate: 150 * time.Millisecond, share: 0.3 * load},
			{name: "loud", estimate: 300 * time.Millisecond, share: 0.3 * load},
			{name: "any other", estimate: 200 * time.Millisecond, share: 0.4 * load},
		}
		var sims [2]*interferenceSim
		for i, name := range []string{"off", "on"} {
			s := newInterferenceSim(1, 12, 6, queues, i == 1)
			s.slowdown = func(queue, beside string) float64 {
				if queue == "quiet" && beside == "loud" {
					return 2
				}
				return 1
			}
			s.measureFrom = 2 * time.Minute
			s.run(12 * time.Minute)
			s.log(t, fmt.Sprintf("load %.1f, %s", load, name))
			sims[i] = s
		}
		off, on := sims[0], sims[1]
		assert.Equal(t, len(on.planner.InterferenceFindings()), 1)
		assert.Assert(t, on.results["quiet"].share() > off.results["quiet"].share()+c.gain, "quiet jobs in time")
		for _, q := range queues {
			assert.Assert(t, on.results[q.name].share() >= off.results[q.name].share(), "jobs of queue %s in time", q.name)
		}
	}
}

// TestSamePlacementsWithoutInterference guards against a detection that changes placements
// although nothing interferes.
func TestSamePlacementsWithoutInterference(t *testing.T) {
	queues := []simQueue{}
	for i := range 6 {
		queues = append(queues, simQueue{name: fmt.Sprintf("queue-%d", i), estimate: time.Duration(80+70*i) * time.Millisecond, share: 0.1})
	}
	var orders [2]uint64
	for i := range orders {
		s := newInterferenceSim(3, 12, 6, queues, i == 1)
		s.run(20 * time.Minute)
		orders[i] = s.orders
		s.log(t, []string{"off", "on"}[i])
		assert.Equal(t, len(s.changes), 0, "%+v", s.changes)
		assert.Equal(t, s.planner.InterferenceObservations() > 0, i == 1)
	}
	assert.Equal(t, orders[0], orders[1])
}

// TestNoFindingWhenLoadSlowsEveryTask guards against a finding by the planner's own
// choices: it uses slow endpoints only while others are full, so that queues with busy times in
// common are beside each other most on slow endpoints with many runs, of which each costs 4%.
func TestNoFindingWhenLoadSlowsEveryTask(t *testing.T) {
	for seed := range uint64(1) {
		queues := []simQueue{}
		for i := range 5 {
			queues = append(queues, simQueue{name: fmt.Sprintf("queue-%d", i), estimate: time.Duration(80+70*i) * time.Millisecond, share: 0.07})
		}
		s := newInterferenceSim(seed, 12, 8, queues, true)
		phase := func() int { return int(s.now.Sub(s.start) / (10 * time.Second)) }
		s.slow = func(h *simHost, runs int) float64 {
			factor := math.Pow(1.04, float64(runs))
			if phase()%12 == int(h.session) {
				factor *= 3
			}
			return factor
		}
		s.busy = func(queue string) float64 {
			if phase()%18 >= 12 && queue <= "queue-1" {
				return 3.5
			}
			return 1
		}
		s.run(10 * time.Minute)
		s.log(t, fmt.Sprintf("seed %d", seed))
		assert.Equal(t, len(s.changes), 0, "%+v", s.changes)
	}
}
