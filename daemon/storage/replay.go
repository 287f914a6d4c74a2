package storage

import (
	"io"

	"github.com/cicadapulley/cicadapulley/core/raft"
)

// segmentInfo describes a segment on disk.
type segmentInfo struct {
	sequence uint64
	// base is the index before the segment's first batch.
	base  uint64
	bytes int64
}

// replay is the state of the log while its segments are read in order.
type replay struct {
	index    logIndex
	hard     raft.HardState
	entries  []raft.Entry
	segments []segmentInfo
	// replaced are the segments before a snapshot that replaced the log.
	replaced []segmentInfo
	// at is the place after the last valid frame, in the last segment.
	at  cursor
	cut *Cut
	// tail is the valid part of the last segment.
	tail []byte
}

// replaySegments reads all segments and checks that they form one chain.
func replaySegments(d *disk, id Identity, sequences []uint64) (*replay, error) {
	r := &replay{}
	for i, sequence := range sequences {
		data, err := d.read(segmentName(sequence))
		if err != nil {
			return nil, err
		}
		reader, err := openSegment(d.path(segmentName(sequence)), data)
		if err != nil {
			return nil, err
		}
		if err := r.connect(reader, id, sequence); err != nil {
			return nil, err
		}
		if err := r.readAll(reader, i == len(sequences)-1); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// connect checks that a segment belongs to the folder and follows the one before it.
func (r *replay) connect(s *segmentReader, id Identity, sequence uint64) error {
	h := s.header
	c := s.checkpoint
	if h.identity != id {
		return corrupt(s.file, 0, "segment of another data folder, %s", h.identity.ServerID())
	}
	if h.sequence != sequence {
		return corrupt(s.file, 0, "segment has number %d", h.sequence)
	}
	first := len(r.segments) == 0
	if !first {
		if err := r.follow(s); err != nil {
			return err
		}
	}
	if first || h.reset {
		r.index.reset(c.index, c.term)
		r.entries = nil
		r.replaced = append(r.replaced, r.segments...)
		r.segments = nil
	}
	if r.index.last() == r.index.base {
		// The term is not known yet when an earlier segment's truncation went below base.
		r.index.reset(c.index, c.term)
	}
	r.hard = c.hard
	r.segments = append(r.segments, segmentInfo{sequence: sequence, base: c.index})
	return nil
}

func (r *replay) follow(s *segmentReader) error {
	before := r.segments[len(r.segments)-1].sequence
	if s.header.sequence != before+1 {
		return corrupt(s.file, 0, "segment %s is missing before it", segmentName(before+1))
	}
	if s.header.previous != r.at.chain {
		return corrupt(s.file, 0, "segment does not continue %s", segmentName(before))
	}
	if s.header.reset {
		return nil
	}
	if s.checkpoint.index != r.index.last() || s.checkpoint.hard != r.hard {
		return corrupt(s.file, headerBytes, "checkpoint disagrees with %s", segmentName(before))
	}
	return nil
}

// readAll applies a segment's batches. A torn tail is accepted in the last
// segment only.
func (r *replay) readAll(s *segmentReader, last bool) error {
	for {
		offset := s.at.offset
		b, torn, err := s.next()
		if err == io.EOF {
			break
		}
		if err != nil && torn && last {
			r.cut = &Cut{File: s.file, Offset: offset, Bytes: int64(len(s.data)) - offset}
			break
		}
		if err != nil {
			return err
		}
		if err := r.apply(b); err != nil {
			return corrupt(s.file, offset, "%v", err)
		}
	}
	r.at = s.at
	r.tail = s.data[:s.at.offset]
	r.segments[len(r.segments)-1].bytes = s.at.offset
	return nil
}

func (r *replay) apply(b batch) error {
	if err := r.index.check(b); err != nil {
		return err
	}
	r.index.apply(b)
	if b.truncate > 0 {
		r.entries = cutEntries(r.entries, b.truncate)
	}
	r.entries = append(r.entries, b.entries...)
	if b.hard != nil {
		r.hard = *b.hard
	}
	return nil
}

// lastSequence returns the number of the last segment; there is at least one.
func (r *replay) lastSequence() uint64 {
	return r.segments[len(r.segments)-1].sequence
}
