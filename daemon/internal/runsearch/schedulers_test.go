package runsearch

import (
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/leaderless"
	"github.com/cicadapulley/cicadapulley/core/lease"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/scheduler"
)

// scheduling is what the leader and the entry have in common: a scheduler and the sessions of
// the agents with it.
type scheduling struct {
	w *world
	*scheduler.Scheduler
	sessions [agents]*scheduler.Session
	links    [agents]*link
	// received are the newest drains that the process has received.
	received work.DataCentreDrains
}

// place assigns waiting tasks and sends the orders.
func (s *scheduling) place() {
	s.AnswerFinished(s.w.now)
	s.Planner.Assign(s.w.now)
	var orders [agents][]placement.Order
	for _, o := range s.Planner.TakeOrders() {
		for i, session := range s.sessions {
			if session != nil && session.ID == o.Session {
				if !o.Stop {
					s.w.judge.startsOn("a planner", s.received, s.w.agents[i].vm, o.Run)
				}
				orders[i] = append(orders[i], o)
			}
		}
	}
	for i, batch := range orders {
		if len(batch) > 0 {
			s.links[i].send(schedulerSide, &mesh.Orders{Orders: batch})
		}
	}
}

// endSession ends an agent's session, whose runs may go on for a time after its last renewal.
func (s *scheduling) endSession(i int, runsFor time.Duration) {
	if session := s.sessions[i]; session != nil {
		s.sessions[i] = nil
		s.Lost(session, session.RenewedAt.Add(runsFor))
	}
}

// pong answers a ping, and renews the lease if it belongs to the session.
func (s *scheduling) pong(i int, m *mesh.Ping) {
	session := s.sessions[i]
	pong := &mesh.Pong{Sequence: m.Sequence, Renewed: session != nil && session.ID == m.Session}
	if pong.Renewed {
		s.Renew(s.w.now, session, m)
	}
	s.links[i].send(schedulerSide, pong)
}

// leader is the leader of one term. It stands for daemon/coordinator.
type leader struct {
	scheduling
	term uint64
	// sessionCounts are the sessions of each agent so far.
	sessionCounts [agents]uint64
	removed       map[string]bool
	// entryQuiet counts the ticks without contact with the entry.
	entryQuiet int
	// proposals await their commit. They are lost with the leader.
	proposals []proposal
}

// proposal is a command, and what follows from its commit.
type proposal struct {
	command ledger.Command
	// agent is the index of the agent that waits for the commit.
	agent   int
	session placement.SessionID
	// inventory joins once the agent is enrolled, even if another connection has replaced its own.
	inventory *mesh.Inventory
	// upTo is acknowledged, unless 0.
	upTo uint64
}

func (w *world) elect() {
	w.term++
	l := &leader{term: w.term, removed: map[string]bool{}}
	planner := placement.NewPlanner(w.term, w.now.Add(lease.ExpiresAfter), w.ledger.EnrolledVMs())
	l.scheduling = scheduling{w: w, Scheduler: scheduler.New(planner, w.metrics, w.log), links: w.leaderLinks}
	l.receiveDrains(w.drains)
	w.ledger.Each(func(r *ledger.Record) {
		if r.State.Final() {
			return
		}
		job := r.Job
		records := make([]placement.TaskRecord, len(r.Tasks))
		for i, t := range r.Tasks {
			records[i] = placement.TaskRecord{Done: t.Done, Failures: t.Failures, LastRun: t.LastRun, FailedRuns: t.FailedRuns}
		}
		planner.Restore(w.now, &job, records)
	})
	w.leader = l
}

// loseLeader ends the leader's process.
func (w *world) loseLeader() {
	w.leader = nil
	for _, l := range w.leaderLinks {
		l.close(schedulerSide)
	}
	w.entry.loseLeader()
}

// connected begins a session with an agent that has connected or asked for one.
func (l *leader) connected(i int) {
	l.endSession(i, lease.ExpiresAfter)
	l.sessionCounts[i]++
	// The lowest bit tells the agents apart, so that the numbers do not depend on the order in which
	// they connect.
	id := placement.SessionID(l.term<<20 | l.sessionCounts[i]<<1 | uint64(i))
	l.sessions[i] = &scheduler.Session{ID: id, VM: l.w.agents[i].vm, RenewedAt: l.w.now}
	welcome := &mesh.Welcome{Leading: true, Term: l.term, Session: id}
	if recorded, ok := l.w.ledger.Agent(l.w.agents[i].vm); ok {
		welcome.Incarnation = &recorded.Incarnation
	}
	if l.w.scenario.drains {
		l.links[i].send(schedulerSide, &mesh.Drains{State: l.received})
	}
	l.links[i].send(schedulerSide, welcome)
}

func (l *leader) lost(i int) { l.endSession(i, lease.ExpiresAfter) }

