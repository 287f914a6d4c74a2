package dispatch

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/cicadapulley/cicadapulley/core/invariant"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/state"
)

// caller is an entry's state of one caller.
type caller struct {
	name     string
	weight   int64
	queued   int
	inFlight int
	flows    int
}

// Scheduler queues the tasks of one entry and assigns them to endpoints.
type Scheduler struct {
	opts    Options
	random  *rand.Rand
	now     time.Time
	queue   queue
	fair    fairQueue
	callers map[string]*caller
	weights map[string]int64
	kinds   map[state.ServedKind]*kind

	// kindList and endpointList have a fixed order, so that floating-point sums,
	// and with them all decisions, depend only on the input and the seed.
	kindList     []*kind
	endpointList []*endpoint

	endpoints   map[string]*endpoint
	pools       map[string]*pool
	quarantined int
	attempts    map[uint64]*attempt
	timers      timerHeap
	retryBudget retryBudget
	speculation speculation
	headroom    headroom
	// throughput is the expected work per second.
	throughput float64
	// maxLogSpeed is the logarithm of the highest speed.
	maxLogSpeed float64
	// observations counts the observed run times.
	observations uint64
	// freeSlots is the number of granted slots that are free.
	freeSlots int
	counters  Counters

	// expired holds the items past their latest start until TakeExpired returns
	// them.
	expired []*node
	// noneStartable is set while Next has found nothing to start and nothing has
	// changed since.
	noneStartable bool
	// skipped is a buffer that Next reuses for flows that cannot start a task.
	skipped []*flow
}

// New returns a Scheduler without endpoints.
func New(opts Options) *Scheduler {
	opts = opts.withDefaults()
	return &Scheduler{
		opts:      opts,
		random:    rand.New(rand.NewPCG(opts.Seed, 0x9e3779b97f4a7c15)),
		queue:     queue{jobs: map[job.Key]*node{}},
		fair:      fairQueue{flows: map[flowKey]*flow{}},
		callers:   map[string]*caller{},
		weights:   map[string]int64{},
		kinds:     map[state.ServedKind]*kind{},
		endpoints: map[string]*endpoint{},
		pools:     map[string]*pool{},
		attempts:  map[uint64]*attempt{},
	}
}

// SetWeights sets the callers' shares of the queue. Callers that are not
// listed and weights below 1 count as 1.
func (s *Scheduler) SetWeights(weights map[string]int64) {
	s.weights = weights
	for _, c := range s.callers {
		c.weight = max(1, weights[c.name])
	}
	s.fair.activeWeight = 0
	for _, f := range s.fair.heap {
		s.fair.activeWeight += f.caller.weight
	}
}

// Enqueue adds the items of one job to the queue. It does not check the size of
// the queue: Admit has done so.
func (s *Scheduler) Enqueue(now time.Time, items []Item) {
	size := sizeClass(len(items))
	for _, item := range items {
		s.enqueue(item, size, false)
	}
	s.noneStartable = false
}

func (s *Scheduler) enqueue(item Item, size uint8, first bool) {
	if s.fair.mostlyIdle() {
		s.removeIdleFlows()
	}
	c := s.callerFor(item.Caller)
	k := s.kindFor(item.Service, item.Kind)
	f := s.fair.flowFor(flowKey{item.Service, item.Caller}, c)
	n := &node{item: item, flow: f, latestStart: k.latestStart(item.Deadline)}
	n.class = f.classFor(classKey{item.Kind, item.Needs, size}, k)
	if first {
		n.class.prepend(n)
	} else {
		n.class.append(n)
	}
	s.queue.add(n)
	f.queued++
	f.backlogged = f.backlogged || f.queued >= backlogThreshold
	c.queued++
	k.queued++
	s.fair.activate(f)
	s.fair.update(f)
}

// dequeue removes a node from all indexes.
func (s *Scheduler) dequeue(n *node) {
	s.queue.unlinkJob(n)
	s.removeFromFlow(n)
}

