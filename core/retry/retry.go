// Package retry decides when a call counts as unanswered, and how many calls may be
// repeated. It reads no clock and makes no calls. Its types are safe for concurrent use.
package retry

import (
	"sync"
	"time"
)

const (
	// meanWeight and deviationWeight are the weights of one observation, and
	// deviations the number of deviations above the mean after which an answer is
	// late. They are those of TCP's retransmission timer (RFC 6298).
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 4
)

// Latency estimates from the latest answers of a peer when an answer is late.
type Latency struct {
	floor, ceiling time.Duration

	mu sync.Mutex
	// mean and deviation are in nanoseconds; mean is 0 before the first observation.
	mean, deviation float64
}

// NewLatency returns an estimate without observations. Its results lie between floor
// and ceiling.
func NewLatency(floor, ceiling time.Duration) *Latency {
	return &Latency{floor: floor, ceiling: ceiling}
}

// Observe records how long an answer took.
func (l *Latency) Observe(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sample := float64(max(took, 1))
	if l.mean == 0 {
		l.mean, l.deviation = sample, sample/2
		return
	}
	difference := sample - l.mean
	l.mean += meanWeight * difference
	l.deviation += deviationWeight * (max(difference, -difference) - l.deviation)
}

// LateAfter returns the time after which an answer is late. It is the ceiling before
// the first observation.
func (l *Latency) LateAfter() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mean == 0 {
		return l.ceiling
	}
	return min(max(time.Duration(l.mean+deviations*l.deviation), l.floor), l.ceiling)
}

// Budget bounds repeated calls to a share of all calls, so that repetitions don't add
// to an overload that makes answers late.
type Budget struct {
	share, limit float64

	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget that allows share repetitions for each call, and up to
// limit of them at a time.
func NewBudget(share float64, limit int) *Budget {
	return &Budget{share: share, limit: float64(limit), tokens: float64(limit)}
}

// Called counts a call that is not a repetition.
func (b *Budget) Called() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, b.limit)
}

// Take takes one repetition. It returns false if there is none left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
