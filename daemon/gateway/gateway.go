// Package gateway forwards the requests of an entry's callers to the leader, which
// places jobs with steps. Parent: the root of the entry's process; package follow
// calls Serve for each leader. Child: local, which places best-effort jobs while
// there is no leader. State: the requests that wait for an answer, and what the last
// leader sent. The gateway makes no decisions about jobs, so a refusal holds at every
// entry.
package gateway

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/drain"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/leaderless"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/fallback"
	"github.com/cicadapulley/cicadapulley/daemon/follow"
	"github.com/cicadapulley/cicadapulley/daemon/scheduler"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
)

const (
	// readyGrace is how long after a leader's last message this entry still reports
	// ready although it can't place jobs itself. It covers an election, during which the
	// other entries have no leader either. An entry that is cut off must leave the
	// balancer's rotation soon: its callers are refused.
	readyGrace = time.Second
	// maxPending bounds the requests that wait for an answer.
	maxPending = 4096
)

// Options configure a gateway.
type Options struct {
	// VM is the name of the entry's VM.
	VM string
	// DetectInterference is set if this entry learns which queues slow each other down while it
	// places jobs itself.
	DetectInterference bool
	// QueueShares are the shares of queues in percent, for the jobs that this entry places.
	QueueShares map[string]int
	// Relay relays an agent to the leader at an address. It must not block; nil relays none.
	Relay func(m *mesh.Relay, leader string)
	// QueueBytes bounds the bytes that wait to be sent to an agent while there is no leader; 0 for
	// the default.
	QueueBytes int
	Log        *events.Log
}

// Service forwards callers' requests to the leader.
type Service struct {
	opts     Options
	sequence atomic.Uint64
	// lastContact is the time of a leader's last message on the clock of package
	// boottime, in nanoseconds; 0 before the first message.
	lastContact atomic.Int64
	// stop is the schedule of the planned stop; nil before it begins.
	stop atomic.Pointer[drain.Schedule]

	mu sync.Mutex
	// leader is the connection to the leader; nil while there is none.
	leader *leader
	// local places best-effort jobs; nil while there is a leader.
	local *fallback.Placer
	// view is what control VMs have sent, by which this entry acts without a leader.
	view leaderless.View
	// changed is closed and replaced when leader, local or the view's configuration changes.
	changed chan struct{}
	pending map[uint64]chan *mesh.Response
	latency *prometheus.HistogramVec
	// withheld counts refusals that the caller was not given, since the job may have run.
	withheld prometheus.Counter
	metrics  *scheduler.Metrics
	// shares are used by one local placer at a time.
	shares *scheduler.Shares
}

// leader is the connection to a leader.
type leader struct {
	*follow.Leader
	// done is closed when Serve stops using the connection.
	done chan struct{}
}

// New returns a gateway without a leader.
func New(o Options) *Service {
	return &Service{
		opts: o, changed: make(chan struct{}), pending: map[uint64]chan *mesh.Response{},
		latency: newLatency(), withheld: newWithheld(), metrics: scheduler.NewMetrics(),
		shares: scheduler.NewShares(o.QueueShares, o.Log),
	}
}

// Serve uses the connection to a leader until it fails, the leader loses its term, or
// ctx ends. It implements follow.Options.Serve.
func (s *Service) Serve(ctx context.Context, l *follow.Leader) error {
	current := &leader{Leader: l, done: make(chan struct{})}
	defer close(current.done)
	s.setLeader(current, nil)
	s.applyWelcome(current, l.Welcome)
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
			s.applyWelcome(current, m)
		case *mesh.Enrolled:
			s.addAgent(m.Agent)
		case *mesh.Pong:
			s.recordVersion(l.Conn, m.ConfigurationVersion)
		case *mesh.Drains:
			s.applyDrains(m.State)
		case *mesh.Relay:
			if s.opts.Relay != nil {
				s.opts.Relay(m, l.Address)
			}
		}
	}
}

// objective returns the objective of a submitted job, by the configuration that this entry has.
// It returns false for other requests and for an unknown queue.
func (s *Service) objective(q *mesh.Request) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Job == nil || s.view.Routes() == nil {
		return 0, false
	}
	queue, _ := s.view.Routes().Match(q.Host, q.Path)
	if queue == nil {
		return 0, false
	}
	spec := *q.Job
	spec.Stretch = queue.Stretch
	spec.Target = queue.Target
	return spec.Objective(), true
}

// setLeader replaces the leader. If old is set and no longer the leader, it has no
// effect.
func (s *Service) setLeader(l, old *leader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old != nil && s.leader != old {
		return
	}
	s.leader = l
	if l == nil {
		s.view.LeaderLost(boottime.Now())
	} else {
		s.view.LeaderFound()
	}
	s.notify()
}

