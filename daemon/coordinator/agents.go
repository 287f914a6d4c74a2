package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/lease"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

func now() time.Time { return boottime.Now() }

// key names a job in events; jobs with steps have no caller.
func key(id work.JobID) job.Key { return job.Key{ID: string(id)} }

// agentSession is an agent's session in one term.
type agentSession struct {
	client *client
	term   *term
	id     placement.SessionID
	// lastPong is when the agent's lease was last renewed. Guarded by the
	// service's lock.
	lastPong time.Time
	// recording makes the records of ends follow each other, so that an
	// acknowledgement never overtakes the record of an earlier end.
	recording sync.Mutex
}

// renew renews the agent's lease; false if another VM may lead by now.
func (a *agentSession) renew(m *mesh.Ping) bool {
	renewed := false
	a.client.service.current(func(t *term, at time.Time) {
		if renewed = t == a.term; renewed {
			a.lastPong = at
			t.board.Seen(at.Add(-time.Duration(m.AgeMS)*time.Millisecond), a.id, m.Running)
		}
	})
	return renewed
}

// inTerm runs fn if the session's term goes on, and tells whether it did. News is
// taken also while the leader's lease is in doubt; orders wait until it holds.
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

// join puts the endpoint on the board with what it lists.
func (a *agentSession) join(ctx context.Context, m *mesh.Inventory) {
	if !a.enrol(ctx) {
		a.client.conn.Close()
		return
	}
	info := m.Endpoint
	info.VM = a.client.vm
	var durable []work.End
	taken := a.inTerm(func(t *term, at time.Time) {
		t.sessions[a.id] = a
		ends := make([]work.End, len(m.Ends))
		for i, e := range m.Ends {
			ends[i] = e.End
			if e.End.How.Durable() {
				durable = append(durable, e.End)
			}
		}
		t.board.Join(at, info, m.Running, ends)
		a.log().Emit(events.Event{
			ID: events.EndpointJoined, Peer: info.VM,
			Text: info.Instance + " " + countText("running", len(m.Running)) + " " + countText("ends", len(m.Ends)),
		})
		a.client.service.place(t, at)
	})
	if taken {
		a.record(ctx, m.Ends, durable)
	}
}

func (a *agentSession) log() *events.Log { return a.client.service.opts.Log }

// enrol makes sure that the next leader waits for this VM's list. It comes
// before the first start there.
func (a *agentSession) enrol(ctx context.Context) bool {
	s := a.client.service
	s.mu.Lock()
	expelled := a.term.expelled[a.client.vm]
	delete(a.term.expelled, a.client.vm)
	s.mu.Unlock()
	known := false
	err := s.driver.Read(func() { known = s.machine.Enrolled(a.client.vm) })
	if err != nil || known && !expelled {
		return err == nil
	}
	_, err = s.propose(ctx, ledger.Command{Enrol: a.client.vm})
	return err == nil
}

// report takes an agent's news.
func (a *agentSession) report(ctx context.Context, m *mesh.Report) {
	var durable []work.End
	taken := a.inTerm(func(t *term, at time.Time) {
		for _, e := range m.Ends {
			if t.board.Ended(at, a.id, e.End) {
				durable = append(durable, e.End)
			}
			a.client.service.logEnd(a.client.vm, e.End)
		}
		for _, r := range m.Refused {
			t.board.Refused(at, a.id, r.Run, r.Why)
			a.log().Emit(events.Event{
				ID: events.StartRefused, Job: key(r.Run.Task.Job), Peer: a.client.vm, Text: r.Run.Task.String() + " " + r.Why.String(),
			})
		}
		t.board.Vanished(at, a.id, m.Vanished)
		if m.Draining {
			t.board.SetDraining(a.id)
		}
		a.reach(t, m.Reach, at)
		a.client.service.place(t, at)
	})
	if taken {
		a.record(ctx, m.Ends, durable)
	}
}

// reach notes whether the endpoint answers its agent.
func (a *agentSession) reach(t *term, r mesh.Reach, at time.Time) {
	switch r {
	case mesh.Unchanged:
	case mesh.Unreachable, mesh.Reachable:
		t.board.SetReach(a.id, r == mesh.Reachable)
	case mesh.Lapsed:
		t.board.Leave(at, a.id)
	}
}

// record makes those ends durable that must be and then lets the endpoint forget
// all. Ends that needn't be recorded are acknowledged at once if no other record is
// under way.
func (a *agentSession) record(ctx context.Context, ends []mesh.NumberedEnd, durable []work.End) {
	if len(ends) == 0 {
		return
	}
	upTo := ends[len(ends)-1].Number
	if len(durable) == 0 && a.recording.TryLock() {
		defer a.recording.Unlock()
		a.acknowledge(upTo)
		return
	}
	a.client.tasks.Go(func() {
		a.recording.Lock()
		defer a.recording.Unlock()
		if a.recordDurable(ctx, durable) {
			a.acknowledge(upTo)
			return
		}
		a.client.conn.Close() // the endpoint lists the ends again in the next session
	})
}

func (a *agentSession) acknowledge(upTo uint64) {
	a.client.conn.Send(&mesh.Acknowledge{Session: a.id, UpTo: upTo})
}

func (a *agentSession) recordDurable(ctx context.Context, ends []work.End) bool {
	if len(ends) == 0 {
		return true
	}
	result, err := a.client.service.propose(ctx, ledger.Command{Ends: ends})
	if err != nil {
		a.log().Emit(events.Event{ID: events.EndsUncertain, Peer: a.client.vm, Err: err})
		return false
	}
	a.inTerm(func(t *term, at time.Time) {
		t.board.Recorded(ends)
		a.client.service.place(t, at)
	})
	a.client.service.close(result.Closed)
	return true
}

// endSession notes that an agent's session is over; its runs may go on until its
// lease has ended. The caller holds mu.
func (s *Service) endSession(cl *client) {
	a := cl.session
	if a == nil {
		return
	}
	cl.session = nil
	delete(a.term.sessions, a.id)
	if s.term == a.term {
		s.term.board.Lost(a.id, a.lastPong.Add(lease.GoneAfter))
	}
}
