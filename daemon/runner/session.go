package runner

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/lease"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/follow"
)

const (
	// renewInterval is the pause between renewals of the agent's lease. Eight of
	// them fit in the lease.
	renewInterval = 200 * time.Millisecond
	// holdWait is how long a hold may wait for an end. It is a fifth of the usual
	// lease, so that lost answers don't end it.
	holdWait = 200 * time.Millisecond
	// callTimeout bounds a call to the endpoint on the same VM, beyond what the
	// call itself waits. It covers a processor that stands still for the rest of
	// a tenth of a second.
	callTimeout = 130 * time.Millisecond
	// holders is the number of holds that wait side by side. An answer may get
	// lost; without another hold the ends that it named would come late.
	holders = 2
	// silentAfter is the number of holds in a row without an answer after which
	// the endpoint counts as unreachable. One answer may get lost.
	silentAfter = 2 * holders
	// ackPatience bounds the wait for the leader's record of ends before the next
	// hold: the endpoint answers at once while it lists ends.
	ackPatience = 15 * time.Millisecond
	// holdPause is the wait after a failed hold, and stopPause that before a
	// stop is repeated.
	holdPause = 50 * time.Millisecond
	stopPause = 100 * time.Millisecond
)

// errors that end a session.
var (
	errFenced        = errors.New("another session has fenced this one")
	errOtherInstance = errors.New("the endpoint began another life")
	errLapsed        = errors.New("the endpoint was silent until its runs lapsed")
	errLeader        = errors.New("the leader is lost")
	errChanged       = errors.New("the endpoint's registration changed")
)

func now() time.Time { return boottime.Now() }

// lifeName names a life of an endpoint, which may start again under its name.
func lifeName(r Registration) string {
	return r.Instance + "@" + strconv.FormatInt(r.Born, 10)
}

// localState is how far the agent knows a run.
type localState uint8

const (
	// ordered runs wait for the endpoint's answer to their start.
	ordered localState = iota
	// confirmed runs were started.
	confirmed
	// unanswered runs may start late.
	unanswered
	// stopped runs were told to stop and can't begin any more.
	stopped
)

// localRun is a run that this session ordered.
type localRun struct {
	state localState
	// since counts the holds that had been sent when the state began; only a
	// later one shows what became of it.
	since uint64
}

// session is the time with one leader, one life of the endpoint and one fence.
type session struct {
	service *Service
	leader  *follow.Leader
	fence   placement.SessionID
	reg     Registration
	end     context.CancelCauseFunc
	tasks   sync.WaitGroup

	mu     sync.Mutex
	keeper *lease.Keeper
	runs   map[work.Run]*localRun
	// running is the latest listing that the leader wasn't told of.
	running []placement.ListedRun
	// listedAt is when that listing came.
	listedAt time.Time
	holds    uint64
	reported uint64
	acked    uint64
	// ackedChanged has room for one signal.
	ackedChanged chan struct{}
	sentClocks   map[uint64]time.Duration
	pings        uint64
	latest       time.Duration
	silent       bool
	// missedHolds counts the holds in a row without an answer.
	missedHolds int
	draining    bool
}

func newSession(s *Service, l *follow.Leader, r Registration) *session {
	return &session{
		service:      s,
		leader:       l,
		fence:        l.Welcome.Session,
		reg:          r,
		keeper:       lease.NewKeeper(s.opts.MaxHold),
		runs:         map[work.Run]*localRun{},
		ackedChanged: make(chan struct{}, 1),
		sentClocks:   map[uint64]time.Duration{},
		draining:     r.Draining,
	}
}

// run serves the leader until the session ends. The connection stays open unless
// the leader is lost.
func (s *session) run(parent context.Context) error {
	ctx, end := context.WithCancelCause(parent)
	s.end = end
	defer end(nil)
	if err := s.begin(ctx); err != nil {
		return err
	}
	defer s.tasks.Wait()
	defer end(nil)
	s.tasks.Go(func() { s.ping(ctx) })
	for range holders {
		s.tasks.Go(func() { s.hold(ctx) })
	}
	s.tasks.Go(func() { s.watch(ctx) })
	s.receive(ctx)
	return context.Cause(ctx)
}