// notify wakes the goroutines that wait for a change. The caller holds mu.
func (s *Service) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// deliver passes a response to the goroutine that waits for it, if there is one.
func (s *Service) deliver(r *mesh.Response) {
	s.mu.Lock()
	waiter := s.pending[r.Sequence]
	delete(s.pending, r.Sequence)
	s.view.Reported(r.Version)
	s.mu.Unlock()
	if waiter != nil {
		waiter <- r // buffered for the only response
	}
}

// Ready reports whether this entry is connected and not draining.
func (s *Service) Ready() bool { return s.stop.Load() == nil && s.Connected() }

// Connected reports whether this entry has received a message from a leader within
// readyGrace or reaches endpoints on which it places jobs itself.
func (s *Service) Connected() bool {
	last := s.lastContact.Load()
	s.mu.Lock()
	local := s.local
	s.mu.Unlock()
	return last > 0 && boottime.Now().UnixNano()-last < int64(readyGrace) || local != nil && local.ReachesEndpoints()
}

// Drain makes Ready report false from now on, and refuses requests that may take too long for the
// schedule, whose times are on the clock of package boottime. The caller ends the contexts of the
// remaining requests at the schedule's AnswerBy.
func (s *Service) Drain(schedule drain.Schedule) {
	s.stop.Store(&schedule)
	s.opts.Log.Emit(events.Event{ID: events.ProcessDraining})
}

// accepts reports whether there is time for a request before the end of a planned stop.
func (s *Service) accepts(ctx context.Context, q *mesh.Request) bool {
	schedule := s.stop.Load()
	if schedule == nil {
		return true
	}
	longest := leaderless.LeaderTimeout
	if deadline, ok := ctx.Deadline(); ok {
		longest = time.Until(deadline)
	}
	if objective, ok := s.objective(q); ok {
		longest = min(longest, placement.ExpiryFactor*objective)
	}
	return schedule.Accepts(boottime.Now(), longest)
}

// stoppingResponse refuses a request during a planned stop. An earlier submission of the same
// job may have gone through another entry, so the answer is the same as without a leader.
func (s *Service) stoppingResponse(q *mesh.Request) *mesh.Response {
	const detail = "the entry is stopping and has no time for the request"
	s.opts.Log.Emit(events.Event{ID: events.RequestRefused, Job: jobKey(q), Text: detail})
	return &mesh.Response{Outcome: mesh.NoLeader, RetryAfterMS: int(noLeaderRetryAfter.Milliseconds()), Detail: detail}
}

// Do forwards a request and returns the leader's answer. All requests may be
// repeated, since a job's ID makes its submission idempotent, so an unanswered
// request is sent again to the next leader until ctx ends.
//
// A request that has no answer when ctx ends, finds no leader within the time of leaderless.Wait, or
// finds too many requests waiting, ends with NoLeader if no leader can have received
// it, and with Uncertain otherwise.
//
// A request whose host or path is not valid UTF-8 ends with NoQueue: no queue has such a place, and a leader
// can't decode it and would close the connection, with the requests of all callers.
func (s *Service) Do(ctx context.Context, q *mesh.Request) *mesh.Response {
	if !utf8.ValidString(q.Host) || !utf8.ValidString(q.Path) {
		return &mesh.Response{Outcome: mesh.NoQueue}
	}
	if !s.accepts(ctx, q) {
		return s.stoppingResponse(q)
	}
	return s.recordLatency(time.Now(), s.forward(ctx, q))
}

func (s *Service) forward(ctx context.Context, q *mesh.Request) *mesh.Response {
	f := &forwarding{Request: *q, arrived: boottime.Now()}
	wait := leaderless.Wait{Arrived: f.arrived}
	wait.Objective, _ = s.objective(q)
	for ctx.Err() == nil && !s.pendingFull() {
		waitCtx, cancel := context.WithTimeout(ctx, wait.Until().Sub(boottime.Now()))
		r := s.forwardOnce(ctx, waitCtx, f)
		cancel()
		if r == nil {
			if wait.LeaderLostAt.IsZero() && f.mayHaveRun {
				wait.LeaderLostAt = boottime.Now()
			}
			continue
		}
		if r.Outcome == mesh.NoLeader || r.Outcome == mesh.Uncertain {
			return s.unansweredResponse(q, r, f.mayHaveRun)
		}
		answer := ReplaceNotRun(r, f.mayHaveRun && q.Operation == mesh.Submit)
		s.logRefusal(f, r, answer)
		return answer
	}
	return s.unansweredResponse(q, nil, f.mayHaveRun)
}

