package work

import (
	"math"
	"time"
)

// maxMilliseconds bounds the durations in messages; longer ones count as this.
const maxMilliseconds = int64(math.MaxInt64 / time.Millisecond)

// Milliseconds converts a number of milliseconds.
func Milliseconds(n int64) time.Duration {
	return time.Duration(min(max(n, -maxMilliseconds), maxMilliseconds)) * time.Millisecond
}

// FractionalMilliseconds converts a number that may have a fraction. Go leaves the
// conversion of numbers out of range to the processor.
func FractionalMilliseconds(n float64) time.Duration {
	return time.Duration(min(max(n, -float64(maxMilliseconds)), float64(maxMilliseconds)-1) * float64(time.Millisecond))
}
