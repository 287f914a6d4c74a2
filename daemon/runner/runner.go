// Package runner is the agent beside an endpoint on the path of jobs with steps.
// Parent: the root of its process; package follow calls Serve for each leader.
// Children, while the endpoint is registered and a leader is known: one session,
// with a goroutine that reads the leader's connection, one that pings, two that
// hold the endpoint's lease, one that watches its registration, and one for each
// order under way. Restart rule: a session that ends is followed by another. State: the endpoint's registration; everything else is read from the
// endpoint's own lists when a session begins.
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/follow"
)

const (
	// drainTimeout bounds the wait for runs at a planned stop of the agent.
	drainTimeout = 4500 * time.Millisecond
	// sessionPause is the wait before the next session after one that failed.
	sessionPause = 50 * time.Millisecond
)

// Options are what an agent needs from its daemon.
type Options struct {
	Endpoint Endpoint
	// MaxHold is the longest lease that the endpoint grants.
	MaxHold time.Duration
	Log     *events.Log
}

// Service is an agent.
type Service struct {
	opts Options

	mu sync.Mutex
	// registered is what the endpoint said last; nil if it has left or its life
	// has ended.
	registered *Registration
	// changed is closed and replaced when the registration or draining changes.
	changed  chan struct{}
	draining bool
	busy     bool
}

// New returns an agent; Run starts it.
func New(o Options) *Service {
	return &Service{opts: o, changed: make(chan struct{})}
}

func (s *Service) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Register takes what an endpoint says of itself. Messages of an earlier life
// and messages that were overtaken change nothing.
func (s *Service) Register(r Registration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.registered
	switch {
	case old == nil || old.Instance != r.Instance || old.Born != r.Born:
		if old != nil && r.Born < old.Born {
			return
		}
		s.opts.Log.Emit(events.Event{ID: events.EndpointRegistered, Peer: r.Instance, Text: r.Pool})
	case r.Sequence < old.Sequence:
		return
	case r.Draining == old.Draining:
		old.Sequence = r.Sequence
		return
	}
	if r.Draining {
		s.opts.Log.Emit(events.Event{ID: events.EndpointDraining, Peer: r.Instance})
	}
	s.registered = &r
	s.notify()
}

// Leave notes that an endpoint ends.
func (s *Service) Leave(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registered != nil && s.registered.Instance == instance {
		s.opts.Log.Emit(events.Event{ID: events.EndpointLeft, Peer: instance})
		s.registered.Draining = true
		s.notify()
	}
}

// forget drops a registration whose life turned out to have ended. The endpoint
// registers again when it is back.
func (s *Service) forget(r *Registration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registered != nil && s.registered.Instance == r.Instance && s.registered.Born == r.Born {
		s.registered = nil
		s.notify()
	}
}

// current returns the registration and a channel that closes when it changes.
func (s *Service) current() (*Registration, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registered, s.draining, s.changed
}

// Serve keeps sessions with a leader. It implements follow.Options.Serve.
func (s *Service) Serve(ctx context.Context, l *follow.Leader) error {
	for {
		r, err := s.registration(ctx, l)
		if err != nil {
			return err
		}
		session := newSession(s, l, *r)
		err = session.run(ctx)
		s.opts.Log.Emit(events.Event{ID: events.SessionEnded, Peer: r.Instance, Err: err})
		if errors.Is(err, errLeader) || ctx.Err() != nil {
			return err
		}
		if err := s.renew(ctx, l); err != nil {
			return err
		}
	}
}

// registration waits until the endpoint is registered, reading the leader's
// connection meanwhile.
func (s *Service) registration(ctx context.Context, l *follow.Leader) (*Registration, error) {
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	for {
		if r, _, _ := s.current(); r != nil {
			return r, nil
		}
		if _, err := l.Receive(); err != nil {
			return nil, err
		}
	}
}

// renew asks the leader for another session.
func (s *Service) renew(ctx context.Context, l *follow.Leader) error {
	pause(ctx, sessionPause)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	before := l.Welcome.Session
	l.Send(&mesh.NewSession{})
	for l.Welcome.Session == before {
		if _, err := l.Receive(); err != nil {
			return err
		}
	}
	return nil
}

// Run waits for the end of the process, then lets runs end.
func (s *Service) Run(ctx context.Context) error {
	<-ctx.Done()
	s.drain()
	return nil
}

// drain takes no more work and waits for the runs to end.
func (s *Service) drain() {
	s.opts.Log.Emit(events.Event{ID: events.ProcessDraining})
	s.mu.Lock()
	s.draining = true
	s.notify()
	s.mu.Unlock()
	deadline := time.Now().Add(drainTimeout)
	// Reports of the last ends need a moment after the runs are gone.
	const settle = 200 * time.Millisecond
	for time.Now().Before(deadline) {
		time.Sleep(settle)
		s.mu.Lock()
		busy := s.busy
		s.mu.Unlock()
		if !busy {
			return
		}
	}
}

func (s *Service) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
}
