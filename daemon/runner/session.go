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
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
)

const (
	// renewInterval is the interval between renewals of the agent's lease. Six of
	// them fit in lease.Grant.
	renewInterval = 200 * time.Millisecond
	// holdWait is how long a hold may wait for an end. It is a fifth of the
	// endpoint's usual lease, so that lost answers do not let the lease expire.
	holdWait = 200 * time.Millisecond
	// callTimeout limits a call to the endpoint on the same VM, in addition to the
	// wait that the call requests. It covers a CPU quota that stops a process
	// for the rest of a 100 ms period.
	callTimeout = 130 * time.Millisecond
	// concurrentHolds is the number of holds that wait concurrently. If an answer is
	// lost, the other hold still delivers its ends without delay.
	concurrentHolds = 2
	// silentAfterHolds is the number of consecutive holds without an answer after
	// which the endpoint is considered unreachable. One answer may be lost.
	silentAfterHolds = 2 * concurrentHolds
	// ackTimeout limits the wait for the leader to record ends before the next hold:
	// the endpoint answers immediately while it lists ends.
	ackTimeout = 15 * time.Millisecond
	// holdRetryDelay is the delay after a failed hold, and stopRetryDelay the delay
	// before a stop is repeated.
	holdRetryDelay = 50 * time.Millisecond
	stopRetryDelay = 100 * time.Millisecond
	// lostEndWindow is the time before the last contact with a leader in which a
	// reported end may have been lost with that leader. Jobs that are open then are
	// seldom older.
	lostEndWindow = 400 * time.Millisecond
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

// incarnationName identifies an incarnation of an endpoint, which may restart under
// the same instance name.
func incarnationName(r Registration) string {
	return r.Instance + "@" + strconv.FormatInt(r.StartTimeMS, 10)
}

// runState is the state of a run as far as the agent has confirmed it.
type runState uint8

const (
	// ordered runs await the endpoint's answer to their start.
	ordered runState = iota
	// confirmed runs were started.
	confirmed
	// unanswered runs may start late.
	unanswered
	// stopped runs have an answered stop and can no longer start.
	stopped
)

// localRun is a run that may exist at the endpoint.
type localRun struct {
	startedRun
	// unknownNeed is set for runs without a record of what they need: those that
	// were started before the agent restarted.
	unknownNeed bool
	state       runState
	// sinceHold is the number of holds that had been sent when the state was set;
	// only the listing of a later hold reflects it.
	sinceHold uint64
	// stopping is set once the agent itself has decided to stop the run.
	stopping bool
}

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
	// leader is the participating leader; nil if the session has none or has lost it.
	leader *participant
	// participants are the leader or the entries that may order runs, by VM.
	participants map[string]*participant
	clock        *lease.EndpointClock
	// contacts holds the endpoint's clock at the last contact with each owner of runs.
	contacts map[owner]time.Duration
	runs     map[work.Run]*localRun
	// running is the latest listing, listedClock its time on the endpoint's clock, and
	// listedAt the time when it arrived.
	running      []placement.ListedRun
	listedClock  time.Duration
	listedAt     time.Time
	holdsSent    uint64
	reportedUpTo uint64
	ackedUpTo    uint64
	// unacked are the reported ends that have not been acknowledged to the endpoint.
	unacked []unackedEnd
	// ackedChanged has a buffer for one signal.
	ackedChanged chan struct{}
	// latestDeadline is the latest deadline that the endpoint may have received.
	latestDeadline time.Duration
	// silent is set while the endpoint is considered unreachable.
	silent bool
	// missedHolds counts the consecutive holds without an answer.
	missedHolds int
	// draining is set once no more runs are accepted, and endpointDraining if the
	// endpoint has announced that.
	draining, endpointDraining bool
}

