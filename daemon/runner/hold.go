package runner

import (
	"context"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
)

// holdLoop renews the endpoint's lease and reports the changes in its listings,
// until the session ends.
func (s *session) holdLoop(ctx context.Context) {
	for ctx.Err() == nil {
		s.awaitAcknowledgement(ctx)
		number, q := s.nextHold()
		callCtx, cancel := context.WithTimeout(ctx, q.Wait+callTimeout)
		listing, err := s.service.opts.Endpoint.Hold(callCtx, s.registration.Instance, q)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.handleMissedHold(ctx, err)
			continue
		}
		if err := s.checkListing(listing); err != nil {
			s.end(err)
			return
		}
		s.applyListing(ctx, number, listing)
	}
}

// awaitAcknowledgement waits for a limited time until reported ends are
// acknowledged. Otherwise the endpoint would answer the next hold immediately with
// the same ends.
func (s *session) awaitAcknowledgement(ctx context.Context) {
	s.mu.Lock()
	unacknowledged := s.reportedUpTo > s.ackedUpTo
	timeout := ackTimeout
	if s.leader == nil {
		timeout = holdRetryDelay // only the next leader can record them
	}
	s.mu.Unlock()
	if !unacknowledged {
		return
	}
	select {
	case <-ctx.Done():
	case <-s.ackedChanged:
	case <-time.After(timeout):
	}
}

// nextHold returns the next request and its number. The request waits for a shorter
// time, or not at all, while holds are unanswered or a listing has to show the
// result of a start or stop.
func (s *session) nextHold() (uint64, HoldRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdsSent++
	q := HoldRequest{Fence: s.fence, AckedUpTo: s.ackedUpTo, Wait: holdWait}
	if s.missedHolds > 0 {
		q.Wait = 0
	}
	// A hold to a silent endpoint carries no deadline: it may be executed late and
	// would postpone the time after which nothing can run there.
	if !s.silent {
		q.Deadline = max(s.deadline(now()), 1)
		s.latestDeadline = max(s.latestDeadline, q.Deadline)
	}
	for _, r := range s.runs {
		if r.state == unanswered || r.state == stopped {
			q.Wait = stopRetryDelay / 2
		}
	}
	return s.holdsSent, q
}

// deadline returns the time on the endpoint's clock until which its runs, and
// those of the given owners, may continue. The caller holds mu.
func (s *session) deadline(at time.Time, owners ...owner) time.Duration {
	if s.leader != nil || s.hasDisputedEnds() {
		owners = append(owners, owner{})
	}
	for _, r := range s.runs {
		owners = append(owners, r.owner)
	}
	if len(owners) == 0 {
		return 0
	}
	contact := s.contacts[owners[0]]
	for _, o := range owners {
		contact = min(contact, s.contacts[o])
	}
	return s.clock.Deadline(at, contact)
}

// handleMissedHold handles a hold without an answer. Once the latest deadline has
// passed on the endpoint's clock, nothing runs there any more.
func (s *session) handleMissedHold(ctx context.Context, err error) {
	s.mu.Lock()
	s.missedHolds++
	becameSilent := !s.silent && s.missedHolds >= silentAfterHolds
	retry := s.missedHolds < silentAfterHolds
	s.silent = s.silent || becameSilent
	expired := s.clock.At(now()) > s.latestDeadline+holdRetryDelay
	s.mu.Unlock()
	if retry {
		return
	}
	if becameSilent {
		s.service.opts.Log.Emit(events.Event{ID: events.EndpointSilent, Peer: s.registration.Instance, Err: err})
		s.reportToOwner(owner{}, &mesh.Report{Reachability: mesh.Unreachable})
	}
	if expired {
		s.service.opts.Log.Emit(events.Event{ID: events.EndpointLapsed, Peer: s.registration.Instance})
		s.reportToOwner(owner{}, &mesh.Report{Reachability: mesh.LeaseExpired})
		s.endIncarnation(errLeaseExpired)
		return
	}
	supervisor.Sleep(ctx, holdRetryDelay)
}

// applyListing reports the changes in a listing and stops runs where necessary.
func (s *session) applyListing(ctx context.Context, number uint64, l Listing) {
	reports, stops, answered := s.reconcile(number, l)
	for _, r := range stops {
		s.spawn(func() { s.stopRun(ctx, r) })
	}
	if answered {
		s.reportToOwner(owner{}, &mesh.Report{Reachability: mesh.Reachable})
	}
	for o, r := range reports {
		s.reportToOwner(o, r)
	}
}

// reconcile compares the listing of a numbered hold with the known runs. It
// returns reports of ends, of vanished runs and of refused starts by owner, the
// runs with an unanswered start that must be stopped before they start late, and
// whether a silent endpoint answers again.
func (s *session) reconcile(number uint64, l Listing) (reports map[owner]*mesh.Report, stops []work.Run, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock.Observe(l.Clock, now())
	reports = s.recordNewEnds(l.Ends)
	s.settleEnds(l.Clock)
	s.acknowledgeBestEffort()
	s.missedHolds = 0
	if answered = s.silent; answered {
		s.silent = false
		s.service.opts.Log.Emit(events.Event{ID: events.EndpointAnswers, Peer: s.registration.Instance})
	}
	if l.Clock < s.listedClock {
		// The answers to two holds have overtaken each other. The endpoint's clock shows which is
		// newer; what this one lacks may have begun since.
		return reports, nil, answered
	}
	s.listedClock = l.Clock
	s.running = l.Running
	s.listedAt = now()
	for _, p := range s.participants {
		p.listingUnsent = true
	}
	listed := make(map[work.Run]bool, len(l.Running))
	for _, r := range l.Running {
		listed[r.Run] = true
	}
	endsMayFollow := len(l.Ends) >= maxListedEnds
	if !endsMayFollow {
		s.service.records.retainEnded(l.Ends)
	}
	for r, local := range s.runs {
		if local.sinceHold >= number || endsMayFollow && !listed[r] {
			continue
		}
		if stop := s.reconcileRun(r, local, listed[r], reports); stop {
			stops = append(stops, r)
		}
	}
	s.service.setBusy(len(s.runs) > 0 || len(l.Running) > 0 || s.reportedUpTo > s.ackedUpTo)
	return reports, stops, answered
}

// reconcileRun compares one run with the listing. It reports whether the run must
// be stopped.
func (s *session) reconcileRun(r work.Run, local *localRun, listed bool, reports map[owner]*mesh.Report) bool {
	switch {
	case listed && local.state == unanswered:
		local.state = confirmed
		local.sinceHold = s.holdsSent // an answer of the same millisecond may be older
	case listed, local.state == ordered:
	case local.state == unanswered:
		local.sinceHold = ^uint64(0) // set again once the stop is answered
		return true
	case local.state == stopped:
		s.removeRun(r)
		report := reportFor(reports, local.owner)
		report.Refused = append(report.Refused, mesh.RefusedStart{Run: r, Reason: placement.RefusedUnanswered})
	case local.state == confirmed:
		s.removeRun(r)
		report := reportFor(reports, local.owner)
		report.Vanished = append(report.Vanished, r)
	}
	return false
}

// removeRun removes a run that is neither listed nor ended. The caller holds mu.
func (s *session) removeRun(r work.Run) {
	delete(s.runs, r)
	s.service.records.remove(r)
}
