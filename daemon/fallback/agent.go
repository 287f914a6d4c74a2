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
	// session is the session last offered; the agent joins it when it has no leader.
	session *scheduler.Session
}

// serveAgent offers an agent sessions and reads its connection until it fails or ctx
// ends.
func (p *Placer) serveAgent(ctx context.Context, c *link.Conn, vm string) {
	a := &agent{placer: p, conn: c, vm: vm}
	c.Send(&mesh.Hello{Role: mesh.RoleEntry, VM: p.opts.VM, Period: uint64(p.opts.LeaderLostAt.UnixNano())})
	a.offerSession()
	defer a.endSession(lease.ExpiresAfter)
	pingCtx, stopPing := context.WithCancel(ctx)
	defer stopPing()
	go link.Ping(pingCtx, c, pingInterval)
	for {
		m, err := c.Receive(agentTimeout)
		if err != nil {
			if ctx.Err() == nil {
				p.opts.Log.Emit(events.Event{ID: events.PeerLost, Peer: vm, Err: err})
			}
			return // the connection is opened again
		}
		a.handle(m)
	}
}

// offerSession sends the next session to the agent.
func (a *agent) offerSession() {
	p := a.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastSession++
	a.session = &scheduler.Session{ID: placement.SessionID(p.lastSession), VM: a.vm, Conn: a.conn, RenewedAt: boottime.Now()}
	a.conn.Send(&mesh.Welcome{Leading: true, Term: p.opts.Term, Session: a.session.ID})
}

// endSession ends the session. The agent's runs may go on for runsFor after the last
// renewal.
func (a *agent) endSession(runsFor time.Duration) {
	a.placer.update(func(time.Time) { a.placer.scheduler.Lost(a.session, a.session.RenewedAt.Add(runsFor)) })
}

func (a *agent) handle(m mesh.Message) {
	p := a.placer
	switch m := m.(type) {
	case *mesh.Ping:
		a.answerPing(m)
	case *mesh.Inventory:
		if m.Endpoint.Session == a.session.ID {
			p.update(func(now time.Time) { p.scheduler.Join(now, a.session, m) })
		}
	case *mesh.Report:
		if m.Session == a.session.ID {
			p.update(func(now time.Time) { p.scheduler.Report(now, a.session, m) })
		}
	case *mesh.NewSession:
		a.endSession(lease.ExpiresAfter)
		a.offerSession()
	case *mesh.SessionEnded:
		if m.Session == a.session.ID {
			a.session.RenewedAt = boottime.Now()
			a.endSession(lease.ExpiresAfterTakeover)
			a.offerSession()
		}
	}
}

// answerPing answers a ping, and renews the lease if the ping belongs to the session.
// After the jobs have been handed over, leases are not renewed, so that runs end unless
// the leader claims them.
func (a *agent) answerPing(m *mesh.Ping) {
	p := a.placer
	pong := &mesh.Pong{Sequence: m.Sequence}
	p.update(func(now time.Time) {
		if pong.Renewed = m.Session == a.session.ID; pong.Renewed {
			p.scheduler.Renew(now, a.session, m)
		}
	})
	a.conn.Send(pong)
}
