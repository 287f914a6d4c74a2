package coordinator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/scheduler"
)

// forgetInterval is the minimum time between two commands that drop old cancellations. Each costs
// a commit.
const forgetInterval = time.Second

// cancellationDates has when this VM applied the cancellations that the ledger keeps, in the order
// of the log. Clocks of VMs are never compared. A date is not earlier than the cancellation itself,
// and later on a VM that was behind, has restarted or has installed a snapshot.
type cancellationDates []cancellationDate

type cancellationDate struct {
	index uint64
	at    time.Time
}

// add dates the cancellation at a log index.
func (d *cancellationDates) add(index uint64, at time.Time) {
	if len(*d) >= ledger.MaxCancellations {
		*d = slices.Delete(*d, 0, 1)
	}
	*d = append(*d, cancellationDate{index, at})
}

// forget drops the dates up to a log index.
func (d *cancellationDates) forget(upTo uint64) {
	*d = slices.DeleteFunc(*d, func(c cancellationDate) bool { return c.index <= upTo })
}

// of returns the date of a kept cancellation. If a job that was cancelled repeatedly has displaced
// its date, that of the next one is returned.
func (d cancellationDates) of(index uint64) time.Time {
	i, _ := slices.BinarySearchFunc(d, index, func(c cancellationDate, index uint64) int { return cmp.Compare(c.index, index) })
	return d[i].at
}

// expired returns the highest log index whose cancellation has been kept for long enough, 0 if there
// is none or the oldest has been so for less than forgetInterval.
func (d cancellationDates) expired(now time.Time) (upTo uint64) {
	if len(d) == 0 || now.Sub(d[0].at) <= scheduler.CancellationTTL+forgetInterval {
		return 0
	}
	for _, c := range d {
		if now.Sub(c.at) > scheduler.CancellationTTL {
			upTo = c.index
		}
	}
	return upTo
}

// dateCancellations replaces the dates after the ledger was restored from a snapshot.
func (m *machine) dateCancellations(at time.Time) {
	m.cancelledAt = nil
	for _, c := range m.Cancellations() {
		m.cancelledAt.add(c.Index, at)
	}
}

// restoreCancellations gives a term the cancellations of jobs that are not recorded. The caller holds
// the driver's lock.
func (m *machine) restoreCancellations(t *term) {
	for _, c := range m.Cancellations() {
		t.KeepCancellation(m.cancelledAt.of(c.Index), c.Job)
	}
}

// forgetCancellations drops the cancellations from the ledger that no submission can refer to any more.
func (s *Service) forgetCancellations(ctx context.Context) {
	upTo := uint64(0)
	s.driver.Local(func() { upTo = s.machine.cancelledAt.expired(boottime.Now()) })
	if upTo > 0 {
		s.forget(ctx, ledger.Command{ForgetCancellations: upTo})
	}
}

// forget proposes a command that drops what is no longer needed. If it fails, a later tick proposes it
// again.
func (s *Service) forget(ctx context.Context, c ledger.Command) {
	if _, err := s.propose(ctx, c); err != nil {
		s.opts.Log.Emit(events.Event{ID: events.ForgetFailed, Err: err})
	}
}
