package runner

import (
	"context"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/runtable"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
)

// holdLoop renews the endpoint's lease and reports the changes in its listings,
// until the session ends.
func (s *session) holdLoop(ctx context.Context) {
	for ctx.Err() == nil {
		s.hold(ctx)
	}
}

// extraHoldLoop does the same as holdLoop until the endpoint has answered all holds for a
// while.
func (s *session) extraHoldLoop(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		done := s.table.DropHold(now())
		s.mu.Unlock()
		if done {
			return
		}
		s.hold(ctx)
	}
}

// hold makes one hold and handles its result.
func (s *session) hold(ctx context.Context) {
	s.awaitAcknowledgement(ctx)
	s.mu.Lock()
	number, q := s.table.NextHold(now())
	s.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, q.Wait+callTimeout)
	defer cancel()
	finish := s.holds.begin(number, cancel)
	listing, err := s.service.opts.Endpoint.Hold(callCtx, s.registration.Instance, q)
	overtaken := finish()
	if ctx.Err() != nil {
		return
	}
	if err != nil && overtaken {
		s.addHold(ctx)
		return
	}
	if err != nil {
		s.handleMissedHold(ctx, err)
		return
	}
	if err := s.checkListing(listing); err != nil {
		s.end(err)
		return
	}
	s.applyListing(ctx, number, listing)
}

// addHold lets one more hold wait after the endpoint has left one unanswered although it
// answered another, unless there are enough.
func (s *session) addHold(ctx context.Context) {
	s.mu.Lock()
	more := s.table.AddHold(now())
	s.mu.Unlock()
	if more {
		s.spawn(func() { s.extraHoldLoop(ctx) })
	}
}

// awaitAcknowledgement waits for a limited time until reported ends are
// acknowledged. Otherwise the endpoint would answer the next hold immediately with
// the same ends.
func (s *session) awaitAcknowledgement(ctx context.Context) {
	s.mu.Lock()
	unacknowledged := s.table.Unacknowledged()
	timeout := ackTimeout
	if !s.table.HasLeader() {
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

// handleMissedHold handles a hold without an answer. Once the latest deadline has
// passed on the endpoint's clock, nothing runs there any more.
func (s *session) handleMissedHold(ctx context.Context, err error) {
	missed := s.reportMissedHold(err)
	switch {
	case missed.Retry:
	case missed.Expired:
		s.endIncarnation(errLeaseExpired)
	default:
		supervisor.Sleep(ctx, holdRetryDelay)
	}
}

// reportMissedHold counts a hold without an answer, and reports what follows before a listing is compared: the report
// that the endpoint answers again must be the last.
func (s *session) reportMissedHold(err error) runtable.MissedHold {
	s.mu.Lock()
	defer s.mu.Unlock()
	missed := s.table.MissHold(now())
	if missed.BecameSilent {
		s.service.opts.Log.Emit(events.Event{ID: events.EndpointSilent, Peer: s.registration.Instance, Err: err})
		s.reportToOwner(runtable.Owner{}, &mesh.Report{Reachability: mesh.Unreachable})
	}
	if missed.Expired && !missed.Retry {
		s.service.opts.Log.Emit(events.Event{ID: events.EndpointLapsed, Peer: s.registration.Instance})
		s.reportToOwner(runtable.Owner{}, &mesh.Report{Reachability: mesh.LeaseExpired})
	}
	return missed
}

// applyListing reports the changes in a listing and stops runs where necessary.
func (s *session) applyListing(ctx context.Context, number uint64, l runtable.Listing) {
	c, busy := s.reportListing(number, l)
	s.service.setBusy(busy)
	if c.NewEnds {
		s.holds.cancelOvertaken(s.service.calls.latency.LateAfter())
	}
	for _, r := range c.Stops {
		s.spawn(func() { s.stopRun(ctx, r) })
	}
}

// reportListing compares a listing with the known runs, and reports the changes before another listing is compared: an
// acknowledgement covers all ends up to its number, so the leader must receive them in the order of their numbers.
func (s *session) reportListing(number uint64, l runtable.Listing) (c runtable.Changes, busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c = s.table.ApplyListing(now(), number, l)
	if c.Answered {
		s.service.opts.Log.Emit(events.Event{ID: events.EndpointAnswers, Peer: s.registration.Instance})
		s.reportToOwner(runtable.Owner{}, &mesh.Report{Reachability: mesh.Reachable})
	}
	for o, r := range c.Reports {
		s.reportToOwner(o, meshReport(r))
	}
	return c, s.table.Busy()
}

// meshReport returns the message for a report.
func meshReport(r *runtable.Report) *mesh.Report {
	m := &mesh.Report{Ends: numberedEnds(r.Ends), Vanished: r.Vanished}
	for _, refused := range r.Refused {
		m.Refused = append(m.Refused, mesh.RefusedStart(refused))
	}
	return m
}

func numberedEnds(ends []runtable.ReportedEnd) []mesh.NumberedEnd {
	var list []mesh.NumberedEnd
	for _, e := range ends {
		list = append(list, mesh.NumberedEnd(e))
	}
	return list
}
