// Package testfill supports tests that compare encodings with golden files from
// released versions: it builds values with every field set and reads the files.
package testfill

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/raft"
)

// Value returns a value whose fields are all set, at every depth. Numbers,
// strings and times are distinct and depend on the order of the fields, not on
// their names, so a renamed field does not change the value.
//
// Fields with one of the names in without are left unset at every depth, as in a value
// written by code that did not have them yet.
func Value[T any](without ...string) T {
	var v T
	FillWithout(&v, without...)
	return v
}

// OneField returns a value for each field of a struct, with only that field set.
// without is as for Value.
func OneField[T any](without ...string) []T {
	var list []T
	for field := range reflect.TypeFor[T]().Fields() {
		if slices.Contains(without, field.Name) {
			continue
		}
		var v T
		f := filler{without: without}
		f.fill(reflect.ValueOf(&v).Elem().FieldByIndex(field.Index))
		list = append(list, v)
	}
	return list
}

// Fill sets all fields of the value that pointer refers to, as Value does.
func Fill(pointer any) {
	var f filler
	f.fill(reflect.ValueOf(pointer).Elem())
}

// FillWithout sets all fields except those with one of the names.
func FillWithout(pointer any, names ...string) {
	f := filler{without: names}
	f.fill(reflect.ValueOf(pointer).Elem())
}

// filler generates distinct values by counting.
type filler struct {
	last uint64
	// without lists the names of fields that are left unset.
	without []string
}

func (f *filler) next() uint64 {
	f.last++
	return f.last
}

// nextEnum returns a value of an 8-bit enumeration: 1 or 2, which are valid in all
// of them except raft.EntryType, where storage refuses 2.
func (f *filler) nextEnum(t reflect.Type) uint64 {
	if t == reflect.TypeFor[raft.EntryType]() {
		return uint64(raft.EntryGroup)
	}
	return 1 + f.next()%2
}

func (f *filler) fill(v reflect.Value) {
	switch v.Type() {
	case reflect.TypeFor[time.Time]():
		v.Set(reflect.ValueOf(time.UnixMilli(int64(f.next())).UTC()))
		return
	case reflect.TypeFor[time.Duration]():
		// Some encodings have a resolution of a millisecond.
		v.SetInt(int64(time.Duration(f.next()) * time.Millisecond))
		return
	case reflect.TypeFor[json.RawMessage]():
		v.SetBytes(fmt.Appendf(nil, "%q", fmt.Sprint("s", f.next())))
		return
	case reflect.TypeFor[byte]():
		v.SetUint(f.next() % 256)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if !slices.Contains(f.without, v.Type().Field(i).Name) {
				f.fill(v.Field(i))
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.fillElements(v)
	case reflect.Array:
		f.fillElements(v)
	case reflect.Map:
		f.fillMap(v)
	case reflect.String:
		v.SetString(fmt.Sprint("s", f.next()))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Uint8:
		v.SetUint(f.nextEnum(v.Type()))
	case reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(f.next())
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.next()) + 0.5)
	default:
		v.SetInt(int64(f.next()))
	}
}

func (f *filler) fillElements(v reflect.Value) {
	for i := range v.Len() {
		f.fill(v.Index(i))
	}
}

// fillMap adds one element, so that the encoding does not depend on the order of
// iteration. The key is the first field of the element, as api/codec restores it.
func (f *filler) fillMap(v reflect.Value) {
	v.Set(reflect.MakeMap(v.Type()))
	value := reflect.New(v.Type().Elem()).Elem()
	f.fill(value)
	v.SetMapIndex(value.Field(0), value)
}

// Unset returns the paths of the fields that are zero, at every depth.
func Unset(v any) []string { return unset(reflect.ValueOf(v), "") }

func unset(v reflect.Value, path string) []string {
	if v.IsZero() {
		return []string{path}
	}
	var list []string
	switch v.Kind() {
	case reflect.Pointer:
		return unset(v.Elem(), path)
	case reflect.Struct:
		for i := range v.NumField() {
			list = append(list, unset(v.Field(i), path+"."+v.Type().Field(i).Name)...)
		}
	case reflect.Slice:
		for i := range v.Len() {
			list = append(list, unset(v.Index(i), fmt.Sprintf("%s[%d]", path, i))...)
		}
	}
	return list
}
