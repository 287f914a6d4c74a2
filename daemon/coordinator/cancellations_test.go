package coordinator

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/daemon/scheduler"
)

const unrecordedID = "00000000000000e1"

func cancelUnrecorded() *mesh.Request {
	return &mesh.Request{Operation: mesh.Cancel, Host: "h", Path: "/q/" + unrecordedID}
}

// moveBack makes the cancellations that a VM has dated older.
func (s *Service) moveBack(by time.Duration) {
	s.driver.Local(func() {
		for i := range s.machine.cancelledAt {
			s.machine.cancelledAt[i].at = s.machine.cancelledAt[i].at.Add(-by)
		}
	})
}

// TestCancelWaitsForItsRecord guards against a DELETE that is answered although its record can be lost with
// the leader.
func TestCancelWaitsForItsRecord(t *testing.T) {
	c := newCluster(t, 1)
	c.configure(c.leader(), 1)
	s := c.managers[0].service.Load()
	c.eventually("the term has begun", func() bool { return s.whileLeading(func(*term, time.Time) {}) })
	c.disks[0].stalled.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	assert.Equal(t, s.submitOrCancel(ctx, cancelUnrecorded()).Outcome, mesh.Uncertain)
	c.disks[0].stalled.Store(false)
	c.eventually("the DELETE is answered", func() bool { return s.submitOrCancel(t.Context(), cancelUnrecorded()).Outcome == mesh.NoJob })
}

// TestNextTermDatesCancellations guards against a next leader that cancels jobs which were submitted again
// after the DELETE, since it doesn't know how old the cancellation is.
func TestNextTermDatesCancellations(t *testing.T) {
	c := newCluster(t, 1)
	c.configure(c.leader(), 1)
	s := c.managers[0].service.Load()
	c.eventually("the DELETE is answered", func() bool { return s.submitOrCancel(t.Context(), cancelUnrecorded()).Outcome == mesh.NoJob })
	s.moveBack(8 * time.Second)
	var former *term
	c.eventually("the term is ended", func() bool {
		return s.whileLeading(func(t *term, _ time.Time) {
			former = t
			t.number--
		})
	})
	c.eventually("the next term has the cancellation", func() bool {
		before, after := false, true
		s.whileLeading(func(t *term, now time.Time) {
			if t != former {
				before, after = t.Cancelled(now, unrecordedID, 10*time.Second), t.Cancelled(now, unrecordedID, 0)
			}
		})
		return before && !after
	})
}

// TestOldCancellationsAreForgotten guards against cancellations that stay in the ledger: their jobs could
// never be submitted again, and the state would grow.
func TestOldCancellationsAreForgotten(t *testing.T) {
	c := newCluster(t, 3)
	c.configure(c.leader(), 1)
	c.eventually("the DELETE is answered", func() bool {
		return c.managers[c.leader()].service.Load().submitOrCancel(t.Context(), cancelUnrecorded()).Outcome == mesh.NoJob
	})
	kept := func(s *Service) (records, dates int) {
		s.driver.Local(func() { records, dates = len(s.machine.Cancellations()), len(s.machine.cancelledAt) })
		return records, dates
	}
	for _, m := range c.managers {
		s := m.service.Load()
		c.eventually("the VM has the record", func() bool { records, dates := kept(s); return records == 1 && dates >= 1 })
	}
	for _, m := range c.managers {
		m.service.Load().moveBack(scheduler.CancellationTTL + 2*forgetInterval)
	}
	for _, m := range c.managers {
		s := m.service.Load()
		c.eventually("the record is dropped", func() bool { records, dates := kept(s); return records == 0 && dates == 0 })
	}
}

// TestCancellationDates guards against a cancellation that is dropped early or never, or that has no date.
func TestCancellationDates(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	var d cancellationDates
	assert.Equal(t, d.expired(start), uint64(0))
	d.add(3, at(0))
	d.add(5, at(1))
	d.add(9, at(10))
	assert.Equal(t, d.of(5), at(1))
	assert.Equal(t, d.of(4), at(1), "the date of another index is lost")
	assert.Equal(t, d.expired(at(16)), uint64(0), "few have expired")
	assert.Equal(t, d.expired(at(17)), uint64(5))
	d.forget(5)
	assert.Equal(t, d.expired(at(25)), uint64(0))
	assert.Equal(t, d.of(9), at(10))
	for i := range uint64(ledger.MaxCancellations + 1) {
		d.add(10+i, at(20))
	}
	assert.Equal(t, len(d), ledger.MaxCancellations)
	assert.Equal(t, d.of(9), at(20))
}
