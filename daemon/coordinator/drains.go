package coordinator

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// ErrUnknownDataCentre is returned for an order that names a data centre which is neither
// in the settings nor drained.
var ErrUnknownDataCentre = errors.New("the data centre is not known")

var (
	errDrainChanged = errors.New("the drain of the data centre has changed since the order was forwarded")
	// errFormerLeader is returned while a leader of former code takes the order for a
	// request to read.
	errFormerLeader = errors.New("the leader runs a version that knows no drains")
)

// Drain orders that no more tasks start on the endpoints of a data centre, or withdraws
// that order, and returns the data centres that are drained. It returns once the order is
// durable. An error wraps ErrUnknownDataCentre, or ErrUnavailable; then the outcome is
// unknown, and the order may be repeated.
func (s *Service) Drain(ctx context.Context, dataCentre string, drained bool) (work.DataCentreDrains, error) {
	listed := work.ValidName(dataCentre) && (len(s.opts.DataCentres) == 0 || slices.Contains(s.opts.DataCentres, dataCentre))
	if drained && !listed {
		return s.readDrained(ctx, dataCentre)
	}
	r, err := s.operate(ctx, &mesh.OperatorRequest{Drain: &ledger.DrainCommand{DataCentre: dataCentre, Drained: drained}})
	if err != nil {
		return work.DataCentreDrains{}, err
	}
	if !listed && r.DrainRevision == 0 {
		return work.DataCentreDrains{}, unknownDataCentre(dataCentre)
	}
	return *r.Drains, nil
}

// readDrained returns the drains if they have a data centre that the settings lack, as
// after a change of the settings.
func (s *Service) readDrained(ctx context.Context, dataCentre string) (work.DataCentreDrains, error) {
	r, err := s.operate(ctx, &mesh.OperatorRequest{})
	switch {
	case err != nil:
		return work.DataCentreDrains{}, err
	case r.Drains == nil:
		return work.DataCentreDrains{}, errors.Wrap(ErrUnavailable, errFormerLeader.Error())
	case !r.Drains.Contains(dataCentre):
		return work.DataCentreDrains{}, unknownDataCentre(dataCentre)
	}
	return *r.Drains, nil
}

func unknownDataCentre(name string) error { return errors.Wrapf(ErrUnknownDataCentre, "%q", name) }

// withRevision returns the request with the latest revision of its data centre that this
// VM knows: from its copy of the log, or from the leader's last answer. The copy is behind
// until the next message of the leader.
func (s *Service) withRevision(q *mesh.OperatorRequest, last *mesh.OperatorResponse) *mesh.OperatorRequest {
	if q.Drain == nil {
		return q
	}
	c := *q.Drain // the connection may still be encoding the former one
	s.driver.Local(func() { c.Revision = max(s.machine.DrainRevision(c.DataCentre), last.DrainRevision) })
	return &mesh.OperatorRequest{Drain: &c}
}

// rejectedForRevision reports whether a leader has rejected a drain and named a later
// revision, with which it may be sent again at once.
func rejectedForRevision(q *mesh.OperatorRequest, r *mesh.OperatorResponse) bool {
	return q.Drain != nil && !r.Done && r.DrainRevision > q.Drain.Revision
}

// recordDrain carries out an order on the leader. One that changes nothing needs no entry
// of the log: what this VM reads as the leader is committed.
func (s *Service) recordDrain(ctx context.Context, c *ledger.DrainCommand, r *mesh.OperatorResponse) error {
	unchanged := false
	err := s.driver.Read(func() {
		d := s.machine.Drains()
		unchanged = d.Contains(c.DataCentre) == c.Drained
	})
	if err != nil {
		return err
	}
	var result ledger.Result
	if !unchanged {
		if result, err = s.propose(ctx, ledger.Command{Drain: c}); err != nil {
			return errors.Wrap(err, "record drain")
		}
	}
	s.announceDrains()
	s.driver.Local(func() {
		d := s.machine.Drains()
		r.Drains = &d
		r.DrainRevision = s.machine.DrainRevision(c.DataCentre)
	})
	if result.Conflict {
		s.opts.Log.Emit(events.Event{ID: events.DrainRejected, Ticket: r.DrainRevision, Text: c.DataCentre})
		return errDrainChanged
	}
	return nil
}

// watchDrains announces the drains that this VM has applied, whether it leads or not,
// until ctx ends.
func (s *Service) watchDrains(ctx context.Context) error {
	for {
		changed := s.driver.Changed()
		s.announceDrains()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (s *Service) announceDrains() {
	s.mu.Lock()
	defer s.mu.Unlock() // also after a panic in the planner
	s.updateDrains()
}

// updateDrains sends the drains that this VM has applied to all clients if they have
// changed, and passes them to the planner. The planner follows within the same hold of
// mu, so that on each connection Drains precede the orders that depend on them. The
// caller holds mu.
func (s *Service) updateDrains() {
	newer := false
	s.driver.Local(func() {
		if newer = s.machine.DrainsRevision() > s.drains.Revision; newer {
			s.drains = s.machine.Drains()
		}
	})
	if !newer {
		return
	}
	for cl := range s.clients {
		s.sendDrains(cl)
	}
	if s.term != nil {
		at := now()
		s.term.Planner.SetDrained(at, s.drains)
		s.place(s.term, at)
	}
}

// sendDrains sends the drains that were announced last. The caller holds mu.
func (s *Service) sendDrains(cl *client) { cl.conn.Send(&mesh.Drains{State: s.drains}) }

// logDrain emits the events of a change. The caller holds the driver's lock.
func (m *machine) logDrain(index uint64, c *ledger.DrainCommand) {
	if !c.Drained {
		m.log.Emit(events.Event{ID: events.DrainWithdrawn, Ticket: index, Text: c.DataCentre})
		return
	}
	m.log.Emit(events.Event{ID: events.DataCentreDrained, Ticket: index, Text: c.DataCentre})
	d := m.Drains()
	left := slices.ContainsFunc(m.dataCentres, func(name string) bool { return !d.Contains(name) })
	if len(m.dataCentres) > 0 && !left {
		m.log.Emit(events.Event{ID: events.NoDataCentreLeft, Ticket: index, Text: c.DataCentre})
	}
}

// drainCollector collects whether each data centre is drained, of those in the settings
// and those that are drained.
type drainCollector struct {
	manager     *Manager
	description *prometheus.Desc
}

func newDrainCollector(m *Manager) *drainCollector {
	return &drainCollector{manager: m, description: prometheus.NewDesc(
		"cicadapulley_data_centre_drained", "1 while no tasks start on the endpoints of the data centre, as this VM has applied it.", []string{"data_centre"}, nil)}
}

// Describe implements prometheus.Collector.
func (c *drainCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- c.description
}

// Collect implements prometheus.Collector.
func (c *drainCollector) Collect(metrics chan<- prometheus.Metric) {
	s := c.manager.service.Load()
	if s == nil {
		return
	}
	var d work.DataCentreDrains
	s.driver.Local(func() { d = s.machine.Drains() })
	names := slices.Concat(s.opts.DataCentres, d.DataCentres)
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		value := 0.0
		if d.Contains(name) {
			value = 1
		}
		metrics <- prometheus.MustNewConstMetric(c.description, prometheus.GaugeValue, value, name)
	}
}
