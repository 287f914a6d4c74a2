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
	"github.com/cicadapulley/cicadapulley/daemon/gateway"
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
	// entryQuiet counts the ticks without contact with the entry, and requests are those that it
	// has sent.
	entryQuiet int
	requests   []entryRequest
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

// entryRequest is a request of the entry at the leader. abandonIn is the number of ticks until it is
// abandoned after the end of its connection, 0 while that is open.
type entryRequest struct {
	sequence  uint64
	abandonIn int
}

// reconnectTicks is the time that an entry has to come back after its connection has ended.
const reconnectTicks = 2

// submit handles a submission of the entry.
func (l *leader) submit(q *submission) {
	e := l.w.entry
	spec := l.w.bestEffort.spec
	answer := func(r *mesh.Response) {
		if e.connected && e.sent && e.sequence == q.sequence {
			e.answer = r
		}
	}
	r := entryRequest{sequence: q.sequence}
	if !e.connected || e.sequence != q.sequence {
		r.abandonIn = reconnectTicks
	}
	if refusal := l.Submit(l.w.now, scheduler.Waiter{Sequence: q.sequence, Answer: answer}, &spec, q.prior); refusal != nil {
		answer(refusal)
		return
	}
	l.requests = append(l.requests, r)
	l.place()
}

// closeEntry records that the connection on which the entry sent its requests has ended.
func (l *leader) closeEntry() {
	for i := range l.requests {
		if r := &l.requests[i]; r.abandonIn == 0 {
			r.abandonIn = reconnectTicks
		}
	}
}

// abandonRequests abandons the requests for which nobody waits any more.
func (l *leader) abandonRequests() {
	l.entryQuiet++
	e := l.w.entry
	if e.connected && e.up {
		l.entryQuiet = 0
	}
	if l.entryQuiet == clientTimeout {
		e.inFlight = nil
	}
	l.requests = slices.DeleteFunc(l.requests, func(r entryRequest) bool {
		if l.entryQuiet != abandonTicks && r.abandonIn != 1 {
			return false
		}
		l.Abandon(l.w.now, nil, r.sequence, l.w.bestEffort.spec.ID)
		return true
	})
	for i := range l.requests {
		if r := &l.requests[i]; r.abandonIn > 0 {
			r.abandonIn--
		}
	}
}

// abandonTicks is the number of ticks without contact after which nobody waits for the jobs of an
// entry: it is noticed to be silent after 0.8 s, and has 0.3 s to come back.
const abandonTicks = 6

// tick runs the periodic work.
func (l *leader) tick() {
	l.abandonRequests()
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
	// sent is set once the job was sent to the present leader, and sequence is the number of that
	// request. prior is what the next scheduler is told of the job, and wait how long it waits for one.
	sent     bool
	sequence uint64
	prior    placement.PriorState
	wait     leaderless.Wait
	// inFlight is a request that a cut holds up. It arrives when the cut ends, also after the entry
	// has closed the connection, unless the leader has closed it too.
	inFlight *submission
	// answer is the leader's answer while it is on its way, and enrolled has the agents whose
	// enrolment is.
	answer   *mesh.Response
	enrolled []string
	// placer places the job while there is no leader.
	placer *placer
	// view has the drains that the entry goes by, and received those of the model's record.
	view     leaderless.View
	received work.DataCentreDrains
}

// submission is a request of the entry to the leader of a term.
type submission struct {
	term, sequence uint64
	prior          placement.PriorState
}

type placer struct {
	scheduling
	period        uint64
	sessionCounts [agents]uint64
	// submitted is set once the placer has received the present request.
	submitted bool
}

// accept receives a caller's request.
func (e *entry) accept(j *jobState) {
	j.answered, j.notRun, j.started = false, false, false
	e.sent, e.prior = false, placement.PriorState{}
	e.wait = leaderless.Wait{Arrived: e.w.now, Objective: j.spec.Objective()}
	if e.placer != nil {
		e.placer.submitted = false
	}
}

// waiting returns the job whose caller waits for an answer, nil if there is none.
func (e *entry) waiting() *jobState {
	if j := e.w.bestEffort; j != nil && !j.answered {
		return j
	}
	return nil
}

