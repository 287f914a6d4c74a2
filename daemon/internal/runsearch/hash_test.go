package runsearch

import (
	"encoding/binary"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadapulley/cicadapulley/core/placement"
)

// hasher computes the hash of a world's state, private fields of the product's types included.
// Times count from the world's present one.
type hasher struct {
	now     time.Time
	mirror  bool
	buffer  []byte
	visited map[uintptr]int
}

// oldest is the age beyond which times are not told apart: no rule looks further back.
const oldest = 10 * time.Second

// skipped are fields that decide nothing: counts, tools, what explains a job's end, and indexes that
// follow from other fields.
var skipped = map[string]bool{
	"world.scenario": true, "world.metrics": true, "world.log": true, "world.trace": true, "world.now": true, "world.ticks": true,
	"agent.sessionTick": true, "Scheduler.log": true, "Scheduler.metrics": true, "Scheduler.waiters": true,
	"Planner.Stats": true, "Planner.pools": true, "job.history": true, "endpoint.leaves": true, "endpoint.dirty": true, "endpoint.reopening": true,
	"job.arrived": true, "job.due": true, "job.expiresAt": true,
}

var (
	timeType    = reflect.TypeFor[time.Time]()
	sessionType = reflect.TypeFor[placement.SessionID]()
)

// stateHash returns the same value for states that differ at most in which agent is which.
func (w *world) stateHash(h *hasher) uint64 {
	return min(h.hash(w, false), h.hash(w, true))
}

func (h *hasher) hash(w *world, mirror bool) uint64 {
	h.now, h.mirror = w.now, mirror
	h.buffer = h.buffer[:0]
	clear(h.visited)
	h.walk(reflect.ValueOf(w))
	return xxhash.Sum64(h.buffer)
}

func (h *hasher) int(n int64) { h.buffer = binary.AppendVarint(h.buffer, n) }

func (h *hasher) string(s string) {
	if h.mirror && len(s) >= 2 && (s[1] == 'a' || s[1] == 'w') {
		switch s[0] {
		case '1':
			s = "2" + s[1:]
		case '2':
			s = "1" + s[1:]
		}
	}
	h.int(int64(len(s)))
	h.buffer = append(h.buffer, s...)
}

func (h *hasher) walk(v reflect.Value) {
	t := v.Type()
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			h.buffer = append(h.buffer, 1)
		} else {
			h.buffer = append(h.buffer, 0)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		h.int(v.Int())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		n := v.Uint()
		if h.mirror && t == sessionType && n != 0 {
			n ^= 1
		}
		h.int(int64(n))
	case reflect.Float32, reflect.Float64:
		h.int(int64(v.Float() * 1e6))
	case reflect.String:
		h.string(v.String())
	case reflect.Pointer:
		h.pointer(v)
	case reflect.Interface:
		if v.IsNil() {
			h.int(0)
			return
		}
		h.string(v.Elem().Type().String())
		h.walk(v.Elem())
	case reflect.Slice, reflect.Array:
		h.list(v)
	case reflect.Map:
		h.mapping(v)
	case reflect.Struct:
		if t == timeType {
			h.time(v)
			return
		}
		for _, i := range fieldsOf(t) {
			h.walk(v.Field(i))
		}
	case reflect.Func, reflect.Chan:
	default:
		panic("kind " + v.Kind().String())
	}
}

// time hashes a time without a monotonic reading, as all of the model's are.
func (h *hasher) time(v reflect.Value) {
	nanos, seconds := int64(v.Field(0).Uint()), v.Field(1).Int()
	if seconds == 0 {
		h.int(1 << 60)
		return
	}
	zero := time.Time{}
	ago := time.Duration(seconds-int64(-zero.Unix())-h.now.Unix())*time.Second + time.Duration(nanos-int64(h.now.Nanosecond()))
	h.int(int64(max(ago, -oldest)))
}

func (h *hasher) pointer(v reflect.Value) {
	if v.IsNil() {
		h.int(0)
		return
	}
	at := v.Pointer()
	if n, ok := h.visited[at]; ok {
		h.int(int64(n))
		return
	}
	h.visited[at] = len(h.visited) + 1
	h.int(-1)
	h.walk(v.Elem())
}

func (h *hasher) list(v reflect.Value) {
	n := v.Len()
	h.int(int64(n))
	perAgent := v.Kind() == reflect.Array && n == agents && v.Type().Elem().Kind() != reflect.Bool && v.Type().Elem().Kind() != reflect.Int && v.Type().Elem().Kind() != reflect.Slice
	for i := range n {
		if h.mirror && perAgent {
			i = n - 1 - i
		}
		h.walk(v.Index(i))
	}
}

// mapping hashes a map in the order of its keys' encodings.
func (h *hasher) mapping(v reflect.Value) {
	h.int(int64(v.Len()))
	if v.Len() == 0 {
		return
	}
	type entry struct {
		key   string
		value reflect.Value
	}
	entries := make([]entry, 0, v.Len())
	start := len(h.buffer)
	for it := v.MapRange(); it.Next(); {
		h.walk(it.Key())
		entries = append(entries, entry{string(h.buffer[start:]), it.Value()})
		h.buffer = h.buffer[:start]
	}
	slices.SortFunc(entries, func(a, b entry) int { return strings.Compare(a.key, b.key) })
	for _, e := range entries {
		h.buffer = append(h.buffer, e.key...)
		h.walk(e.value)
	}
}

var fieldCache sync.Map

// fieldsOf returns the fields of a type that are hashed.
func fieldsOf(t reflect.Type) []int {
	if list, ok := fieldCache.Load(t); ok {
		return list.([]int)
	}
	list := []int{}
	for i := range t.NumField() {
		if !skipped[t.Name()+"."+t.Field(i).Name] {
			list = append(list, i)
		}
	}
	fieldCache.Store(t, list)
	return list
}
