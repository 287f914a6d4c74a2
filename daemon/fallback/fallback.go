// Package fallback places an entry's best-effort jobs on the agents while there is
// no leader. Parent: package gateway, which makes a Placer for each time without a
// leader. Children: one goroutine for each agent, which keeps the connection to it
// and reads it, and one that does what is due. Restart rule: a connection that ends
// is opened again; the whole Placer ends when a leader is found. State: a shared
// board and the requests that wait; jobs that are open at the end are handed to the
// leader.
package fallback

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"slices"
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
	// tickInterval is the pause between looks at what is due.
	tickInterval = 50 * time.Millisecond
	// silence is the time without a message after which an agent counts as
	// unreachable. Agents ping three times as often.
	silence = 600 * time.Millisecond
	// pingInterval is the pause between pings to an agent that has no session with
	// this entry.
	pingInterval = 200 * time.Millisecond
	// maxAgents bounds the connections of one entry. Each takes a dial and five
	// pings a second; larger systems spread their entries over the agents.
	maxAgents = 96
	// releasedLife is how long runs may go on at an endpoint that a leader has
	// taken over before it learns of their job: the leader stops runs of no known
	// job after 0.4 s, or the agent's lease with it ends.
	releasedLife = lease.ExpiresAfter + 600*time.Millisecond
)

// Options are what a Placer needs from its entry.
type Options struct {
	// VM names the entry's machine.
	VM string
	// Term is the last known one, and Lost when its leader was lost.
	Term uint64
	Lost time.Time
	// Routes are the queues of the last known configuration.
	Routes *work.Routes
	// Agents are those whose endpoints may run tasks.
	Agents  []ledger.Agent
	Metrics *scheduler.Metrics
	Log     *events.Log
}

// Placer places jobs for one time without a leader. Submit is safe for concurrent
// use.
type Placer struct {
	opts Options

	mu        sync.Mutex
	scheduler *scheduler.Scheduler
	issued    uint64
	requests  uint64
	// open are the requests that wait, by number.
	open map[uint64]*request
	// over is set once the jobs have been handed over. Leases aren't renewed after
	// that.
	over bool
}

// request is a caller's job.
type request struct {
	id work.JobID
	// answer gets the response; moved what the leader must know instead. Each has
	// room for one.
	answer chan *mesh.Response
	moved  chan placement.PriorState
}

// New returns a Placer; Run connects it.
func New(o Options) *Placer {
	vms := make([]string, len(o.Agents))
	for i, a := range o.Agents {
		vms[i] = a.VM
	}
	board := placement.NewSharedPlanner(o.Term, o.Lost.Add(lease.ExpiresAfter), vms)
	return &Placer{opts: o, scheduler: scheduler.New(board, o.Metrics, o.Log), open: map[uint64]*request{}}
}

// Run places jobs until ctx ends, then hands the open ones over.
func (p *Placer) Run(ctx context.Context) {
	p.opts.Log.Emit(events.Event{
		ID: events.LocalPlacementBegan, Ticket: p.opts.Term,
		Text: scheduler.CountText("agents", len(p.opts.Agents)) + " leader lost " + boottime.Now().Sub(p.opts.Lost).Round(time.Millisecond).String() + " ago",
	})
	agents := supervisor.NewGroup("fallback", p.opts.Log)
	for _, a := range subset(p.opts.VM, p.opts.Agents) {
		agents.Start(ctx, a.VM, func(ctx context.Context) error {
			return link.KeepConnected(ctx, a.Address, func(ctx context.Context, c *link.Conn) { p.attend(ctx, c, a.VM) })
		})
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			p.locked(func(now time.Time) { p.scheduler.Tick(now) })
		}
	}
	p.handOver()
	agents.StopAll()
}

