package storage

import "io"

// encodeSegment returns the header and the checkpoint of a new segment, and
// the place of its first batch.
func encodeSegment(h header, c checkpoint) ([]byte, cursor, error) {
	data := h.encode()
	at := startCursor(h, data)
	start := len(data)
	data = c.append(at.begin(data))
	data, err := at.finish(data, start, frameCheckpoint)
	return data, at, err
}

// segmentReader reads a whole segment in memory, frame by frame. Its errors
// are *CorruptError, and io.EOF at the end.
type segmentReader struct {
	file       string
	data       []byte
	header     header
	checkpoint checkpoint
	at         cursor
}

// openSegment reads header and checkpoint. A new segment appears under its
// name only once both are synced, so damage here is never a torn write.
func openSegment(file string, data []byte) (*segmentReader, error) {
	h, err := decodeHeader(data, kindSegment)
	if err != nil {
		return nil, corrupt(file, 0, "%v", err)
	}
	r := &segmentReader{file: file, data: data, header: h, at: startCursor(h, data[:headerBytes])}
	t, payload, err := r.at.next(data)
	if err != nil {
		return nil, corrupt(file, headerBytes, "%v", err)
	}
	if t != frameCheckpoint {
		return nil, corrupt(file, headerBytes, "frame type %d where a checkpoint belongs", t)
	}
	r.checkpoint, err = decodeCheckpoint(payload)
	if err != nil {
		return nil, corrupt(file, headerBytes, "%v", err)
	}
	return r, nil
}

// next returns the next batch. torn is true when the error can be the trace of
// a write that a crash interrupted.
func (r *segmentReader) next() (b batch, torn bool, err error) {
	offset := r.at.offset
	t, payload, err := r.at.next(r.data)
	if err == io.EOF {
		return batch{}, false, io.EOF
	}
	if err != nil {
		return batch{}, r.at.last(r.data), corrupt(r.file, offset, "%v", err)
	}
	if t != frameBatch {
		return batch{}, false, corrupt(r.file, offset, "frame type %d where a batch belongs", t)
	}
	b, err = decodeBatch(payload)
	if err != nil {
		return batch{}, false, corrupt(r.file, offset, "%v", err)
	}
	return b, false, nil
}
