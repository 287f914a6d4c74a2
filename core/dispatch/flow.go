package dispatch

import (
	"container/heap"
	"math/bits"
	"time"

	"github.com/cicadapulley/cicadapulley/core/state"
)

// ageingFactor is the multiple of its expected run time that a task waits before
// it goes ahead of all tasks of the same caller that arrive later.
const ageingFactor = 2

// jobParallelism is the assumed number of tasks of a job that run at once. It
// affects only the order of one caller's jobs.
const jobParallelism = 32

// shortTaskBias is the multiple of its own work by which a task is moved back in
// the order of all flows, so that short tasks go first.
const shortTaskBias = 4

// flowKey identifies a flow of the fair queue.
type flowKey struct {
	service string
	caller  string
}

// classKey identifies the items of a flow that are interchangeable for the
// choice of an endpoint.
type classKey struct {
	kind  string
	needs state.Resources
	// jobSize is the sizeClass of the job's number of tasks.
	jobSize uint8
}

// sizeClass returns the logarithm to base 4 of a number of tasks, rounded up.
func sizeClass(tasks int) uint8 {
	return uint8(bits.Len(uint(max(tasks, 1)-1))+1) / 2
}

// class is a first-in first-out list of a flow's items.
type class struct {
	key   classKey
	kind  *kind
	first *node
	last  *node
	size  int
}

func (c *class) append(n *node) {
	c.size++
	n.prev = c.last
	if c.last != nil {
		c.last.next = n
	} else {
		c.first = n
	}
	c.last = n
}

func (c *class) prepend(n *node) {
	c.size++
	n.next = c.first
	if c.first != nil {
		c.first.prev = n
	} else {
		c.last = n
	}
	c.first = n
}

func (c *class) unlink(n *node) {
	c.size--
	if n.prev != nil {
		n.prev.next = n.next
	} else {
		c.first = n.next
	}
	if n.next != nil {
		n.next.prev = n.prev
	} else {
		c.last = n.prev
	}
	n.prev = nil
	n.next = nil
}

// rank orders the heads of a flow's classes: short tasks and small jobs first.
// The time of enqueueing is part of the rank, so that waiting tasks age.
func (c *class) rank() time.Time {
	tasks := float64(uint(1) << (2 * c.key.jobSize))
	expected := c.kind.work * (1 + (tasks-1)/jobParallelism)
	return c.first.item.Enqueued.Add(time.Duration(ageingFactor * expected * float64(time.Second)))
}

// flow is the queue of one caller at one service. Flows share the endpoints by
// start-time fair queueing on estimated work.
type flow struct {
	id      flowKey
	caller  *caller
	classes []*class
	queued  int
	// backlogged is set when backlogThreshold items are queued, and cleared when
	// none are.
	backlogged bool
	// startTag is the virtual time, in seconds of work per weight, at which the
	// flow's next task starts.
	startTag float64
	// sortKey orders the heap. It is the start tag plus a multiple of the next
	// task's work, so that short tasks go ahead of long ones by a bounded amount
	// of work.
	sortKey float64
	// heapIndex is the position in the flow heap, -1 when nothing is queued.
	heapIndex int
}

func (f *flow) classFor(key classKey, k *kind) *class {
	for _, c := range f.classes {
		if c.key == key {
			return c
		}
	}
	c := &class{key: key, kind: k}
	f.classes = append(f.classes, c)
	return c
}

// removeClass removes an empty class, so that a flow has only classes with
// queued items.
func (f *flow) removeClass(c *class) {
	for i, other := range f.classes {
		if other == c {
			last := len(f.classes) - 1
			f.classes[i] = f.classes[last]
			f.classes[last] = nil
			f.classes = f.classes[:last]
			return
		}
	}
}

// flowHeap orders the flows that have queued items by their sort key.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool { return h[i].sortKey < h[j].sortKey }

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	last := len(old) - 1
	f := old[last]
	old[last] = nil
	*h = old[:last]
	f.heapIndex = -1
	return f
}

// fairQueue is the start-time fair queue over all flows.
type fairQueue struct {
	flows map[flowKey]*flow
	heap  flowHeap
	// virtualTime is the highest start tag of the tasks started so far.
	virtualTime float64
	// activeWeight is the sum of the weights of the flows with queued items.
	activeWeight int64
}

// minRetainedFlows is the number of flows below which idle ones are not removed.
const minRetainedFlows = 64

func (q *fairQueue) flowFor(key flowKey, c *caller) *flow {
	f := q.flows[key]
	if f != nil {
		return f
	}
	f = &flow{id: key, caller: c, heapIndex: -1}
	q.flows[key] = f
	c.flows++
	return f
}

// mostlyIdle reports whether most of the flows are idle and there are more than
// minRetainedFlows.
func (q *fairQueue) mostlyIdle() bool { return len(q.flows) > 2*len(q.heap)+minRetainedFlows }

// activate adds a flow with queued items to the heap.
func (q *fairQueue) activate(f *flow) {
	if f.heapIndex >= 0 {
		return
	}
	f.startTag = max(f.startTag, q.virtualTime)
	f.sortKey = f.computeSortKey()
	q.activeWeight += f.caller.weight
	heap.Push(&q.heap, f)
}

// deactivate removes a flow without queued items from the heap.
func (q *fairQueue) deactivate(f *flow) {
	f.backlogged = false
	q.activeWeight -= f.caller.weight
	heap.Remove(&q.heap, f.heapIndex)
}

// update moves a flow in the heap after its start tag or its next task changed.
func (q *fairQueue) update(f *flow) {
	if f.heapIndex < 0 {
		return
	}
	f.sortKey = f.computeSortKey()
	heap.Fix(&q.heap, f.heapIndex)
}

// computeSortKey returns the sort key of a flow with queued items.
func (f *flow) computeSortKey() float64 {
	best := f.classes[0]
	for _, c := range f.classes[1:] {
		if c.rank().Before(best.rank()) {
			best = c
		}
	}
	return f.startTag + shortTaskBias*best.kind.work/float64(f.caller.weight)
}

// charge advances a flow's start tag by an amount of work in seconds, which may
// be negative when an estimate is corrected.
func (q *fairQueue) charge(f *flow, work float64) {
	f.startTag += work / float64(f.caller.weight)
	q.update(f)
}
