package runtable

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cicadapulley/cicadapulley/core/lease"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// Scheduler is the leader or an entry that takes part in a session.
type Scheduler struct {
	// Owner identifies the scheduler as the owner of the runs that it orders.
	Owner
	// ID identifies the session to the scheduler.
	ID placement.SessionID
	// pings counts the pings sent, and unanswered has those without an answer.
	pings      uint64
	unanswered map[uint64]sentPing
	// listingUnsent is set while the latest listing has not been sent.
	listingUnsent bool
}

// sentPing has when a ping was sent, also on the endpoint's clock.
type sentPing struct {
	at    time.Time
	clock time.Duration
}

// NewScheduler returns a scheduler that may join one session.
func NewScheduler(o Owner, id placement.SessionID) *Scheduler {
	return &Scheduler{Owner: o, ID: id, unanswered: map[uint64]sentPing{}}
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

// run is a run that may exist at the endpoint.
type run struct {
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

// Options are the parameters of a session.
type Options struct {
	Fence       placement.SessionID
	Incarnation work.Incarnation
	// MaxHold is the longest lease that the endpoint grants.
	MaxHold time.Duration
	// Leader is the leader that takes part from the beginning, nil if there is none.
	Leader *Scheduler
	// Draining is set if no runs are accepted, EndpointDraining if the endpoint has
	// announced that.
	Draining, EndpointDraining bool
	// DataCentre is that of the agent; empty if it is not known.
	DataCentre string
	Records    *Records
}

// Table has the runs that may exist at an endpoint during one session.
type Table struct {
	opts Options
	// drained is set while the agent's data centre is drained.
	drained bool
	// leader is the participating leader; nil if the session has none or has lost it.
	leader *Scheduler
	// schedulers are the leader or the entries that may order runs, by VM.
	schedulers map[string]*Scheduler
	clock      *lease.EndpointClock
	// contacts holds the endpoint's clock at the last contact with each owner of runs.
	contacts map[Owner]time.Duration
	runs     map[work.Run]*run
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
	// latestDeadline is the latest deadline that the endpoint may have received.
	latestDeadline time.Duration
	// silent is set while the endpoint is considered unreachable.
	silent bool
	// missedHolds counts the consecutive holds without an answer.
	missedHolds int
	// concurrentHolds is the number of holds that wait concurrently, and unansweredAt the
	// time of the last one that the endpoint left unanswered.
	concurrentHolds int
	unansweredAt    time.Time
}

// New returns the table of a session that has not begun.
func New(o Options) *Table {
	return &Table{
		opts:       o,
		leader:     o.Leader,
		schedulers: map[string]*Scheduler{},
		clock:      lease.NewEndpointClock(o.MaxHold),
		contacts:   map[Owner]time.Duration{},
		runs:       map[work.Run]*run{},

		concurrentHolds: ConcurrentHolds,
	}
}

// Begin loads the endpoint's first listing, whose hold has fenced all earlier sessions. If
// the session has a leader, it joins, and Begin returns the inventory for it.
func (t *Table) Begin(now time.Time, l Listing) Inventory {
	t.clock.Observe(l.Clock, now)
	// The runs may have deadlines from earlier sessions, also of an earlier process.
	t.latestDeadline = l.Clock + t.opts.MaxHold
	t.load(now, l)
	reports := t.recordNewEnds(now, l.Ends)
	if t.leader == nil {
		return Inventory{}
	}
	inventory := t.Join(now, t.leader)
	if r := reports[Owner{}]; r != nil {
		inventory.Ends = append(inventory.Ends, r.Ends...)
	}
	return inventory
}

// load adds the runs that the endpoint lists at the start of the session.
func (t *Table) load(now time.Time, l Listing) {
	listed := make(map[work.Run]bool, len(l.Running)+len(l.Ends))
	for _, r := range l.Running {
		listed[r.Run] = true
	}
	for _, e := range l.Ends {
		listed[e.End.Run] = true
	}
	records := t.opts.Records
	records.retain(listed)
	if t.leader != nil {
		records.assignToLeader()
	}
	for _, r := range l.Running {
		started, known := records.started[r.Run]
		t.runs[r.Run] = &run{startedRun: started, unknownNeed: !known, state: confirmed}
	}
	t.running = l.Running
	t.listedClock = l.Clock
	t.listedAt = now
}

// Verdict returns Done if a listing belongs to this session and incarnation.
func (t *Table) Verdict(l Listing) Verdict {
	born := t.opts.Incarnation.StartTimeMS
	if l.Verdict != Fenced && l.StartTimeMS != 0 && born != 0 && l.StartTimeMS != born {
		return OtherInstance
	}
	return l.Verdict
}

// Join lets a scheduler order runs, and returns the endpoint's state for it.
func (t *Table) Join(now time.Time, s *Scheduler) Inventory {
	t.schedulers[s.VM] = s
	return Inventory{
		Endpoint:         t.describeEndpoint(s),
		Running:          t.visibleRuns(now, s),
		Ends:             t.opts.Records.LostEnds(s.VM),
		EndpointDraining: t.opts.EndpointDraining,
	}
}

// Remove ends the participation of an entry.
func (t *Table) Remove(s *Scheduler) {
	if t.schedulers[s.VM] == s {
		delete(t.schedulers, s.VM)
	}
}

// LoseLeader ends the participation of the leader. The session continues without it.
func (t *Table) LoseLeader() {
	if t.leader == nil {
		return
	}
	delete(t.schedulers, t.leader.VM)
	t.leader = nil
	t.acknowledgeBestEffort()
}

// HasLeader reports whether a leader takes part.
func (t *Table) HasLeader() bool { return t.leader != nil }

// visibleRuns returns the runs that may exist and that a scheduler may see, in the order of their
// numbers, with their progress in the latest listing.
func (t *Table) visibleRuns(now time.Time, s *Scheduler) []placement.ListedRun {
	listed := make(map[work.Run]placement.ListedRun, len(t.running))
	for _, r := range t.running {
		listed[r.Run] = r
	}
	var list []placement.ListedRun
	for r, local := range t.runs {
		if !local.owner.VisibleTo(s.VM) {
			continue
		}
		l := listed[r]
		l.Run = r
		if !local.ownerContactAt.IsZero() {
			l.OwnerSilence = now.Sub(local.ownerContactAt)
		}
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b placement.ListedRun) int { return compareRuns(a.Run, b.Run) })
	return list
}

// compareRuns orders runs, so that no result depends on the order of a map. Entries assign
// numbers independently of each other.
func compareRuns(a, b work.Run) int {
	return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Task.String(), b.Task.String()))
}