// answerCaller gives the caller an answer of the leader or the placer.
func (e *entry) answerCaller(r *mesh.Response) {
	outcome := gateway.ReplaceNotRun(r, e.prior.MayHaveRun()).Outcome
	if r.Outcome == mesh.NoLeader || r.Outcome == mesh.Uncertain {
		outcome = gateway.UnansweredOutcome(r, e.prior.MayHaveRun())
	}
	j := e.w.bestEffort
	j.answered = true
	e.w.judge.answered(j, outcome)
}

// forwardAgain records that the request has to be forwarded again.
func (e *entry) forwardAgain() {
	if e.wait.LeaderLostAt.IsZero() && e.prior.MayHaveRun() {
		e.wait.LeaderLostAt = e.w.now
	}
}

// giveUp answers a caller who has waited for too long, unless a task has started here.
func (e *entry) giveUp() {
	j := e.waiting()
	if j == nil || e.w.now.Before(e.wait.Until()) {
		return
	}
	if p := e.placer; p != nil {
		p.AnswerFinished(e.w.now)
		if j.answered || p.Planner.Started(j.spec.ID) {
			return
		}
		p.Abandon(e.w.now, nil, 0, j.spec.ID)
	}
	e.answerCaller(&mesh.Response{Outcome: mesh.NoLeader})
}

// update connects the entry to the leader or, after a time without one, places its job.
func (e *entry) update() {
	e.deliverHeldUp()
	if e.connected {
		if e.up {
			e.quiet = 0
		} else if e.quiet++; e.quiet >= leaderTimeout {
			e.loseLeader()
		}
	}
	if !e.connected && e.up && e.w.leader != nil {
		e.connected, e.quiet, e.term, e.known = true, 0, e.w.leader.term, e.w.ledger.EnrolledVMs()
		e.w.leader.closeEntry()
		e.handOver()
	}
	if e.connected {
		if e.up {
			e.receive()
		}
		e.sendToLeader()
		return
	}
	if e.placer == nil && e.w.now.Sub(e.lostAt) >= 150*time.Millisecond {
		e.placeLocally()
	}
	e.giveUp()
}

func (e *entry) loseLeader() {
	if !e.connected {
		return
	}
	e.connected = false
	e.lostAt = e.w.now
	if e.sent {
		e.prior.SentToLeader = true
		e.forwardAgain()
	}
	e.sent, e.answer, e.enrolled = false, nil, nil
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
	r := e.answer
	if r == nil {
		return
	}
	e.answer, e.sent = nil, false
	if r.Outcome == mesh.Uncertain {
		e.prior.SentToLeader = true
		e.forwardAgain()
		return
	}
	e.answerCaller(r)
}

// sendToLeader sends the job to the leader. While the connection is cut and the entry hasn't noticed
// it, the request is held up.
func (e *entry) sendToLeader() {
	if e.waiting() == nil || e.sent {
		return
	}
	e.sent = true
	e.sequence++
	e.prior.Waited = e.w.now.Sub(e.wait.Arrived)
	e.inFlight = &submission{term: e.term, sequence: e.sequence, prior: e.prior}
	e.deliverHeldUp()
}

// deliverHeldUp delivers a request to the leader unless the connection is cut.
func (e *entry) deliverHeldUp() {
	q := e.inFlight
	if q == nil || !e.up {
		return
	}
	e.inFlight = nil
	if l := e.w.leader; l != nil && l.term == q.term {
		l.submit(q)
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
	j := e.waiting()
	if e.placer == nil || j == nil || e.placer.submitted {
		return
	}
	e.placer.submitted = true
	spec := j.spec
	e.prior.Waited = e.w.now.Sub(e.wait.Arrived)
	if r := e.placer.Submit(e.w.now, scheduler.Waiter{Answer: e.answerCaller}, &spec, e.prior); r != nil {
		e.answerCaller(r)
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
	if j := e.waiting(); j != nil {
		e.prior = p.Planner.HandOver(e.w.now, j.spec.ID, lease.ExpiresAfter)
		e.forwardAgain()
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