// receive handles a message of an agent.
func (l *leader) receive(i int, m mesh.Message) {
	session := l.sessions[i]
	if session == nil {
		return
	}
	switch m := m.(type) {
	case *mesh.Ping:
		l.pong(i, m)
	case *mesh.Inventory:
		if m.Endpoint.Session == session.ID {
			l.enrol(i, m)
		}
	case *mesh.Report:
		if m.Session == session.ID {
			l.record(i, m.Ends, l.Report(l.w.now, session, m))
		}
	case *mesh.PossibleRuns:
		if m.Session == session.ID {
			l.JoinUnreachable(l.w.now, session, m, l.w.now.Add(lease.ExpiresAfter))
		}
	case *mesh.NewSession:
		l.connected(i)
	}
}

// enrol lets an agent join, after its enrolment if it isn't enrolled.
func (l *leader) enrol(i int, m *mesh.Inventory) {
	vm := l.w.agents[i].vm
	a := ledger.Agent{VM: vm, Address: vm, Incarnation: m.Incarnation}
	if l.w.ledger.Enrolled(a) && !l.removed[vm] {
		l.join(i, m)
		return
	}
	l.proposals = append(l.proposals, proposal{command: ledger.Command{Enrol: &a}, agent: i, session: m.Endpoint.Session, inventory: m})
}

func (l *leader) join(i int, m *mesh.Inventory) {
	l.record(i, m.Ends, l.Join(l.w.now, l.sessions[i], m))
}

// record proposes the ends that must be durable, and acknowledges all once they are.
func (l *leader) record(i int, ends []mesh.NumberedEnd, durable []work.End) {
	if len(ends) == 0 {
		return
	}
	p := proposal{command: ledger.Command{Ends: durable}, agent: i, session: l.sessions[i].ID, upTo: ends[len(ends)-1].Number}
	if len(durable) == 0 && len(l.proposals) == 0 {
		l.acknowledge(p)
		return
	}
	l.proposals = append(l.proposals, p)
}

func (l *leader) acknowledge(p proposal) {
	if session := l.sessions[p.agent]; p.upTo > 0 && session != nil && session.ID == p.session {
		l.links[p.agent].send(schedulerSide, &mesh.Acknowledge{Session: p.session, UpTo: p.upTo})
	}
}

// commit applies the proposals and updates the planner from the result.
func (l *leader) commit() {
	l.applyDrains()
	var overtaken []proposal
	proposals := l.proposals
	l.proposals = nil
	for _, p := range proposals {
		l.w.applied++
		result := l.w.ledger.Apply(l.w.applied, p.command)
		c := p.command
		switch {
		case c.Accept != nil:
			l.w.jobs[c.Accept.ID].accepted = true
			if result.Changed {
				l.Planner.Add(l.w.now, c.Accept, placement.PriorState{})
			}
		case len(c.Ends) > 0:
			l.Planner.Recorded(c.Ends)
		case c.Enrol != nil:
			delete(l.removed, c.Enrol.VM)
			if e := l.w.entry; e.connected {
				e.enrolled = append(e.enrolled, c.Enrol.VM)
				if e.up {
					e.receive()
				}
			}
		}
		for _, id := range result.Closed {
			l.Planner.Close(id)
		}
		switch session := l.sessions[p.agent]; {
		case p.inventory == nil:
		case session != nil && session.ID == p.session:
			l.join(p.agent, p.inventory)
		default:
			overtaken = append(overtaken, p)
		}
		l.acknowledge(p)
		l.place()
	}
	// Each connection waits for its commit on its own, so a former one may go on last.
	for _, p := range overtaken {
		session := &scheduler.Session{ID: p.session, VM: l.w.agents[p.agent].vm, RenewedAt: l.w.now}
		l.Join(l.w.now, session, p.inventory)
		l.Lost(session, session.RenewedAt.Add(lease.ExpiresAfter))
	}
}

// abandonTicks is the number of ticks without contact after which nobody waits for the jobs of an
// entry: it is noticed to be silent after 0.8 s, and has 0.3 s to come back.
const abandonTicks = 6

// tick runs the periodic work.
func (l *leader) tick() {
	l.entryQuiet++
	if e := l.w.entry; e.connected && e.up {
		l.entryQuiet = 0
	}
	if l.entryQuiet == abandonTicks && l.w.bestEffort != nil {
		l.Abandon(l.w.now, nil, 0, l.w.bestEffort.spec.ID)
	}
	l.Tick(l.w.now)
	for _, vm := range l.Planner.Absent(l.w.now, l.w.ledger.EnrolledVMs()) {
		connected := false
		for i, a := range l.w.agents {
			connected = connected || a.vm == vm && l.sessions[i] != nil
		}
		if !l.removed[vm] && !connected {
			l.removed[vm] = true
			e := l.w.ledger.Enrolment(vm)
			l.proposals = append(l.proposals, proposal{command: ledger.Command{RemoveEnrolment: &e}})
		}
	}
}

// entry is an entry with at most one best-effort job. It stands for daemon/gateway and
// daemon/fallback.
type entry struct {
	w         *world
	connected bool
	up        bool
	quiet     int
	term      uint64
	// known are the agents whose endpoints may run tasks: those of the leader's welcome, and those that
	// have enrolled since.
	known  []string
	lostAt time.Time
	// sent is set once the job was sent to the present leader, and prior is what the next
	// scheduler is told of it.
	sent bool
	// answer is set while the leader's answer is on its way, and enrolled has the agents whose
	// enrolment is.
	answer   bool
	enrolled []string
	prior    placement.PriorState
	// placer places the job while there is no leader.
	placer *placer
	// view has the drains that the entry goes by, and received those of the model's record.
	view     leaderless.View
	received work.DataCentreDrains
}

