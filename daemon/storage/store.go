package storage

import (
	"io"
	"sync"

	"github.com/cicadapulley/cicadapulley/core/invariant"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cockroachdb/errors"
)

// maxKeptBuffer bounds the encoding buffer that is kept between saves, in bytes.
const maxRetainedBufferBytes = 1 << 20

// Store is an open data folder. Its methods may be called concurrently, with
// the exception that SaveSnapshot states.
type Store struct {
	disk         *disk
	lock         io.Closer
	identity     Identity
	segmentBytes int64

	// snapshotting serialises SaveSnapshot and Backup, and keeps Close from
	// overtaking them. It is taken before mu.
	snapshotMu sync.Mutex

	// mu guards the fields below.
	mu        sync.Mutex
	recovered Recovered
	// err is the first failure; it is returned by every later call.
	err       error
	file      File
	cursor    cursor
	index     logIndex
	hardState raft.HardState
	segments  []segmentInfo
	snapshots []snapshotInfo
	// damaged are the indexes of damaged snapshots that are still in the folder.
	damagedSnapshots []uint64
	encodeBuffer     []byte
}

// snapshotInfo describes a valid snapshot on disk.
type snapshotInfo struct {
	index, term uint64
	bytes       int64
}

// Recovered returns what Open found. The store keeps no reference to entries
// and snapshot data, so a second call returns the identity only.
func (s *Store) Recovered() Recovered {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.recovered
	s.recovered = Recovered{Identity: r.Identity}
	return r
}

// Save appends one batch and syncs it once: a hard state (nil for unchanged),
// the removal of the entries from truncateFrom on (0 for none), and entries
// that continue the log. When it returns nil, the batch is durable. A failed
// write or sync is not retried, because the system may have dropped the
// unwritten data: the store is failed, and every later call returns that error.
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

// check asserts that a batch can follow what is stored. mu is held.
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
		"term %d after %d", b.hardState.Term, old.Term)
	changed := b.hardState.Term == old.Term && old.Vote != "" && b.hardState.Vote != old.Vote
	invariant.Check(!changed, invariant.ElectionSafety,
		"vote for %q after %q in term %d", b.hardState.Vote, old.Vote, old.Term)
}

// write appends a batch as one frame, in a new segment if the last one is
// full. mu is held.
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

// startSegment closes the last segment and starts the next one. reset marks
// that the log starts anew after the newest snapshot. mu is held.
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
	return file, info, end, errors.Wrapf(err, "segment %d", h.sequence)
}

// fail makes the store permanently failed. mu is held.
func (s *Store) fail(err error) error {
	if s.err == nil {
		s.err = errors.Wrap(err, "storage failed")
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

// Stats returns sizes and counters; it works on a failed or closed store too.
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

// Close releases the folder. Everything acknowledged is durable already. It
// returns nil when called again.
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
