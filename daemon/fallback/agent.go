package fallback

import (
	"context"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/lease"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/link"
	"github.com/cicadapulley/cicadapulley/daemon/scheduler"
)

// agent is the connection to an agent.
type agent struct {
	placer *Placer
	conn   *link.Conn
	vm     string
	// session is the present one; the agent joins it when it has no leader.
	session *scheduler.Session
}

// attend reads an agent's connection until it fails or ctx ends.
func (p *Placer) attend(ctx context.Context, c *link.Conn, vm string) {
	a := &agent{placer: p, conn: c, vm: vm}
	c.Send(&mesh.Hello{Role: mesh.RoleEntry, VM: p.opts.VM, Period: uint64(p.opts.Lost.UnixNano())})
	a.offer()
	defer a.lost(lease.ExpiresAfter)
	pinging, end := context.WithCancel(ctx)
	defer end()
	go link.Ping(pinging, c, pingInterval)
	for {
		m, err := c.Receive(silence)
		if err != nil {
			if ctx.Err() == nil {
				p.opts.Log.Emit(events.Event{ID: events.PeerLost, Peer: vm, Err: err})
			}
			return // the connection is opened again
		}
		a.handle(m)
	}
}

// offer names the next session to the agent.
func (a *agent) offer() {
	p := a.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	p.issued++
	a.session = &scheduler.Session{ID: placement.SessionID(p.issued), VM: a.vm, Conn: a.conn, RenewedAt: boottime.Now()}
	a.conn.Send(&mesh.Welcome{Leading: true, Term: p.opts.Term, Session: a.session.ID})
}

// lost ends the session: the agent's runs may go on for a time after it was last
// renewed.
func (a *agent) lost(life time.Duration) {
	a.placer.locked(func(time.Time) { a.placer.scheduler.Lost(a.session, a.session.RenewedAt.Add(life)) })
}

func (a *agent) handle(m mesh.Message) {
	p := a.placer
	switch m := m.(type) {
	case *mesh.Ping:
		a.renew(m)
	case *mesh.Inventory:
		if m.Endpoint.Session == a.session.ID {
			p.locked(func(now time.Time) { p.scheduler.Join(now, a.session, m) })
		}
	case *mesh.Report:
		if m.Session == a.session.ID {
			p.locked(func(now time.Time) { p.scheduler.Report(now, a.session, m) })
		}
	case *mesh.NewSession:
		a.lost(lease.ExpiresAfter)
		a.offer()
	case *mesh.SessionEnded:
		if m.Session == a.session.ID {
			a.session.RenewedAt = boottime.Now()
			a.lost(releasedLife)
			a.offer()
		}
	}
}

// renew answers a ping of the session. After the jobs have been handed over there
// is no answer, so that their runs end unless the leader takes them.
func (a *agent) renew(m *mesh.Ping) {
	p := a.placer
	pong := &mesh.Pong{Sequence: m.Sequence}
	p.locked(func(now time.Time) {
		if pong.Renewed = m.Session == a.session.ID; pong.Renewed {
			p.scheduler.Renew(now, a.session, m)
		}
	})
	a.conn.Send(pong)
}
