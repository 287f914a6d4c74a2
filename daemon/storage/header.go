package storage

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
)

// Every file starts with a header of fixed size:
//
//	offset  bytes  field
//	     0      8  magic
//	     8      2  format version
//	    10      1  kind of file
//	    11      1  flags: bit 0 is reset
//	    12     16  identity of the folder
//	    28      8  sequence
//	    36      4  checksum of the last frame of the previous segment
//	    40      8  marker
//	    48     12  reserved, zero
//	    60      4  CRC-32C of the preceding bytes
//
// Numbers are little-endian.
const (
	headerBytes     = 64
	headerCRCOffset = 60
	reservedOffset  = 48
	formatVersion   = 1
	magic           = "CPSTORE\n"
	flagReset       = 1
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type fileKind uint8

const (
	kindIdentity fileKind = iota + 1
	kindSegment
	kindSnapshot
)

func newIdentity() Identity {
	var id Identity
	_, _ = rand.Read(id[:]) // crypto/rand never returns an error; it ends the program instead
	return id
}

// marker starts each frame of a file. It is random for each file, so that
// callers' data in a frame is not mistaken for the start of another frame.
type marker [8]byte

func newMarker() marker {
	var m marker
	_, _ = rand.Read(m[:])
	return m
}

type header struct {
	kind fileKind
	// reset is set on a snapshot that replaces the log, and on the segment
	// that follows it.
	reset    bool
	identity Identity
	// sequence is the number of a segment. In a snapshot, it is that of the
	// newest segment at the start of the snapshot's write.
	sequence uint64
	// previousCRC is the checksum of the last frame of the previous segment.
	previousCRC uint32
	marker      marker
}

func (h header) encode() []byte {
	b := make([]byte, 0, headerBytes)
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint16(b, formatVersion)
	b = append(b, byte(h.kind), h.flags())
	b = append(b, h.identity[:]...)
	b = binary.LittleEndian.AppendUint64(b, h.sequence)
	b = binary.LittleEndian.AppendUint32(b, h.previousCRC)
	b = append(b, h.marker[:]...)
	b = append(b, make([]byte, headerCRCOffset-len(b))...)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func (h header) flags() byte {
	if h.reset {
		return flagReset
	}
	return 0
}

// decodeHeader decodes the header of a file. It returns an error if the kind of
// the file is not want.
func decodeHeader(data []byte, want fileKind) (header, error) {
	if len(data) < headerBytes {
		return header{}, errors.Newf("header is truncated: got %d of %d bytes", len(data), headerBytes)
	}
	b := data[:headerBytes]
	if crc32.Checksum(b[:headerCRCOffset], castagnoli) != binary.LittleEndian.Uint32(b[headerCRCOffset:]) {
		return header{}, errors.New("header checksum mismatch")
	}
	if err := checkHeader(b, want); err != nil {
		return header{}, err
	}
	h := header{kind: want, reset: b[11] == flagReset}
	copy(h.identity[:], b[12:28])
	h.sequence = binary.LittleEndian.Uint64(b[28:])
	h.previousCRC = binary.LittleEndian.Uint32(b[36:])
	copy(h.marker[:], b[40:48])
	return h, nil
}

func checkHeader(b []byte, want fileKind) error {
	if string(b[:len(magic)]) != magic {
		return errors.New("magic number mismatch: not a storage file")
	}
	if v := binary.LittleEndian.Uint16(b[8:]); v != formatVersion {
		return errors.Newf("unsupported format version %d, want %d", v, formatVersion)
	}
	if fileKind(b[10]) != want {
		return errors.Newf("file kind is %d, want %d", b[10], want)
	}
	reservedSet := bytes.Count(b[reservedOffset:headerCRCOffset], []byte{0}) != headerCRCOffset-reservedOffset
	if reservedSet || b[11]&^flagReset != 0 {
		return errors.New("unknown flags or non-zero reserved bytes in the header")
	}
	return nil
}
