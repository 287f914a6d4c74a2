// Package drain decides how an entry stops by plan: when it stops accepting connections, which
// requests it still takes, and when the last answer must be sent. It reads no clock.
package drain

import "time"

const (
	// balancerDelay is how long the balancer may send new connections to an entry that is no
	// longer ready: it checks readiness each second and removes an entry after two failed checks.
	balancerDelay = 2600 * time.Millisecond
	// closeDelay is how long callers with open connections are then asked to close them.
	closeDelay = 1500 * time.Millisecond
	// exitMargin is the part of the grace period that is kept for sending the last answers and
	// stopping the rest of the process.
	exitMargin = 500 * time.Millisecond
)

// Schedule is the schedule of a planned stop. The times are in ascending order.
type Schedule struct {
	// LeaveRotation is when the balancer sends no more new connections. Until then every request
	// is taken, since its caller can't avoid this entry.
	LeaveRotation time.Time
	// CloseListener is when no more connections are accepted.
	CloseListener time.Time
	// AnswerBy is when each remaining request is answered, whether its outcome is known or not.
	AnswerBy time.Time
}

// NewSchedule returns the schedule of a stop that begins at start. The process is killed once the
// grace period has passed. In a short period the phases shrink in proportion.
func NewSchedule(start time.Time, grace time.Duration) Schedule {
	total := max(grace-exitMargin, grace/2)
	leave := min(balancerDelay, total/2)
	closing := min(leave+closeDelay, total*3/4)
	return Schedule{LeaveRotation: start.Add(leave), CloseListener: start.Add(closing), AnswerBy: start.Add(total)}
}

// Accepts reports whether a request that arrives at now is taken. longest is the longest time after
// which its answer still has a value.
func (s Schedule) Accepts(now time.Time, longest time.Duration) bool {
	return now.Before(s.LeaveRotation) || !now.Add(longest).After(s.AnswerBy)
}
