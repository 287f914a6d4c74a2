package ledger

import (
	"maps"
	"slices"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// DrainCommand orders that no more tasks start on the endpoints of a data centre, or
// withdraws that order.
type DrainCommand struct {
	DataCentre string
	Drained    bool
	// Revision is that of the data centre which the proposer knew, 0 for none. A command
	// that would change the drain after a later command is rejected: it may have been
	// delayed on its way to the log.
	Revision uint64
}

// DrainRecord is the drain of a data centre.
type DrainRecord struct {
	DataCentre string
	Drained    bool
	// Revision is the log index of the latest command that was not rejected. Commands that
	// changed nothing count: a delayed one must not undo what they have confirmed.
	Revision uint64
}

// Drains returns the data centres that are drained.
func (m *Machine) Drains() work.DataCentreDrains {
	d := work.DataCentreDrains{Revision: m.drainsRevision}
	for _, name := range slices.Sorted(maps.Keys(m.drains)) {
		if m.drains[name].Drained {
			d.DataCentres = append(d.DataCentres, name)
		}
	}
	return d
}

// DrainsRevision returns the revision of Drains.
func (m *Machine) DrainsRevision() uint64 { return m.drainsRevision }

// DrainRecordCount returns the number of data centres with a record, whether they are drained or not.
func (m *Machine) DrainRecordCount() int { return len(m.drains) }

// DrainRevision returns the revision of a data centre, 0 before the first command.
func (m *Machine) DrainRevision(dataCentre string) uint64 { return m.drains[dataCentre].Revision }

// drain drains a data centre or withdraws that. The record of a withdrawal stays, so that
// a delayed command is still recognised.
func (m *Machine) drain(index uint64, c *DrainCommand) Result {
	record := m.drains[c.DataCentre]
	changes := record.Drained != c.Drained
	if changes && record.Revision != c.Revision {
		return Result{Conflict: true}
	}
	m.setDrain(DrainRecord{DataCentre: c.DataCentre, Drained: c.Drained, Revision: index})
	return Result{Changed: changes}
}

func (m *Machine) setDrain(r DrainRecord) {
	m.drains[r.DataCentre] = r
	m.drainsRevision = max(m.drainsRevision, r.Revision)
}

// drainRecords returns the records, sorted by name.
func (m *Machine) drainRecords() []DrainRecord {
	var list []DrainRecord
	for _, name := range slices.Sorted(maps.Keys(m.drains)) {
		list = append(list, m.drains[name])
	}
	return list
}

func (m *Machine) restoreDrains(records []DrainRecord) {
	m.drains = make(map[string]DrainRecord, len(records))
	m.drainsRevision = 0
	for _, r := range records {
		m.setDrain(r)
	}
}
