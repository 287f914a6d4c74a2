package storage

import (
	"io"

	"github.com/cicadapulley/cicadapulley/core/raft"
)

// segmentInfo describes a segment on disk.
type segmentInfo struct {
	sequence uint64
	// base is the last index of the log when the segment was created.
	base  uint64
	bytes int64
}

// replay is the state of the log while its segments are read in ascending order.
type replay struct {
	index     logIndex
	hardState raft.HardState
	entries   []raft.Entry
	segments  []segmentInfo
	// replaced are the segments of a log that a snapshot replaced.
	replaced []segmentInfo
	// cursor is the position after the last valid frame of the last segment.
	cursor   cursor
	tornTail *TornTail
	// lastSegment is the valid part of the last segment's content.
	lastSegment []byte
}

// replaySegments reads all segments and checks that they form one chain.
func replaySegments(d *disk, id Identity, sequences []uint64) (*replay, error) {
	r := &replay{}
	for i, sequence := range sequences {
		data, err := d.readFile(segmentName(sequence))
		if err != nil {
			return nil, err
		}
		reader, err := openSegment(d.path(segmentName(sequence)), data)
		if err != nil {
			return nil, err
		}
		if err := r.addSegment(reader, id, sequence); err != nil {
			return nil, err
		}
		if err := r.readBatches(reader, i == len(sequences)-1); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// addSegment checks that a segment belongs to the folder and follows the
// previous one, and sets the state to the segment's checkpoint.
func (r *replay) addSegment(s *segmentReader, id Identity, sequence uint64) error {
	h := s.header
	c := s.checkpoint
	if h.identity != id {
		return corruptf(s.path, 0, "segment belongs to another data folder, with identity %s", h.identity.ServerID())
	}
	if h.sequence != sequence {
		return corruptf(s.path, 0, "segment header has sequence number %d", h.sequence)
	}
	first := len(r.segments) == 0
	if !first {
		if err := r.checkFollows(s); err != nil {
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
		// The term is not known yet if a truncation in an earlier segment went
		// below base.
		r.index.reset(c.index, c.term)
	}
	r.hardState = c.hardState
	r.segments = append(r.segments, segmentInfo{sequence: sequence, base: c.index})
	return nil
}

func (r *replay) checkFollows(s *segmentReader) error {
	previous := r.segments[len(r.segments)-1].sequence
	if s.header.sequence != previous+1 {
		return corruptf(s.path, 0, "earlier segment %s is missing", segmentName(previous+1))
	}
	if s.header.previousCRC != r.cursor.previousCRC {
		return corruptf(s.path, 0, "segment does not continue %s", segmentName(previous))
	}
	if s.header.reset {
		return nil
	}
	if s.checkpoint.index != r.index.last() || s.checkpoint.hardState != r.hardState {
		return corruptf(s.path, headerBytes, "checkpoint does not match the end of %s", segmentName(previous))
	}
	return nil
}

// readBatches applies the batches of a segment. A torn tail is an error unless
// the segment is the last one.
func (r *replay) readBatches(s *segmentReader, last bool) error {
	for {
		offset := s.cursor.offset
		b, torn, err := s.readBatch()
		if err == io.EOF {
			break
		}
		if err != nil && torn && last {
			r.tornTail = &TornTail{File: s.path, Offset: offset, Bytes: int64(len(s.data)) - offset}
			break
		}
		if err != nil {
			return err
		}
		if err := r.apply(b); err != nil {
			return corruptf(s.path, offset, "%v", err)
		}
	}
	r.cursor = s.cursor
	r.lastSegment = s.data[:s.cursor.offset]
	r.segments[len(r.segments)-1].bytes = s.cursor.offset
	return nil
}

func (r *replay) apply(b batch) error {
	if err := r.index.checkBatch(b); err != nil {
		return err
	}
	r.index.apply(b)
	if b.truncateFrom > 0 {
		r.entries = entriesBefore(r.entries, b.truncateFrom)
	}
	r.entries = append(r.entries, b.entries...)
	if b.hardState != nil {
		r.hardState = *b.hardState
	}
	return nil
}

// lastSequence returns the sequence number of the last segment. At least one
// segment must have been read.
func (r *replay) lastSequence() uint64 {
	return r.segments[len(r.segments)-1].sequence
}
