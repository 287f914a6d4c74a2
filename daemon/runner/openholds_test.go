package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOvertakenHoldsHaveOneTimer guards against a timer for each listing of a hold that waits, against a later
// listing that postpones the cancellation, and against a timer that outlives its hold.
func TestOvertakenHoldsHaveOneTimer(t *testing.T) {
	var h openHolds
	cancelled := make(chan struct{})
	finish := h.begin(1, func() { close(cancelled) })
	h.cancelOvertaken(time.Millisecond)
	first := h.open[1].timer
	h.cancelOvertaken(time.Hour)
	assert.Equal(t, h.open[1].timer, first)
	<-cancelled
	assert.Assert(t, finish())

	finish = h.begin(2, func() { t.Error("a hold that has ended is cancelled") })
	h.cancelOvertaken(time.Hour)
	timer := h.open[2].timer
	assert.Assert(t, !finish())
	assert.Assert(t, !timer.Stop(), "the timer is still armed")
}
