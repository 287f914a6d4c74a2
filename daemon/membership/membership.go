// Package membership maintains a process's lease and its replica of the
// configuration and the members. Parent: entry or agent. Children: renew and
// watch, one-for-one. State: the lease and the replica; both are lost on
// restart, after which the process registers under a new incarnation.
package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadapulley/cicadapulley/api/codec"
	"github.com/cicadapulley/cicadapulley/api/controlclient"
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
)

const (
	// renewalsPerTTL is the number of renewals within the length of a lease, so
	// that it does not expire after two lost renewals in a row.
	renewalsPerTTL = 4
	// watchMaxWait is how long control may delay the answer to a watch while
	// nothing changes.
	watchMaxWait = 20 * time.Second
	// watchRetryDelay is the delay after a failed watch.
	watchRetryDelay = 100 * time.Millisecond
	// registerRetryDelay is the delay after a failed registration.
	registerRetryDelay = 200 * time.Millisecond
	// registerTimeout limits one attempt, whose failure is reported. In a group
	// of five, two unresponsive control VMs take 2 s each before the third one
	// is tried.
	registerTimeout = 5 * time.Second
)

// lease is the state of the registration.
type lease struct {
	incarnation uint64
	// expires is when the lease ends on this process's clock.
	expires time.Time
}

// Service maintains the lease and the replica of one process. Run it under a
// supervisor; its other methods are safe for concurrent use.
type Service struct {
	control *controlclient.Client
	log     *events.Log
	replica atomic.Pointer[state.Replica]

	mu     sync.Mutex
	member state.Member
	lease  lease
	ttl    time.Duration
	// changed is closed and replaced when the replica or the lease changes.
	changed chan struct{}

	// onTakeover receives the jobs that this process owns after a takeover.
	onTakeover func([]job.Record)
}

// New returns a service for a member. onTakeover may be nil.
func New(control *controlclient.Client, log *events.Log, member state.Member, onTakeover func([]job.Record)) *Service {
	s := &Service{control: control, log: log, member: member, changed: make(chan struct{}), onTakeover: onTakeover}
	s.replica.Store(state.NewReplica())
	return s
}

// Run registers the process, then renews the lease and watches the configuration
// until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	if err := s.register(ctx); err != nil {
		return nil // ctx was done before control registered the process
	}
	tree := supervisor.New("membership", supervisor.Options{Observer: s.log})
	tree.Add(supervisor.Child{Name: "renew", Run: s.renewLoop})
	tree.Add(supervisor.Child{Name: "watch", Run: s.watchLoop})
	return tree.Run(ctx)
}

// Replica returns the configuration and members in force in this process.
func (s *Service) Replica() *state.Replica { return s.replica.Load() }

// Changed returns a channel that closes at the next change of replica or lease.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// notify closes the channel that Changed returned and replaces it. The caller
// holds mu.
func (s *Service) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ID returns the member id.
func (s *Service) ID() string { return s.member.ID }

// Incarnation returns the registered incarnation, zero before the first
// registration.
func (s *Service) Incarnation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.incarnation
}

// LeaseValid reports whether the lease is valid on this process's clock.
func (s *Service) LeaseValid() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.lease.expires)
}

// LeaseExpiry returns when the lease ends on this process's clock.
func (s *Service) LeaseExpiry() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.expires
}

