package interference

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// traffic simulates endpoints whose slots run tasks one after the other. Estimates are
// off by 40% and run times vary by as much, 3% of the tasks take 7 times as long, and
// endpoints have speeds from 0.7 to 1.7.
type traffic struct {
	table     *Table
	random    *rand.Rand
	now       time.Time
	endpoints []*simEndpoint
	events    slotEvents
	ids       []QueueID
	observed  int
	// estimate is that of a queue's tasks.
	estimate func(queue int) time.Duration
	// share is the weight of a queue in the choice of the next task of an endpoint; nil
	// stands for equal weights.
	share func(queue, endpoint int) float64
	// factor multiplies a run's duration, by the queues beside it.
	factor func(queue int, beside Set) float64
	// slow multiplies the durations of a queue's runs on an endpoint at a time.
	slow func(queue, endpoint int, at time.Duration) float64
	// idle is the share of the time in which a slot has no task.
	idle    func(at time.Duration) float64
	changes []Change
	// highest is the highest z of any pair, looked at each minute, and sampledAt the time
	// of the last look.
	highest   float64
	sampledAt time.Time
}

type simEndpoint struct {
	state Endpoint
	speed float64
	// ratio is the learned slowdown, as core/placement learns it.
	ratio float64
}

// slotEvent is the end of a slot's run or of its idle time.
type slotEvent struct {
	at             time.Time
	endpoint       int
	queue          int // -1 while idle
	beside         Neighbours
	estimate, took time.Duration
	expected       time.Duration
}

type slotEvents []slotEvent

func (s slotEvents) Len() int           { return len(s) }
func (s slotEvents) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s slotEvents) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *slotEvents) Push(x any)        { *s = append(*s, x.(slotEvent)) }
func (s *slotEvents) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

func newTraffic(seed uint64, queues, endpoints, slots int) *traffic {
	tr := &traffic{
		table: NewTable(), random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		estimate: func(queue int) time.Duration { return time.Duration(60+queue*37%500) * time.Millisecond },
		factor:   func(int, Set) float64 { return 1 },
		slow:     func(int, int, time.Duration) float64 { return 1 },
		idle:     func(time.Duration) float64 { return 0.4 },
	}
	for i := range queues {
		tr.ids = append(tr.ids, tr.table.Queue(tr.now, fmt.Sprintf("queue-%d", i)))
	}
	for i := range endpoints {
		tr.endpoints = append(tr.endpoints, &simEndpoint{speed: 0.7 + float64(i*61%100)/100, ratio: 1})
		for range slots {
			at := tr.now.Add(time.Duration(tr.random.IntN(500)) * time.Millisecond)
			heap.Push(&tr.events, slotEvent{at: at, endpoint: i, queue: -1})
		}
	}
	return tr
}

func (tr *traffic) lognormal(sigma float64) float64 { return math.Exp(sigma * tr.random.NormFloat64()) }

// run lets time pass, and reviews the table 20 times a second.
func (tr *traffic) run(d time.Duration) {
	start := tr.now
	end := tr.now.Add(d)
	review := tr.now
	for tr.events[0].at.Before(end) {
		ev := heap.Pop(&tr.events).(slotEvent)
		for ; review.Before(ev.at); review = review.Add(50 * time.Millisecond) {
			tr.table.Review(review)
		}
		tr.now = ev.at
		tr.sample()
		tr.finish(ev)
		heap.Push(&tr.events, tr.next(ev.endpoint, tr.now.Sub(start)))
	}
	tr.now = end
	tr.changes = append(tr.changes, tr.table.TakeChanges()...)
}

// sample updates highest.
func (tr *traffic) sample() {
	if tr.now.Sub(tr.sampledAt) < time.Minute {
		return
	}
	tr.sampledAt = tr.now
	for _, q := range tr.table.queues {
		for i := range tr.table.queues {
			if c := tr.table.compare(q, &q.pairs[i]); min(c.with, c.without) >= minObservations {
				tr.highest = max(tr.highest, c.z)
			}
		}
	}
}

func (tr *traffic) finish(ev slotEvent) {
	if ev.queue < 0 {
		return
	}
	e := tr.endpoints[ev.endpoint]
	e.state.End(tr.ids[ev.queue])
	tr.table.Observe(tr.now, tr.ids[ev.queue], &e.state, ev.beside, ev.expected, ev.took)
	e.ratio += 0.1 * (min(max(float64(ev.took)/float64(ev.estimate), 0.1), 20) - e.ratio)
	tr.observed++
}

