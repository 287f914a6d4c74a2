// Package runner implements the agent beside an endpoint for jobs with steps.
// Parent: the root of its process; package follow calls Serve for each leader.
// Children: sessions, which runs one session after another while the endpoint is
// registered and the agent has a fencing token, and entries, which accepts the
// connections of entries that place jobs while there is no leader. A session has
// goroutines that ping its schedulers (the leader or entries), hold the endpoint's
// lease, and watch the state that the session depends on, and one for each order
// in progress. Restart rule: a session that ends is followed by another. State:
// the endpoint's registration, the connections to schedulers, and the runs that
// this agent started; everything else is read from the endpoint's own lists when a
// session begins.
package runner

import (
	"cmp"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/runtable"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/follow"
	"github.com/cicadapulley/cicadapulley/daemon/ingress"
	"github.com/cicadapulley/cicadapulley/daemon/link"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
)

const (
	// defaultDrainTimeout is the DrainTimeout of options without one.
	defaultDrainTimeout = 4500 * time.Millisecond
	// sessionRetryDelay is the delay before the next session after one that failed.
	sessionRetryDelay = 50 * time.Millisecond
)

// Options are what an agent needs from its daemon.
type Options struct {
	Endpoint Endpoint
	// MaxHold is the longest lease that the endpoint grants.
	MaxHold time.Duration
	// Listener accepts connections of entries; nil for none.
	Listener net.Listener
	// Gate bounds these connections and their messages; nil for none.
	Gate *ingress.Gate
	// ServeRelayed serves a connection to the leader that an entry relays, until it ends; nil
	// refuses such connections.
	ServeRelayed func(ctx context.Context, c *link.Conn, entry string) error
	// QueueBytes bounds the bytes that wait to be sent on one of them; 0 for the default.
	QueueBytes int
	// DrainTimeout limits the wait for runs at a planned stop of the agent; 0 means
	// defaultDrainTimeout.
	DrainTimeout time.Duration
	// DataCentre is that of the agent's VM; empty if it is not known.
	DataCentre string
	Log        *events.Log
}

// Service is an agent.
type Service struct {
	opts  Options
	calls *calls

	mu sync.Mutex
	// registration is the endpoint's latest; nil before the first one and after
	// the incarnation has turned out to have ended.
	registration *Registration
	// everRegistered is set once an endpoint has announced itself or its registration
	// was restored from the control VMs' record.
	everRegistered bool
	// changed is closed and replaced when the state that a session depends on changes.
	changed  chan struct{}
	draining bool
	busy     bool
	// drains is what control VMs have sent of the drains of data centres.
	drains *runtable.Drains
	// fence is the fencing token of the latest session with a leader, 0 if there is
	// none that the endpoint would accept. While its leader is connected, a token
	// is used for one session only, which fenceUsed marks.
	fence     placement.SessionID
	fenceUsed bool
	// leader is the connection to the leader; nil while there is none.
	leader *schedulerConn
	// entries are the connections of entries by VM.
	entries map[string]*schedulerConn
	// records are the runs and recent ends that are kept across sessions. The present
	// session's lock guards them.
	records *runtable.Records
	// possible are the runs that may exist at the endpoint since the last session,
	// nil before the first one. All runs go through sessions of this agent.
	possible *possibleRuns
}

// New returns an agent. Run starts it.
func New(o Options) *Service {
	return &Service{
		opts: o, calls: newCalls(), changed: make(chan struct{}), entries: map[string]*schedulerConn{},
		records: runtable.NewRecords(), drains: runtable.NewDrains(o.DataCentre),
	}
}

// notify wakes the goroutines that wait for a change. The caller holds mu.
func (s *Service) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Register handles an endpoint's announcement. Announcements of an earlier
// incarnation and those that arrive out of order change nothing.
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

// Leave records that an endpoint is shutting down.
func (s *Service) Leave(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registration != nil && s.registration.Instance == instance {
		s.opts.Log.Emit(events.Event{ID: events.EndpointLeft, Peer: instance})
		s.registration.Draining = true
		s.notify()
	}
}

