package runtable

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
)

const (
	// holdWait is how long a hold may wait for an end. It is a fifth of the
	// endpoint's usual lease, so that lost answers do not let the lease expire.
	holdWait = 200 * time.Millisecond
	// shortHoldWait is how long a hold may wait while a listing has to show the result of
	// a start or stop.
	shortHoldWait = 50 * time.Millisecond
	// ConcurrentHolds is the number of holds that wait concurrently. If an answer is
	// lost, the other hold still delivers its ends without delay.
	ConcurrentHolds = 2
	// maxConcurrentHolds is that number while the endpoint leaves holds unanswered, so that
	// it rarely leaves all of them unanswered at a time. It goes back to ConcurrentHolds
	// after extraHoldPeriod in which it has answered all.
	maxConcurrentHolds = 4
	extraHoldPeriod    = 3 * time.Second
	// silentAfterRounds is the number of consecutive rounds of concurrent holds without an
	// answer after which the endpoint is considered unreachable. One answer may be lost.
	silentAfterRounds = 2
	// lapseMargin is the time after the latest deadline, on the endpoint's clock, after which its
	// lease has certainly lapsed.
	lapseMargin = 50 * time.Millisecond
)

// NextHold returns the next request and its number. The request waits for a shorter
// time, or not at all, while holds are unanswered or a listing has to show the
// result of a start or stop.
func (t *Table) NextHold(now time.Time) (uint64, HoldRequest) {
	t.holdsSent++
	q := HoldRequest{Fence: t.opts.Fence, AckedUpTo: t.ackedUpTo, Wait: holdWait}
	if t.missedHolds > 0 {
		q.Wait = 0
	}
	// A hold to a silent endpoint carries no deadline: it may be executed late and
	// would postpone the time after which nothing can run there.
	if !t.silent {
		q.Deadline = max(t.deadline(now), 1)
		t.latestDeadline = max(t.latestDeadline, q.Deadline)
	}
	for _, r := range t.runs {
		if r.state == unanswered || r.state == stopped {
			q.Wait = shortHoldWait
		}
	}
	return t.holdsSent, q
}

// deadline returns the time on the endpoint's clock until which its runs, and
// those of the given owners, may continue.
func (t *Table) deadline(at time.Time, owners ...Owner) time.Duration {
	if t.leader != nil || t.hasDisputedEnds() {
		owners = append(owners, Owner{})
	}
	for _, r := range t.runs {
		owners = append(owners, r.owner)
	}
	if len(owners) == 0 {
		return 0
	}
	contact := t.contacts[owners[0]]
	for _, o := range owners {
		contact = min(contact, t.contacts[o])
	}
	return t.clock.Deadline(at, contact)
}

// AddHold records that the endpoint has left a hold unanswered although it answered another
// one, and reports whether one more hold is to wait from now on. An endpoint that answers
// none gets no more holds, so that it is found to be unreachable as soon as before.
func (t *Table) AddHold(now time.Time) bool {
	t.unansweredAt = now
	if t.concurrentHolds >= maxConcurrentHolds {
		return false
	}
	t.concurrentHolds++
	return true
}

// DropHold reports whether a hold that AddHold has added is no longer needed. Its caller
// then makes no further hold.
func (t *Table) DropHold(now time.Time) bool {
	if now.Sub(t.unansweredAt) < extraHoldPeriod {
		return false
	}
	t.concurrentHolds--
	return true
}

// MissedHold is what follows from a hold without an answer.
type MissedHold struct {
	// Retry is set if the next hold may follow at once.
	Retry bool
	// BecameSilent is set if the endpoint is considered unreachable from now on.
	BecameSilent bool
	// Expired is set once the latest deadline has passed on the endpoint's clock, so that
	// nothing runs there any more.
	Expired bool
}

// MissHold handles a hold without an answer.
func (t *Table) MissHold(now time.Time) MissedHold {
	t.missedHolds++
	silentAfter := silentAfterRounds * t.concurrentHolds
	m := MissedHold{
		Retry:        t.missedHolds < silentAfter,
		BecameSilent: !t.silent && t.missedHolds >= silentAfter,
		Expired:      t.clock.At(now) > t.latestDeadline+lapseMargin,
	}
	t.silent = t.silent || m.BecameSilent
	return m
}

// Changes are what follows from a listing.
type Changes struct {
	// Reports are ends, vanished runs and refused starts.
	Reports Reports
	// Stops are runs with an unanswered start that must be stopped before they start late.
	Stops []work.Run
	// Answered is set if a silent endpoint answers again.
	Answered bool
	// NewEnds is set if the listing has ends that were not reported before. The endpoint
	// then answers every hold that waits.
	NewEnds bool
}

