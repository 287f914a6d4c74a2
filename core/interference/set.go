package interference

import (
	"iter"
	"math/bits"
)

// Set is a set of queues.
type Set [maxQueues / 64]uint64

// Add adds a queue.
func (s *Set) Add(id QueueID) { s[id/64] |= 1 << (id % 64) }

// Remove removes a queue.
func (s *Set) Remove(id QueueID) { s[id/64] &^= 1 << (id % 64) }

// Empty reports whether the set has no queue.
func (s Set) Empty() bool { return s == Set{} }

// Intersect returns the queues that are in both sets.
func (s Set) Intersect(o Set) Set {
	for i := range s {
		s[i] &= o[i]
	}
	return s
}

// Without returns the queues that are not in the other set.
func (s Set) Without(o Set) Set {
	for i := range s {
		s[i] &^= o[i]
	}
	return s
}

// Contains reports whether the queue is in the set.
func (s Set) Contains(id QueueID) bool { return id != Untracked && s[id/64]&(1<<(id%64)) != 0 }

// All iterates over the queues in the order of their IDs.
func (s Set) All() iter.Seq[QueueID] {
	return func(yield func(QueueID) bool) {
		for i, word := range s {
			for ; word != 0; word &= word - 1 {
				if !yield(QueueID(i*64 + bits.TrailingZeros64(word))) {
					return
				}
			}
		}
	}
}

// Endpoint is what the table needs to know of an endpoint: its present runs and what was
// observed there recently. The zero value has neither.
type Endpoint struct {
	runs    int
	counts  [maxQueues]int32
	present Set
	// level is the recent mean of the observations on the endpoint, after the queues' own
	// levels, and queueLevels those of single queues after both.
	level       float64
	queueLevels [maxQueues]float32
}

// Start counts a run of a queue.
func (e *Endpoint) Start(id QueueID) {
	e.runs++
	if id == Untracked {
		return
	}
	e.counts[id]++
	e.present.Add(id)
}

// End counts a run of a queue no longer.
func (e *Endpoint) End(id QueueID) {
	e.runs--
	if id == Untracked {
		return
	}
	e.counts[id]--
	if e.counts[id] <= 0 {
		e.counts[id] = 0
		e.present.Remove(id)
	}
}

// Present returns the queues with a run on the endpoint.
func (e *Endpoint) Present() Set { return e.present }

// Count returns the number of runs of a queue.
func (e *Endpoint) Count(id QueueID) int { return int(e.counts[id]) }

// Neighbours returns what a run that starts now has beside it.
func (e *Endpoint) Neighbours() Neighbours { return Neighbours{Queues: e.present, runs: int32(e.runs)} }

// Neighbours are the runs on an endpoint when another one started.
type Neighbours struct {
	Queues Set
	runs   int32
}

// stratum returns the range of the number of neighbours, for a positive number.
func (n *Neighbours) stratum() int {
	return min(bits.Len32(uint32(n.runs))-1, strata-1)
}
