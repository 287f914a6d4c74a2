package codec

import (
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/state"
)

// fill sets every field of a value to a non-zero value. Values of 8-bit enumerations
// are 1; times have whole milliseconds, as in messages.
func fill(v reflect.Value, next *uint64) {
	if v.Type() == reflect.TypeFor[time.Time]() {
		*next++
		v.Set(reflect.ValueOf(time.UnixMilli(int64(*next))))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), next)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), next)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), next)
	case reflect.Array:
		fill(v.Index(0), next)
	case reflect.Map:
		// The codec rebuilds map keys from the first field of the object, its name.
		v.Set(reflect.MakeMap(v.Type()))
		value := reflect.New(v.Type().Elem()).Elem()
		fill(value, next)
		v.SetMapIndex(value.Field(0), value)
	case reflect.String:
		v.SetString("x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Uint8:
		v.SetUint(1)
	case reflect.Uint32, reflect.Uint64:
		*next++
		v.SetUint(*next)
	default:
		*next++
		v.SetInt(int64(*next))
	}
}

// TestSnapshotKeepsEveryField guards against a field of the replicated state that a
// snapshot loses: a replica restored from it would differ from the others.
func TestSnapshotKeepsEveryField(t *testing.T) {
	var want state.Snapshot
	next := uint64(0)
	fill(reflect.ValueOf(&want).Elem(), &next)
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
	for i := range commandType.NumField() {
		t.Run(commandType.Field(i).Name, func(t *testing.T) {
			want := state.Command{Now: time.UnixMilli(1)}
			next := uint64(1)
			fill(reflect.ValueOf(&want).Elem().Field(i), &next)
			data, err := EncodeCommand(want)
			assert.NilError(t, err)
			got, err := DecodeCommand(data)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want)
		})
	}
}
