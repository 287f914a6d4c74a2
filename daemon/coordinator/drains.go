package coordinator

import (
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// maxDrainRecords bounds the data centres that orders may name if the settings list none. The records of withdrawn
// drains stay, and every entry and agent decodes the list of drained ones, which has a limit of 131,072 names.
const maxDrainRecords = 1024

// ErrUnknownDataCentre is returned for an order that names a data centre which is neither
// in the settings nor drained, or one too many.
var ErrUnknownDataCentre = errors.New("the data centre is not known")

var (
	errDrainChanged = errors.New("there was another order about the data centre since this one was forwarded")
	// errFormerLeader is returned while a leader of former code takes the order for a
	// request to read.
	errFormerLeader = errors.New("the leader runs a version that knows no drains")
)

// Drain orders that no more tasks start on the endpoints of a data centre, or withdraws
// that order, and returns the data centres that are drained. It returns once the order is
// durable. An error wraps ErrUnknownDataCentre, or ErrUnavailable; then the outcome is
// unknown, and the order may be repeated.
func (s *Service) Drain(ctx context.Context, dataCentre string, drained bool) (work.DataCentreDrains, error) {
	ctx = WithArrival(ctx, arrivalOf(ctx)) // both requests below have one deadline
	if err := s.checkDataCentre(ctx, dataCentre, drained); err != nil {
		return work.DataCentreDrains{}, err
	}
	r, err := s.operate(ctx, &mesh.OperatorRequest{Drain: &ledger.DrainCommand{DataCentre: dataCentre, Drained: drained}})
	if err != nil {
		return work.DataCentreDrains{}, err
	}
	return *r.Drains, nil
}

// anyDataCentre is sent to read the drains without naming a data centre: the empty name stands for a
// request to read the configuration.
const anyDataCentre = "*"

// Drains returns the drains that the leader has. An error wraps ErrUnavailable.
func (s *Service) Drains(ctx context.Context) (work.DataCentreDrains, error) {
	r, err := s.operate(ctx, &mesh.OperatorRequest{ReadDrain: anyDataCentre})
	if err != nil {
		return work.DataCentreDrains{}, err
	}
	return *r.Drains, nil
}

// knownDataCentres returns the names of the data centres in the settings and in d, sorted.
func knownDataCentres(settings []string, d work.DataCentreDrains) []string {
	names := slices.Concat(settings, d.DataCentres)
	slices.Sort(names)
	return slices.Compact(names)
}

// checkDataCentre returns an error for a data centre that the settings lack, unless the
// order has been given before they changed: it is drained, or its withdrawal is repeated. Settings
// without data centres permit up to maxDrainRecords names.
func (s *Service) checkDataCentre(ctx context.Context, dataCentre string, drained bool) error {
	if !work.ValidName(dataCentre) {
		return errors.Wrapf(ErrUnknownDataCentre, "name of %d bytes is not valid", len(dataCentre))
	}
	anyName := len(s.opts.DataCentres) == 0
	if anyName && s.drainRecordCount() < maxDrainRecords || slices.Contains(s.opts.DataCentres, dataCentre) {
		return nil
	}
	r, err := s.operate(ctx, &mesh.OperatorRequest{ReadDrain: dataCentre})
	if err != nil {
		return err
	}
	switch {
	case r.Drains.Contains(dataCentre) || (anyName || !drained) && r.DrainRevision > 0:
		return nil
	case anyName:
		return errors.Wrapf(ErrUnknownDataCentre, "%d data centres have been named, the most that are recorded", maxDrainRecords)
	}
	return errors.Wrapf(ErrUnknownDataCentre, "%q is none of %s", dataCentre, strings.Join(knownDataCentres(s.opts.DataCentres, *r.Drains), ", "))
}

// drainRecordCount returns the number of data centres that the orders which this VM has applied have named.
func (s *Service) drainRecordCount() (count int) {
	s.driver.Local(func() { count = s.machine.DrainRecordCount() })
	return count
}

// setDrains sets the drains that this VM has applied. The caller holds the driver's lock.
func (s *Service) setDrains(dataCentre string, r *mesh.OperatorResponse) {
	d := s.machine.Drains()
	r.Drains = &d
	r.DrainRevision = s.machine.DrainRevision(dataCentre)
}

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

// recordDrain carries out an order on the leader. One that changes nothing is an entry of
// the log too, so that a delayed order does not undo what it has confirmed.
func (s *Service) recordDrain(ctx context.Context, c *ledger.DrainCommand, r *mesh.OperatorResponse) error {
	result, err := s.propose(ctx, ledger.Command{Drain: c})
	if err != nil {
		return errors.Wrap(err, "record drain")
	}
	s.announceDrains()
	s.driver.Local(func() { s.setDrains(c.DataCentre, r) })
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
	for _, name := range knownDataCentres(s.opts.DataCentres, d) {
		value := 0.0
		if d.Contains(name) {
			value = 1
		}
		metrics <- prometheus.MustNewConstMetric(c.description, prometheus.GaugeValue, value, name)
	}
}