// InstanceName identifies an incarnation of an endpoint, which may restart under
// the same instance name.
func InstanceName(i work.Incarnation) string {
	return i.Instance + "@" + strconv.FormatInt(i.StartTimeMS, 10)
}

// describeEndpoint describes the endpoint to a scheduler.
func (t *Table) describeEndpoint(s *Scheduler) placement.Endpoint {
	i := t.opts.Incarnation
	return placement.Endpoint{
		Session:      s.ID,
		Fence:        t.opts.Fence,
		Instance:     InstanceName(i),
		Pool:         i.Pool,
		DataCentre:   t.opts.DataCentre,
		Labels:       i.Labels,
		Capacity:     i.Capacity,
		Draining:     t.opts.Draining,
		UsedByOthers: t.UsedByOthers(s),
		LastRun:      t.opts.Records.lastRun,
		Slowdown:     t.opts.Records.slowdownFor(InstanceName(i)),
	}
}

// UsedByOthers returns the resources that runs of other owners than the scheduler take; the whole
// capacity while the need of a run is unknown, or while ends are disputed, since further
// runs would end with the lease. It returns none for the leader, which
// tracks the resources of all runs.
func (t *Table) UsedByOthers(s *Scheduler) work.Resources {
	used := work.Resources{}
	if s.VM == "" {
		return used
	}
	if t.hasDisputedEnds() {
		return t.opts.Incarnation.Capacity
	}
	for _, r := range t.runs {
		switch {
		case r.unknownNeed:
			return t.opts.Incarnation.Capacity
		case r.owner != s.Owner:
			used = used.Plus(r.need)
		}
	}
	return used
}

