package dispatch

import (
	"math"
	"math/bits"

	"github.com/cicadapulley/cicadapulley/core/state"
)

const (
	// bucketWidth is the width of a bucket in the logarithm of the speed.
	// Endpoints within 16% of each other count as equally fast.
	bucketWidth = 0.15
	bucketCount = 48
)

// bucketOf returns the bucket of a speed; a higher bucket is faster.
func bucketOf(logSpeed float64) int {
	b := int(math.Round(logSpeed/bucketWidth)) + bucketCount/2
	return min(max(b, 0), bucketCount-1)
}

// bucketSet holds endpoints in buckets by speed, so that finding the fastest
// takes constant time for any number of endpoints.
type bucketSet struct {
	buckets [bucketCount][]*endpoint
	// mask has a bit for each bucket that is not empty.
	mask uint64
	size int
}

// fastestBelow returns the fastest non-empty bucket below a limit, -1 if there
// is none.
func (s *bucketSet) fastestBelow(limit int) int {
	return bits.Len64(s.mask&(1<<uint(limit)-1)) - 1
}

func (s *bucketSet) insert(e *endpoint, bucket int) {
	e.set = s
	e.bucket = bucket
	e.position = len(s.buckets[bucket])
	s.buckets[bucket] = append(s.buckets[bucket], e)
	s.mask |= 1 << uint(bucket)
	s.size++
}

func (s *bucketSet) remove(e *endpoint) {
	list := s.buckets[e.bucket]
	last := len(list) - 1
	list[e.position] = list[last]
	list[e.position].position = e.position
	list[last] = nil
	s.buckets[e.bucket] = list[:last]
	if last == 0 {
		s.mask &^= 1 << uint(e.bucket)
	}
	s.size--
	e.set = nil
}

// pool holds the endpoints that serve the same kinds with the same capacity.
// For the choice of an endpoint they differ only in speed, load and health.
type pool struct {
	signature string
	capacity  state.Resources
	members   map[string]*endpoint
	// ready holds endpoints on which a task may start now.
	ready bucketSet
	// speculative holds endpoints without a free granted slot that probably
	// have an idle one.
	speculative bucketSet
}

// move moves an endpoint to a set, nil for none, and to the bucket of its
// speed.
func (p *pool) move(e *endpoint, set *bucketSet) {
	bucket := bucketOf(e.effectiveLogSpeed())
	if e.set == set && (set == nil || e.bucket == bucket) {
		return
	}
	if e.set != nil {
		e.set.remove(e)
	}
	if set != nil {
		set.insert(e, bucket)
	}
}
