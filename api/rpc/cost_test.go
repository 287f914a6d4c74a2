package rpc

import (
	"runtime"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// allocated returns the bytes that f allocates.
func allocated(f func()) int {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return int(after.TotalAlloc - before.TotalAlloc)
}

// TestDecodedBytesBoundLists guards against lists of empty messages whose decoded form takes more than
// is counted for it, and against ordinary requests for which a multiple of their size is counted.
func TestDecodedBytesBoundLists(t *testing.T) {
	const path, count = "/twirp/cicadapulley.rpc.Control/FinishJob", 50_000
	q := &FinishJobRequest{Outcome: &Outcome{}}
	for range count {
		q.Outcome.Results = append(q.Outcome.Results, &TaskResult{})
	}
	data, err := proto.Marshal(q)
	assert.NilError(t, err)
	used := allocated(func() { assert.NilError(t, proto.Unmarshal(data, &FinishJobRequest{})) })
	counted := DecodedBytes(path, false, data)
	assert.Assert(t, counted >= used, "counted %d, used %d", counted, used)
	data, err = protojson.MarshalOptions{EmitUnpopulated: false}.Marshal(q)
	assert.NilError(t, err)
	decoded := &FinishJobRequest{}
	assert.NilError(t, protojson.Unmarshal(data, decoded))
	counted = DecodedBytes(path, true, data)
	assert.Assert(t, counted >= count*objectBytes, "counted %d", counted)

	large, err := proto.Marshal(&FinishJobRequest{Outcome: &Outcome{Results: []*TaskResult{{Output: make([]byte, 1<<20)}}}})
	assert.NilError(t, err)
	counted = DecodedBytes(path, false, large)
	assert.Assert(t, counted < 4<<10, "counted %d", counted)
}
