// Package gateway is an entry VM's way to those who place jobs with steps. Parent:
// the root of its process; package follow calls Serve for each leader. Child: local,
// which places best-effort jobs while there is no leader. State: the requests that
// wait for an answer, and what the last leader told. It decides nothing about jobs,
// so that a refusal is true wherever the caller asked.
package gateway

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/fallback"
	"github.com/cicadapulley/cicadapulley/daemon/follow"
	"github.com/cicadapulley/cicadapulley/daemon/scheduler"
)

const (
	// leaderTimeout bounds the wait for a leader; it covers two elections.
	leaderTimeout = 1500 * time.Millisecond
	// readyGrace is how long after the last answer of a leader this entry reports
	// itself ready. It covers an election, during which no other entry could do
	// better.
	readyGrace = 3 * time.Second
	// maxPending bounds the requests that wait for an answer.
	maxPending = 4096
)

// Options are what a gateway needs from its daemon.
type Options struct {
	// VM names the machine.
	VM  string
	Log *events.Log
}

// Service passes callers' requests to the leader.
type Service struct {
	opts     Options
	sequence atomic.Uint64
	// lastContact is the time of the leader's last message, in nanoseconds.
	lastContact atomic.Int64
	draining    atomic.Bool

	mu sync.Mutex
	// leader is the connection to the leader; nil while there is none.
	leader *leader
	// lostAt is when the last leader was lost.
	lostAt time.Time
	// local places best-effort jobs; nil while there is a leader.
	local *fallback.Placer
	// leaderInfo is what the last leader told; its routes are nil before that.
	leaderInfo leaderInfo
	// version is the highest version of a configuration that an answer went by.
	version uint64
	// changed is closed and replaced when leader or local changes.
	changed chan struct{}
	pending map[uint64]chan *mesh.Response
	latency *prometheus.HistogramVec
	metrics *scheduler.Metrics
}

// leader is a connection while it is that of the leader.
type leader struct {
	*follow.Leader
	// done closes when the connection no longer is.
	done chan struct{}
}

// New returns a gateway; Serve connects it.
func New(o Options) *Service {
	return &Service{
		opts: o, changed: make(chan struct{}), pending: map[uint64]chan *mesh.Response{},
		leaderInfo: leaderInfo{agents: map[string]ledger.Agent{}}, latency: newLatency(), metrics: scheduler.NewMetrics(),
	}
}

// Serve uses the connection to a leader. It implements follow.Options.Serve.
func (s *Service) Serve(ctx context.Context, l *follow.Leader) error {
	current := &leader{Leader: l, done: make(chan struct{})}
	defer close(current.done)
	s.setLeader(current, nil)
	s.applyWelcome(l.Welcome)
	defer s.setLeader(nil, current)
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	for {
		m, err := l.Receive()
		if err != nil {
			return err
		}
		s.lastContact.Store(boottime.Now().UnixNano())
		switch m := m.(type) {
		case *mesh.Response:
			s.deliver(m)
		case *mesh.Welcome:
			s.applyWelcome(m)
		case *mesh.Enrolled:
			s.addAgent(m.Agent)
		}
	}
}

// waitTimeout returns how long a submission may wait for somebody who places it:
// until its objective has passed. One that a leader had before may be done already,
// so it waits until its result is worth nothing any more. The decision about the
// job stays with who places it.
func (s *Service) waitTimeout(q *mesh.Request, mayHaveRun bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Job == nil || s.leaderInfo.routes == nil {
		return leaderTimeout
	}
	queue, _ := s.leaderInfo.routes.Match(q.Host, q.Path)
	if queue == nil {
		return leaderTimeout
	}
	spec := *q.Job
	spec.Stretch = queue.Stretch
	spec.Target = queue.Target
	if mayHaveRun {
		return min(placement.ExpiryFactor*spec.Objective(), leaderTimeout)
	}
	return min(spec.Objective(), leaderTimeout)
}

// setLeader replaces the leader; old is the one that ends, if it is still there.
func (s *Service) setLeader(l, old *leader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old != nil && s.leader != old {
		return
	}
	s.leader = l
	if l == nil {
		s.lostAt = boottime.Now()
	}
	s.notify()
}

// notify wakes those who wait for a change. The caller holds mu.
func (s *Service) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Service) deliver(r *mesh.Response) {
	s.mu.Lock()
	waiter := s.pending[r.Sequence]
	delete(s.pending, r.Sequence)
	s.version = max(s.version, r.Version)
	s.mu.Unlock()
	if waiter != nil {
		waiter <- r // has room for one
	}
}

// Ready reports whether this entry is in touch with a leader, or was until
// lately, or places jobs itself.
func (s *Service) Ready() bool {
	last := s.lastContact.Load()
	s.mu.Lock()
	local := s.local != nil
	s.mu.Unlock()
	return !s.draining.Load() && (local || last > 0 && boottime.Now().UnixNano()-last < int64(readyGrace))
}

// Drain makes Ready report false from now on.
func (s *Service) Drain() {
	s.draining.Store(true)
	s.opts.Log.Emit(events.Event{ID: events.ProcessDraining})
}

// Do passes a request on and returns the leader's answer. All requests may be
// repeated, since a job's id makes its submission idempotent, so a request is
// sent again to the next leader until ctx ends. Without an answer by then, the
// outcome is Uncertain.
//
// A request for which no leader is found while an answer would be of use ends at
// once: NotRun if no leader has had it, Uncertain otherwise.
func (s *Service) Do(ctx context.Context, q *mesh.Request) *mesh.Response {
	return s.recordLatency(time.Now(), s.forward(ctx, q))
}

