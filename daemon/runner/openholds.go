package runner

import (
	"context"
	"sync"
	"time"
)

// openHolds are the holds of a session that wait for their answers. An endpoint may leave
// a hold unanswered; without a sign of it the hold keeps its place until its time-out, and
// beside a second one the ends of all runs are late (with 5% of the orders unanswered,
// ends became known 200 ms after they were listed).
type openHolds struct {
	mu   sync.Mutex
	open map[uint64]*openHold
}

type openHold struct {
	cancel    context.CancelFunc
	overtaken bool
	// timer cancels the hold, from the first listing that overtakes it on; nil before.
	timer *time.Timer
}

// begin adds a hold. The returned function removes it when the call has returned, and
// reports whether the hold was cancelled because another one had overtaken it.
func (h *openHolds) begin(number uint64, cancel context.CancelFunc) (finish func() (overtaken bool)) {
	hold := &openHold{cancel: cancel}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open == nil {
		h.open = map[uint64]*openHold{}
	}
	h.open[number] = hold
	return func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.open, number)
		if hold.timer != nil {
			hold.timer.Stop()
		}
		return hold.overtaken
	}
}

// cancelOvertaken cancels the holds that wait now and are still unanswered after a delay.
// The endpoint has listed new ends to another hold, and had the same ends for these. A later listing does not
// postpone that.
func (h *openHolds) cancelOvertaken(delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for number, hold := range h.open {
		if hold.timer == nil {
			hold.timer = time.AfterFunc(delay, func() { h.cancel(number, hold) })
		}
	}
}

func (h *openHolds) cancel(number uint64, hold *openHold) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open[number] == hold {
		hold.overtaken = true
		hold.cancel()
	}
}