// forwardOnce forwards a request to the leader, or to the local placer. The answer is
// nil if the request has to be forwarded again; its PriorState is then updated for the
// next leader.
func (s *Service) forwardOnce(ctx, waitCtx context.Context, f *forwarding) *mesh.Response {
	if f.Operation == mesh.Cancel {
		if r := s.cancelLocally(&f.Request); r != nil {
			return r
		}
	}
	l, local := s.awaitDestination(waitCtx, &f.Request)
	if l == nil && local == nil {
		return &mesh.Response{Outcome: mesh.NoLeader}
	}
	f.PriorState.Waited = f.waited().Truncate(time.Millisecond)
	if l == nil {
		f.placed++
		f.leaderTerm = 0
		r, prior := local.Submit(ctx, waitCtx, &f.Request)
		f.returned(prior)
		return r
	}
	f.sent++
	f.leaderTerm = l.Welcome.Term
	r := s.sendToLeader(ctx, l, f.Request)
	if r != nil && r.Outcome != mesh.Uncertain {
		return r
	}
	if r != nil {
		supervisor.Sleep(waitCtx, retryDelay)
	}
	f.PriorState.SentToLeader = true
	f.mayHaveRun = true
	return nil
}

// cancelLocally cancels a job that this entry places itself. It returns nil if there is none.
func (s *Service) cancelLocally(q *mesh.Request) *mesh.Response {
	s.mu.Lock()
	local := s.local
	s.mu.Unlock()
	if local == nil {
		return nil
	}
	return local.Cancel(q)
}

// ReplaceNotRun replaces an answer that says that a job has not run by Uncertain if an
// earlier leader or the local placer may have started the job. Every answer of a leader
// or of the local placer passes through it, except NoLeader and Uncertain, for which
// UnansweredOutcome makes the same distinction.
func ReplaceNotRun(r *mesh.Response, mayHaveRun bool) *mesh.Response {
	if mayHaveRun && r.Outcome.NotRun() {
		return &mesh.Response{Outcome: mesh.Uncertain, Detail: r.Detail}
	}
	return r
}

// unansweredResponse returns the answer to a request that no leader has answered. r is the answer of
// the local placer, nil if there is none.
func (s *Service) unansweredResponse(q *mesh.Request, r *mesh.Response, mayHaveRun bool) *mesh.Response {
	contact := "last contact with a leader: " + s.sinceContact()
	answer := &mesh.Response{Outcome: UnansweredOutcome(r, mayHaveRun)}
	text := "no answer from the leader that received it; " + contact
	switch {
	case answer.Outcome == mesh.NoLeader:
		answer.RetryAfterMS = int(noLeaderRetryAfter.Milliseconds())
		text = "no leader received it; " + contact
	case r != nil && r.Detail != "":
		answer.Detail = r.Detail
		text = "this entry gave it up: " + r.Detail + "; " + contact
	}
	s.opts.Log.Emit(events.Event{ID: events.RequestFailed, Job: jobKey(q), Text: text})
	return answer
}

// UnansweredOutcome returns the outcome of a request that no leader has answered, by the answer r of
// the local placer, nil if there is none, and by whether an earlier leader or placer may have started
// the job. The placer answers Uncertain if it gives up a job of which it has started a task itself.
func UnansweredOutcome(r *mesh.Response, mayHaveRun bool) mesh.Outcome {
	if mayHaveRun || r != nil && r.Outcome == mesh.Uncertain {
		return mesh.Uncertain
	}
	return mesh.NoLeader
}

// sinceContact describes how long ago a leader's last message arrived.
func (s *Service) sinceContact() string {
	last := s.lastContact.Load()
	if last == 0 {
		return "never"
	}
	return time.Duration(boottime.Now().UnixNano()-last).Round(time.Millisecond).String() + " ago"
}

// jobKey returns the key of a request's job for events: the last part of its path.
func jobKey(q *mesh.Request) job.Key {
	return job.Key{ID: q.Path[strings.LastIndexByte(q.Path, '/')+1:]}
}

// noLeaderRetryAfter is how long a caller should wait before it asks again after no
// leader was found.
const noLeaderRetryAfter = time.Second

// retryDelay is the wait before a request is sent again to a leader that answered
// Uncertain, as during a change of leadership.
const retryDelay = 30 * time.Millisecond

// sendToLeader sends a request to the leader and waits for the answer. It returns nil
// if the connection or ctx ends before the answer, or if too many requests wait.
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

// awaitDestination waits for a leader or, for a best-effort submission, for the local
// placer with the newest configuration. Both are nil if ctx ends first.
func (s *Service) awaitDestination(ctx context.Context, q *mesh.Request) (*leader, *fallback.Placer) {
	for {
		s.mu.Lock()
		l, local, changed := s.leader, s.local, s.changed
		if s.view.Outdated() {
			local = nil
		}
		s.mu.Unlock()
		if l != nil {
			return l, nil
		}
		if local != nil && !local.HandedOver() && q.Operation == mesh.Submit && q.Job.BestEffort {
			return nil, local
		}
		select {
		case <-ctx.Done():
			return nil, nil
		case <-changed:
		}
	}
}

// addPending registers a request that waits for its answer. It returns false if too
// many requests wait.
func (s *Service) addPending(sequence uint64, waiter chan *mesh.Response) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) >= maxPending {
		return false
	}
	s.pending[sequence] = waiter
	return true
}

// pendingFull reports whether too many requests wait.
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
