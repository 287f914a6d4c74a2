// Package runner is the agent beside an endpoint on the path of jobs with steps.
// Parent: the root of its process; package follow calls Serve for each leader.
// Children: sessions, which keeps one session after the other while the endpoint
// is registered and the agent has a fencing token, and entries, which accepts the
// connections of entries that place jobs while there is no leader. A session has
// goroutines that ping its holders, hold the endpoint's lease, watch what the
// session rests on, and one for each order under way. Restart rule: a session that
// ends is followed by another. State: the endpoint's registration, the holders,
// and what this agent ordered; everything else is read from the endpoint's own
// lists when a session begins.
package runner

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/follow"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
)

const (
	// drainTimeout bounds the wait for runs at a planned stop of the agent.
	drainTimeout = 4500 * time.Millisecond
	// sessionPause is the wait before the next session after one that failed.
	sessionRetryDelay = 50 * time.Millisecond
)

// Options are what an agent needs from its daemon.
type Options struct {
	Endpoint Endpoint
	// MaxHold is the longest lease that the endpoint grants.
	MaxHold time.Duration
	// Listener accepts connections of entries; nil for none.
	Listener net.Listener
	Log      *events.Log
}

// Service is an agent.
type Service struct {
	opts Options

	mu sync.Mutex
	// registered is what the endpoint said last; nil if it has left or its life
	// has ended.
	registration *Registration
	// heardOf is set once an endpoint has announced itself or was recalled.
	everRegistered bool
	// changed is closed and replaced when anything changes that a session rests on.
	changed  chan struct{}
	draining bool
	busy     bool
	// fence is the token of the latest session with a leader, 0 if there is none
	// that the endpoint would take. A leader's is used for one session.
	fence     placement.SessionID
	fenceUsed bool
	// leader is the holder that leads; nil while there is none.
	leader *schedulerConn
	// entries are the connected entries by VM.
	entries map[string]*schedulerConn
	// heard is when a leader last answered.
	leaderContactAt time.Time
	// memory is what this agent knows over its sessions.
	records *runRecords
}

// New returns an agent; Run starts it.
func New(o Options) *Service {
	return &Service{opts: o, changed: make(chan struct{}), entries: map[string]*schedulerConn{}, records: newRunRecords()}
}

// notify wakes those who wait for a change. The caller holds mu.
func (s *Service) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Register takes what an endpoint says of itself. Messages of an earlier life
// and messages that were overtaken change nothing.
func (s *Service) Register(r Registration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.everRegistered = true
	old := s.registration
	switch {
	case old == nil || old.Instance != r.Instance || old.StartTimeMS != r.StartTimeMS:
		if old != nil && r.StartTimeMS < old.StartTimeMS {
			return
		}
		s.opts.Log.Emit(events.Event{ID: events.EndpointRegistered, Peer: r.Instance, Text: r.Pool})
	case r.Sequence < old.Sequence:
		return
	case r.Draining == old.Draining:
		old.Sequence = r.Sequence
		old.FromRecord = false
		return
	}
	if r.Draining {
		s.opts.Log.Emit(events.Event{ID: events.EndpointDraining, Peer: r.Instance})
	}
	s.registration = &r
	s.notify()
}

// Leave notes that an endpoint ends.
func (s *Service) Leave(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registration != nil && s.registration.Instance == instance {
		s.opts.Log.Emit(events.Event{ID: events.EndpointLeft, Peer: instance})
		s.registration.Draining = true
		s.notify()
	}
}

// forget drops a registration whose life turned out to have ended. The endpoint
// registers again when it is back.
func (s *Service) dropRegistration(r *Registration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registration != nil && s.registration.Instance == r.Instance && s.registration.StartTimeMS == r.StartTimeMS {
		s.registration = nil
		s.notify()
	}
}

