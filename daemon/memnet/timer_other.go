//go:build !linux

package memnet

import "time"

// timer waits with time.Sleep where the kernel's timers are not known.
type timer struct{}

func newTimer() *timer { return &timer{} }

// sleep blocks for d.
func (t *timer) sleep(d time.Duration) { time.Sleep(d) }

func (t *timer) close() {}
