package storage

import (
	"io"
	"sync"

	"github.com/cicadapulley/cicadapulley/core/invariant"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cockroachdb/errors"
)

// maxRetainedBufferBytes limits the encoding buffer that is reused by the next
// Save.
const maxRetainedBufferBytes = 1 << 20

// Store is an open data folder. Its methods may be called concurrently, except
// as documented at SaveSnapshot.
type Store struct {
	disk         *disk
	lock         io.Closer
	identity     Identity
	segmentBytes int64

	// snapshotMu serialises SaveSnapshot and Backup, and makes Close wait for
	// them. It is locked before mu.
	snapshotMu sync.Mutex

	// mu guards the fields below.
	mu        sync.Mutex
	recovered Recovered
	// err is the first failure, or ErrClosed; later calls return it.
	err       error
	file      File
	cursor    cursor
	index     logIndex
	hardState raft.HardState
	segments  []segmentInfo
	snapshots []snapshotInfo
	// damagedSnapshots are the indexes of damaged snapshots that are still in
	// the folder.
	damagedSnapshots []uint64
	encodeBuffer     []byte
}

// snapshotInfo describes a valid snapshot on disk.
type snapshotInfo struct {
	index, term uint64
	bytes       int64
}

// Recovered returns the state that Open found. The first call releases the
// store's reference to it, so that its memory can be freed; later calls return
// the identity only.
func (s *Store) Recovered() Recovered {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.recovered
	s.recovered = Recovered{Identity: r.Identity}
	return r
}

// Save appends one batch with a single sync: a hard state (nil if unchanged),
// the removal of the entries from truncateFrom on (0 for none), and entries
// that continue the log. When it returns nil, the batch is durable. A failed
// write or sync is not retried, because the operating system may have dropped
// the unwritten data: the store is then failed, and every later call returns
// the same error.
func (s *Store) Save(hs *raft.HardState, truncateFrom uint64, entries []raft.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := batch{hardState: hs, truncateFrom: truncateFrom, entries: entries}
	if s.err != nil || b.empty() {
		return s.err
	}
	s.check(b)
	if err := s.write(b); err != nil {
		return s.fail(err)
	}
	s.index.apply(b)
	if hs != nil {
		s.hardState = *hs
	}
	return nil
}

// check asserts that a batch can follow the stored state. mu is held.
func (s *Store) check(b batch) {
	err := s.index.checkBatch(b)
	invariant.Check(err == nil, invariant.LogMatching, "save: %v", err)
	committed := max(s.snapshotIndex(), s.hardState.Commit)
	invariant.Check(b.truncateFrom == 0 || b.truncateFrom > committed, invariant.DurableAck,
		"truncation from %d, committed up to %d", b.truncateFrom, committed)
	if b.hardState == nil {
		return
	}
	old := s.hardState
	invariant.Check(b.hardState.Term >= old.Term, invariant.ElectionSafety,
		"term %d is not allowed after term %d", b.hardState.Term, old.Term)
	changed := b.hardState.Term == old.Term && old.Vote != "" && b.hardState.Vote != old.Vote
	invariant.Check(!changed, invariant.ElectionSafety,
		"vote for %q after %q in term %d", b.hardState.Vote, old.Vote, old.Term)
}

// write appends a batch as one frame. It starts a new segment if the last one
// is full. mu is held.
func (s *Store) write(b batch) error {
	if s.segments[len(s.segments)-1].bytes >= s.segmentBytes {
		if err := s.startSegment(false); err != nil {
			return err
		}
	}
	data, err := b.appendTo(s.cursor.beginFrame(s.encodeBuffer[:0]))
	if err != nil {
		return err
	}
	end := s.cursor
	if data, err = end.finishFrame(data, 0, frameBatch); err != nil {
		return err
	}
	if cap(data) <= maxRetainedBufferBytes {
		s.encodeBuffer = data
	}
	segment := &s.segments[len(s.segments)-1]
	if err := s.disk.append(s.file, data); err != nil {
		return errors.Wrapf(err, "file %s", s.disk.path(segmentName(segment.sequence)))
	}
	s.cursor = end
	segment.bytes = end.offset
	return nil
}

// startSegment creates the next segment and closes the last one. reset is set
// when the newest snapshot replaces the log before the new segment. mu is held.
func (s *Store) startSegment(reset bool) error {
	last := s.segments[len(s.segments)-1].sequence
	h := header{
		kind: kindSegment, reset: reset, identity: s.identity,
		sequence: last + 1, previousCRC: s.cursor.previousCRC, marker: newMarker(),
	}
	term, known := s.index.term(s.index.last())
	invariant.Check(known, invariant.LogMatching, "term of the last index %d is unknown", s.index.last())
	file, info, end, err := createSegment(s.disk, h, checkpoint{index: s.index.last(), term: term, hardState: s.hardState})
	if err != nil {
		return err
	}
	if err := s.file.Close(); err != nil {
		_ = file.Close()
		return errors.Wrapf(err, "close %s", segmentName(last))
	}
	s.file = file
	s.cursor = end
	s.segments = append(s.segments, info)
	return nil
}

func createSegment(d *disk, h header, c checkpoint) (File, segmentInfo, cursor, error) {
	data, end, err := encodeSegment(h, c)
	if err != nil {
		return nil, segmentInfo{}, cursor{}, err
	}
	file, err := d.createAtomic(segmentName(h.sequence), data)
	info := segmentInfo{sequence: h.sequence, base: c.index, bytes: end.offset}
	return file, info, end, errors.Wrapf(err, "create segment %d", h.sequence)
}

// fail makes the store permanently failed. mu is held.
func (s *Store) fail(err error) error {
	if s.err == nil {
		s.err = errors.Mark(errors.Wrap(err, "storage failed"), ErrUnavailable)
	}
	return s.err
}

// snapshotIndex returns the newest snapshot's index. mu is held.
func (s *Store) snapshotIndex() uint64 {
	if len(s.snapshots) == 0 {
		return 0
	}
	return s.snapshots[len(s.snapshots)-1].index
}

// Stats returns sizes and counters, also of a failed or closed store.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Stats{
		WrittenBytes: s.disk.written.Load(),
		Syncs:        s.disk.syncs.Load(),
		Segments:     len(s.segments),
		Snapshots:    len(s.snapshots),
	}
	for _, segment := range s.segments {
		st.LogBytes += segment.bytes
	}
	for _, snapshot := range s.snapshots {
		st.SnapshotBytes += snapshot.bytes
	}
	return st
}

// Close closes the files and releases the folder's lock. It does not sync:
// acknowledged data is already durable. Further calls return nil.
func (s *Store) Close() error {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file == nil {
		return nil
	}
	err := errors.CombineErrors(s.file.Close(), s.lock.Close())
	s.file = nil
	if s.err == nil {
		s.err = ErrClosed
	}
	return errors.Wrap(err, "close storage")
}
