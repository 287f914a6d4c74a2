package storage

import (
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cockroachdb/errors"
)

// loadedState is the state that was read from a data folder, which load does
// not change.
type loadedState struct {
	log       *replay
	snapshots []snapshotFile
	// current is the newest valid snapshot; nil when there is none.
	current *snapshotFile
	// resetPending is set when the snapshot replaces the log, but a crash
	// prevented the creation of the segment that follows it.
	resetPending bool
}

// load reads the snapshots and segments of a folder with the given identity.
func load(d *disk, id Identity, f folderFiles) (*loadedState, error) {
	if len(f.segments) == 0 {
		return nil, errors.Newf("folder %s contains no log segment", d.dir)
	}
	snapshots, err := readSnapshots(d, id, f.snapshots)
	if err != nil {
		return nil, err
	}
	log, err := replaySegments(d, id, f.segments)
	if err != nil {
		return nil, err
	}
	l := &loadedState{log: log, snapshots: snapshots}
	return l, l.chooseSnapshot(d)
}

// chooseSnapshot selects the newest valid snapshot. If newer ones are damaged,
// the log must contain every entry from the selected one to the damaged ones.
// If all snapshots are damaged, the log alone is not enough: a snapshot at index
// 0 contains the first group, which is not in the log.
func (l *loadedState) chooseSnapshot(d *disk) error {
	var damaged *snapshotFile
	for i := len(l.snapshots) - 1; i >= 0 && l.current == nil; i-- {
		s := &l.snapshots[i]
		if s.err == nil {
			l.current = s
		} else if damaged == nil {
			damaged = s
		}
	}
	if damaged == nil {
		return l.checkContinuity(d)
	}
	covered := l.current != nil && l.log.index.last() >= damaged.index
	if covered && l.checkContinuity(d) == nil && !l.resetPending {
		return nil
	}
	return damaged.err
}

// checkContinuity checks that the log continues the chosen snapshot, and sets
// resetPending.
func (l *loadedState) checkContinuity(d *disk) error {
	first := segmentName(l.log.segments[0].sequence)
	if l.current == nil {
		if l.log.index.base > 0 {
			return corruptf(d.path(first), headerBytes, "log starts after index %d and there is no snapshot", l.log.index.base)
		}
		return nil
	}
	last := l.log.lastSequence()
	s := l.current
	if last < s.header.sequence {
		return corruptf(d.path(snapshotName(s.index)), 0, "segment %s is missing", segmentName(s.header.sequence))
	}
	if s.header.reset && last == s.header.sequence {
		l.resetPending = true
		return nil
	}
	if l.log.index.contains(s.snapshot.Index, s.snapshot.Term) {
		return nil
	}
	return corruptf(d.path(first), headerBytes, "log with indexes %d to %d does not contain index %d, term %d, of snapshot %s",
		l.log.index.base+1, l.log.index.last(), s.snapshot.Index, s.snapshot.Term, snapshotName(s.index))
}

// recovered returns the state that Open reports to its caller.
func (l *loadedState) recovered(id Identity) Recovered {
	r := Recovered{Identity: id.ServerID(), HardState: l.log.hardState, TornTail: l.log.tornTail}
	for i := range l.snapshots {
		if err := l.snapshots[i].err; err != nil {
			r.Damaged = append(r.Damaged, err)
		}
	}
	snapshotIndex := uint64(0)
	if l.current != nil {
		r.Snapshot = l.current.snapshot
		snapshotIndex = r.Snapshot.Index
	}
	r.HardState.Commit = max(r.HardState.Commit, snapshotIndex)
	if !l.resetPending {
		r.Entries = entriesAfter(l.log.entries, snapshotIndex)
	}
	return r
}

// entriesAfter returns the entries after an index. It copies them if there are
// others, so that the others can be freed.
func entriesAfter(entries []raft.Entry, index uint64) []raft.Entry {
	if len(entries) == 0 || entries[len(entries)-1].Index <= index {
		return nil
	}
	if entries[0].Index > index {
		return entries
	}
	return append([]raft.Entry(nil), entries[index+1-entries[0].Index:]...)
}