// Run keeps sessions until ctx ends, then lets runs end.
func (s *Service) Run(ctx context.Context) error {
	childCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	children := supervisor.NewGroup("runner", s.opts.Log)
	defer children.StopAll()
	defer stop()
	children.Start(childCtx, "sessions", s.runSessions)
	if s.opts.Listener != nil {
		children.Start(childCtx, "entries", s.serveEntries)
	}
	<-ctx.Done()
	s.drain()
	return nil
}

// keepSessions keeps one session after the other until ctx ends.
func (s *Service) runSessions(ctx context.Context) error {
	for ctx.Err() == nil {
		params, changed := s.nextSession()
		if params == nil {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		session := newSession(s, *params)
		err := session.run(ctx)
		s.opts.Log.Emit(events.Event{ID: events.SessionEnded, Peer: params.registration.Instance, Err: err})
		s.afterSession(params.fence, err)
		if !errors.Is(err, errFenceReplaced) {
			sleep(ctx, sessionRetryDelay)
		}
	}
	return nil
}

// terms are what a session rests on.
type sessionParams struct {
	registration Registration
	fence        placement.SessionID
	leader       *schedulerConn
	draining     bool
}

// terms returns what the next session rests on; nil if something is missing. The
// channel closes when that changes.
func (s *Service) nextSession() (*sessionParams, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registration == nil || s.fence == 0 || s.leader != nil && s.fenceUsed {
		return nil, s.changed
	}
	s.fenceUsed = true
	return &sessionParams{registration: *s.registration, fence: s.fence, leader: s.leader, draining: s.draining}, s.changed
}

// afterSession prepares the next session: a leader gives a token for each; without
// a leader the last one serves as long as the endpoint takes it.
func (s *Service) afterSession(fence placement.SessionID, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fence != fence {
		return // there is a new one already
	}
	if s.leader != nil {
		s.leader.conn.Send(&mesh.NewSession{})
		return
	}
	if errors.Is(err, errFenced) {
		s.fence = 0
	}
}

// Serve takes a leader's orders until its connection ends. It implements
// follow.Options.Serve.
func (s *Service) Serve(ctx context.Context, l *follow.Leader) error {
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	leader := &schedulerConn{conn: l.Conn}
	s.attachLeader(leader, l.Welcome)
	defer s.detachLeader(leader)
	for {
		m, err := l.Receive()
		if err != nil {
			return err
		}
		if w, ok := m.(*mesh.Welcome); ok {
			s.attachLeader(leader, w)
			continue
		}
		leader.deliver(m)
	}
}

// attachLeader takes a leader's token for the next session.
func (s *Service) attachLeader(leader *schedulerConn, w *mesh.Welcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == leader && s.fence == w.Session {
		return
	}
	s.leader = leader
	s.fence = w.Session
	s.fenceUsed = false
	s.restoreRegistration(w.Incarnation)
	s.notify()
}

// recall takes the life of the endpoint that control remembers, once, if this agent
// has heard of none since its start: the next announcement may be a second away,
// and what runs there would lapse. The caller holds mu.
func (s *Service) restoreRegistration(recorded *work.Incarnation) {
	if recorded == nil || s.everRegistered {
		return
	}
	s.everRegistered = true
	s.registration = &Registration{Incarnation: *recorded, FromRecord: true}
	s.opts.Log.Emit(events.Event{ID: events.EndpointRecalled, Peer: recorded.Instance, Text: recorded.Pool})
}

// detachLeader notes that the leader is lost; the session goes on without it.
func (s *Service) detachLeader(leader *schedulerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == leader {
		s.leader = nil
		s.notify()
	}
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
	const pollInterval = 200 * time.Millisecond
	for time.Now().Before(deadline) {
		time.Sleep(pollInterval)
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

// owner is who ordered a run and renews its lease; the zero value is a leader. An
// entry that has handed its jobs over renews none of their runs in a later period.
type owner struct {
	// vm is the entry's VM.
	vm     string
	period uint64
}

// startedRun is what the agent remembers of a run that it started.
type startedRun struct {
	owner      owner
	need       work.Resources
	bestEffort bool
}
