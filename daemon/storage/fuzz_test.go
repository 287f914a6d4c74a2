package storage

import (
	"bytes"
	"runtime"
	"testing"

	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// The smallest repeated element of the format is an empty server of 2 bytes,
// which becomes two structs of less than 200 bytes in slices that may double.
const (
	allocBytesPerInputByte = 256
	allocSlackBytes        = 1 << 20
)

// testSegment returns a segment with one frame for each payload.
func testSegment(payloads ...[]byte) []byte {
	data, end, err := encodeSegment(header{kind: kindSegment, sequence: 1, marker: marker{1, 2, 3}}, checkpoint{})
	for _, payload := range payloads {
		start := len(data)
		data = append(end.beginFrame(data), payload...)
		data, err = end.finishFrame(data, start, frameBatch)
	}
	if err != nil {
		panic(err)
	}
	return data
}

// FuzzReadLog guards against a panic or an allocation driven by a length field,
// in damaged files and, with wrap, in frames with a valid checksum.
func FuzzReadLog(f *testing.F) {
	group := raft.Group{Servers: []raft.Server{{ID: "a", Address: "b", Voter: true}}}
	b := batch{hardState: &raft.HardState{Term: 2, Vote: "a"}, truncateFrom: 1, entries: []raft.Entry{
		{Term: 1, Index: 1, Type: raft.EntryGroup, Group: &group}, {Term: 2, Index: 2, Data: []byte("x")},
	}}
	payload, err := b.appendTo(nil)
	assert.NilError(f, err)
	valid := testSegment(payload)
	f.Add(payload, true)
	f.Add(valid, false)
	f.Add(valid[:len(valid)-3], false)
	f.Add(testSegment(payload, []byte{3, 0xff, 0xff, 0xff, 0x7f}), false)
	f.Add(append(bytes.Clone(valid), 1, 2, 3, 0, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff, 2), false)
	f.Fuzz(func(t *testing.T, data []byte, wrap bool) {
		if wrap {
			data = testSegment(data)
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		err := replayBytes(data)
		runtime.ReadMemStats(&after)
		limit := allocSlackBytes + allocBytesPerInputByte*uint64(len(data))
		assert.Assert(t, after.TotalAlloc-before.TotalAlloc <= limit, "%d bytes of input", len(data))
		var damage *CorruptError
		assert.Assert(t, err == nil || errors.As(err, &damage), "%v", err)
		assert.Assert(t, damage == nil || damage.Offset <= int64(len(data)))
	})
}

func replayBytes(data []byte) error {
	s, err := openSegment("file", data)
	if err != nil {
		return err
	}
	r := &replay{}
	if err := r.addSegment(s, s.header.identity, s.header.sequence); err != nil {
		return err
	}
	return r.readBatches(s, true)
}
