package runner

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/runtable"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
)

const (
	// renewInterval is the interval between renewals of the agent's lease. Six of
	// them fit in lease.Grant.
	renewInterval = 200 * time.Millisecond
	// callTimeout limits a call to the endpoint on the same VM, in addition to the
	// wait that the call requests. It covers a CPU quota that stops a process
	// for the rest of a 100 ms period.
	callTimeout = 130 * time.Millisecond
	// ackTimeout limits the wait for the leader to record ends before the next hold:
	// the endpoint answers immediately while it lists ends.
	ackTimeout = 15 * time.Millisecond
	// holdRetryDelay is the delay after a failed hold, and stopRetryDelay the delay
	// before a stop is repeated.
	holdRetryDelay = 50 * time.Millisecond
	stopRetryDelay = 100 * time.Millisecond
)

// Errors that end a session.
var (
	errFenced              = errors.New("fenced by another session")
	errOtherInstance       = errors.New("the endpoint has restarted")
	errLeaseExpired        = errors.New("the endpoint did not answer until the lease of its runs expired")
	errFenceReplaced       = errors.New("a leader has issued another fencing token")
	errRegistrationChanged = errors.New("the endpoint's registration changed")
)

func now() time.Time { return boottime.Now() }

// session covers one incarnation of the endpoint and one fencing token. It begins
// with or without a leader and continues when the leader is lost: then entries may
// join it.
type session struct {
	service      *Service
	fence        placement.SessionID
	registration Registration
	// ctx ends with the session; end ends it with a cause.
	ctx        context.Context
	end        context.CancelCauseFunc
	goroutines sync.WaitGroup

	mu sync.Mutex
	// closed is set once no more goroutines may start.
	closed bool
	// table decides about the endpoint's runs.
	table *runtable.Table
	// leader is the participating leader; nil if the session has none or has lost it.
	leader *participant
	// participants are the leader or the entries that may order runs, by VM.
	participants map[string]*participant
	// holds are the holds that wait for their answers.
	holds openHolds
	// ackedChanged has a buffer for one signal.
	ackedChanged chan struct{}
}

func newSession(s *Service, params sessionParams) *session {
	n := &session{
		service:      s,
		fence:        params.fence,
		registration: params.registration,
		participants: map[string]*participant{},
		ackedChanged: make(chan struct{}, 1),
	}
	o := runtable.Options{
		Fence: params.fence, Incarnation: params.registration.Incarnation, MaxHold: s.opts.MaxHold,
		Draining: params.registration.Draining || params.draining, EndpointDraining: params.registration.Draining,
		DataCentre: s.opts.DataCentre, Records: s.records,
	}
	if params.leader != nil {
		n.leader = newParticipant(n, params.leader, params.fence)
		o.Leader = n.leader.Scheduler
	}
	n.table = runtable.New(o)
	return n
}

// run runs the session until it ends, and returns the cause.
func (s *session) run(parent context.Context) error {
	ctx, end := context.WithCancelCause(parent)
	s.ctx, s.end = ctx, end
	defer end(nil)
	if err := s.begin(ctx); err != nil {
		return err
	}
	s.spawn(func() { s.renewLeases(ctx) })
	for range runtable.ConcurrentHolds {
		s.spawn(func() { s.holdLoop(ctx) })
	}
	s.watch(ctx)
	end(nil)
	s.finish()
	return context.Cause(ctx)
}

// spawn runs fn in a goroutine of the session, unless the session is closed.
func (s *session) spawn(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.goroutines.Go(func() { s.catchPanic(fn) })
	}
}

// catchPanic runs fn and ends the session if it panics: the state of the session may
// be incomplete, and the next one reads it from the endpoint.
func (s *session) catchPanic(fn func()) {
	err := supervisor.CatchPanic(s.service.opts.Log, "runner/session", func() error {
		fn()
		return nil
	})
	if err != nil {
		s.end(err)
	}
}

// finish waits for the session's goroutines and releases its participants.
func (s *session) finish() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.goroutines.Wait()
	s.service.setPossibleRuns(s.possibleRuns())
	s.releaseParticipants()
}

