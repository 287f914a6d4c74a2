// Package boottime reads a clock that advances while the machine is suspended.
// Go's monotonic clock stops during suspension, so a lease measured with it
// would still look valid after the process that granted it has let it expire.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// epoch is an arbitrary date; only differences between times are meaningful.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// Now returns the epoch plus the time since the machine booted, including
// suspension, without a monotonic reading. It panics if the kernel has no such
// clock.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every supported kernel has CLOCK_BOOTTIME
	}
	return epoch.Add(time.Duration(ts.Nano()))
}