// removeFromFlow removes a node from its flow and from the deadline heap.
func (s *Scheduler) removeFromFlow(n *node) {
	f := n.flow
	n.class.unlink(n)
	if n.class.first == nil {
		f.removeClass(n.class)
	}
	s.queue.unlinkDeadline(n)
	s.queue.size--
	f.queued--
	f.caller.queued--
	n.class.kind.queued--
	if f.queued == 0 {
		s.fair.deactivate(f)
	} else {
		s.fair.update(f)
	}
	s.removeCallerIfIdle(f.caller)
}

func (s *Scheduler) callerFor(name string) *caller {
	c := s.callers[name]
	if c == nil {
		c = &caller{name: name, weight: max(1, s.weights[name])}
		s.callers[name] = c
	}
	return c
}

// removeIdleFlows removes the idle flows whose start tag is not ahead of the
// virtual time. A flow that is ahead has used more than its share.
func (s *Scheduler) removeIdleFlows() {
	for key, f := range s.fair.flows {
		if f.heapIndex < 0 && f.startTag <= s.fair.virtualTime {
			delete(s.fair.flows, key)
			f.caller.flows--
			s.removeCallerIfIdle(f.caller)
		}
	}
}

// removeCallerIfIdle removes a caller that has no tasks and no flows.
func (s *Scheduler) removeCallerIfIdle(c *caller) {
	if c.queued == 0 && c.inFlight == 0 && c.flows == 0 {
		delete(s.callers, c.name)
	}
}

func (s *Scheduler) kindFor(service, name string) *kind {
	key := state.ServedKind{Service: service, Kind: name}
	k := s.kinds[key]
	if k == nil {
		k = &kind{service: service, name: name, work: s.opts.DefaultRunTime.Seconds()}
		s.kinds[key] = k
		s.kindList = append(s.kindList, k)
	}
	return k
}

// RemoveJob removes the items of a job from the queue and returns them, expired
// ones included.
func (s *Scheduler) RemoveJob(key job.Key) []Item {
	var items []Item
	for n := s.queue.jobs[key]; n != nil; n = s.queue.jobs[key] {
		items = append(items, n.item)
		s.queue.unlinkJob(n)
		if n.expired {
			n.expired = false
			continue
		}
		s.removeFromFlow(n)
	}
	return items
}

// TakeExpired removes and returns the items that are past their deadline, or so
// close to it that they are no longer started (see kind.latestStart).
func (s *Scheduler) TakeExpired(now time.Time) []Item {
	s.expire(now)
	var items []Item
	for _, n := range s.expired {
		if !n.expired {
			continue
		}
		s.queue.unlinkJob(n)
		items = append(items, n.item)
	}
	s.expired = nil
	return items
}

func (s *Scheduler) expire(now time.Time) {
	for n := s.queue.firstExpired(now); n != nil; n = s.queue.firstExpired(now) {
		n.expired = true
		s.expired = append(s.expired, n)
		s.removeFromFlow(n)
	}
}

// Requeue puts an item back at the head of its queue after the verdict NotRun.
// The caller adds the endpoint that refused it to Avoid unless that was only
// busy. Requeue returns false, and does not queue the item, if the retry budget
// is spent.
func (s *Scheduler) Requeue(now time.Time, item Item) bool {
	if !s.retryBudget.take(now) {
		s.counters.RetriesDenied++
		return false
	}
	s.counters.Retries++
	s.enqueue(item, 0, true)
	s.noneStartable = false
	return true
}

// Next removes the item that should start now from the queue and chooses its
// endpoint. It returns false if nothing can start now.
func (s *Scheduler) Next(now time.Time) (Assignment, bool) {
	s.advance(now)
	if s.noneStartable {
		return Assignment{}, false
	}
	n, e, speculative := s.selectNext()
	if n == nil {
		s.noneStartable = true
		return Assignment{}, false
	}
	s.start(now, n, e, speculative)
	return Assignment{Item: n.item, Endpoint: e.ID}, true
}

