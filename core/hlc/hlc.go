// Package hlc implements a hybrid logical clock. Its timestamps follow the
// physical clock, and an event that happens after another one in causal order
// gets a later timestamp, even if the clocks of their processes differ. The
// package reads no clock: the caller passes the physical time in.
package hlc

import (
	"cmp"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/cicadapulley/cicadapulley/core/invariant"
)

// counterBits is the width of the counter below the milliseconds.
const counterBits = 16

// maxMillis is the largest number of milliseconds that a timestamp can hold.
const maxMillis = 1<<48 - 1

// Timestamp is 48 bits of milliseconds since 1970 and a 16-bit counter.
// Timestamps are ordered as integers.
type Timestamp uint64

// New packs milliseconds since 1970 and a counter. Milliseconds beyond 48 bits
// are clamped to the largest that fits.
func New(millis uint64, counter uint16) Timestamp {
	return Timestamp(min(millis, maxMillis)<<counterBits | uint64(counter))
}

// fromTime returns the first timestamp of a physical time's millisecond. Times
// before 1970 count as 1970.
func fromTime(t time.Time) Timestamp {
	return New(uint64(max(0, t.UnixMilli())), 0)
}

// Millis returns the milliseconds since 1970.
func (t Timestamp) Millis() int64 { return int64(t >> counterBits) }

// Counter returns the position within the millisecond.
func (t Timestamp) Counter() uint16 { return uint16(t & math.MaxUint16) }

// Time returns the millisecond as a time in UTC.
func (t Timestamp) Time() time.Time { return time.UnixMilli(t.Millis()).UTC() }

// Compare returns -1, 0 or 1 if t is before, the same as or after u.
func (t Timestamp) Compare(u Timestamp) int { return cmp.Compare(t, u) }

// String returns the time in UTC and the counter, such as
// "2026-01-02T03:04:05.678Z+9". It is meant for display: the texts of timestamps
// of the same millisecond do not sort in the order of the timestamps.
func (t Timestamp) String() string {
	return fmt.Sprintf("%s+%d", t.Time().Format("2006-01-02T15:04:05.000Z07:00"), t.Counter())
}

// DriftError reports a remote timestamp that is too far ahead of the physical clock.
type DriftError struct {
	Remote Timestamp
	// Ahead is how far the remote timestamp is ahead, and Bound is how far it may
	// be, both in whole milliseconds.
	Ahead time.Duration
	Bound time.Duration
}

// Error implements error.
func (e *DriftError) Error() string {
	return fmt.Sprintf("remote timestamp %s is %s ahead of the physical clock, more than the bound of %s", e.Remote, e.Ahead, e.Bound)
}

// Clock is the hybrid logical clock of one process. It is safe for concurrent
// use.
type Clock struct {
	maxDrift time.Duration

	mu   sync.Mutex
	last Timestamp
}

// NewClock returns a clock that refuses remote timestamps that are more than
// maxDrift ahead of the physical clock. Without a bound, one process with a
// wrong clock would move the timestamps of all others.
func NewClock(maxDrift time.Duration) *Clock {
	return &Clock{maxDrift: maxDrift}
}

// Now returns the timestamp of an event at a physical time. It is after every
// timestamp that the clock returned or observed before. A full counter carries
// over into the next millisecond.
func (c *Clock) Now(physical time.Time) Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	invariant.Check(c.last < math.MaxUint64, invariant.InternalCounting, "hybrid logical clock has reached the largest timestamp")
	c.last = max(c.last+1, fromTime(physical))
	return c.last
}

// Observe merges the timestamp of a message that arrived at a physical time, so
// that later events get later timestamps. A timestamp too far ahead is refused
// with a *DriftError and does not change the clock.
func (c *Clock) Observe(physical time.Time, remote Timestamp) error {
	ahead := remote.Millis() - fromTime(physical).Millis()
	if ahead > c.maxDrift.Milliseconds() {
		return &DriftError{Remote: remote, Ahead: millisToDuration(ahead), Bound: c.maxDrift}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, remote)
	return nil
}

// millisToDuration converts milliseconds. A timestamp can hold more of them than a
// time.Duration, so the result is clamped to the largest that fits.
func millisToDuration(millis int64) time.Duration {
	const largest = math.MaxInt64 / int64(time.Millisecond)
	return time.Duration(min(millis, largest)) * time.Millisecond
}
