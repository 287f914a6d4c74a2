package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cicadapulley/cicadapulley/core/dispatch"
	"github.com/cicadapulley/cicadapulley/core/invariant"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/verdict"
)

// dispatchReply is the dispatcher's answer to a queued task: an endpoint or an error.
type dispatchReply struct {
	task       int
	assignment dispatch.Assignment
	err        *verdict.Error
}

// dispatcher holds the entry's queue. It makes the scheduler's decisions
// available to the goroutines of jobs. Its methods are safe for concurrent use.
type dispatcher struct {
	mu        sync.Mutex
	scheduler *dispatch.Scheduler
	lastID    uint64
	// replyChans maps a queued item's ID to the channel of its job. The channel
	// has room for all of the job's items, so a send never blocks.
	replyChans map[uint64]chan<- dispatchReply
	timer      *time.Timer
}

func newDispatcher(o dispatch.Options) *dispatcher {
	return &dispatcher{
		scheduler:  dispatch.New(o),
		replyChans: map[uint64]chan<- dispatchReply{},
		timer:      time.NewTimer(time.Hour),
	}
}

// Run calls the scheduler at the times that it asks for, such as deadlines, until
// ctx is done.
func (d *dispatcher) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.timer.C:
			d.withLock(func(time.Time) {})
		}
	}
}

// withLock runs fn under mu and then delivers the assignments that are possible.
func (d *dispatcher) withLock(fn func(now time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	fn(now)
	d.deliverReady(now)
}

// deliverReady delivers the possible assignments and the expired items, and sets
// the timer. The caller holds mu.
func (d *dispatcher) deliverReady(now time.Time) {
	for {
		a, ok := d.scheduler.Next(now)
		if !ok {
			break
		}
		d.deliver(a.Item, dispatchReply{task: a.Item.Task, assignment: a})
	}
	for _, item := range d.scheduler.TakeExpired(now) {
		err := verdict.Errorf(verdict.CodeDeadline, verdict.NotRun, "no endpoint was free before the deadline")
		d.deliver(item, dispatchReply{task: item.Task, err: err})
	}
	if wake := d.scheduler.NextWake(now); !wake.IsZero() {
		d.timer.Reset(wake.Sub(now))
	}
}

// deliver sends an item's reply to its job. The caller holds mu.
func (d *dispatcher) deliver(item dispatch.Item, reply dispatchReply) {
	replies, ok := d.replyChans[item.ID]
	invariant.Check(ok, invariant.InternalCounting, "item %d was answered twice", item.ID)
	delete(d.replyChans, item.ID)
	replies <- reply
}

// admit checks a whole job against the queue's capacity, the quota and the deadline.
func (d *dispatcher) admit(caller, service string, kinds []dispatch.KindCount, deadline time.Time, quota int64) *verdict.Error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Admit(time.Now(), caller, service, kinds, deadline, quota)
}

// enqueue queues items; each gets one reply on the channel.
func (d *dispatcher) enqueue(items []dispatch.Item, replies chan<- dispatchReply) {
	d.withLock(func(now time.Time) {
		for i := range items {
			d.register(&items[i], replies)
		}
		d.scheduler.Enqueue(now, items)
	})
}

// register assigns an ID to an item and stores its channel. The caller holds mu.
func (d *dispatcher) register(item *dispatch.Item, replies chan<- dispatchReply) {
	d.lastID++
	item.ID = d.lastID
	d.replyChans[item.ID] = replies
}

// requeue queues an item again after NotRun, away from the endpoint that
// refused it. It returns false if the retry budget is exhausted.
func (d *dispatcher) requeue(item dispatch.Item, endpoint string, replies chan<- dispatchReply) bool {
	queued := false
	d.withLock(func(now time.Time) {
		item.Avoid = append(item.Avoid[:len(item.Avoid):len(item.Avoid)], endpoint)
		d.register(&item, replies)
		queued = d.scheduler.Requeue(now, item)
		if !queued {
			delete(d.replyChans, item.ID)
		}
	})
	return queued
}

// done reports the end of an assignment to the scheduler.
func (d *dispatcher) done(a dispatch.Assignment, r dispatch.Report) {
	d.withLock(func(now time.Time) { d.scheduler.Done(now, a, r) })
}

// remove removes a job's items from the queue; each gets a reply with err.
func (d *dispatcher) remove(k job.Key, err *verdict.Error) {
	d.withLock(func(time.Time) {
		for _, item := range d.scheduler.RemoveJob(k) {
			d.deliver(item, dispatchReply{task: item.Task, err: err})
		}
	})
}

// configure passes members and configuration to the scheduler.
func (d *dispatcher) configure(endpoints []dispatch.Endpoint, weights map[string]int64, maxQueued int) {
	d.withLock(func(now time.Time) {
		d.scheduler.SetMaxQueued(maxQueued)
		d.scheduler.SetWeights(weights)
		d.scheduler.SetEndpoints(now, endpoints)
	})
}

// queued returns the number of queued tasks.
func (d *dispatcher) queued() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Queued()
}

// status returns the scheduler's state for operators.
func (d *dispatcher) status() dispatch.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Snapshot()
}