// begin fences all earlier sessions and sends the endpoint's lists to the leader.
func (s *session) begin(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listing, err := s.service.opts.Endpoint.Hold(callCtx, s.registration.Instance, runtable.HoldRequest{Fence: s.fence})
	if err != nil {
		if s.registration.FromRecord {
			s.service.dropRegistration(&s.registration) // that incarnation may have ended
		}
		s.reportPossibleRuns()
		return errors.Wrap(err, "first hold")
	}
	if err := s.checkListing(listing); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	inventory := s.table.Begin(now(), listing)
	peer := "no leader"
	if s.leader != nil {
		peer = s.leader.conn.Remote()
		s.addParticipant(s.leader, inventory)
	}
	s.service.opts.Log.Emit(events.Event{ID: events.SessionBegan, Peer: peer, Ticket: uint64(s.fence)})
	return nil
}

// addParticipant lets a scheduler that has joined the table order runs, and sends it the
// endpoint's lists. The caller holds mu, since the scheduler joined: the report of a run that ends
// in between would reach the scheduler before the inventory, or not at all.
func (s *session) addParticipant(p *participant, i runtable.Inventory) {
	s.participants[p.VM] = p
	p.schedulerConn.setParticipant(p)
	// The answer to this ping arrives before the scheduler's first orders.
	s.sendPing(p)
	p.conn.Send(&mesh.Inventory{
		Endpoint: i.Endpoint, Incarnation: s.registration.Incarnation, EndpointDraining: i.EndpointDraining,
		Running: i.Running, Ends: numberedEnds(i.Ends),
	})
}

// checkListing returns an error if a listing does not belong to this session and
// incarnation.
func (s *session) checkListing(l runtable.Listing) error {
	switch s.table.Verdict(l) {
	case runtable.Fenced:
		return errFenced
	case runtable.OtherInstance:
		s.endIncarnation(errOtherInstance)
		return errOtherInstance
	}
	return nil
}

// endIncarnation ends the session because the endpoint's incarnation, or at least all
// of its runs, have ended. The endpoint has to register again. The cause is set before
// the registration changes, which would end the session as well.
func (s *session) endIncarnation(cause error) {
	s.end(cause)
	s.service.dropRegistration(&s.registration)
}

// renewLeases pings the participants, which keeps their connections alive and
// renews the agent's lease, and stops the runs of owners that are out of contact.
func (s *session) renewLeases(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		for _, p := range s.participants {
			s.sendPing(p)
		}
		stale := s.table.StaleRuns(now())
		s.mu.Unlock()
		for _, r := range stale {
			s.spawn(func() { s.stopRun(ctx, r) })
		}
	}
}

func (s *session) participantList() []*participant {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*participant, 0, len(s.participants))
	for _, p := range s.participants {
		list = append(list, p)
	}
	return list
}

// sendPing pings a participant. The caller holds mu.
func (s *session) sendPing(p *participant) {
	ping := s.table.Ping(now(), p.Scheduler)
	p.conn.Send(&mesh.Ping{
		Sequence: ping.Sequence, Session: p.ID, UsedByOthers: ping.UsedByOthers, Running: ping.Running, AgeMS: ping.Age.Milliseconds(),
	})
}

// handle handles one message of a participant.
func (s *session) handle(p *participant, m mesh.Message) {
	switch m := m.(type) {
	case *mesh.Pong:
		if m.Renewed {
			s.mu.Lock()
			s.table.Pong(now(), p.Scheduler, m.Sequence)
			s.table.SetSlowdown(p.Scheduler, m.Slowdown)
			s.mu.Unlock()
		}
	case *mesh.Orders:
		for _, o := range m.Orders {
			if o.Session == p.ID {
				s.execute(p, o)
			}
		}
	case *mesh.Acknowledge:
		if m.Session == p.ID {
			s.acknowledge(m.UpTo)
		}
	}
}

// acknowledge allows the endpoint to drop its ends up to a number.
func (s *session) acknowledge(upTo uint64) {
	s.mu.Lock()
	s.table.Acknowledge(upTo)
	s.mu.Unlock()
	select {
	case s.ackedChanged <- struct{}{}:
	default:
	}
}
