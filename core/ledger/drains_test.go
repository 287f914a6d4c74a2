package ledger

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/work"
)

var dataCentres = []string{"east", "west"}

func drain(name string, drained bool, revision uint64) Command {
	return Command{Drain: &DrainCommand{DataCentre: name, Drained: drained, Revision: revision}}
}

func drains(revision uint64, names ...string) work.DataCentreDrains {
	return work.DataCentreDrains{Revision: revision, DataCentres: names}
}

// TestRepeatedDrainsChangeNothing guards against an order that is refused, or counts as
// a change, because it is sent again or has nothing to withdraw.
func TestRepeatedDrainsChangeNothing(t *testing.T) {
	m := New()
	assert.DeepEqual(t, m.Apply(1, drain("west", false, 0)), Result{})
	assert.Equal(t, m.Apply(2, drain("west", true, 1)).Changed, true)
	assert.DeepEqual(t, m.Apply(3, drain("west", true, 0)), Result{})
	assert.Equal(t, m.Apply(4, drain("east", true, 0)).Changed, true)
	assert.DeepEqual(t, m.Drains(), drains(4, "east", "west"))
	assert.Equal(t, m.Apply(5, drain("west", false, 3)).Changed, true)
	assert.DeepEqual(t, m.Apply(6, drain("west", false, 0)), Result{})
	assert.DeepEqual(t, m.Drains(), drains(6, "east"))
}

// TestDelayedDrainAfterAnIdleWithdrawal guards against an order that was delayed on its way
// to the log and takes effect after a withdrawal was confirmed that had nothing to withdraw.
func TestDelayedDrainAfterAnIdleWithdrawal(t *testing.T) {
	m := New()
	delayed := drain("west", true, m.DrainRevision("west"))
	assert.DeepEqual(t, m.Apply(1, drain("west", false, 0)), Result{})
	assert.DeepEqual(t, m.Apply(2, delayed), Result{Conflict: true})
	assert.DeepEqual(t, m.Drains(), drains(1))
}

// TestLaterOfTwoDrainsHolds guards against two concurrent orders after which the one
// committed first holds, or both do: both proposers know the same revision, the second
// is rejected, and its proposer tries again.
func TestLaterOfTwoDrainsHolds(t *testing.T) {
	m := New()
	m.Apply(1, drain("west", true, 0))
	known := m.DrainRevision("west")
	assert.Equal(t, m.Apply(2, drain("west", false, known)).Changed, true)
	assert.DeepEqual(t, m.Apply(3, drain("west", true, known)), Result{Conflict: true})
	assert.Equal(t, m.Apply(4, drain("west", true, m.DrainRevision("west"))).Changed, true)
	assert.DeepEqual(t, m.Drains(), drains(4, "west"))
}

// TestDelayedDrainUndoesNothing guards against an order that was delayed on its way to
// the log and drains a data centre again after the withdrawal, also on a machine that was
// restored from a snapshot in between.
func TestDelayedDrainUndoesNothing(t *testing.T) {
	for _, restore := range []bool{false, true} {
		m := New()
		delayed := drain("west", true, m.DrainRevision("west"))
		m.Apply(7, drain("west", true, 0))
		m.Apply(8, drain("west", false, 7))
		if restore {
			s := m.Snapshot()
			m = New()
			m.Restore(s)
		}
		assert.DeepEqual(t, m.Apply(9, delayed), Result{Conflict: true})
		assert.DeepEqual(t, m.Drains(), drains(8))
		assert.Equal(t, m.DrainRevision("west"), uint64(8))
		assert.Equal(t, m.DrainRevision("east"), uint64(0))
	}
}

// TestFormerSnapshotHasNoDrains guards against a snapshot of former code that leaves the
// drains of the state which it replaces, or in which no data centre can be drained.
func TestFormerSnapshotHasNoDrains(t *testing.T) {
	m := New()
	m.Apply(1, drain("west", true, 0))
	m.Restore(Snapshot{Applied: 20, Enrolled: []Agent{{VM: "side-1"}}})
	assert.DeepEqual(t, m.Drains(), drains(0))
	assert.Equal(t, m.Apply(21, drain("west", true, 0)).Changed, true)
	assert.DeepEqual(t, m.Drains(), drains(21, "west"))
}
