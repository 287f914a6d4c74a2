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
	"github.com/cicadapulley/cicadapulley/daemon/link"
)

func now() time.Time { return boottime.Now() }

// key names a job in events; jobs with steps have no caller.
func key(id work.JobID) job.Key { return job.Key{ID: string(id)} }

// agentSession is one agent's connection while this VM leads.
type agentSession struct {
	service *Service
	conn    *link.Conn
	term    *term
	info    placement.Endpoint
	// lastPong is when the agent's lease was last renewed. Guarded by the
	// service's lock.
	lastPong time.Time
	ends     chan []mesh.NumberedEnd
}

// endsQueue bounds the reports of ends that wait for the log; beyond it the
// agent's connection waits.
const endsQueue = 256

// serveAgent keeps an agent's session while this VM leads.
func (s *Service) serveAgent(ctx context.Context, c *link.Conn, hello *mesh.Hello) error {
	a := &agentSession{service: s, conn: c, info: *hello.Agent, ends: make(chan []mesh.NumberedEnd, endsQueue)}
	a.info.VM = hello.VM
	opened := s.current(func(t *term, at time.Time) {
		t.clients[c] = true
		a.lastPong = at
		t.issued++
		a.term = t
		a.info.Session = placement.SessionID(t.number<<sessionBits | t.issued)
	})
	if !opened {
		s.turnAway(c)
		return nil
	}
	defer s.leave(c)
	c.Send(&mesh.Welcome{Leading: true, Members: s.members(), Session: a.info.Session})
	var recorder sync.WaitGroup
	recorder.Go(func() { a.record(ctx) })
	defer recorder.Wait()
	defer close(a.ends)
	err := a.receive(ctx)
	a.lost(err)
	return err
}

func (a *agentSession) receive(ctx context.Context) error {
	for {
		m, err := a.conn.Receive(clientSilence)
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *mesh.Ping:
			a.ping(m)
		case *mesh.Inventory:
			a.join(ctx, m)
		case *mesh.Report:
			a.report(m)
		}
	}
}

// ping renews the agent's lease, unless another VM may lead by now.
func (a *agentSession) ping(m *mesh.Ping) {
	a.inTerm(func(t *term, at time.Time) {
		a.lastPong = at
		t.board.Seen(a.info.Session, m.Running)
		a.conn.Send(&mesh.Pong{Sequence: m.Sequence})
	})
}

// inTerm runs fn if the session's term goes on and the leader's lease holds.
func (a *agentSession) inTerm(fn func(t *term, at time.Time)) {
	a.service.current(func(t *term, at time.Time) {
		if t == a.term {
			fn(t, at)
		}
	})
}

// join puts the endpoint on the board with what it lists.
func (a *agentSession) join(ctx context.Context, m *mesh.Inventory) {
	if !a.enrol(ctx) {
		a.conn.Close()
		return
	}
	a.inTerm(func(t *term, at time.Time) {
		t.sessions[a.info.Session] = a.conn
		ends := make([]work.End, len(m.Ends))
		for i, e := range m.Ends {
			ends[i] = e.End
			m.Ends[i].Durable = e.End.How.Durable()
		}
		t.board.Join(at, a.info, m.Running, ends)
		a.service.opts.Log.Emit(events.Event{
			ID: events.EndpointJoined, Peer: a.info.VM,
			Text: a.info.Instance + " " + countText("running", len(m.Running)) + " " + countText("ends", len(m.Ends)),
		})
		a.service.place(t, at)
	})
	a.queue(m.Ends)
}

// enrol makes sure that the next leader waits for this VM's list. It comes
// before the first start there.
func (a *agentSession) enrol(ctx context.Context) bool {
	known := false
	err := a.service.driver.Read(func() { known = a.service.machine.Enrolled(a.info.VM) })
	if err != nil || known {
		return err == nil
	}
	_, err = a.service.propose(ctx, ledger.Command{Enrol: a.info.VM})
	return err == nil
}

// report takes an agent's news.
func (a *agentSession) report(m *mesh.Report) {
	a.inTerm(func(t *term, at time.Time) {
		for i := range m.Ends {
			m.Ends[i].Durable = t.board.Ended(at, a.info.Session, m.Ends[i].End)
		}
		for _, r := range m.Refused {
			t.board.Refused(at, a.info.Session, r.Run, r.Why)
			a.service.opts.Log.Emit(events.Event{
				ID: events.StartRefused, Job: key(r.Run.Task.Job), Peer: a.info.VM, Text: r.Run.Task.String() + " " + r.Why.String(),
			})
		}
		t.board.Vanished(at, a.info.Session, m.Vanished)
		if m.Draining {
			t.board.SetDraining(a.info.Session)
		}
		a.reach(t, m.Reach, at)
		a.service.place(t, at)
	})
	a.queue(m.Ends)
}

// reach notes whether the endpoint answers its agent.
func (a *agentSession) reach(t *term, r mesh.Reach, at time.Time) {
	switch r {
	case mesh.Unchanged:
	case mesh.Unreachable, mesh.Reachable:
		t.board.SetReach(a.info.Session, r == mesh.Reachable)
	case mesh.Lapsed:
		t.board.Leave(at, a.info.Session)
	}
}

func (a *agentSession) queue(ends []mesh.NumberedEnd) {
	if len(ends) > 0 {
		a.ends <- ends
	}
}

// record makes ends durable and then lets the endpoint forget them.
func (a *agentSession) record(ctx context.Context) {
	for batch := range a.ends {
		batch = a.gather(batch)
		var durable []work.End
		for _, e := range batch {
			if e.Durable {
				durable = append(durable, e.End)
			}
		}
		if !a.recordDurable(ctx, durable) {
			a.conn.Close()
			continue // the endpoint lists the ends again in the next session
		}
		a.conn.Send(&mesh.Acknowledge{UpTo: batch[len(batch)-1].Number})
	}
}

// gather takes the reports that wait into one record.
func (a *agentSession) gather(batch []mesh.NumberedEnd) []mesh.NumberedEnd {
	for {
		select {
		case more, ok := <-a.ends:
			if !ok {
				return batch
			}
			batch = append(batch, more...)
		default:
			return batch
		}
	}
}

func (a *agentSession) recordDurable(ctx context.Context, ends []work.End) bool {
	if len(ends) == 0 {
		return true
	}
	result, err := a.service.propose(ctx, ledger.Command{Ends: ends})
	if err != nil {
		a.service.opts.Log.Emit(events.Event{ID: events.EndsUncertain, Peer: a.info.VM, Err: err})
		return false
	}
	a.inTerm(func(t *term, at time.Time) {
		t.board.Recorded(ends)
		a.service.place(t, at)
	})
	a.service.close(result.Closed)
	return true
}

// lost notes the end of the session.
func (a *agentSession) lost(err error) {
	s := a.service
	s.opts.Log.Emit(events.Event{ID: events.ClientLost, Peer: a.info.VM, Err: err})
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(a.term.sessions, a.info.Session)
	if s.term == a.term {
		s.term.board.Lost(a.info.Session, a.lastPong.Add(lease.GoneAfter))
	}
}
