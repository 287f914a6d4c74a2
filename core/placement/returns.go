package placement

import (
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

const (
	// earlyReturn is how long before its time a refused caller may return without losing its
	// place.
	earlyReturn = 500 * time.Millisecond
	// returnGrace is how long after its time a refused caller keeps its place. Callers are told
	// whole seconds, rounded up. A record thus lasts at most maxRetryAfter and returnGrace.
	returnGrace = time.Second
	// maxRefusedCallers bounds the records. Further refused callers are newcomers on return.
	maxRefusedCallers = 4096
	// maxPromisedWorkload bounds the workload of one record, so that the sum over
	// maxRefusedCallers does not overflow. It takes a thousand cores for twelve days.
	maxPromisedWorkload workload = 1 << 50
	// returnsWindow is the number of refused callers over which the part that returns is learned.
	returnsWindow = 16
	// allReturn is the part that returns if all callers do, in thousandths.
	allReturn = 1000
)

// refusedCaller is a caller that was refused and told when to return.
type refusedCaller struct {
	id    work.JobID
	key   loadKey
	queue shareKey
	work  workload
	// at is when the caller may return.
	at time.Time
}

// refusedCallers has the refused callers that have not returned. It answers a lasting
// overload in which refused callers return all at once, and compete with newcomers
// again.
type refusedCallers struct {
	byID map[work.JobID]*refusedCaller
	// sorted has the callers in the order of their times. The time of the first dueCount
	// has come.
	sorted   []*refusedCaller
	dueCount int
	// all is the workload of all callers, and due that of those whose time has come.
	all, due refusedWork
	// returning is the part of the callers that have returned at their times, in thousandths.
	// It is 0 until the first has: newcomers aren't refused for callers that never return.
	returning workload
}

// refusedWork has the sums of refused callers' work by pool and priority, and by queue.
type refusedWork struct {
	loads
	queues map[shareKey]workload
}

func newRefusedCallers() refusedCallers {
	return refusedCallers{byID: map[work.JobID]*refusedCaller{}, all: newRefusedWork(), due: newRefusedWork()}
}

func newRefusedWork() refusedWork {
	return refusedWork{loads: loads{}, queues: map[shareKey]workload{}}
}

// count adds the work of a caller.
func (w *refusedWork) count(c *refusedCaller) { w.change(c, c.work) }

// discount reverts count.
func (w *refusedWork) discount(c *refusedCaller) { w.change(c, -c.work) }

func (w *refusedWork) change(c *refusedCaller, by workload) {
	w.loads.add(c.key, by)
	w.queues[c.queue] += by
	if w.queues[c.queue] == 0 {
		delete(w.queues, c.queue)
	}
}

// advance counts the work of the callers whose time has come, and removes those whose grace
// has passed.
func (r *refusedCallers) advance(now time.Time) {
	for r.dueCount < len(r.sorted) && !now.Before(r.sorted[r.dueCount].at) {
		r.due.count(r.sorted[r.dueCount])
		r.dueCount++
	}
	for len(r.sorted) > 0 && now.After(r.sorted[0].at.Add(returnGrace)) {
		r.remove(r.sorted[0].id)
		r.learn(0)
	}
}

// learn records that a caller has returned at its time, with allReturn, or has not, with 0.
func (r *refusedCallers) learn(returned workload) {
	r.returning += (returned - r.returning) / returnsWindow
}

// add adds a caller that is not among the refused ones. It does nothing at the bound.
func (r *refusedCallers) add(c *refusedCaller) {
	if len(r.sorted) >= maxRefusedCallers {
		return
	}
	// The caller's time is to come, so that it is behind those that are due.
	index, _ := slices.BinarySearchFunc(r.sorted, c.at, func(o *refusedCaller, at time.Time) int {
		if o.at.After(at) {
			return 1
		}
		return -1
	})
	r.sorted = slices.Insert(r.sorted, index, c)
	r.byID[c.id] = c
	r.all.count(c)
}

// remove removes a caller, if it is among the refused ones.
func (r *refusedCallers) remove(id work.JobID) {
	c := r.byID[id]
	if c == nil {
		return
	}
	delete(r.byID, id)
	index := slices.Index(r.sorted, c)
	r.sorted = slices.Delete(r.sorted, index, index+1)
	r.all.discount(c)
	if index < r.dueCount {
		r.dueCount--
		r.due.discount(c)
	}
}

// returns reports whether the caller of a job was refused and has returned at its time.
func (r *refusedCallers) returns(now time.Time, id work.JobID) bool {
	c := r.byID[id]
	return c != nil && !now.Before(c.at.Add(-earlyReturn))
}

// promiseReturn records the refusal of a job and returns the time after which its caller may
// return: when the work that is queued now and that of the callers refused before it will
// have been placed. A caller that returned too early keeps its time.
func (p *Planner) promiseReturn(now time.Time, j *work.Job, atLeast time.Duration) time.Duration {
	p.refused.advance(now)
	var wait time.Duration
	if c := p.refused.byID[j.ID]; c != nil && !p.refused.returns(now, j.ID) {
		wait = c.at.Sub(now)
		p.refused.remove(j.ID)
	} else {
		p.refused.remove(j.ID)
		wait = p.placementTime(now, j.Pool, p.workAhead(j, &p.refused.all, allReturn))
	}
	wait = min(max(wait, atLeast, minRetryAfter), maxRetryAfter)
	p.refused.add(&refusedCaller{
		id: j.ID, key: loadKey{pool: j.Pool, priority: j.Priority}, queue: shareKeyOf(j),
		work: min(jobWorkload(j), maxPromisedWorkload), at: now.Add(wait),
	})
	return wait
}
