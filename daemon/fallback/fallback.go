// Package fallback places an entry's best-effort jobs on the agents while there is
// no leader. Parent: package gateway, which makes a Placer for each time without a
// leader. Children: one goroutine for each agent, which keeps the connection to it
// and reads it; Run's own goroutine ticks the scheduler. Restart rule: a connection
// that ends is opened again; the whole Placer ends when a leader is found. State: a
// shared planner and the requests that wait; jobs that are open at the end are handed
// over to the leader.
package fallback

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/lease"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/link"
	"github.com/cicadapulley/cicadapulley/daemon/scheduler"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
)

const (
	// tickInterval is the interval between ticks of the scheduler.
	tickInterval = 50 * time.Millisecond
	// agentTimeout is the time without a message after which an agent counts as
	// unreachable. Agents answer the pings, which are sent at a third of it.
	agentTimeout = 600 * time.Millisecond
	// pingInterval is the interval between pings to an agent, which keep the
	// connection open if the agent has no session with this entry.
	pingInterval = 200 * time.Millisecond
	// maxAgents bounds the connections of one entry. Each takes a dial and a few
	// messages a second, and dials to hundreds of agents delay the first starts on a
	// small VM. Larger systems spread their entries over the agents; then jobs that a
	// leader may have started wait until its leases have expired, since some agents that
	// may run them are not asked.
	maxAgents = 96
)

// Options configure a Placer.
type Options struct {
	// VM is the name of the entry's VM.
	VM string
	// Term is the last term with a known leader, and LeaderLostAt is when that
	// leader was lost.
	Term         uint64
	LeaderLostAt time.Time
	// Routes are the queues of the configuration at the start, and Version is its version.
	Routes  *work.Routes
	Version uint64
	// Agents are the agents whose endpoints may run tasks.
	Agents []ledger.Agent
	// Drains are those of data centres at the start.
	Drains  work.DataCentreDrains
	Metrics *scheduler.Metrics
	// DetectInterference is set if the placer learns which queues slow each other down.
	DetectInterference bool
	// Shares are those of queues, nil for none.
	Shares *scheduler.Shares
	// QueueBytes bounds the bytes that wait to be sent to an agent; 0 for the default.
	QueueBytes int
	Log        *events.Log
}

// Placer places jobs during one period without a leader. Submit is safe for
// concurrent use.
type Placer struct {
	opts Options

	mu        sync.Mutex
	scheduler *scheduler.Scheduler
	routes    *work.Routes
	// lastSession and lastRequest are the numbers last given.
	lastSession uint64
	lastRequest uint64
	// open are the requests that wait, by number.
	open map[uint64]*request
	// handedOver is set once the jobs have been handed over. Leases are not renewed
	// after that.
	handedOver bool
}

// request is a caller's request that waits for the end of its job.
type request struct {
	id work.JobID
	// Either answer receives the response, or handover receives the job's state for
	// the leader. Each has a buffer of one.
	answer   chan *mesh.Response
	handover chan placement.PriorState
}

// New returns a Placer; Run connects it to the agents.
func New(o Options) *Placer {
	vms := make([]string, len(o.Agents))
	for i, a := range o.Agents {
		vms[i] = a.VM
	}
	planner := placement.NewSharedPlanner(o.Term, o.LeaderLostAt, vms)
	planner.SetDrained(boottime.Now(), o.Drains)
	if o.DetectInterference {
		planner.DetectInterference()
	}
	o.Shares.Apply(planner, o.Routes)
	return &Placer{opts: o, routes: o.Routes, scheduler: scheduler.New(planner, o.Metrics, o.Log), open: map[uint64]*request{}}
}