// begin fences all earlier sessions and tells the leader what the endpoint lists.
func (s *session) begin(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listing, err := s.service.opts.Endpoint.Hold(bounded, s.reg.Instance, Hold{Fence: s.fence})
	if err != nil {
		return errors.Wrap(err, "first hold")
	}
	if err := s.check(listing); err != nil {
		return err
	}
	s.keeper.Observe(listing.Clock, now())
	s.running = listing.Running
	s.listedAt = now()
	// The answer to this ping comes before the leader's first orders.
	s.sendPing()
	s.leader.Send(&mesh.Inventory{Endpoint: s.endpoint(), Running: listing.Running, Ends: s.newEnds(listing.Ends)})
	s.service.opts.Log.Emit(events.Event{ID: events.SessionBegan, Peer: s.leader.Remote(), Ticket: uint64(s.fence)})
	return nil
}

func (s *session) endpoint() placement.Endpoint {
	return placement.Endpoint{
		Session:  s.fence,
		Instance: lifeName(s.reg),
		Pool:     s.reg.Pool,
		Labels:   s.reg.Labels,
		Capacity: s.reg.Capacity,
		Draining: s.draining,
	}
}

// check tells whether a listing belongs to this session and life.
func (s *session) check(l Listing) error {
	switch {
	case l.Verdict == Fenced:
		return errFenced
	case l.Verdict == OtherInstance, l.Born != 0 && s.reg.Born != 0 && l.Born != s.reg.Born:
		s.service.forget(&s.reg)
		return errOtherInstance
	}
	return nil
}

// newEnds returns the ends that weren't reported yet.
func (s *session) newEnds(ends []End) []mesh.NumberedEnd {
	var list []mesh.NumberedEnd
	for _, e := range ends {
		if e.Number > s.reported {
			s.reported = e.Number
			delete(s.runs, e.End.Run)
			list = append(list, mesh.NumberedEnd{Number: e.Number, End: e.End})
		}
	}
	return list
}

// ping keeps the connection alive and renews the agent's lease.
func (s *session) ping(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.sendPing()
		}
	}
}

func (s *session) sendPing() {
	s.mu.Lock()
	s.pings++
	s.sentClocks[s.pings] = s.keeper.Clock(now())
	m := &mesh.Ping{Sequence: s.pings, Session: s.fence, Running: s.running}
	if len(s.running) > 0 {
		m.AgeMS = now().Sub(s.listedAt).Milliseconds()
	}
	s.running = nil // an old listing would look like a lack of progress
	s.mu.Unlock()
	s.leader.Send(m)
}

// watch ends the session when the endpoint's life changes, and reports drains.
func (s *session) watch(ctx context.Context) {
	for {
		r, draining, changed := s.service.current()
		switch {
		case r == nil || r.Instance != s.reg.Instance || r.Born != s.reg.Born:
			s.end(errChanged)
			return
		case r.Draining || draining:
			s.startDraining()
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (s *session) startDraining() {
	s.mu.Lock()
	already := s.draining
	s.draining = true
	s.mu.Unlock()
	if !already {
		s.leader.Send(&mesh.Report{Session: s.fence, Draining: true})
	}
}

// receive carries out the leader's orders until the session ends. Pings make the
// leader answer often, so that the end is noticed soon.
func (s *session) receive(ctx context.Context) {
	for ctx.Err() == nil {
		m, err := s.leader.Receive()
		if err != nil {
			s.end(errors.CombineErrors(errLeader, err))
			return
		}
		switch m := m.(type) {
		case *mesh.Pong:
			if m.Renewed {
				s.pong(m.Sequence)
			}
		case *mesh.Orders:
			for _, o := range m.Orders {
				if o.Session == s.fence {
					s.tasks.Go(func() { s.carryOut(ctx, o) })
				}
			}
		case *mesh.Acknowledge:
			if m.Session == s.fence {
				s.acknowledge(m.UpTo)
			}
		}
	}
}

func (s *session) pong(sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sent, ok := s.sentClocks[sequence]; ok {
		s.keeper.Contact(sent)
	}
	for n := range s.sentClocks {
		if n <= sequence {
			delete(s.sentClocks, n)
		}
	}
}

func (s *session) acknowledge(upTo uint64) {
	s.mu.Lock()
	s.acked = max(s.acked, upTo)
	s.mu.Unlock()
	select {
	case s.ackedChanged <- struct{}{}:
	default:
	}
}
