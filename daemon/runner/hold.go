package runner

import (
	"context"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// hold renews the endpoint's lease and reports what it lists, until the session
// ends.
func (s *session) hold(ctx context.Context) {
	for ctx.Err() == nil {
		s.awaitRecord(ctx)
		number, q := s.nextHold()
		bounded, cancel := context.WithTimeout(ctx, q.Wait+callTimeout)
		listing, err := s.service.opts.Endpoint.Hold(bounded, s.reg.Instance, q)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.missed(ctx, err)
			continue
		}
		if err := s.check(listing); err != nil {
			s.end(err)
			return
		}
		s.take(ctx, number, listing)
	}
}

// awaitRecord waits a moment for the record of reported ends, so that the next
// hold doesn't come back at once with the same ends.
func (s *session) awaitRecord(ctx context.Context) {
	s.mu.Lock()
	open := s.reported > s.acked
	patience := ackPatience
	if s.leader == nil {
		patience = holdPause // a record has to wait for the next leader
	}
	s.mu.Unlock()
	if !open {
		return
	}
	select {
	case <-ctx.Done():
	case <-s.ackedChanged:
	case <-time.After(patience):
	}
}

// nextHold returns the next call and its number. It waits only if nothing else is
// open.
func (s *session) nextHold() (uint64, Hold) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holds++
	q := Hold{Fence: s.fence, Seen: s.acked, Wait: holdWait}
	if s.missedHolds > 0 {
		q.Wait = 0
	}
	// A hold to a silent endpoint only asks: it may be carried out late, and would
	// put off the time from which nothing can run there.
	if !s.silent {
		q.Deadline = max(s.deadline(now()), 1)
		s.latest = max(s.latest, q.Deadline)
	}
	for _, r := range s.runs {
		if r.state == unanswered || r.state == stopped {
			q.Wait = stopPause / 2
		}
	}
	return s.holds, q
}

// deadline returns the time on the endpoint's clock until which its runs, and
// those of the given owners, may go on. The caller holds mu.
func (s *session) deadline(at time.Time, owners ...owner) time.Duration {
	if s.leader != nil {
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
	return s.keeper.Deadline(at, contact)
}

// missed handles a hold without an answer. Once the latest deadline has passed
// on the endpoint's clock, nothing runs there any more.
func (s *session) missed(ctx context.Context, err error) {
	s.mu.Lock()
	s.missedHolds++
	first := !s.silent && s.missedHolds >= silentAfter
	retry := s.missedHolds < silentAfter
	s.silent = s.silent || first
	lapsed := s.keeper.At(now()) > s.latest+holdPause
	s.mu.Unlock()
	if retry {
		return
	}
	if first {
		s.service.opts.Log.Emit(events.Event{ID: events.EndpointSilent, Peer: s.reg.Instance, Err: err})
		s.report(owner{}, &mesh.Report{Reachability: mesh.Unreachable})
	}
	if lapsed {
		s.service.opts.Log.Emit(events.Event{ID: events.EndpointLapsed, Peer: s.reg.Instance})
		s.report(owner{}, &mesh.Report{Reachability: mesh.LeaseExpired})
		s.service.forget(&s.reg)
		pause(ctx, holdPause)
		s.end(errLapsed)
		return
	}
	pause(ctx, holdPause)
}

// pause waits for a time, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// take reports what a listing shows.
func (s *session) take(ctx context.Context, number uint64, l Listing) {
	reports, stops, answers := s.compare(number, l)
	for _, r := range stops {
		s.spawn(func() { s.stop(ctx, r) })
	}
	if answers {
		s.report(owner{}, &mesh.Report{Reachability: mesh.Reachable})
	}
	for o, r := range reports {
		s.report(o, r)
	}
}

// compare finds the news in the listing of a numbered hold: ends, runs that are
// gone, runs whose start stayed unanswered and that must be stopped before they
// begin late, and whether a silent endpoint answers again.
func (s *session) compare(number uint64, l Listing) (reports map[owner]*mesh.Report, stops []work.Run, answers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.Observe(l.Clock, now())
	reports = s.newEnds(l.Ends)
	s.acknowledgeBestEffort()
	s.missedHolds = 0
	if answers = s.silent; answers {
		s.silent = false
		s.service.opts.Log.Emit(events.Event{ID: events.EndpointAnswers, Peer: s.reg.Instance})
	}
	s.running = l.Running
	s.listedAt = now()
	for _, j := range s.joined {
		j.untold = true
	}
	listed := make(map[work.Run]bool, len(l.Running))
	for _, r := range l.Running {
		listed[r.Run] = true
	}
	for r, state := range s.runs {
		if state.since >= number {
			continue
		}
		if stop := s.settle(r, state, listed[r], reports); stop {
			stops = append(stops, r)
		}
	}
	s.service.setBusy(len(s.runs) > 0 || len(l.Running) > 0 || s.reported > s.acked)
	return reports, stops, answers
}

// settle decides about one run; it tells whether the run must be stopped.
func (s *session) settle(r work.Run, state *localRun, listed bool, reports map[owner]*mesh.Report) bool {
	switch {
	case listed && state.state == unanswered:
		state.state = confirmed
	case listed, state.state == ordered:
	case state.state == unanswered:
		state.since = ^uint64(0) // the stop sets it
		return true
	case state.state == stopped:
		s.drop(r)
		report := reportFor(reports, state.owner)
		report.Refused = append(report.Refused, mesh.RefusedStart{Run: r, Reason: placement.RefusedUnanswered})
	case state.state == confirmed:
		s.drop(r)
		report := reportFor(reports, state.owner)
		report.Vanished = append(report.Vanished, r)
	}
	return false
}

// drop forgets a run that is neither listed nor ended. The caller holds mu.
func (s *session) drop(r work.Run) {
	delete(s.runs, r)
	s.service.memory.forget(r)
}