// next starts a slot's next run or idle time.
func (tr *traffic) next(endpoint int, at time.Duration) slotEvent {
	if tr.random.Float64() < tr.idle(at) {
		return slotEvent{at: tr.now.Add(time.Duration(200+tr.random.IntN(200)) * time.Millisecond), endpoint: endpoint, queue: -1}
	}
	e := tr.endpoints[endpoint]
	ev := slotEvent{endpoint: endpoint, queue: tr.pick(endpoint), beside: e.state.Neighbours()}
	ev.estimate = tr.estimate(ev.queue)
	took := float64(ev.estimate) * tr.lognormal(0.4) * tr.lognormal(0.4) * e.speed
	if tr.random.Float64() < 0.03 {
		took *= 7
	}
	took *= tr.factor(ev.queue, ev.beside.Queues) * tr.slow(ev.queue, endpoint, at)
	ev.took = time.Duration(took)
	ev.expected = time.Duration(float64(ev.estimate) * e.ratio)
	ev.at = tr.now.Add(ev.took)
	e.state.Start(tr.ids[ev.queue])
	return ev
}

func (tr *traffic) pick(endpoint int) int {
	if tr.share == nil {
		return tr.random.IntN(len(tr.ids))
	}
	sum := 0.0
	for i := range tr.ids {
		sum += tr.share(i, endpoint)
	}
	x := tr.random.Float64() * sum
	for i := range tr.ids {
		if x -= tr.share(i, endpoint); x < 0 {
			return i
		}
	}
	return len(tr.ids) - 1
}

// slowedBy returns a factor by which one queue is slowed beside another one.
func slowedBy(victim, other int, factor float64) func(int, Set) float64 {
	return func(queue int, beside Set) float64 {
		if queue == victim && beside.Contains(QueueID(other)) {
			return factor
		}
		return 1
	}
}

func (tr *traffic) assertNone(t *testing.T, why string) {
	t.Helper()
	t.Logf("%d runs in %d queues, highest z %.1f, threshold %.1f", tr.observed, len(tr.ids), tr.highest, tr.table.threshold())
	for _, c := range tr.changes {
		t.Errorf("%s: %+v", why, c)
	}
}

// TestNoConclusionFromSlowEndpoint guards against a conclusion about queues that share a
// slow endpoint, or one that is slow for some seconds: one of the queues runs mostly there.
func TestNoConclusionFromSlowEndpoint(t *testing.T) {
	for seed := range uint64(2) {
		tr := newTraffic(seed, 3, 11, 8)
		tr.share = func(queue, endpoint int) float64 {
			if queue == 1 && endpoint > 2 {
				return 0.1
			}
			return 1
		}
		tr.slow = func(_, endpoint int, at time.Duration) float64 {
			switch {
			case endpoint == 0:
				return 2.5
			case int(at.Seconds())/10%11 == endpoint:
				return 3
			}
			return 1
		}
		tr.run(time.Hour)
		tr.assertNone(t, "the endpoints are slow")
	}
}

// TestNoConclusionFromUnsuitableEndpoint guards against a conclusion about a queue whose
// tasks are slower on some endpoints, as for want of an instruction set, which the other
// queue uses most.
func TestNoConclusionFromUnsuitableEndpoint(t *testing.T) {
	for seed := range uint64(2) {
		tr := newTraffic(seed, 4, 11, 8)
		tr.share = func(queue, endpoint int) float64 {
			if queue == 1 && endpoint > 2 {
				return 0.2
			}
			return 1
		}
		tr.slow = func(queue, endpoint int, _ time.Duration) float64 {
			if queue == 0 && endpoint <= 2 {
				return 2
			}
			return 1
		}
		tr.run(time.Hour)
		tr.assertNone(t, "the endpoints don't suit the queue")
	}
}

// TestNoConclusionFromLongTask guards against a conclusion about the neighbours of long
// tasks, and about queues whose estimates are far too low.
func TestNoConclusionFromLongTask(t *testing.T) {
	for seed := range uint64(2) {
		tr := newTraffic(seed, 3, 11, 8)
		tr.estimate = func(queue int) time.Duration { return []time.Duration{80, 300, 2000}[queue] * time.Millisecond }
		tr.factor = func(queue int, _ Set) float64 { return []float64{1, 3, 2}[queue] }
		tr.run(time.Hour)
		tr.assertNone(t, "the tasks are long")
	}
}

