package storage

import "io"

// encodeSegment returns the header and the checkpoint of a new segment, and
// the position of its first batch.
func encodeSegment(h header, c checkpoint) ([]byte, cursor, error) {
	data := h.encode()
	end := newCursor(h, data)
	start := len(data)
	data = c.appendTo(end.beginFrame(data))
	data, err := end.finishFrame(data, start, frameCheckpoint)
	return data, end, err
}

// segmentReader reads the batches of a segment that is in memory. Its errors
// are *CorruptError, and io.EOF at the end.
type segmentReader struct {
	path       string
	data       []byte
	header     header
	checkpoint checkpoint
	cursor     cursor
}

// openSegment decodes the header and the checkpoint. A new segment gets its
// name only after both are synced, so damage to them is never a torn write.
func openSegment(path string, data []byte) (*segmentReader, error) {
	h, err := decodeHeader(data, kindSegment)
	if err != nil {
		return nil, corruptf(path, 0, "%v", err)
	}
	r := &segmentReader{path: path, data: data, header: h, cursor: newCursor(h, data[:headerBytes])}
	t, payload, err := r.cursor.readFrame(data)
	if err != nil {
		return nil, corruptf(path, headerBytes, "%v", err)
	}
	if t != frameCheckpoint {
		return nil, corruptf(path, headerBytes, "frame type is %d, want a checkpoint", t)
	}
	r.checkpoint, err = decodeCheckpoint(payload)
	if err != nil {
		return nil, corruptf(path, headerBytes, "%v", err)
	}
	return r, nil
}

// readBatch returns the next batch. torn is true when the error may be caused by
// a write that a crash interrupted.
func (r *segmentReader) readBatch() (b batch, torn bool, err error) {
	offset := r.cursor.offset
	t, payload, err := r.cursor.readFrame(r.data)
	if err == io.EOF {
		return batch{}, false, io.EOF
	}
	if err != nil {
		return batch{}, r.cursor.atLastFrame(r.data), corruptf(r.path, offset, "%v", err)
	}
	if t != frameBatch {
		return batch{}, false, corruptf(r.path, offset, "frame type is %d, want a batch", t)
	}
	b, err = decodeBatch(payload)
	if err != nil {
		return batch{}, false, corruptf(r.path, offset, "%v", err)
	}
	return b, false, nil
}
