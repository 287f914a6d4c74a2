package dispatch

import "time"

const (
	// retryShare is the number of retries that each success allows.
	retriesPerSuccess = 0.1
	// retryFloor is the number of retries per second that are allowed without successes.
	minRetriesPerSecond = 5.0
	// retryBurst bounds the saved retries.
	retryBurst = 100.0
)

// budget is a token bucket for retries, filled by successes and slowly by time.
type retryBudget struct {
	tokens     float64
	lastRefill time.Time
	// busy counts refusals for a full endpoint that were not queued again
	// yet. They are bounded by grants and cost no token.
	busyRefusals int
}

func (b *retryBudget) refill(now time.Time) {
	if b.lastRefill.IsZero() {
		b.lastRefill = now
		b.tokens = retryBurst / 4
	}
	if now.After(b.lastRefill) {
		b.tokens = min(retryBurst, b.tokens+minRetriesPerSecond*now.Sub(b.lastRefill).Seconds())
		b.lastRefill = now
	}
}

func (b *retryBudget) recordSuccess() { b.tokens = min(retryBurst, b.tokens+retriesPerSuccess) }

func (b *retryBudget) take(now time.Time) bool {
	b.refill(now)
	if b.busyRefusals > 0 {
		b.busyRefusals--
		return true
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