// subset returns the agents that an entry uses: all, or its own choice of a bounded
// number, so that entries spread over all agents.
func subset(vm string, agents []ledger.Agent) []ledger.Agent {
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

// locked runs fn and places what waits.
func (p *Placer) locked(fn func(now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over {
		return
	}
	now := boottime.Now()
	fn(now)
	p.scheduler.Place(now)
}

// handOver moves all open requests on to the leader.
func (p *Placer) handOver() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := boottime.Now()
	p.scheduler.AnswerFinished(now)
	p.over = true
	for _, r := range p.open {
		if len(r.answer) > 0 {
			continue
		}
		earlier := p.scheduler.Planner.HandOver(now, r.id, lease.ExpiresAfter)
		p.opts.Log.Emit(events.Event{ID: events.JobHandedOver, Job: scheduler.JobKey(r.id), Text: handedOver(earlier)})
		r.moved <- earlier // has room for one
	}
	p.opts.Log.Emit(events.Event{ID: events.LocalPlacementEnded, Ticket: p.opts.Term, Text: scheduler.CountText("jobs", len(p.open))})
}

func handedOver(e placement.PriorState) string {
	text := scheduler.CountText("tasks done", len(e.Done)) + " " + scheduler.CountText("endpoints with runs", len(e.Unconfirmed))
	if !e.MayHaveRun() {
		text += " never started"
	}
	return text
}

// Over tells whether the jobs have been handed over.
func (p *Placer) Over() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.over
}

// Submit places a best-effort job and waits for its end. The answer is nil if the
// job has to go to a leader instead; what the leader must know comes with it. A job
// of which nothing has started when useful ends is given up.
func (p *Placer) Submit(ctx, useful context.Context, q *mesh.Request) (*mesh.Response, placement.PriorState) {
	queue, id := p.opts.Routes.Resolve(q.Host, q.Path)
	if queue == nil || id == "" {
		return &mesh.Response{Outcome: mesh.NoLeader}, q.PriorState // a newer configuration may have the queue
	}
	job := *q.Job
	job.AssignQueue(queue, id)
	if err := job.Validate(); err != nil {
		return &mesh.Response{Outcome: mesh.Invalid, Detail: err.Error()}, q.PriorState
	}
	r := &request{id: id, answer: make(chan *mesh.Response, 1), moved: make(chan placement.PriorState, 1)}
	number, ok := p.enter(r, &job, q.PriorState)
	if !ok {
		return nil, q.PriorState
	}
	defer p.leave(number, r)
	for {
		select {
		case answer := <-r.answer:
			return answer, q.PriorState
		case earlier := <-r.moved:
			return nil, earlier
		case <-ctx.Done():
			return &mesh.Response{Outcome: mesh.Uncertain}, placement.PriorState{SentToLeader: true}
		case <-useful.Done():
			if p.giveUp(number, r) {
				return &mesh.Response{Outcome: mesh.NoLeader}, q.PriorState
			}
			useful = ctx
		}
	}
}

// giveUp takes a job of which nothing has started off the board.
func (p *Placer) giveUp(number uint64, r *request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over || len(r.answer) > 0 || p.scheduler.Planner.Started(r.id) {
		return false
	}
	delete(p.open, number)
	p.scheduler.Abandon(boottime.Now(), nil, number, r.id)
	return true
}

// enter puts a job on the board; false if the board is over.
func (p *Placer) enter(r *request, job *work.Job, earlier placement.PriorState) (number uint64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over {
		return 0, false
	}
	now := boottime.Now()
	p.requests++
	number = p.requests
	w := scheduler.Waiter{Sequence: number, Answer: func(m *mesh.Response) { r.answer <- m }} // answered once
	if answer := p.scheduler.Submit(now, w, job, earlier); answer != nil {
		r.answer <- answer
		return number, true
	}
	p.open[number] = r
	p.scheduler.Place(now)
	return number, true
}

// leave forgets a request. A job that nobody waits for any more is stopped.
func (p *Placer) leave(number uint64, r *request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[number] == nil {
		return
	}
	delete(p.open, number)
	if p.over {
		return
	}
	now := boottime.Now()
	p.scheduler.Abandon(now, nil, number, r.id)
	p.scheduler.Place(now)
}