// dropRegistration removes a registration whose incarnation has turned out to have
// ended. The endpoint registers again when it is back.
func (s *Service) dropRegistration(r *Registration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registration != nil && s.registration.Instance == r.Instance && s.registration.StartTimeMS == r.StartTimeMS {
		s.registration = nil
		s.notify()
	}
}

// Run runs sessions until ctx ends, then waits up to DrainTimeout for the runs to
// end.
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

// runSessions runs one session after another until ctx ends.
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
			supervisor.Sleep(ctx, sessionRetryDelay)
		}
	}
	return nil
}

// sessionParams are the parameters of a new session.
type sessionParams struct {
	registration Registration
	fence        placement.SessionID
	leader       *schedulerConn
	draining     bool
}

// nextSession returns the parameters of the next session; nil if one is missing.
// The channel closes when the state that they come from changes.
func (s *Service) nextSession() (*sessionParams, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registration == nil || s.fence == 0 || s.leader != nil && s.fenceUsed {
		return nil, s.changed
	}
	s.fenceUsed = true
	return &sessionParams{registration: *s.registration, fence: s.fence, leader: s.leader, draining: s.draining}, s.changed
}

// afterSession prepares the next session. A leader issues a fencing token for each
// session; without a leader the last token is used as long as the endpoint accepts
// it.
func (s *Service) afterSession(fence placement.SessionID, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fence != fence {
		return // a new token has already arrived
	}
	if s.leader != nil {
		s.leader.conn.Send(&mesh.NewSession{})
		return
	}
	if errors.Is(err, errFenced) {
		s.fence = 0
	}
}

// Serve handles a leader's messages until its connection ends. It implements
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
		switch m := m.(type) {
		case *mesh.Welcome:
			s.attachLeader(leader, m)
		case *mesh.Drains:
			s.receiveDrains(m.State)
		default:
			leader.deliver(m)
		}
	}
}

// Standby handles the messages of a control VM that does not lead, or not yet. It
// implements follow.Options.Standby. Drains come before the first Welcome, so that the
// orders of a leader find those that it has sent.
func (s *Service) Standby(_ *link.Conn, m mesh.Message) {
	if m, ok := m.(*mesh.Drains); ok {
		s.receiveDrains(m.State)
	}
}

// receiveDrains records the drains of data centres that a control VM has sent.
func (s *Service) receiveDrains(d work.DataCentreDrains) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drains.Received(d)
}

// drained reports whether the agent's data centre is drained.
func (s *Service) drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drains.Drained()
}

// attachLeader sets the leader and its fencing token for the next session.
func (s *Service) attachLeader(leader *schedulerConn, w *mesh.Welcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == leader && s.fence == w.Session {
		return
	}
	s.leader = leader
	s.fence = w.Session
	s.fenceUsed = false
	s.restoreRegistration(w)
	if s.registration == nil && s.possible != nil && s.possible.ended {
		// There will be no session before another incarnation registers, and the
		// leader must not wait for it.
		leader.conn.Send(&mesh.PossibleRuns{Session: w.Session})
	}
	s.notify()
}

// restoreRegistration uses the endpoint's incarnation that the control VMs have
// recorded, once, if this agent has had no registration since its start: the next
// announcement may be a second away, and the lease of the endpoint's runs would
// expire. The caller holds mu.
func (s *Service) restoreRegistration(w *mesh.Welcome) {
	recorded := w.Incarnation
	if recorded == nil || s.everRegistered {
		return
	}
	s.everRegistered = true
	s.registration = &Registration{Incarnation: *recorded, FromRecord: true, Draining: w.EndpointDraining}
	s.opts.Log.Emit(events.Event{ID: events.EndpointRecalled, Peer: recorded.Instance, Text: recorded.Pool})
}

// detachLeader records that the leader is lost; the session continues without it.
func (s *Service) detachLeader(leader *schedulerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == leader {
		s.leader = nil
		s.notify()
	}
}

// drain accepts no more runs and waits until the present ones have ended.
func (s *Service) drain() {
	s.opts.Log.Emit(events.Event{ID: events.ProcessDraining})
	s.mu.Lock()
	s.draining = true
	s.notify()
	s.mu.Unlock()
	deadline := time.Now().Add(cmp.Or(s.opts.DrainTimeout, defaultDrainTimeout))
	// Reports of the last ends take some time after the runs have ended.
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
