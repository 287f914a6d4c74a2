package codec

import (
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/core/testfill"
)

// TestSnapshotKeepsEveryField guards against a field of the replicated state that a
// snapshot loses: a replica restored from it would differ from the others.
func TestSnapshotKeepsEveryField(t *testing.T) {
	want := testfill.Value[state.Snapshot]()
	data, err := EncodeSnapshot(want)
	assert.NilError(t, err)
	got, err := DecodeSnapshot(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
}

// TestCommandKeepsEveryField guards against a field of a command that its encoding
// loses.
func TestCommandKeepsEveryField(t *testing.T) {
	commandType := reflect.TypeFor[state.Command]()
	for i, want := range testfill.OneField[state.Command]() {
		t.Run(commandType.Field(i).Name, func(t *testing.T) {
			// All commands have the time.
			want.Now = time.UnixMilli(1)
			data, err := EncodeCommand(want)
			assert.NilError(t, err)
			got, err := DecodeCommand(data)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want)
		})
	}
}
