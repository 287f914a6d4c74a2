package dispatch

import (
	"container/heap"
	"time"

	"github.com/cicadapulley/cicadapulley/core/job"
)

// node is a queued item. It is a member of its class's list, of its job's list
// and, with a deadline, of the deadline heap.
type node struct {
	item    Item
	class   *class
	flow    *flow
	prev    *node
	next    *node
	jobPrev *node
	jobNext *node
	// heapIndex is the position in the deadline heap, -1 if it is not in there.
	heapIndex int
	// latestStart is the time after which the item is not started any more. See
	// kind.latestStart.
	latestStart time.Time
	// expired marks an item past its latest start. It has left its class's list
	// and waits for TakeExpired. RemoveJob clears the mark.
	expired bool
}

// deadlineHeap orders nodes by their latest start.
type deadlineHeap []*node

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].latestStart.Before(h[j].latestStart) }

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	n := x.(*node)
	n.heapIndex = len(*h)
	*h = append(*h, n)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := len(old) - 1
	n := old[last]
	old[last] = nil
	*h = old[:last]
	n.heapIndex = -1
	return n
}

// queue holds all queued items, indexed by job and by deadline.
type queue struct {
	jobs      map[job.Key]*node
	deadlines deadlineHeap
	size      int
}

func (q *queue) add(n *node) {
	n.heapIndex = -1
	first := q.jobs[n.item.Job]
	n.jobNext = first
	if first != nil {
		first.jobPrev = n
	}
	q.jobs[n.item.Job] = n
	if !n.item.Deadline.IsZero() {
		heap.Push(&q.deadlines, n)
	}
	q.size++
}

// unlinkJob removes a node from its job's list.
func (q *queue) unlinkJob(n *node) {
	if n.jobPrev != nil {
		n.jobPrev.jobNext = n.jobNext
	} else if n.jobNext != nil {
		q.jobs[n.item.Job] = n.jobNext
	} else {
		delete(q.jobs, n.item.Job)
	}
	if n.jobNext != nil {
		n.jobNext.jobPrev = n.jobPrev
	}
	n.jobPrev = nil
	n.jobNext = nil
}

// unlinkDeadline removes a node from the deadline heap.
func (q *queue) unlinkDeadline(n *node) {
	if n.heapIndex >= 0 {
		heap.Remove(&q.deadlines, n.heapIndex)
	}
}

// firstExpired returns the node with the earliest latest start if that has
// passed.
func (q *queue) firstExpired(now time.Time) *node {
	if len(q.deadlines) == 0 || q.deadlines[0].latestStart.After(now) {
		return nil
	}
	return q.deadlines[0]
}
