package storage

import (
	"github.com/cicadapulley/cicadapulley/core/invariant"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cockroachdb/errors"
)

// retainedSnapshots is two, so that if the newest snapshot is damaged, the state
// can be recovered from the older one and the log after it.
const retainedSnapshots = 2

// SaveSnapshot stores a snapshot of committed state and removes the files that
// it makes obsolete: all but the newest two snapshots, and the log before the
// older of them. If the log does not contain the snapshot's index and term, the
// snapshot replaces the whole log, and the caller must not call Save
// concurrently. Otherwise Save may run while the snapshot is written. An older snapshot than the
// newest is refused with ErrOutdatedSnapshot, and nothing is written. Any other failure
// is permanent, as for Save.
func (s *Store) SaveSnapshot(snapshot raft.Snapshot) error {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	h, err := s.newSnapshotHeader(snapshot)
	if err != nil {
		return err
	}
	size, err := s.writeSnapshot(h, snapshot)
	if err != nil {
		return s.lockAndFail(err)
	}
	info := snapshotInfo{index: snapshot.Index, term: snapshot.Term, bytes: size}
	obsolete, err := s.registerSnapshot(h, info)
	if err != nil {
		return err
	}
	if err := s.removeAll(obsolete); err != nil {
		return s.lockAndFail(err)
	}
	return nil
}

// removeAll deletes files in the given order and syncs after each, so that a
// crash leaves no gap between segments.
func (s *Store) removeAll(names []string) error {
	for _, name := range names {
		if err := s.disk.remove(name); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) lockAndFail(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fail(err)
}

// newSnapshotHeader returns the header of the file for a snapshot.
func (s *Store) newSnapshotHeader(snapshot raft.Snapshot) (header, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return header{}, s.err
	}
	if snapshot.Index < s.snapshotIndex() {
		return header{}, errors.Wrapf(ErrOutdatedSnapshot, "index %d after %d", snapshot.Index, s.snapshotIndex())
	}
	return header{
		kind:     kindSnapshot,
		reset:    !s.index.contains(snapshot.Index, snapshot.Term),
		identity: s.identity,
		sequence: s.segments[len(s.segments)-1].sequence,
		marker:   newMarker(),
	}, nil
}

// writeSnapshot writes and syncs the snapshot's file, and returns its size in
// bytes.
func (s *Store) writeSnapshot(h header, snapshot raft.Snapshot) (int64, error) {
	data, err := encodeSnapshot(h, snapshot)
	if err != nil {
		return 0, err
	}
	file, err := s.disk.createAtomic(snapshotName(snapshot.Index), data)
	if err != nil {
		return 0, errors.Wrapf(err, "write snapshot %d", snapshot.Index)
	}
	return int64(len(data)), errors.Wrapf(file.Close(), "close snapshot %d", snapshot.Index)
}

// registerSnapshot adds a written snapshot to the store's state and starts a new
// segment, so that the log before the snapshot can be removed. It returns the
// names of the obsolete files in the order in which they must be removed.
func (s *Store) registerSnapshot(h header, info snapshotInfo) ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return nil, s.err
	}
	reset := !s.index.contains(info.index, info.term)
	invariant.Check(reset == h.reset, invariant.DurableAck,
		"log changed at index %d while its snapshot was written", info.index)
	if reset {
		s.index.reset(info.index, info.term)
	}
	if err := s.startSegment(reset); err != nil {
		return nil, s.fail(err)
	}
	s.addSnapshot(info)
	names := s.forgetDamagedSnapshots(info.index)
	return append(names, s.forgetObsoleteFiles(reset)...), nil
}

func (s *Store) addSnapshot(info snapshotInfo) {
	last := len(s.snapshots) - 1
	if last >= 0 && s.snapshots[last].index == info.index {
		s.snapshots = s.snapshots[:last]
	}
	s.snapshots = append(s.snapshots, info)
}

// forgetDamagedSnapshots removes the damaged snapshots from the store's state.
// It returns their file names, except for that of a snapshot that the new one
// has overwritten.
func (s *Store) forgetDamagedSnapshots(overwritten uint64) []string {
	var names []string
	for _, index := range s.damagedSnapshots {
		if index != overwritten {
			names = append(names, snapshotName(index))
		}
	}
	s.damagedSnapshots = nil
	return names
}

// forgetObsoleteFiles removes from the store's state all but the newest
// snapshots, and the segments that recovery from the oldest retained snapshot
// does not need. It returns the names of their files. With reset, only the last
// segment is needed. mu is held, or Open is running.
func (s *Store) forgetObsoleteFiles(reset bool) []string {
	if len(s.snapshots) == 0 {
		return nil
	}
	first := max(0, len(s.snapshots)-retainedSnapshots)
	old := s.snapshots[:first]
	s.snapshots = append([]snapshotInfo(nil), s.snapshots[first:]...)
	names := segmentNames(s.forgetObsoleteSegments(reset))
	for _, snapshot := range old {
		names = append(names, snapshotName(snapshot.index))
	}
	return names
}

func (s *Store) forgetObsoleteSegments(reset bool) []segmentInfo {
	first := len(s.segments) - 1
	needed := s.snapshots[0].index
	for !reset && first > 0 && s.segments[first].base > needed {
		first--
	}
	old := s.segments[:first]
	s.segments = append([]segmentInfo(nil), s.segments[first:]...)
	s.index.compact(min(s.segments[0].base, s.index.last()))
	return old
}

func segmentNames(segments []segmentInfo) []string {
	var names []string
	for _, segment := range segments {
		names = append(names, segmentName(segment.sequence))
	}
	return names
}
