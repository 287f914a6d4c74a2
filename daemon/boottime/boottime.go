// Package boottime reads a clock that goes on while the machine is suspended.
// Go's monotonic clock stands still then, so a lease measured by it would
// outlive the promise that it rests on.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// epoch is an arbitrary date; only differences of times count.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// Now returns the time since the machine's start, suspension included, as a
// time without a monotonic reading.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the clock exists on every supported kernel
	}
	return epoch.Add(time.Duration(ts.Nano()))
}