// Run places jobs until ctx ends, then hands the open ones over.
func (p *Placer) Run(ctx context.Context) {
	p.opts.Log.Emit(events.Event{
		ID: events.LocalPlacementBegan, Ticket: p.opts.Term,
		Text: scheduler.CountText("agents", len(p.opts.Agents)) + " leader lost " + boottime.Now().Sub(p.opts.LeaderLostAt).Round(time.Millisecond).String() + " ago, configuration " + strconv.FormatUint(p.opts.Version, 10),
	})
	agents := supervisor.NewGroup("fallback", p.opts.Log)
	for _, a := range chooseAgents(p.opts.VM, p.opts.Agents) {
		agents.Start(ctx, a.VM, func(ctx context.Context) error {
			return link.KeepConnected(ctx, a.Address, p.opts.QueueBytes, func(ctx context.Context, c *link.Conn) { p.serveAgent(ctx, c, a.VM) })
		})
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			p.update(func(now time.Time) { p.scheduler.Tick(now) })
		}
	}
	p.handOver()
	agents.StopAll()
}

// chooseAgents returns the agents that an entry uses. If there are more than
// maxAgents, it selects by a hash of both VM names, so that entries spread over all
// agents.
func chooseAgents(vm string, agents []ledger.Agent) []ledger.Agent {
	if len(agents) <= maxAgents {
		return agents
	}
	rank := func(a ledger.Agent) uint64 {
		sum := sha256.Sum256([]byte(vm + " " + a.VM))
		return binary.BigEndian.Uint64(sum[:])
	}
	chosen := slices.SortedFunc(slices.Values(agents), func(a, b ledger.Agent) int { return cmp.Compare(rank(a), rank(b)) })
	return chosen[:maxAgents]
}

// update runs fn under mu and then places waiting tasks. It does nothing after the
// jobs have been handed over.
func (p *Placer) update(fn func(now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.handedOver {
		return
	}
	now := boottime.Now()
	fn(now)
	p.scheduler.Place(now)
}

// handOver ends placement and returns every open request with its job's state for the
// leader.
func (p *Placer) handOver() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := boottime.Now()
	p.scheduler.AnswerFinished(now)
	p.handedOver = true
	for _, r := range p.open {
		if len(r.answer) > 0 {
			continue
		}
		prior := p.scheduler.Planner.HandOver(now, r.id, lease.ExpiresAfter)
		p.opts.Log.Emit(events.Event{ID: events.JobHandedOver, Job: scheduler.JobKey(r.id), Text: handOverText(prior)})
		r.handover <- prior // buffered, sent once
	}
	p.opts.Log.Emit(events.Event{ID: events.LocalPlacementEnded, Ticket: p.opts.Term, Text: scheduler.CountText("jobs", len(p.open))})
}

// handOverText describes a job that is handed over, for the log.
func handOverText(prior placement.PriorState) string {
	text := scheduler.CountText("tasks done", len(prior.Done)) + " " + scheduler.CountText("endpoints with runs", len(prior.Unconfirmed))
	switch {
	case prior.Started:
		return text + " started"
	case prior.SentToLeader:
		return text + " a former leader may run it"
	case prior.RunsEnded:
		return text + " a former leader may have run it"
	}
	return text + " never started"
}

// SetRoutes replaces the queues by those of a newer configuration. Jobs that have been
// submitted go on.
func (p *Placer) SetRoutes(routes *work.Routes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.routes = routes
	p.opts.Shares.Apply(p.scheduler.Planner, routes)
}

// SetDrained applies the drains of data centres. Those of an older revision are ignored.
func (p *Placer) SetDrained(d work.DataCentreDrains) {
	p.update(func(now time.Time) { p.scheduler.Planner.SetDrained(now, d) })
}

// Drained reports whether a data centre is drained.
func (p *Placer) Drained(dataCentre string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Planner.Drained(dataCentre)
}

// resolve returns the queue and the job of a path.
func (p *Placer) resolve(host, path string) (*work.Queue, work.JobID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.routes.Resolve(host, path)
}

// ReachesEndpoints reports whether tasks can be placed on any endpoint.
func (p *Placer) ReachesEndpoints() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Planner.ReachesEndpoints()
}