// selectNext goes through the flows in fair order and returns the first item
// that has an endpoint.
func (s *Scheduler) selectNext() (n *node, e *endpoint, speculative bool) {
	for n == nil && len(s.fair.heap) > 0 {
		f := s.fair.heap[0]
		n, e, speculative = s.firstStartable(f)
		if n == nil {
			heap.Pop(&s.fair.heap)
			s.skipped = append(s.skipped, f)
		}
	}
	for i, f := range s.skipped {
		heap.Push(&s.fair.heap, f)
		s.skipped[i] = nil
	}
	s.skipped = s.skipped[:0]
	return n, e, speculative
}

// firstStartable returns the best-ranked of a flow's heads for which there is
// an endpoint, with that endpoint and whether the start is beyond the grant.
func (s *Scheduler) firstStartable(f *flow) (*node, *endpoint, bool) {
	var best *node
	var chosen *endpoint
	var chosenSpeculative bool
	for _, c := range f.classes {
		if best != nil && !c.rank().Before(best.class.rank()) {
			continue
		}
		if s.headroom.isBulk(f, c.kind) && s.headroom.bulkLimitReached(s.freeSlots+len(s.attempts)) {
			continue
		}
		e, speculative := s.chooseEndpoint(f, c.kind, &c.first.item)
		if e != nil {
			best, chosen, chosenSpeculative = c.first, e, speculative
		}
	}
	return best, chosen, chosenSpeculative
}

// start records an assignment.
func (s *Scheduler) start(now time.Time, n *node, e *endpoint, speculative bool) {
	k := n.class.kind
	f := n.flow
	s.fair.virtualTime = max(s.fair.virtualTime, f.startTag)
	s.fair.charge(f, k.work)
	bulk := s.headroom.isBulk(f, k)
	f.caller.inFlight++
	s.dequeue(n)
	a := &attempt{
		itemID: n.item.ID, endpoint: e, kind: k, caller: f.caller, flow: f,
		started: now, work: k.work, speculative: speculative, trial: e.health.quarantined, bulk: bulk,
	}
	invariant.Check(s.attempts[n.item.ID] == nil, invariant.InternalCounting, "item %d is in flight twice", n.item.ID)
	s.attempts[n.item.ID] = a
	e.attempts = append(e.attempts, a)
	invariant.Check(len(e.attempts) <= e.Slots, invariant.SlotBound,
		"endpoint %s has %d tasks in flight and %d slots", e.ID, len(e.attempts), e.Slots)
	k.inFlight++
	s.headroom.recordStart(a)
	s.counters.Started++
	if speculative {
		s.speculation.take()
		s.counters.Speculative++
	}
	s.reindex(e)
}

// Done records the end of an assignment. A second report of the same assignment
// is ignored.
func (s *Scheduler) Done(now time.Time, a Assignment, r Report) {
	s.advance(now)
	att := s.attempts[a.Item.ID]
	if att == nil || att.endpoint.ID != a.Endpoint {
		return
	}
	delete(s.attempts, a.Item.ID)
	e := att.endpoint
	e.removeAttempt(att)
	att.kind.inFlight--
	s.headroom.recordEnd(att)
	att.caller.inFlight--
	s.applyReport(now, att, r)
	s.recordOutcome(now, att, r)
	s.removeCallerIfIdle(att.caller)
	s.noneStartable = false
	s.reindex(e)
}

// UpdateLoad applies a load that an agent reported without an answer. Under
// LateBinding this is how the scheduler learns of a free slot.
func (s *Scheduler) UpdateLoad(now time.Time, endpoint string, l Load) {
	s.advance(now)
	e := s.endpoints[endpoint]
	if e == nil {
		return
	}
	e.applyLoad(now, l)
	s.noneStartable = false
	s.reindex(e)
}

// Queued returns the number of queued items, which Run messages carry as the
// entry's backlog.
func (s *Scheduler) Queued() int { return s.queue.size }
