// Package gateway is an entry VM's way to the leader on the path of jobs with
// steps. Parent: the root of its process. Children: one connection to the
// leader. Restart rule: the connection is opened again until the process stops.
// State: the requests that wait for an answer. It decides nothing about jobs;
// the leader does, so that a refusal is true wherever the caller asked.
package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/finder"
	"github.com/cicadapulley/cicadapulley/daemon/link"
)

const (
	// pingInterval is the pause between pings to the leader, and silence the
	// time without an answer after which the connection counts as dead.
	pingInterval = 200 * time.Millisecond
	silence      = 600 * time.Millisecond
	// readyFor is how long after the last answer of a leader this entry reports
	// itself ready. It covers an election, during which no other entry could do
	// better.
	readyFor = 3 * time.Second
	// maxPending bounds the requests that wait for an answer.
	maxPending = 4096
)

// Options are what a gateway needs from its daemon.
type Options struct {
	VM     string
	Finder *finder.Finder
	Log    *events.Log
}

// Service passes callers' requests to the leader.
type Service struct {
	opts     Options
	sequence atomic.Uint64
	// lastHeard is the time of the leader's last answer, in nanoseconds.
	lastHeard atomic.Int64
	draining  atomic.Bool

	mu sync.Mutex
	// conn is the connection to the leader; nil while there is none.
	conn *link.Conn
	// changed is closed and replaced when conn changes.
	changed chan struct{}
	pending map[uint64]chan *mesh.Response
}

// New returns a gateway; Run connects it.
func New(o Options) *Service {
	return &Service{opts: o, changed: make(chan struct{}), pending: map[uint64]chan *mesh.Response{}}
}

// Run keeps the connection to the leader until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		hello := &mesh.Hello{Role: mesh.RoleEntry, VM: s.opts.VM}
		c, w, err := s.opts.Finder.Connect(ctx, hello)
		if err != nil {
			return nil // ctx ended
		}
		s.opts.Log.Emit(events.Event{ID: events.LeaderFound, Peer: c.Remote()})
		s.opts.Finder.Add(w.Members)
		s.setConn(c)
		err = s.receive(ctx, c)
		s.setConn(nil)
		c.Close()
		c.Wait()
		s.opts.Log.Emit(events.Event{ID: events.LeaderGone, Peer: c.Remote(), Err: err})
	}
	return nil
}

func (s *Service) setConn(c *link.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = c
	close(s.changed)
	s.changed = make(chan struct{})
}

// receive hands answers to those who wait, and pings the leader.
func (s *Service) receive(ctx context.Context, c *link.Conn) error {
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	pinging, end := context.WithCancel(ctx)
	defer end()
	go s.ping(pinging, c)
	for {
		m, err := c.Receive(silence)
		if err != nil {
			return err
		}
		s.lastHeard.Store(boottime.Now().UnixNano())
		if r, ok := m.(*mesh.Response); ok {
			s.answer(r)
		}
	}
}

func (s *Service) ping(ctx context.Context, c *link.Conn) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		c.Send(&mesh.Ping{})
		select {
		case <-ctx.Done():
			return
		case <-c.Closed():
			return
		case <-ticker.C:
		}
	}
}

func (s *Service) answer(r *mesh.Response) {
	s.mu.Lock()
	waiter := s.pending[r.Sequence]
	delete(s.pending, r.Sequence)
	s.mu.Unlock()
	if waiter != nil {
		waiter <- r // has room for one
	}
}

// Ready reports whether this entry is in touch with a leader, or was until
// lately.
func (s *Service) Ready() bool {
	heard := s.lastHeard.Load()
	return !s.draining.Load() && heard > 0 && boottime.Now().UnixNano()-heard < int64(readyFor)
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
func (s *Service) Do(ctx context.Context, q *mesh.Request) *mesh.Response {
	for {
		r := s.try(ctx, q)
		if r != nil && r.Outcome != mesh.Uncertain {
			return r
		}
		if ctx.Err() != nil || r == nil && s.full() {
			s.opts.Log.Emit(events.Event{ID: events.RequestFailed, Text: q.Path})
			return &mesh.Response{Outcome: mesh.Uncertain}
		}
		if r != nil {
			pauseFor(ctx, retryPause)
		}
	}
}

// retryPause is the wait before a request goes to a leader again that could not
// answer it, as during a change of the leadership.
const retryPause = 30 * time.Millisecond

func pauseFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// try sends a request once there is a leader; nil means that the connection or
// ctx ended first.
func (s *Service) try(ctx context.Context, q *mesh.Request) *mesh.Response {
	c := s.connection(ctx)
	if c == nil {
		return nil
	}
	sent := *q
	sent.Sequence = s.sequence.Add(1)
	waiter := make(chan *mesh.Response, 1)
	if !s.register(sent.Sequence, waiter) {
		return nil
	}
	defer s.unregister(sent.Sequence)
	c.Send(&sent)
	select {
	case r := <-waiter:
		return r
	case <-c.Closed():
		return nil
	case <-ctx.Done():
		c.Send(&mesh.Abandon{Sequence: sent.Sequence})
		return nil
	}
}

// connection waits for a connection to the leader.
func (s *Service) connection(ctx context.Context) *link.Conn {
	for {
		s.mu.Lock()
		c, changed := s.conn, s.changed
		s.mu.Unlock()
		if c != nil {
			return c
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (s *Service) register(sequence uint64, waiter chan *mesh.Response) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) >= maxPending {
		return false
	}
	s.pending[sequence] = waiter
	return true
}

// full tells whether too many requests wait.
func (s *Service) full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) >= maxPending
}

func (s *Service) unregister(sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, sequence)
}
