package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLateAfterFollowsTheAnswers guards against calls that wait a fixed time for an
// answer that is lost, many times longer than answers take, and against calls that are
// repeated because a peer has become slower.
func TestLateAfterFollowsTheAnswers(t *testing.T) {
	l := NewLatency(20*time.Millisecond, 130*time.Millisecond)
	assert.Equal(t, l.LateAfter(), 130*time.Millisecond)
	for range 50 {
		l.Observe(2 * time.Millisecond)
	}
	assert.Equal(t, l.LateAfter(), 20*time.Millisecond)
	for range 50 {
		l.Observe(40 * time.Millisecond)
	}
	assert.Assert(t, l.LateAfter() >= 40*time.Millisecond)
	for range 10 {
		l.Observe(time.Second)
	}
	assert.Equal(t, l.LateAfter(), 130*time.Millisecond)
}

// TestBudgetBoundsRepetitions guards against repetitions that multiply the calls to a
// peer that answers none.
func TestBudgetBoundsRepetitions(t *testing.T) {
	b := NewBudget(0.5, 4)
	taken := 0
	for range 1000 {
		b.Called()
		for b.Take() {
			taken++
		}
	}
	assert.Assert(t, taken >= 500 && taken <= 504, "%d repetitions of 1000 calls", taken)
}