// TestNoConclusionFromBusyHour guards against a conclusion about queues that have most
// of their runs beside each other while all endpoints are busy and slower.
func TestNoConclusionFromBusyHour(t *testing.T) {
	for seed := range uint64(2) {
		tr := newTraffic(seed, 6, 11, 8)
		busy := func(at time.Duration) bool { return at%(20*time.Minute) > 14*time.Minute }
		var at time.Duration
		tr.idle = func(now time.Duration) float64 {
			at = now
			if busy(now) {
				return 0.05
			}
			return 0.6
		}
		tr.share = func(queue, _ int) float64 {
			if queue < 2 && busy(at) {
				return 5
			}
			return 1
		}
		tr.slow = func(_, _ int, now time.Duration) float64 {
			if busy(now) {
				return 1.8
			}
			return 1
		}
		tr.run(time.Hour)
		tr.assertNone(t, "all endpoints are busy")
	}
}

// TestNoConclusionFromHardTasks guards against a conclusion about a queue whose tasks are
// longer than estimated while another queue has most of its runs. There are so many
// endpoints that none of them has many runs of the queue in that time.
func TestNoConclusionFromHardTasks(t *testing.T) {
	for seed := range uint64(2) {
		tr := newTraffic(seed, 6, 120, 4)
		busy := func(at time.Duration) bool { return at%(3*time.Minute) > 2*time.Minute }
		var at time.Duration
		tr.idle = func(now time.Duration) float64 {
			at = now
			return 0.85
		}
		tr.share = func(queue, _ int) float64 {
			if queue == 1 && busy(at) {
				return 4
			}
			return 1
		}
		tr.slow = func(queue, _ int, now time.Duration) float64 {
			if queue == 0 && busy(now) {
				return 2.5
			}
			return 1
		}
		tr.run(time.Hour)
		tr.assertNone(t, "the tasks are hard")
	}
}

// TestNoConclusionFromNumberOfNeighbours guards against a conclusion about a queue
// that is there mostly when many runs are, when each neighbour slows a run by 6%, whatever its
// queue.
func TestNoConclusionFromNumberOfNeighbours(t *testing.T) {
	for seed := range uint64(2) {
		tr := newTraffic(seed, 5, 11, 12)
		tr.idle = func(at time.Duration) float64 {
			if at%(10*time.Second) > 5*time.Second {
				return 0.1
			}
			return 0.9
		}
		tr.slow = func(_, endpoint int, _ time.Duration) float64 {
			return math.Pow(1.06, float64(tr.endpoints[endpoint].state.runs))
		}
		tr.run(time.Hour)
		tr.assertNone(t, "every neighbour costs the same")
	}
}

// TestNoFalseConclusionAmongThousandsOfPairs guards against conclusions by chance: with
// 110 queues, 12,100 pairs are compared.
func TestNoFalseConclusionAmongThousandsOfPairs(t *testing.T) {
	tr := newTraffic(1, 110, 62, 8)
	tr.run(time.Hour)
	tr.assertNone(t, "nothing interferes")
}

// TestFindsOnePairInAThousand guards against a test that is so strict that it misses the
// only pair that interferes, or that holds others responsible too.
func TestFindsOnePairInAThousand(t *testing.T) {
	for seed := range uint64(2) {
		tr := newTraffic(seed, 32, 62, 8)
		tr.factor = slowedBy(3, 17, 2)
		tr.run(30 * time.Minute)
		assert.Equal(t, len(tr.changes), 1, "%+v", tr.changes)
		found := tr.changes[0]
		assert.Equal(t, found.Queue+" "+found.Beside, "queue-3 queue-17")
		t.Logf("seed %d: found after %v with %.0f runs, slowdown %.2f, confidence %.6f; %d runs in all",
			seed, found.Since.Sub(time.Unix(1000, 0)), found.Observations, found.Slowdown, found.Confidence, tr.observed)
		f := tr.table.Findings()
		assert.Equal(t, len(f), 1)
		assert.Assert(t, f[0].effect > math.Log(1.5) && f[0].effect < math.Log(2.5), "effect %.2f", f[0].effect)
		assert.Assert(t, f[0].Confidence > 0.99, "confidence %f", f[0].Confidence)
	}
}

