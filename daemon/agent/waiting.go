package agent

import (
	"slices"
	"time"
)

// slotWaitTimeout is how long a start waits for a slot before it is refused.
// Eight slots with tasks of 50 ms free one every 6 ms, so most starts that
// arrive just too early get one; a refusal would cost two wasted messages.
const slotWaitTimeout = 40 * time.Millisecond

// full reports whether a new start has to wait. The caller holds mu.
func (x *executor) full() bool { return x.table.Running()+x.reserved >= x.slots }

// canWait limits the starts that wait to a quarter of the slots, so that each
// has a fair chance of a slot within slotWaitTimeout. The caller holds mu.
func (x *executor) canWait() bool { return len(x.waiting) < max(1, x.slots/4) }

// awaitSlot blocks until a slot is free for this start, in order of arrival, or
// slotWaitTimeout has passed. The caller holds mu, which is released meanwhile. On
// true the slot is no longer reserved, and the caller takes it before it releases mu.
func (x *executor) awaitSlot() bool {
	reserved := make(chan struct{})
	x.waiting = append(x.waiting, reserved)
	x.mu.Unlock()
	timer := time.NewTimer(slotWaitTimeout)
	defer timer.Stop()
	select {
	case <-reserved:
	case <-timer.C:
	}
	x.mu.Lock()
	if i := slices.Index(x.waiting, reserved); i >= 0 {
		x.waiting = slices.Delete(x.waiting, i, i+1)
		return false
	}
	x.reserved--
	return true
}

// reserveForNext reserves a free slot for the start that has waited longest. The
// caller holds mu.
func (x *executor) reserveForNext() {
	if len(x.waiting) == 0 || x.full() {
		return
	}
	close(x.waiting[0])
	x.waiting = slices.Delete(x.waiting, 0, 1)
	x.reserved++
}
