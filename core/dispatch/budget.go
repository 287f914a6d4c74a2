package dispatch

import "time"

const (
	// retriesPerSuccess is the number of retries that each success allows.
	retriesPerSuccess = 0.1
	// minRetriesPerSecond is the rate of retries that is allowed without successes.
	minRetriesPerSecond = 5.0
	// retryBurst is the maximum number of tokens.
	retryBurst = 100.0
)

// retryBudget is a token bucket for retries. Successes refill it, and so does
// time, slowly.
type retryBudget struct {
	tokens     float64
	lastRefill time.Time
	// busyRefusals counts the tasks that a full endpoint refused and that are
	// not queued again yet. Grants limit their number, and they cost no token.
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
