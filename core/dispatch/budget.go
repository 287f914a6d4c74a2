package dispatch

import "time"

const (
	// retryShare is the number of retries that each success allows.
	retryShare = 0.1
	// retryFloor is the number of retries per second that are allowed without successes.
	retryFloor = 5.0
	// retryBurst bounds the saved retries.
	retryBurst = 100.0
)

// budget is a token bucket for retries, filled by successes and slowly by time.
type budget struct {
	tokens float64
	filled time.Time
	// busy counts refusals for a full endpoint that were not queued again
	// yet. They are bounded by grants and cost no token.
	busy int
}

func (b *budget) refill(now time.Time) {
	if b.filled.IsZero() {
		b.filled = now
		b.tokens = retryBurst / 4
	}
	if now.After(b.filled) {
		b.tokens = min(retryBurst, b.tokens+retryFloor*now.Sub(b.filled).Seconds())
		b.filled = now
	}
}

func (b *budget) success() { b.tokens = min(retryBurst, b.tokens+retryShare) }

func (b *budget) take(now time.Time) bool {
	b.refill(now)
	if b.busy > 0 {
		b.busy--
		return true
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