type placer struct {
	scheduling
	period        uint64
	sessionCounts [agents]uint64
}

// update connects the entry to the leader or, after a time without one, places its job.
func (e *entry) update() {
	if e.connected {
		if e.up {
			e.quiet = 0
		} else if e.quiet++; e.quiet >= leaderTimeout {
			e.loseLeader()
		}
	}
	if !e.connected && e.up && e.w.leader != nil {
		e.connected, e.quiet, e.term, e.known = true, 0, e.w.leader.term, e.w.ledger.EnrolledVMs()
		e.handOver()
	}
	if e.connected {
		if e.up {
			e.receive()
			e.sendToLeader()
		}
		return
	}
	if e.placer == nil && e.w.now.Sub(e.lostAt) >= 150*time.Millisecond {
		e.placeLocally()
	}
}

func (e *entry) loseLeader() {
	if !e.connected {
		return
	}
	e.connected = false
	e.lostAt = e.w.now
	if e.sent {
		e.prior.SentToLeader = true
	}
	e.sent, e.answer, e.enrolled = false, false, nil
}

// receive takes what the leader has sent.
func (e *entry) receive() {
	if e.w.leader != nil {
		e.receiveDrains(e.w.leader.received)
	}
	for _, vm := range e.enrolled {
		if !slices.Contains(e.known, vm) {
			e.known = append(e.known, vm)
		}
	}
	e.enrolled = nil
	if e.answer {
		e.answer = false
		e.w.bestEffort.answered = true
	}
}

func (e *entry) sendToLeader() {
	j := e.w.bestEffort
	if j == nil || j.answered || e.sent {
		return
	}
	e.sent = true
	waiter := scheduler.Waiter{Answer: func(r *mesh.Response) {
		e.answer = e.connected
	}}
	spec := j.spec
	if r := e.w.leader.Submit(e.w.now, waiter, &spec, e.prior); r != nil {
		j.answered = true
	}
}

func (e *entry) placeLocally() {
	p := &placer{period: uint64(e.lostAt.UnixNano())}
	planner := placement.NewSharedPlanner(e.term, e.lostAt, e.known)
	p.scheduling = scheduling{w: e.w, Scheduler: scheduler.New(planner, e.w.metrics, e.w.log), links: e.w.entryLinks, received: e.received}
	planner.SetDrained(e.w.now, e.view.Drains())
	e.placer = p
	e.submitLocally()
}

// submitLocally submits the job to the placer.
func (e *entry) submitLocally() {
	j := e.w.bestEffort
	if e.placer == nil || j == nil || j.answered || e.placer.Planner.Has(j.spec.ID) {
		return
	}
	spec := j.spec
	if r := e.placer.Submit(e.w.now, scheduler.Waiter{Answer: func(*mesh.Response) { j.answered = true }}, &spec, e.prior); r != nil {
		j.answered = true
	}
}

// handOver ends the placement in favour of a leader.
func (e *entry) handOver() {
	p := e.placer
	if p == nil {
		return
	}
	p.AnswerFinished(e.w.now)
	e.placer = nil
	if j := e.w.bestEffort; j != nil && !j.answered {
		e.prior = p.Planner.HandOver(e.w.now, j.spec.ID, lease.ExpiresAfter)
	}
	for _, l := range e.w.entryLinks {
		l.close(schedulerSide)
	}
}

// offerSession offers an agent the next session.
func (p *placer) offerSession(i int) {
	p.sessionCounts[i]++
	id := placement.SessionID(p.sessionCounts[i]<<1 | uint64(i))
	p.sessions[i] = &scheduler.Session{ID: id, VM: p.w.agents[i].vm, RenewedAt: p.w.now}
	p.links[i].send(schedulerSide, &mesh.Welcome{Leading: true, Session: id})
}

func (p *placer) connected(i int) {
	p.links[i].send(schedulerSide, &mesh.Hello{Role: mesh.RoleEntry, VM: entryVM, Period: p.period})
	p.offerSession(i)
}

func (p *placer) lost(i int) { p.endSession(i, lease.ExpiresAfter) }

func (p *placer) receive(i int, m mesh.Message) {
	session := p.sessions[i]
	if session == nil {
		return
	}
	switch m := m.(type) {
	case *mesh.Ping:
		p.pong(i, m)
	case *mesh.Inventory:
		if m.Endpoint.Session == session.ID {
			p.Join(p.w.now, session, m)
		}
	case *mesh.Report:
		if m.Session == session.ID {
			p.Report(p.w.now, session, m)
		}
	case *mesh.NewSession:
		p.endSession(i, lease.ExpiresAfter)
		p.offerSession(i)
	case *mesh.SessionEnded:
		if m.Session == session.ID {
			session.RenewedAt = p.w.now
			p.endSession(i, lease.ExpiresAfterTakeover)
			p.offerSession(i)
		}
	}
}