// WaitReady blocks until the process has a lease and a replica.
func (s *Service) WaitReady(ctx context.Context) error {
	for {
		changed := s.Changed()
		if s.LeaseValid() && s.Replica().Revision > 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// register retries under a new incarnation until control registers the process.
func (s *Service) register(ctx context.Context) error {
	for {
		sentAt := time.Now()
		member := s.nextIncarnation(sentAt)
		resp, err := s.tryRegister(ctx, member)
		if err == nil && resp.Registered {
			s.log.Observe(resp.Clock)
			s.setLease(member.Incarnation, sentAt, resp.TtlMs)
			s.log.Emit(events.Event{ID: events.MemberRegistered, Peer: member.ID})
			return nil
		}
		if ctx.Err() == nil {
			s.log.Emit(events.Event{ID: events.RegisterFailed, Peer: member.ID, Err: err})
		}
		if !sleep(ctx, registerRetryDelay) {
			return ctx.Err()
		}
	}
}

func (s *Service) tryRegister(ctx context.Context, member state.Member) (*rpc.RegisterResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	return s.control.Register(callCtx, &rpc.RegisterRequest{Member: codec.MemberToRPC(member), Clock: s.log.Now()})
}

// nextIncarnation returns the member with the next incarnation. It uses the wall
// clock, so that a restarted process gets a higher incarnation than before
// without storing it on disk.
func (s *Service) nextIncarnation(now time.Time) state.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.member.Incarnation = max(s.member.Incarnation+1, uint64(now.UnixMicro()))
	return s.member
}

// setLease starts the lease at the time the request was sent, which is before
// the time at which control starts it.
func (s *Service) setLease(incarnation uint64, sentAt time.Time, ttlMS int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ttl = time.Duration(ttlMS) * time.Millisecond
	s.lease = lease{incarnation: incarnation, expires: sentAt.Add(s.ttl)}
	s.notify()
}

func (s *Service) renewLoop(ctx context.Context) error {
	for sleep(ctx, s.renewInterval()) {
		s.renew(ctx)
	}
	return nil
}

func (s *Service) renewInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ttl / renewalsPerTTL
}

func (s *Service) renew(ctx context.Context) {
	sentAt := time.Now()
	incarnation := s.Incarnation()
	callCtx, cancel := context.WithTimeout(ctx, s.renewInterval())
	defer cancel()
	resp, err := s.control.Renew(callCtx, &rpc.RenewRequest{
		Id:          s.member.ID,
		Incarnation: incarnation,
		Revision:    s.Replica().Revision,
		Clock:       s.log.Now(),
	})
	switch {
	case err != nil:
		s.reportRenewFailure(ctx, err)
	case !resp.Known:
		s.log.Emit(events.Event{ID: events.LeaseLost, Peer: s.member.ID})
		_ = s.register(ctx)
	default:
		s.log.Observe(resp.Clock)
		s.setLease(incarnation, sentAt, resp.TtlMs)
	}
}

func (s *Service) reportRenewFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	s.log.Emit(events.Event{ID: events.LeaseRenewFailed, Err: err})
	if !s.LeaseValid() {
		s.log.Emit(events.Event{ID: events.LeaseLapsed})
	}
}

func (s *Service) watchLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.watchOnce(ctx); err != nil && ctx.Err() == nil {
			s.log.Emit(events.Event{ID: events.WatchFailed, Err: err})
			sleep(ctx, watchRetryDelay)
		}
	}
	return nil
}

func (s *Service) watchOnce(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, 2*watchMaxWait)
	defer cancel()
	resp, err := s.control.Watch(callCtx, &rpc.WatchRequest{
		Id:          s.member.ID,
		Incarnation: s.Incarnation(),
		After:       s.Replica().Revision,
		MaxWaitMs:   watchMaxWait.Milliseconds(),
		Clock:       s.log.Now(),
	})
	if err != nil {
		return err
	}
	s.log.Observe(resp.Clock)
	s.apply(codec.ViewFromRPC(resp))
	return nil
}

func (s *Service) apply(v state.View) {
	next, changed := s.Replica().Merge(v)
	if !changed {
		return
	}
	s.mu.Lock()
	s.replica.Store(next)
	s.notify()
	s.mu.Unlock()
	s.log.Emit(events.Event{ID: events.ConfigApplied, Ticket: next.HighestTicket()})
	if s.onTakeover != nil && len(v.TakenOver) > 0 {
		s.onTakeover(v.TakenOver)
	}
}

// Drain reports to control that a planned stop began.
func (s *Service) Drain(ctx context.Context) error {
	_, err := s.control.Drain(ctx, s.memberRequest())
	return err
}

// Leave ends the lease at the end of a planned stop.
func (s *Service) Leave(ctx context.Context) error {
	_, err := s.control.Leave(ctx, s.memberRequest())
	return err
}

func (s *Service) memberRequest() *rpc.MemberRequest {
	return &rpc.MemberRequest{Id: s.member.ID, Incarnation: s.Incarnation(), Clock: s.log.Now()}
}

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