// StartDraining accepts no more runs, because the agent stops or, if endpoint is set,
// because the endpoint does. It returns false if that was known.
func (t *Table) StartDraining(endpoint bool) bool {
	if t.opts.Draining && (t.opts.EndpointDraining || !endpoint) {
		return false
	}
	t.opts.Draining = true
	t.opts.EndpointDraining = t.opts.EndpointDraining || endpoint
	return true
}

// SetDrained records whether the agent's data centre is drained. Unlike a draining agent, a
// drained one accepts runs again after the withdrawal, in the same session.
func (t *Table) SetDrained(drained bool) { t.drained = drained }

// Ping returns the next ping to a scheduler.
func (t *Table) Ping(now time.Time, s *Scheduler) Ping {
	s.pings++
	s.unanswered[s.pings] = sentPing{at: now, clock: t.clock.At(now)}
	m := Ping{Sequence: s.pings, UsedByOthers: t.UsedByOthers(s)}
	if s.listingUnsent { // an old listing would look like a lack of progress
		s.listingUnsent = false
		m.Running = t.visibleProgress(s)
		m.Age = now.Sub(t.listedAt)
	}
	return m
}

// visibleProgress returns the part of the latest listing that a scheduler may see.
func (t *Table) visibleProgress(s *Scheduler) []placement.ListedRun {
	if s.VM == "" {
		return t.running
	}
	var list []placement.ListedRun
	for _, r := range t.running {
		if local := t.runs[r.Run]; local != nil && local.owner.VisibleTo(s.VM) {
			list = append(list, r)
		}
	}
	return list
}

// Pong handles the answer to a ping that has renewed the lease.
func (t *Table) Pong(now time.Time, s *Scheduler, sequence uint64) {
	if sent, ok := s.unanswered[sequence]; ok {
		t.contacts[s.Owner] = max(t.contacts[s.Owner], sent.clock)
		t.opts.Records.contactAt[s.Owner] = sent.at
	}
	for n := range s.unanswered {
		if n <= sequence {
			delete(s.unanswered, n)
		}
	}
	if s == t.leader {
		t.opts.Records.leaderContactAt = now
	}
}

// SetSlowdown keeps the slowdown of the endpoint that a scheduler has sent, in thousandths, for
// later leaders and entries. A value of an entry is ignored, as it knows only its own runs; so is
// 0, which stands for no change.
func (t *Table) SetSlowdown(s *Scheduler, thousandths int) {
	if s == t.leader && thousandths != 0 {
		t.opts.Records.recordSlowdown(InstanceName(t.opts.Incarnation), thousandths)
	}
}

// StaleRuns returns the runs to stop because their owner has been out of contact
// for so long that they would soon end the lease of the other runs on the endpoint.
func (t *Table) StaleRuns(now time.Time) []work.Run {
	owners := map[Owner]bool{}
	for _, r := range t.runs {
		owners[r.owner] = true
	}
	if t.leader != nil || len(owners) < 2 {
		return nil
	}
	var list []work.Run
	for r, local := range t.runs {
		if !local.stopping && t.clock.Stale(now, t.contacts[local.owner]) {
			local.stopping = true
			list = append(list, r)
		}
	}
	slices.SortFunc(list, compareRuns)
	return list
}

// PossibleRuns returns the runs that may exist at the endpoint after the session, and
// those whose ends a leader has to record and may not have recorded.
func (t *Table) PossibleRuns() []work.Run {
	list := slices.SortedFunc(maps.Keys(t.runs), compareRuns)
	for _, e := range t.unacked {
		if !e.bestEffort {
			list = append(list, e.run)
		}
	}
	return list
}

// Busy reports whether the endpoint may have runs, or ends that have not been acknowledged.
func (t *Table) Busy() bool {
	return len(t.runs) > 0 || len(t.running) > 0 || t.reportedUpTo > t.ackedUpTo
}
