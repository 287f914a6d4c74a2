package raft

import "fmt"

// SnapshotAt returns a snapshot without data at an applied index; the driver adds
// the data. It fails with ErrNotApplied or ErrCompacted.
func (n *Node) SnapshotAt(index uint64) (Snapshot, error) {
	if index > n.log.applied {
		return Snapshot{}, fmt.Errorf("%w: %d", ErrNotApplied, index)
	}
	term, ok := n.log.term(index)
	if !ok {
		return Snapshot{}, fmt.Errorf("%w: %d", ErrCompacted, index)
	}
	return Snapshot{Index: index, Term: term, Group: n.groups.at(index).Clone()}, nil
}

// SetSnapshot sets the saved snapshot that is sent to servers that need compacted
// entries. A snapshot that isn't newer than the current one is ignored.
func (n *Node) SetSnapshot(s Snapshot) {
	if s.Index > n.snapshot.Index {
		n.snapshot = s
	}
}

// Compact removes the log up to index. It fails with ErrNotApplied if index is not
// applied or not covered by a saved snapshot.
func (n *Node) Compact(index uint64) error {
	if index > n.snapshot.Index || index > n.log.applied {
		return fmt.Errorf("%w: %d, saved snapshot is at %d", ErrNotApplied, index, n.snapshot.Index)
	}
	if index <= n.log.offset {
		return nil
	}
	n.log.compact(index)
	n.groups.compact(index)
	return nil
}
