package ledger

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// MaxCancellations bounds the cancellations of jobs that are not recorded. A further one replaces
// the oldest.
const MaxCancellations = 4096

// Cancellation is the cancellation of a job that was not recorded: a best-effort one, or one that
// nobody has submitted yet. A later leader needs it, since an entry may still hand the job over. It
// is kept until a command drops it, because Apply reads no clock.
type Cancellation struct {
	Job work.JobID
	// Index is the log index of the latest command that cancelled the job.
	Index uint64
}

// Cancellations returns the kept cancellations in the order of the log.
func (m *Machine) Cancellations() []Cancellation {
	var list []Cancellation
	for id, index := range m.cancellations {
		list = append(list, Cancellation{Job: id, Index: index})
	}
	slices.SortFunc(list, func(a, b Cancellation) int { return cmp.Compare(a.Index, b.Index) })
	return list
}

func (m *Machine) keepCancellation(c Cancellation) {
	if _, kept := m.cancellations[c.Job]; !kept && len(m.cancellations) >= MaxCancellations {
		byIndex := func(a, b work.JobID) int { return cmp.Compare(m.cancellations[a], m.cancellations[b]) }
		delete(m.cancellations, slices.MinFunc(slices.Collect(maps.Keys(m.cancellations)), byIndex))
	}
	m.cancellations[c.Job] = c.Index
}

// forgetCancellations drops those up to a log index.
func (m *Machine) forgetCancellations(upTo uint64) {
	maps.DeleteFunc(m.cancellations, func(_ work.JobID, index uint64) bool { return index <= upTo })
}