// TestFindsQueueThatSlowsItself guards against a self pair that is not compared.
func TestFindsQueueThatSlowsItself(t *testing.T) {
	tr := newTraffic(1, 4, 11, 6)
	tr.factor = slowedBy(2, 2, 1.8)
	tr.run(20 * time.Minute)
	assert.Equal(t, len(tr.changes), 1, "%+v", tr.changes)
	assert.Equal(t, tr.changes[0].Queue+" "+tr.changes[0].Beside, "queue-2 queue-2")
}

// TestFindsCauseAmongCompanions guards against a conclusion about a queue that is often
// beside a run together with the one that slows it.
func TestFindsCauseAmongCompanions(t *testing.T) {
	for seed := range uint64(2) {
		tr := newTraffic(seed, 6, 11, 8)
		tr.share = func(queue, endpoint int) float64 {
			if (queue == 1 || queue == 2) && endpoint%2 == 0 {
				return 0.2 // both run mostly on the same half of the endpoints
			}
			return 1
		}
		tr.factor = slowedBy(0, 1, 1.8)
		tr.run(time.Hour)
		assert.Equal(t, len(tr.changes), 1, "%+v", tr.changes)
		assert.Equal(t, tr.changes[0].Queue+" "+tr.changes[0].Beside, "queue-0 queue-1")
	}
}

// TestFindsSeveralCauses guards against estimates that grow without bound when several
// queues slow one: each finding changes the evidence on the others.
func TestFindsSeveralCauses(t *testing.T) {
	for seed := range uint64(2) {
		tr := newTraffic(seed, 6, 11, 8)
		factors := map[[2]int]float64{{0, 1}: 2, {0, 2}: 1.6, {0, 3}: 1.6, {4, 0}: 1.7}
		tr.factor = func(queue int, beside Set) float64 {
			product := 1.0
			for pair, factor := range factors {
				if pair[0] == queue && beside.Contains(QueueID(pair[1])) {
					product *= factor
				}
			}
			return product
		}
		tr.run(time.Hour)
		for pair, factor := range factors {
			f := tr.table.queues[pair[0]].pairs[pair[1]].finding
			assert.Assert(t, f != nil, "%v is not found", pair)
			assert.Assert(t, math.Abs(f.effect-math.Log(factor)) < 0.15, "%v: effect %.2f", pair, f.effect)
		}
		assert.Equal(t, len(tr.table.Findings()), len(factors), "%+v", tr.table.Findings())
	}
}

// TestEvidenceFades guards against a conclusion that is kept although the queues have not
// run beside each other for a long time, and against one that is dropped at once.
func TestEvidenceFades(t *testing.T) {
	tr := newTraffic(1, 3, 11, 8)
	tr.factor = slowedBy(0, 1, 2)
	tr.run(10 * time.Minute)
	assert.Equal(t, len(tr.table.Findings()), 1)
	tr.share = func(queue, _ int) float64 { return []float64{1, 0, 1}[queue] }
	tr.run(5 * time.Minute)
	assert.Equal(t, len(tr.table.Findings()), 1, "the evidence lasts for some minutes")
	tr.run(2 * time.Hour)
	assert.Equal(t, len(tr.table.Findings()), 0)
	last := tr.changes[len(tr.changes)-1]
	assert.Assert(t, last.Dropped)
	assert.Assert(t, !tr.table.Concerns(tr.ids[0]) && !tr.table.Concerns(tr.ids[1]))
}

// TestFindingEndsWithInterference guards against a conclusion that stays although the
// queue no longer slows the other one, as after a new version of its tasks.
func TestFindingEndsWithInterference(t *testing.T) {
	tr := newTraffic(1, 3, 11, 8)
	tr.factor = slowedBy(0, 1, 2)
	tr.run(10 * time.Minute)
	assert.Equal(t, len(tr.table.Findings()), 1)
	tr.factor = func(int, Set) float64 { return 1 }
	tr.run(40 * time.Minute)
	assert.Equal(t, len(tr.table.Findings()), 0)
	assert.Equal(t, len(tr.changes), 2, "%+v", tr.changes)
}

