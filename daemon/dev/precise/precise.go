// Package precise sleeps to within about 0.1 ms. The runtime's timers wake an
// idle process up to a millisecond late, which is twice the modelled delay of
// a link between data centres. It is only for models: a sleep blocks a thread.
package precise

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// timerSlack is how late the runtime's timers may be.
const timerSlack = 1500 * time.Microsecond

// Sleep blocks for d.
func Sleep(d time.Duration) {
	due := time.Now().Add(d)
	if d > timerSlack {
		time.Sleep(d - timerSlack)
	}
	sleepUntil(due)
}

// SleepContext blocks for d or until ctx ends, and reports whether ctx has not
// ended. It returns up to 1.5 ms after the end of ctx.
func SleepContext(ctx context.Context, d time.Duration) bool {
	due := time.Now().Add(d)
	if d > timerSlack {
		timer := time.NewTimer(d - timerSlack)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
		}
	}
	sleepUntil(due)
	return ctx.Err() == nil
}

// sleepUntil blocks the thread until due.
func sleepUntil(due time.Time) {
	left := time.Until(due)
	if left <= 0 {
		return
	}
	ts := unix.NsecToTimespec(left.Nanoseconds())
	// An interrupted sleep ends early, which only makes the model's delay shorter.
	_ = unix.Nanosleep(&ts, nil)
}
