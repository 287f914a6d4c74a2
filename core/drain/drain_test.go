package drain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// TestLateRequestsFitIntoTheGracePeriod guards against a request that is taken late in a planned
// stop and cut off when the process ends (review/10).
func TestLateRequestsFitIntoTheGracePeriod(t *testing.T) {
	const grace = 6 * time.Second
	s := NewSchedule(start, grace)
	for at := time.Duration(0); at < grace; at += 10 * time.Millisecond {
		for _, longest := range []time.Duration{0, 150 * time.Millisecond, 1500 * time.Millisecond, 10 * time.Second} {
			if at < 3*time.Second || !s.Accepts(start.Add(at), longest) {
				continue
			}
			assert.Assert(t, at+longest <= grace-exitMargin, "a request of %s is taken %s after the start", longest, at)
		}
	}
	assert.Assert(t, s.Accepts(start.Add(3*time.Second), 1500*time.Millisecond), "there is time for it")
	assert.Assert(t, s.Accepts(start.Add(2*time.Second), 10*time.Second), "the balancer still sends connections")
}

// TestScheduleOfAnyGracePeriod guards against a schedule that ends after the process is killed, or
// whose phases are out of order, in a deployment with another grace period.
func TestScheduleOfAnyGracePeriod(t *testing.T) {
	for grace := 100 * time.Millisecond; grace < time.Minute; grace += 100 * time.Millisecond {
		s := NewSchedule(start, grace)
		assert.Assert(t, start.Before(s.LeaveRotation) && s.LeaveRotation.Before(s.CloseListener), "%s", grace)
		assert.Assert(t, s.CloseListener.Before(s.AnswerBy) && s.AnswerBy.Before(start.Add(grace)), "%s", grace)
	}
}
