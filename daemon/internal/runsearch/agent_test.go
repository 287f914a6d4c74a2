package runsearch

import (
	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/runtable"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// agent is an agent process around the product's runtable. It stands for daemon/runner.
type agent struct {
	w        *world
	vm       string
	endpoint *endpoint
	// toLeader and toEntry are its connections.
	toLeader, toEntry *link
	records           *runtable.Records
	// drains are those that the agent goes by, and received those of the model's record.
	drains         *runtable.Drains
	received       work.DataCentreDrains
	registration   *work.Incarnation
	fromRecord     bool
	everRegistered bool
	fence          placement.SessionID
	fenceUsed      bool
	hasLeader      bool
	// offer is the session that the entry has offered, 0 for none.
	offer  placement.SessionID
	period uint64
	// table is the present session, nil for none.
	table       *runtable.Table
	session     work.Incarnation
	tableFence  placement.SessionID
	leader      *runtable.Scheduler
	entry       *runtable.Scheduler
	possible    *possibleRuns
	stops       []work.Run
	hung        []work.Run
	delayed     []delayedListing
	sessionTick int
}

type possibleRuns struct {
	life  int64
	runs  []work.Run
	ended bool
}

// delayedListing is an answer to a hold that newer ones overtake.
type delayedListing struct {
	fence   placement.SessionID
	number  uint64
	listing runtable.Listing
}

// sessionEnd is why a session ends.
type sessionEnd uint8

const (
	fenceReplaced sessionEnd = iota
	fencedOff
	otherInstance
	leaseExpired
	registrationChanged
)

// restart replaces the process by one that knows nothing.
func (a *agent) restart() {
	a.toLeader.close(agentSide)
	a.toEntry.close(agentSide)
	*a = agent{w: a.w, vm: a.vm, endpoint: a.endpoint, toLeader: a.toLeader, toEntry: a.toEntry, records: runtable.NewRecords(), drains: runtable.NewDrains(a.vm)}
}

// heartbeat handles the endpoint's announcement.
func (a *agent) heartbeat() {
	i := a.endpoint.incarnation()
	a.everRegistered = true
	a.fromRecord = false
	if a.registration != nil && a.registration.StartTimeMS == i.StartTimeMS {
		return
	}
	a.registration = &i
	if a.table != nil && a.session.StartTimeMS != i.StartTimeMS {
		a.endSession(registrationChanged)
	}
}

// fromLeader handles a message of the leader.
func (a *agent) fromLeader(m mesh.Message) {
	switch m := m.(type) {
	case *mesh.Drains:
		a.receiveDrains(m.State)
	case *mesh.Welcome:
		a.attachLeader(m)
	default:
		if a.table != nil && a.leader != nil {
			a.handle(a.leader, m)
		}
	}
}

func (a *agent) attachLeader(w *mesh.Welcome) {
	if a.hasLeader && a.fence == w.Session {
		return
	}
	a.hasLeader = true
	a.fence = w.Session
	a.fenceUsed = false
	if w.Incarnation != nil && !a.everRegistered {
		a.everRegistered = true
		i := *w.Incarnation
		a.registration = &i
		a.fromRecord = true
	}
	if a.registration == nil && a.possible != nil && a.possible.ended {
		a.toLeader.send(agentSide, &mesh.PossibleRuns{Session: w.Session})
	}
	if a.table != nil {
		a.endSession(fenceReplaced)
	}
}

// lostLeader handles the end of the connection to the leader.
func (a *agent) lostLeader() {
	a.hasLeader = false
	a.leader = nil
	if a.table != nil {
		a.table.LoseLeader()
	}
}

// fromEntry handles a message of the entry.
func (a *agent) fromEntry(m mesh.Message) {
	switch m := m.(type) {
	case *mesh.Hello:
		a.period = m.Period
	case *mesh.Welcome:
		a.offer = m.Session
	default:
		if a.table != nil && a.entry != nil {
			a.handle(a.entry, m)
		}
	}
}

func (a *agent) lostEntry() {
	a.offer = 0
	if a.table != nil && a.entry != nil {
		a.table.Remove(a.entry)
	}
	a.entry = nil
}

// takeOffer lets the entry join a session without a leader.
func (a *agent) takeOffer() {
	if a.table == nil || a.table.HasLeader() || a.offer == 0 {
		return
	}
	a.entry = runtable.NewScheduler(runtable.Owner{VM: entryVM, Period: a.period}, a.offer)
	a.offer = 0
	a.join(a.entry, a.toEntry, a.table.Join(a.w.now, a.entry))
}

func (a *agent) join(s *runtable.Scheduler, l *link, i runtable.Inventory) {
	a.ping(s, l)
	l.send(agentSide, &mesh.Inventory{Endpoint: i.Endpoint, Incarnation: a.session, Running: i.Running, Ends: numberedEnds(i.Ends)})
}

func numberedEnds(ends []runtable.ReportedEnd) []mesh.NumberedEnd {
	var list []mesh.NumberedEnd
	for _, e := range ends {
		list = append(list, mesh.NumberedEnd(e))
	}
	return list
}

// begin begins the next session if its parameters are known.
func (a *agent) begin() {
	if a.table != nil || a.registration == nil || a.fence == 0 || a.hasLeader && a.fenceUsed || a.sessionTick == a.w.ticks {
		return
	}
	a.sessionTick = a.w.ticks // a session that fails is followed by the next after a delay
	a.fenceUsed = true
	a.session = *a.registration
	if a.endpoint.silent {
		if a.fromRecord {
			a.registration = nil
		}
		if a.hasLeader && a.possible != nil && a.possible.life == a.session.StartTimeMS {
			a.toLeader.send(agentSide, &mesh.PossibleRuns{Session: a.fence, Runs: a.possible.runs, Ends: numberedEnds(a.records.LostEnds(""))})
		}
		a.afterSession(a.fence, leaseExpired)
		return
	}
	a.tableFence = a.fence
	o := runtable.Options{Fence: a.fence, Incarnation: a.session, MaxHold: maxHold, DataCentre: a.vm, Records: a.records}
	if a.hasLeader {
		a.leader = runtable.NewScheduler(runtable.Owner{}, a.fence)
		o.Leader = a.leader
	}
	a.table = runtable.New(o)
	listing := a.endpoint.hold(int(a.session.StartTimeMS), runtable.HoldRequest{Fence: a.fence})
	if a.checkVerdict(a.table.Verdict(listing)) {
		return
	}
	inventory := a.table.Begin(a.w.now, listing)
	if a.leader != nil {
		a.join(a.leader, a.toLeader, inventory)
	}
}

// checkVerdict ends the session if an answer shows that it is over.
func (a *agent) checkVerdict(v runtable.Verdict) bool {
	switch v {
	case runtable.Fenced:
		a.endSession(fencedOff)
	case runtable.OtherInstance:
		a.endSession(otherInstance)
	default:
		return false
	}
	return true
}

func (a *agent) endSession(cause sessionEnd) {
	if a.table == nil {
		return
	}
	a.possible = &possibleRuns{life: a.session.StartTimeMS}
	if cause == leaseExpired || cause == otherInstance {
		a.possible.ended = true
		a.registration = nil
	} else {
		a.possible.runs = a.table.PossibleRuns()
	}
	if a.entry != nil {
		if cause == fenceReplaced {
			a.toEntry.send(agentSide, &mesh.SessionEnded{Session: a.entry.ID})
		} else {
			a.toEntry.send(agentSide, &mesh.NewSession{})
		}
	}
	fence := a.tableFence
	a.table, a.leader, a.entry = nil, nil, nil
	a.stops, a.hung, a.delayed = nil, nil, nil
	a.afterSession(fence, cause)
}

func (a *agent) afterSession(fence placement.SessionID, cause sessionEnd) {
	switch {
	case a.fence != fence:
	case a.hasLeader:
		a.toLeader.send(agentSide, &mesh.NewSession{})
	case cause == fencedOff:
		a.fence = 0
	}
}

// handle handles a message of a scheduler that takes part in the session.
func (a *agent) handle(s *runtable.Scheduler, m mesh.Message) {
	switch m := m.(type) {
	case *mesh.Pong:
		if m.Renewed {
			a.table.Pong(a.w.now, s, m.Sequence)
		}
	case *mesh.Orders:
		for _, o := range m.Orders {
			if a.table == nil || o.Session != s.ID {
				continue
			}
			if o.Stop {
				a.table.StopOrdered(o.Run)
				a.stops = append(a.stops, o.Run)
				continue
			}
			a.start(s, o)
		}
	case *mesh.Acknowledge:
		if m.Session == s.ID {
			a.table.Acknowledge(m.UpTo)
		}
	}
}

func (a *agent) start(s *runtable.Scheduler, o placement.Order) {
	a.table.SetDrained(a.drains.Drained())
	deadline, refusal := a.table.AdmitStart(a.w.now, s, o)
	if refusal != 0 {
		a.report(s, &mesh.Report{Refused: []mesh.RefusedStart{{Run: o.Run, Reason: refusal}}})
		return
	}
	a.w.judge.startsOn("an agent", a.received, a.vm, o.Run)
	e := a.endpoint
	c := startCall{run: o.Run, need: o.Need, fence: a.tableFence, deadline: deadline, life: int(a.session.StartTimeMS)}
	next := e.nextStart
	e.nextStart = answered
	if e.silent || next == late {
		if next == late {
			e.lateStarts = append(e.lateStarts, c)
		}
		a.hung = append(a.hung, o.Run)
		return
	}
	answer := e.start(c)
	if next == unanswered {
		a.hung = append(a.hung, o.Run)
		return
	}
	a.table.StartAnswered(a.w.now, o.Run, answer)
	if answer.Verdict == runtable.Refused {
		a.report(s, &mesh.Report{Refused: []mesh.RefusedStart{{Run: o.Run, Reason: answer.Reason}}})
	}
	a.checkVerdict(answer.Verdict)
}

// runStops makes the calls for the stops in progress. One without an answer is repeated.
func (a *agent) runStops() {
	stops := a.stops
	a.stops = nil
	for _, r := range stops {
		if a.table == nil {
			return
		}
		e := a.endpoint
		c := stopCall{run: r, fence: a.tableFence, life: int(a.session.StartTimeMS)}
		next := e.nextStop
		e.nextStop = answered
		if e.silent || next == late {
			if next == late {
				e.lateStops = append(e.lateStops, c)
			}
			a.stops = append(a.stops, r)
			continue
		}
		answer := e.stop(c)
		if next == unanswered {
			a.stops = append(a.stops, r)
			continue
		}
		a.table.StopAnswered(a.w.now, r, answer)
		a.checkVerdict(answer.Verdict)
	}
}

// hold makes one hold and applies its answer.
func (a *agent) hold() {
	if a.table == nil {
		return
	}
	number, q := a.table.NextHold(a.w.now)
	if a.endpoint.silent {
		a.missHold()
		return
	}
	a.listed(number, a.endpoint.hold(int(a.session.StartTimeMS), q))
}

func (a *agent) missHold() {
	missed := a.table.MissHold(a.w.now)
	if missed.Retry {
		return
	}
	if missed.BecameSilent {
		a.reportTo(runtable.Owner{}, &mesh.Report{Reachability: mesh.Unreachable})
	}
	if missed.Expired {
		a.reportTo(runtable.Owner{}, &mesh.Report{Reachability: mesh.LeaseExpired})
		a.endSession(leaseExpired)
	}
}

func (a *agent) listed(number uint64, l runtable.Listing) {
	if a.checkVerdict(a.table.Verdict(l)) {
		return
	}
	c := a.table.ApplyListing(a.w.now, number, l)
	a.stops = append(a.stops, c.Stops...)
	if c.Answered {
		a.reportTo(runtable.Owner{}, &mesh.Report{Reachability: mesh.Reachable})
	}
	for _, o := range sortedOwners(c.Reports) {
		r := c.Reports[o]
		m := &mesh.Report{Ends: numberedEnds(r.Ends), Vanished: r.Vanished}
		for _, refused := range r.Refused {
			m.Refused = append(m.Refused, mesh.RefusedStart(refused))
		}
		a.reportTo(o, m)
	}
}

func (a *agent) report(s *runtable.Scheduler, m *mesh.Report) {
	r := *m
	r.Session = s.ID
	r.UsedByOthers = a.table.UsedByOthers(s)
	if s == a.leader {
		a.toLeader.send(agentSide, &r)
		return
	}
	a.toEntry.send(agentSide, &r)
}

// reportTo sends a report to the schedulers that may see the owner's runs.
func (a *agent) reportTo(o runtable.Owner, m *mesh.Report) {
	if a.leader != nil {
		a.report(a.leader, m)
	}
	if a.entry != nil && o.VisibleTo(entryVM) {
		a.report(a.entry, m)
	}
}

func (a *agent) ping(s *runtable.Scheduler, l *link) {
	p := a.table.Ping(a.w.now, s)
	l.send(agentSide, &mesh.Ping{Sequence: p.Sequence, Session: s.ID, UsedByOthers: p.UsedByOthers, Running: p.Running, AgeMS: p.Age.Milliseconds()})
}

// renew pings the schedulers and stops the runs of those out of contact.
func (a *agent) renew() {
	if a.table == nil {
		return
	}
	if a.leader != nil {
		a.ping(a.leader, a.toLeader)
	}
	if a.entry != nil {
		a.ping(a.entry, a.toEntry)
	}
	a.stops = append(a.stops, a.table.StaleRuns(a.w.now)...)
}

// timeOut ends the calls without an answer, and delivers the answers that were overtaken.
func (a *agent) timeOut() {
	for _, r := range a.hung {
		a.table.StartUnanswered(r)
	}
	a.hung = nil
	delayed := a.delayed
	a.delayed = nil
	for _, d := range delayed {
		if a.table != nil && d.fence == a.tableFence {
			a.listed(d.number, d.listing)
		}
	}
}