// TestTableIsBounded guards against a table that grows with every queue that ever was,
// and against queues that take the place of ones in use.
func TestTableIsBounded(t *testing.T) {
	table, now := NewTable(), time.Unix(1000, 0)
	for i := range maxQueues {
		assert.Equal(t, table.Queue(now, fmt.Sprintf("queue-%d", i)), QueueID(i))
	}
	assert.Equal(t, table.Queue(now, "another"), Untracked)
	now = now.Add(reclaimAfter)
	assert.Equal(t, table.Queue(now, "queue-0"), QueueID(0))
	assert.Equal(t, table.Queue(now, "another"), QueueID(1), "queue-1 has not been used")
	assert.Equal(t, len(table.queues), maxQueues)
	assert.Equal(t, len(table.byName), maxQueues)
	for i := 2; i < maxQueues; i++ {
		table.Queue(now, fmt.Sprintf("queue-%d", i))
	}
	assert.Equal(t, table.Queue(now, "queue-1"), Untracked)
	var e Endpoint
	table.Observe(now, Untracked, &e, Neighbours{}, time.Second, time.Second)
}

// TestReclaimedPlaceHasNoFindings guards against a queue that takes over the findings of
// the one whose place it takes.
func TestReclaimedPlaceHasNoFindings(t *testing.T) {
	tr := newTraffic(1, 3, 11, 8)
	tr.factor = slowedBy(0, 1, 2)
	tr.run(10 * time.Minute)
	assert.Equal(t, len(tr.table.Findings()), 1)
	for i := 3; i < maxQueues; i++ {
		tr.table.Queue(tr.now, fmt.Sprintf("queue-%d", i))
	}
	later := tr.now.Add(reclaimAfter)
	for i := range maxQueues {
		if i != 1 {
			tr.table.Queue(later, fmt.Sprintf("queue-%d", i))
		}
	}
	assert.Equal(t, tr.table.Queue(later, "another"), QueueID(1))
	assert.Equal(t, len(tr.table.Findings()), 0)
	assert.Assert(t, !tr.table.Concerns(0) && !tr.table.Concerns(1))
	changes := tr.table.TakeChanges()
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, changes[0].Dropped)
}

// TestRescaledEvidenceStays guards against conclusions that change when the evidence is
// scaled down, which happens after some hours.
func TestRescaledEvidenceStays(t *testing.T) {
	tr := newTraffic(1, 3, 11, 8)
	tr.factor = slowedBy(0, 1, 2)
	tr.run(10 * time.Minute)
	q := tr.table.queues[0]
	before := tr.table.compare(q, &q.pairs[1])
	tr.table.rescale()
	after := tr.table.compare(q, &q.pairs[1])
	assert.Equal(t, tr.table.weight, 1.0)
	assert.Assert(t, math.Abs(before.z-after.z) < 1e-9 && math.Abs(before.effect-after.effect) < 1e-9, "%+v %+v", before, after)
}

// TestEqualCallsGiveEqualFindings guards against conclusions that depend on anything
// but the calls, such as the order of a map.
func TestEqualCallsGiveEqualFindings(t *testing.T) {
	results := [2]string{}
	for i := range results {
		tr := newTraffic(7, 8, 11, 8)
		tr.factor = slowedBy(5, 2, 1.7)
		tr.run(30 * time.Minute)
		results[i] = fmt.Sprintf("%+v %+v", tr.changes, tr.table.Findings())
	}
	assert.Equal(t, results[0], results[1])
}

// TestSetHoldsAllQueues guards against IDs that are lost or mixed up at the bounds of a
// set's words.
func TestSetHoldsAllQueues(t *testing.T) {
	var s Set
	for _, id := range []QueueID{0, 63, 64, maxQueues - 1} {
		s.Add(id)
	}
	var listed []QueueID
	for id := range s.All() {
		listed = append(listed, id)
	}
	assert.DeepEqual(t, listed, []QueueID{0, 63, 64, maxQueues - 1})
	assert.Assert(t, s.Contains(63) && !s.Contains(62) && !s.Contains(Untracked))
	s.Remove(63)
	assert.Assert(t, !s.Contains(63) && s.Contains(64))
}

// TestEndpointCountsRuns guards against a queue that counts as a neighbour after its
// last run has ended, or no longer while it has one.
func TestEndpointCountsRuns(t *testing.T) {
	var e Endpoint
	e.Start(4)
	e.Start(4)
	e.Start(Untracked)
	n := e.Neighbours()
	assert.Assert(t, n.Queues.Contains(4) && n.runs == 3)
	assert.Equal(t, n.stratum(), 1)
	e.End(4)
	assert.Assert(t, e.Present().Contains(4))
	e.End(4)
	e.End(Untracked)
	assert.Assert(t, e.Present().Empty() && e.runs == 0)
}