func newSession(s *Service, params sessionParams) *session {
	n := &session{
		service:      s,
		fence:        params.fence,
		registration: params.registration,
		participants: map[string]*participant{},
		clock:        lease.NewEndpointClock(s.opts.MaxHold),
		contacts:     map[owner]time.Duration{},
		runs:         map[work.Run]*localRun{},
		ackedChanged: make(chan struct{}, 1),
		draining:     params.registration.Draining || params.draining,

		endpointDraining: params.registration.Draining,
	}
	if params.leader != nil {
		n.leader = &participant{schedulerConn: params.leader, session: n, id: params.fence, sentClocks: map[uint64]time.Duration{}}
	}
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
	for range concurrentHolds {
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
	listing, err := s.service.opts.Endpoint.Hold(callCtx, s.registration.Instance, HoldRequest{Fence: s.fence})
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
	s.clock.Observe(listing.Clock, now())
	// The runs may have deadlines from earlier sessions, also of an earlier process.
	s.latestDeadline = listing.Clock + s.service.opts.MaxHold
	s.loadRuns(listing)
	reports := s.recordNewEnds(listing.Ends)
	peer := "no leader"
	if s.leader != nil {
		peer = s.leader.conn.Remote()
		var ends []mesh.NumberedEnd
		if r := reports[owner{}]; r != nil {
			ends = r.Ends
		}
		s.addParticipant(s.leader, ends)
	}
	s.service.opts.Log.Emit(events.Event{ID: events.SessionBegan, Peer: peer, Ticket: uint64(s.fence)})
	return nil
}

// loadRuns adds the runs that the endpoint lists at the start of the session.
func (s *session) loadRuns(l Listing) {
	listed := make(map[work.Run]bool, len(l.Running)+len(l.Ends))
	for _, r := range l.Running {
		listed[r.Run] = true
	}
	for _, e := range l.Ends {
		listed[e.End.Run] = true
	}
	records := s.service.records
	records.retain(listed)
	if s.leader != nil {
		records.assignToLeader()
	}
	for _, r := range l.Running {
		started, known := records.lookup(r.Run)
		s.runs[r.Run] = &localRun{startedRun: started, unknownNeed: !known, state: confirmed}
	}
	s.running = l.Running
	s.listedClock = l.Clock
	s.listedAt = now()
}

// addParticipant lets a scheduler order runs, and sends it the endpoint's lists.
func (s *session) addParticipant(p *participant, ends []mesh.NumberedEnd) {
	from := s.service.lastLeaderContact().Add(-lostEndWindow)
	s.mu.Lock()
	s.participants[p.vm] = p
	inventory := &mesh.Inventory{Endpoint: s.describeEndpoint(p), Incarnation: s.registration.Incarnation, Ends: append(s.service.records.endsSince(from, p.vm), ends...)}
	inventory.Running = s.visibleRuns(p)
	inventory.EndpointDraining = s.endpointDraining
	s.mu.Unlock()
	p.schedulerConn.setParticipant(p)
	// The answer to this ping arrives before the scheduler's first orders.
	s.sendPing(p)
	p.conn.Send(inventory)
}

// visibleRuns returns the runs that may exist and that a scheduler may see, with
// their progress in the latest listing. The caller holds mu.
func (s *session) visibleRuns(p *participant) []placement.ListedRun {
	listed := make(map[work.Run]placement.ListedRun, len(s.running))
	for _, r := range s.running {
		listed[r.Run] = r
	}
	var list []placement.ListedRun
	for run, r := range s.runs {
		if !visibleTo(r.owner, p.vm) {
			continue
		}
		l := listed[run]
		l.Run = run
		list = append(list, l)
	}
	return list
}

// visibleTo reports whether the scheduler on vm may see an owner's runs: a leader,
// whose vm is empty, sees all runs, an entry its own and those of the last leader.
func visibleTo(o owner, vm string) bool { return vm == "" || o.vm == "" || o.vm == vm }

// describeEndpoint describes the endpoint to a scheduler. The caller holds mu.
func (s *session) describeEndpoint(p *participant) placement.Endpoint {
	return placement.Endpoint{
		Session:      p.id,
		Fence:        s.fence,
		Instance:     incarnationName(s.registration),
		Pool:         s.registration.Pool,
		Labels:       s.registration.Labels,
		Capacity:     s.registration.Capacity,
		Draining:     s.draining,
		UsedByOthers: s.usedByOthers(p),
		LastRun:      s.service.records.highestRun(),
	}
}

// usedByOthers returns the resources that runs of other owners take; the whole
// capacity while the need of a run is unknown, or while ends are disputed, since further
// runs would end with the lease. It returns none for the leader, which
// tracks the resources of all runs. The caller holds mu.
func (s *session) usedByOthers(p *participant) work.Resources {
	used := work.Resources{}
	if p.vm == "" {
		return used
	}
	if s.hasDisputedEnds() {
		return s.registration.Capacity
	}
	for _, r := range s.runs {
		switch {
		case r.unknownNeed:
			return s.registration.Capacity
		case r.owner != p.owner:
			used = used.Plus(r.need)
		}
	}
	return used
}

// checkListing returns an error if a listing does not belong to this session and
// incarnation.
func (s *session) checkListing(l Listing) error {
	switch {
	case l.Verdict == Fenced:
		return errFenced
	case l.Verdict == OtherInstance, l.StartTimeMS != 0 && s.registration.StartTimeMS != 0 && l.StartTimeMS != s.registration.StartTimeMS:
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
		for _, p := range s.participantList() {
			s.sendPing(p)
		}
		for _, r := range s.staleRuns() {
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

// staleRuns returns the runs to stop because their owner has been out of contact
// for so long that they would soon end the lease of the other runs on the endpoint.
func (s *session) staleRuns() []work.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	owners := map[owner]bool{}
	for _, r := range s.runs {
		owners[r.owner] = true
	}
	if s.leader != nil || len(owners) < 2 {
		return nil
	}
	var list []work.Run
	for run, r := range s.runs {
		if !r.stopping && s.clock.Stale(now(), s.contacts[r.owner]) {
			r.stopping = true
			list = append(list, run)
		}
	}
	return list
}

func (s *session) sendPing(p *participant) {
	s.mu.Lock()
	p.pings++
	p.sentClocks[p.pings] = s.clock.At(now())
	m := &mesh.Ping{Sequence: p.pings, Session: p.id, UsedByOthers: s.usedByOthers(p)}
	if p.listingUnsent { // an old listing would look like a lack of progress
		p.listingUnsent = false
		m.Running = s.visibleProgress(p)
		m.AgeMS = now().Sub(s.listedAt).Milliseconds()
	}
	s.mu.Unlock()
	p.conn.Send(m)
}

// visibleProgress returns the part of the latest listing that a scheduler may see.
// The caller holds mu.
func (s *session) visibleProgress(p *participant) []placement.ListedRun {
	if p.vm == "" {
		return s.running
	}
	var list []placement.ListedRun
	for _, r := range s.running {
		if run := s.runs[r.Run]; run != nil && visibleTo(run.owner, p.vm) {
			list = append(list, r)
		}
	}
	return list
}

// handle handles one message of a participant.
func (s *session) handle(p *participant, m mesh.Message) {
	switch m := m.(type) {
	case *mesh.Pong:
		if m.Renewed {
			s.handlePong(p, m.Sequence)
		}
	case *mesh.Orders:
		for _, o := range m.Orders {
			if o.Session == p.id {
				s.execute(p, o)
			}
		}
	case *mesh.Acknowledge:
		if m.Session == p.id {
			s.acknowledge(m.UpTo)
		}
	}
}

func (s *session) handlePong(p *participant, sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sent, ok := p.sentClocks[sequence]; ok {
		s.contacts[p.owner] = max(s.contacts[p.owner], sent)
	}
	for n := range p.sentClocks {
		if n <= sequence {
			delete(p.sentClocks, n)
		}
	}
	if p == s.leader {
		s.service.recordLeaderContact()
	}
}