// ApplyListing compares the listing of a numbered hold with the known runs.
func (t *Table) ApplyListing(now time.Time, number uint64, l Listing) Changes {
	t.clock.Observe(l.Clock, now)
	reportedBefore := t.reportedUpTo
	c := Changes{Reports: t.recordNewEnds(now, l.Ends), Answered: t.silent}
	c.NewEnds = t.reportedUpTo > reportedBefore
	t.settleEnds(l.Clock)
	t.acknowledgeBestEffort()
	t.missedHolds = 0
	t.silent = false
	if l.Clock < t.listedClock {
		// The answers to two holds have overtaken each other. The endpoint's clock shows which is
		// newer; what this one lacks may have begun since.
		return c
	}
	t.listedClock = l.Clock
	t.running = l.Running
	t.listedAt = now
	for _, s := range t.schedulers {
		s.listingUnsent = true
	}
	listed := make(map[work.Run]bool, len(l.Running))
	for _, r := range l.Running {
		listed[r.Run] = true
	}
	endsMayFollow := len(l.Ends) >= maxListedEnds
	if !endsMayFollow {
		t.opts.Records.retainEnded(l.Ends)
	}
	for _, r := range slices.SortedFunc(maps.Keys(t.runs), compareRuns) {
		local := t.runs[r]
		if local.sinceHold >= number || endsMayFollow && !listed[r] {
			continue
		}
		if stop := t.compare(r, local, listed[r], c.Reports); stop {
			c.Stops = append(c.Stops, r)
		}
	}
	return c
}

// compare compares one run with the listing. It reports whether the run must
// be stopped.
func (t *Table) compare(r work.Run, local *run, listed bool, reports Reports) bool {
	switch {
	case listed && local.state == unanswered:
		local.state = confirmed
		local.sinceHold = t.holdsSent // an answer of the same millisecond may be older
	case listed, local.state == ordered:
	case local.state == unanswered:
		local.sinceHold = ^uint64(0) // set again once the stop is answered
		return true
	case local.state == stopped:
		t.remove(r)
		report := reports.of(local.owner)
		report.Refused = append(report.Refused, RefusedStart{Run: r, Reason: placement.RefusedUnanswered})
	case local.state == confirmed:
		t.remove(r)
		report := reports.of(local.owner)
		report.Vanished = append(report.Vanished, r)
	}
	return false
}

// remove removes a run that is neither listed nor ended.
func (t *Table) remove(r work.Run) {
	delete(t.runs, r)
	t.opts.Records.remove(r)
}

const (
	// maxListedEnds is the number of ends that an endpoint lists at a time.
	maxListedEnds = 500
	// MaxUnacked limits the ends that wait for the next leader to record them. At
	// the limit the agent accepts no more runs from entries, so that fewer than
	// maxListedEnds are listed: later ones would not be reported.
	MaxUnacked = 400
)

type unackedEnd struct {
	run        work.Run
	number     uint64
	bestEffort bool
	// disputed is set for an end that a leader must record. A leader out of contact takes
	// the run for lapsed and may start the task elsewhere, so until the end is acknowledged or the
	// endpoint's lease has lapsed, the lease must not outlast the contact with the leader.
	disputed bool
}

// recordNewEnds records the ends that have not been reported yet and returns their
// reports by the owner of the run.
func (t *Table) recordNewEnds(now time.Time, ends []End) Reports {
	reports := Reports{}
	for _, e := range ends {
		if e.Number <= t.reportedUpTo {
			continue
		}
		t.reportedUpTo = e.Number
		started := t.opts.Records.started[e.End.Run]
		t.opts.Records.recordEnd(now, e.End)
		delete(t.runs, e.End.Run)
		t.unacked = append(t.unacked, unackedEnd{
			run: e.End.Run, number: e.Number, bestEffort: started.bestEffort,
			disputed: !started.bestEffort && e.End.Reason.Durable(),
		})
		r := reports.of(started.owner)
		r.Ends = append(r.Ends, ReportedEnd{Number: e.Number, End: e.End, BestEffort: started.bestEffort})
	}
	return reports
}

// hasDisputedEnds reports whether an end is disputed.
func (t *Table) hasDisputedEnds() bool {
	return slices.ContainsFunc(t.unacked, func(e unackedEnd) bool { return e.disputed })
}

// settleEnds settles the disputed ends if the endpoint's lease has lapsed, which a listing
// shows by its clock: ends from before a lapse are void.
func (t *Table) settleEnds(clock time.Duration) {
	if t.leader != nil || clock <= t.latestDeadline+lapseMargin {
		return
	}
	for i := range t.unacked {
		t.unacked[i].disputed = false
	}
}

// Unacknowledged reports whether reported ends have not been acknowledged.
func (t *Table) Unacknowledged() bool { return t.reportedUpTo > t.ackedUpTo }

// Acknowledge allows the endpoint to drop its ends up to a number.
func (t *Table) Acknowledge(upTo uint64) {
	t.ackedUpTo = max(t.ackedUpTo, upTo)
	for len(t.unacked) > 0 && t.unacked[0].number <= t.ackedUpTo {
		t.unacked = t.unacked[1:]
	}
}

// acknowledgeBestEffort allows the endpoint to drop the ends that need no record,
// up to the first that does. It has no effect while there is a leader, which
// acknowledges all ends; entries acknowledge none.
func (t *Table) acknowledgeBestEffort() {
	for t.leader == nil && len(t.unacked) > 0 && t.unacked[0].bestEffort {
		t.ackedUpTo = t.unacked[0].number
		t.unacked = t.unacked[1:]
	}
}