func (s *Service) forward(ctx context.Context, q *mesh.Request) *mesh.Response {
	newJobCtx, cancelNewJob := context.WithTimeout(ctx, s.waitTimeout(q, false))
	defer cancelNewJob()
	priorJobCtx, cancelPriorJob := context.WithTimeout(ctx, s.waitTimeout(q, true))
	defer cancelPriorJob()
	forwarded := *q
	for ctx.Err() == nil && !s.pendingFull() {
		waitCtx := newJobCtx
		if forwarded.PriorState.MayHaveRun() {
			waitCtx = priorJobCtx
		}
		r := s.forwardOnce(ctx, waitCtx, &forwarded)
		if r == nil {
			continue
		}
		if r.Outcome == mesh.NoLeader || r.Outcome == mesh.Uncertain {
			break
		}
		r = replaceNotRun(r, forwarded.PriorState.MayHaveRun() && q.Operation == mesh.Submit)
		if r.Outcome == mesh.Overloaded || r.Outcome == mesh.NotReady {
			s.opts.Log.Emit(events.Event{ID: events.RequestRefused, Job: jobKey(q), Text: "come back in " + strconv.Itoa(r.RetryAfterMS) + "ms"})
		}
		return r
	}
	return s.unansweredResponse(q, forwarded.PriorState.MayHaveRun())
}

// forwardOnce passes a request on once. The answer is nil if somebody else has to take the
// request; what they must know is noted in it.
func (s *Service) forwardOnce(ctx, waitCtx context.Context, q *mesh.Request) *mesh.Response {
	l, local := s.awaitDestination(waitCtx, q)
	if l == nil && local == nil {
		return &mesh.Response{Outcome: mesh.NoLeader}
	}
	if l == nil {
		r, prior := local.Submit(ctx, waitCtx, q)
		q.PriorState = prior
		return r
	}
	r := s.sendToLeader(ctx, l, *q)
	if r != nil && r.Outcome != mesh.Uncertain {
		return r
	}
	if r != nil {
		sleep(waitCtx, retryDelay)
	}
	q.PriorState.SentToLeader = true
	return nil
}

// replaceNotRun replaces an answer that says that a job has not run by Uncertain if an
// earlier leader had it. Every such answer passes here.
func replaceNotRun(r *mesh.Response, mayHaveRun bool) *mesh.Response {
	if mayHaveRun && r.Outcome.NotRun() {
		return &mesh.Response{Outcome: mesh.Uncertain, Detail: r.Detail}
	}
	return r
}

// unansweredResponse answers a request that no leader has answered.
func (s *Service) unansweredResponse(q *mesh.Request, mayHaveRun bool) *mesh.Response {
	text := "no leader had it; last one heard " + s.sinceContact()
	if mayHaveRun {
		text = "no answer from the leader that had it; last one heard " + s.sinceContact()
	}
	s.opts.Log.Emit(events.Event{ID: events.RequestFailed, Job: jobKey(q), Text: text})
	if mayHaveRun {
		return &mesh.Response{Outcome: mesh.Uncertain}
	}
	return &mesh.Response{Outcome: mesh.NoLeader, RetryAfterMS: int(noLeaderRetryAfter.Milliseconds())}
}

// sinceContact tells how long ago a leader was heard.
func (s *Service) sinceContact() string {
	last := s.lastContact.Load()
	if last == 0 {
		return "never"
	}
	return time.Duration(boottime.Now().UnixNano()-last).Round(time.Millisecond).String() + " ago"
}

// jobKey names the job of a request in events: the last part of its path.
func jobKey(q *mesh.Request) job.Key {
	return job.Key{ID: q.Path[strings.LastIndexByte(q.Path, '/')+1:]}
}

// noLeaderRetryAfter is when a caller may ask again after no leader was found.
const noLeaderRetryAfter = time.Second

// retryDelay is the wait before a request goes to a leader again that could not
// answer it, as during a change of the leadership.
const retryDelay = 30 * time.Millisecond

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// sendToLeader sends a request to the leader; nil means that the connection or ctx ended
// before the answer.
func (s *Service) sendToLeader(ctx context.Context, l *leader, q mesh.Request) *mesh.Response {
	q.Sequence = s.sequence.Add(1)
	waiter := make(chan *mesh.Response, 1)
	if !s.addPending(q.Sequence, waiter) {
		return nil
	}
	defer s.removePending(q.Sequence)
	l.Send(&q)
	select {
	case r := <-waiter:
		return r
	case <-l.done:
		return nil
	case <-ctx.Done():
		l.Send(&mesh.Abandon{Sequence: q.Sequence})
		return nil
	}
}

// awaitDestination waits for somebody who can take a request: a leader, or this entry itself.
func (s *Service) awaitDestination(ctx context.Context, q *mesh.Request) (*leader, *fallback.Placer) {
	for {
		s.mu.Lock()
		l, local, changed := s.leader, s.local, s.changed
		s.mu.Unlock()
		if l != nil {
			return l, nil
		}
		if local != nil && !local.Over() && q.Operation == mesh.Submit && q.Job.BestEffort {
			return nil, local
		}
		select {
		case <-ctx.Done():
			return nil, nil
		case <-changed:
		}
	}
}

func (s *Service) addPending(sequence uint64, waiter chan *mesh.Response) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) >= maxPending {
		return false
	}
	s.pending[sequence] = waiter
	return true
}

// pendingFull tells whether too many requests wait.
func (s *Service) pendingFull() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) >= maxPending
}

func (s *Service) removePending(sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, sequence)
}