// ReadPlanner calls use with the planner, which is not used otherwise in the meantime.
func (p *Placer) ReadPlanner(use func(planner *placement.Planner, now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	use(p.scheduler.Planner, boottime.Now())
}

// HandedOver reports whether the jobs have been handed over.
func (p *Placer) HandedOver() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.handedOver
}

// Submit places a best-effort job and waits for its end. The answer is nil if the job
// has to be sent to a leader instead, with the returned state. A job of which no task
// has started when startCtx ends is cancelled and answered with NoLeader.
func (p *Placer) Submit(ctx, startCtx context.Context, q *mesh.Request) (*mesh.Response, placement.PriorState) {
	queue, id := p.resolve(q.Host, q.Path)
	if queue == nil || id == "" {
		return &mesh.Response{Outcome: mesh.NoLeader}, q.PriorState // a newer configuration may have the queue
	}
	job := *q.Job
	job.AssignQueue(queue, id)
	if err := job.Validate(); err != nil {
		return &mesh.Response{Outcome: mesh.Invalid, Detail: err.Error()}, q.PriorState
	}
	r := &request{id: id, answer: make(chan *mesh.Response, 1), handover: make(chan placement.PriorState, 1)}
	number, ok := p.add(r, &job, q.PriorState)
	if !ok {
		return nil, q.PriorState
	}
	defer p.remove(number, r)
	for {
		select {
		case answer := <-r.answer:
			return answer, q.PriorState
		case prior := <-r.handover:
			return nil, prior
		case <-ctx.Done():
			return &mesh.Response{Outcome: mesh.Uncertain}, placement.PriorState{SentToLeader: true}
		case <-startCtx.Done():
			if p.cancelUnstarted(number, r) {
				return &mesh.Response{Outcome: mesh.NoLeader}, q.PriorState
			}
			startCtx = ctx
		}
	}
}

// Cancel cancels a best-effort job that was submitted to p, and returns the answer. It returns nil
// if p has no such job.
func (p *Placer) Cancel(q *mesh.Request) *mesh.Response {
	_, id := p.resolve(q.Host, q.Path)
	cancelled := false
	p.update(func(now time.Time) {
		cancelled = p.scheduler.Planner.Has(id) && p.scheduler.Cancel(now, id)
	})
	if !cancelled {
		return nil
	}
	return &mesh.Response{Outcome: mesh.Accepted}
}

// cancelUnstarted removes a request whose job has not started. It returns false if the
// job has started, has been answered or has been handed over.
func (p *Placer) cancelUnstarted(number uint64, r *request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.handedOver || len(r.answer) > 0 || p.scheduler.Planner.Started(r.id) {
		return false
	}
	delete(p.open, number)
	p.scheduler.Abandon(boottime.Now(), nil, number, r.id)
	return true
}

// add submits a job to the scheduler. ok is false if the jobs have been handed over.
func (p *Placer) add(r *request, job *work.Job, prior placement.PriorState) (number uint64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.handedOver {
		return 0, false
	}
	now := boottime.Now()
	p.lastRequest++
	number = p.lastRequest
	w := scheduler.Waiter{Sequence: number, Answer: func(m *mesh.Response) { r.answer <- m }} // answered once
	if answer := p.scheduler.Submit(now, w, job, prior); answer != nil {
		r.answer <- answer
		return number, true
	}
	p.open[number] = r
	p.scheduler.Place(now)
	return number, true
}

// remove deletes a request if it is still open. The job is stopped if no other request
// waits for it, unless the jobs have been handed over.
func (p *Placer) remove(number uint64, r *request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[number] == nil {
		return
	}
	delete(p.open, number)
	if p.handedOver {
		return
	}
	now := boottime.Now()
	p.scheduler.Abandon(now, nil, number, r.id)
	p.scheduler.Place(now)
}
