package ledger

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/work"
)

func cancel(id string) Command { return Command{Cancel: work.JobID(id)} }

// TestCancellationsAreKept guards against a cancellation that is lost with the leader that answered it,
// and against one that a delayed command drops although the job was cancelled again since.
func TestCancellationsAreKept(t *testing.T) {
	m := New()
	assert.DeepEqual(t, m.Apply(1, cancel("a")), Result{Kept: true})
	assert.DeepEqual(t, m.Apply(2, cancel("b")), Result{Kept: true})
	assert.DeepEqual(t, m.Apply(3, cancel("a")), Result{Kept: true})
	assert.DeepEqual(t, m.Cancellations(), []Cancellation{{"b", 2}, {"a", 3}})
	restored := New()
	restored.Restore(m.Snapshot())
	assert.DeepEqual(t, restored.Cancellations(), m.Cancellations())
	m.Apply(4, Command{ForgetCancellations: 2})
	assert.DeepEqual(t, m.Cancellations(), []Cancellation{{"a", 3}})
	restored.Restore(Snapshot{})
	assert.Equal(t, len(restored.Cancellations()), 0)
}

// TestCancellationOfStoredJobIsNotKept guards against a job that is submitted again under its ID and
// counts as cancelled, although the former one was cancelled in the ledger.
func TestCancellationOfStoredJobIsNotKept(t *testing.T) {
	m := New()
	m.Apply(1, Command{Accept: job("a", 1)})
	assert.DeepEqual(t, m.Apply(2, cancel("a")), Result{Changed: true, Closed: []work.JobID{"a"}})
	assert.DeepEqual(t, m.Apply(3, cancel("a")), Result{})
	assert.Equal(t, len(m.Cancellations()), 0)
}

// TestCancellationsAreBounded guards against a flood of cancellations that fills the memory of the control
// VMs, or that keeps out the latest ones.
func TestCancellationsAreBounded(t *testing.T) {
	m := New()
	for i := range uint64(MaxCancellations + 2) {
		m.Apply(i+1, cancel(fmt.Sprint(i)))
	}
	kept := m.Cancellations()
	assert.Equal(t, len(kept), MaxCancellations)
	assert.Equal(t, kept[0].Index, uint64(3))
	assert.Equal(t, kept[MaxCancellations-1].Index, uint64(MaxCancellations+2))
}
