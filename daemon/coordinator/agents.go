package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/lease"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/scheduler"
)

func now() time.Time { return boottime.Now() }

// agentSession is the session of an agent in one term.
type agentSession struct {
	*scheduler.Session
	client *client
	term   *term
	// incarnation is the endpoint's, set when the agent joins. Only the connection's
	// goroutine uses it, and lastRecord.
	incarnation work.Incarnation
	// lastRecord is closed when the ends of the latest report have been recorded and
	// acknowledged; nil before the first one.
	lastRecord <-chan struct{}
	// recordFailed is set once ends could not be recorded. No later end is acknowledged
	// then, as an acknowledgement covers all earlier ends.
	recordFailed atomic.Bool
}

// renew renews the agent's lease unless another VM may lead by now, and sets in the answer
// what the agent is to learn.
func (a *agentSession) renew(m *mesh.Ping, pong *mesh.Pong) {
	a.client.service.whileLeading(func(t *term, at time.Time) {
		if pong.Renewed = t == a.term; pong.Renewed {
			t.Renew(at, a.Session, m)
			pong.Slowdown = t.NextSlowdown(a.Session)
		}
	})
}

// inTerm runs fn if the session's term is still the current one, and reports
// whether it did. Reports of agents are applied even while the leader's lease may
// have expired; orders wait until it holds.
func (a *agentSession) inTerm(fn func(t *term, at time.Time)) bool {
	s := a.client.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != a.term {
		return false
	}
	fn(s.term, now())
	return true
}

// join adds the endpoint to the planner, with the runs and ends of its inventory.
// It closes the connection if the agent can't be enrolled.
func (a *agentSession) join(ctx context.Context, m *mesh.Inventory) {
	a.used()
	if err := m.Incarnation.Validate(); err != nil {
		a.log().Emit(events.Event{ID: events.RegistrationWrong, Peer: a.VM, Err: err})
		a.client.conn.Close()
		return
	}
	if !a.enrol(ctx, m.Incarnation, m.EndpointDraining) {
		a.client.conn.Close()
		return
	}
	a.incarnation = m.Incarnation
	var durable []work.End
	applied := a.inTerm(func(t *term, at time.Time) {
		durable = t.Join(at, a.Session, m)
		a.client.service.place(t, at)
	})
	if applied {
		a.record(ctx, m.Ends, durable)
	}
}

// used records that the agent uses its connection, so that it gets no relay.
func (a *agentSession) used() {
	a.inTerm(func(t *term, at time.Time) { t.relays.Used(at, a.VM, a.client.id) })
}

// joinUnreachable adds the runs that may exist at an endpoint that does not answer its
// agent. The agent renews no lease before its endpoint answers, so they have ended
// when the lease that it may have renewed until now has expired.
func (a *agentSession) joinUnreachable(m *mesh.PossibleRuns) {
	a.used()
	a.inTerm(func(t *term, at time.Time) {
		t.JoinUnreachable(at, a.Session, m, at.Add(lease.ExpiresAfter))
		a.client.service.place(t, at)
	})
}

func (a *agentSession) log() *events.Log { return a.client.service.opts.Log }

// enrol makes sure that the next leader waits for this agent's inventory, and that
// the connected entries have its address. It precedes the first start of each
// endpoint incarnation. It returns false if the enrolment is not known to have
// succeeded.
func (a *agentSession) enrol(ctx context.Context, incarnation work.Incarnation, draining bool) bool {
	s := a.client.service
	s.mu.Lock()
	removed := a.term.removed[a.VM]
	s.mu.Unlock()
	agent := ledger.Agent{VM: a.VM, Address: a.client.address, Incarnation: incarnation, EndpointDraining: draining}
	known := false
	err := s.driver.Read(func() { known = s.machine.Enrolled(agent) })
	if err != nil || known && !removed {
		return err == nil
	}
	_, err = s.propose(ctx, ledger.Command{Enrol: &agent})
	return err == nil
}

// report applies an agent's report.
func (a *agentSession) report(ctx context.Context, m *mesh.Report) {
	var durable []work.End
	applied := a.inTerm(func(t *term, at time.Time) {
		durable = t.Report(at, a.Session, m)
		a.client.service.place(t, at)
	})
	if applied {
		a.record(ctx, m.Ends, durable)
	}
	if m.EndpointDraining {
		// An agent that restarts must not accept runs again before the endpoint's next
		// heartbeat.
		incarnation := a.incarnation
		a.client.spawn(func() { a.enrol(ctx, incarnation, true) })
	}
}

// record replicates the ends that must be durable, then acknowledges all of them,
// so that the endpoint may drop them. An acknowledgement covers all earlier ends, so it
// is sent once these are recorded too: at once if none must be durable and no other
// recording is in progress.
func (a *agentSession) record(ctx context.Context, ends []mesh.NumberedEnd, durable []work.End) {
	if len(ends) == 0 {
		return
	}
	upTo := ends[len(ends)-1].Number
	previous := a.lastRecord
	if len(durable) == 0 && (previous == nil || isClosed(previous)) {
		a.acknowledge(upTo)
		return
	}
	done := make(chan struct{})
	a.lastRecord = done
	a.client.spawn(func() {
		defer close(done)
		recorded := a.recordDurable(ctx, durable)
		if previous != nil {
			<-previous
		}
		if !recorded {
			a.recordFailed.Store(true)
			a.client.conn.Close() // the agent sends the ends again in the next session
			return
		}
		a.acknowledge(upTo)
	})
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (a *agentSession) acknowledge(upTo uint64) {
	if a.recordFailed.Load() {
		return
	}
	a.client.conn.Send(&mesh.Acknowledge{Session: a.ID, UpTo: upTo})
}

func (a *agentSession) recordDurable(ctx context.Context, ends []work.End) bool {
	if len(ends) == 0 {
		return true
	}
	if _, err := a.client.service.propose(ctx, ledger.Command{Ends: ends}); err != nil {
		a.log().Emit(events.Event{ID: events.EndsUncertain, Peer: a.client.vm, Err: err})
		return false
	}
	return true
}

// endSession ends a client's session, if it has one. The endpoint's runs may
// continue until its lease expires. The caller holds mu.
func (s *Service) endSession(cl *client) {
	a := cl.session
	if a == nil {
		return
	}
	cl.session = nil
	if s.term == a.term {
		s.term.Lost(a.Session, a.RenewedAt.Add(lease.ExpiresAfter))
	}
}
