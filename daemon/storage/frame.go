package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"io"

	"github.com/cockroachdb/errors"
)

// A frame is: marker (8 bytes), payload length (4), type (1), payload,
// CRC-32C (4). The checksum covers the previous frame's checksum (the header's
// for the first frame), the frame's offset, length, type and payload. A frame
// from another file or position therefore has a wrong checksum.
const (
	frameHeaderBytes  = 8 + 4 + 1
	frameTrailerBytes = 4
	// maxPayloadBytes limits the payload of a frame; the format allows 4 GiB.
	maxPayloadBytes = 1 << 30
)

type frameType uint8

const (
	// frameCheckpoint is the first frame of each segment.
	frameCheckpoint frameType = iota + 1
	// frameBatch holds the records of one Save.
	frameBatch
	// frameSnapshot is the only frame of a snapshot file.
	frameSnapshot
)

// cursor is the position in a file where the next frame starts.
type cursor struct {
	marker marker
	// previousCRC is the checksum of the previous frame, or of the header.
	previousCRC uint32
	offset      int64
}

// newCursor returns the position after an encoded header.
func newCursor(h header, encoded []byte) cursor {
	crc := binary.LittleEndian.Uint32(encoded[headerCRCOffset:])
	return cursor{marker: h.marker, previousCRC: crc, offset: headerBytes}
}

// beginFrame appends the marker and space for the rest of the frame's header.
// The caller then appends the payload and calls finishFrame.
func (c *cursor) beginFrame(dst []byte) []byte {
	dst = append(dst, c.marker[:]...)
	return append(dst, 0, 0, 0, 0, 0)
}

// finishFrame completes the frame that starts at dst[start:] and moves the
// cursor past it.
func (c *cursor) finishFrame(dst []byte, start int, t frameType) ([]byte, error) {
	payload := len(dst) - start - frameHeaderBytes
	if payload > maxPayloadBytes {
		return nil, errors.Newf("frame payload of %d bytes exceeds the limit of %d bytes", payload, maxPayloadBytes)
	}
	body := dst[start+len(c.marker):]
	binary.LittleEndian.PutUint32(body, uint32(payload))
	body[4] = byte(t)
	crc := c.checksum(body)
	dst = binary.LittleEndian.AppendUint32(dst, crc)
	c.previousCRC = crc
	c.offset += int64(len(dst) - start)
	return dst, nil
}

// checksum returns the checksum of a frame at the cursor. body is the frame's
// length, type and payload.
func (c *cursor) checksum(body []byte) uint32 {
	var prefix [12]byte
	binary.LittleEndian.PutUint32(prefix[:], c.previousCRC)
	binary.LittleEndian.PutUint64(prefix[4:], uint64(c.offset))
	return crc32.Update(crc32.Checksum(prefix[:], castagnoli), castagnoli, body)
}

// readFrame returns the type and payload of the frame at the cursor and moves
// the cursor past it. data is the whole file; the payload aliases it. readFrame
// returns io.EOF at the end of data, and does not move the cursor on any error.
func (c *cursor) readFrame(data []byte) (frameType, []byte, error) {
	rest := data[c.offset:]
	if len(rest) == 0 {
		return 0, nil, io.EOF
	}
	if len(rest) < frameHeaderBytes+frameTrailerBytes {
		return 0, nil, errors.New("frame is truncated")
	}
	if !bytes.Equal(rest[:len(c.marker)], c.marker[:]) {
		return 0, nil, errors.New("frame marker mismatch")
	}
	length := int64(binary.LittleEndian.Uint32(rest[len(c.marker):]))
	end := frameHeaderBytes + length
	if end+frameTrailerBytes > int64(len(rest)) {
		return 0, nil, errors.Newf("frame with a payload of %d bytes is truncated", length)
	}
	crc := binary.LittleEndian.Uint32(rest[end:])
	if c.checksum(rest[len(c.marker):end]) != crc {
		return 0, nil, errors.New("frame checksum mismatch")
	}
	c.previousCRC = crc
	c.offset += end + frameTrailerBytes
	return frameType(rest[frameHeaderBytes-1]), rest[frameHeaderBytes:end], nil
}

// atLastFrame reports whether no frame starts after the one at the cursor. Save
// syncs each frame before it writes the next, so a crash can tear only the last
// frame.
func (c *cursor) atLastFrame(data []byte) bool {
	after := min(c.offset+1, int64(len(data)))
	return !bytes.Contains(data[after:], c.marker[:])
}
