package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadapulley/cicadapulley/core/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// TestDeadlineFollowsContact guards against runs that continue indefinitely while
// the agent cannot reach a leader.
func TestDeadlineFollowsContact(t *testing.T) {
	at := time.Unix(1000, 0)
	clock := NewEndpointClock(time.Second)
	clock.Observe(10*time.Second, at)
	assert.Assert(t, clock.Deadline(at, 0) < clock.At(at), "no contact yet")
	contact := 10 * time.Second
	assert.Equal(t, clock.Deadline(at, contact), 11*time.Second)
	assert.Equal(t, clock.Deadline(at.Add(time.Hour), contact), 10*time.Second+Grant)
}

// TestStaleRunsAreStoppedInTime guards against stops that are sent so late that
// the lease of other runs on the endpoint ends before the stops are answered.
func TestStaleRunsAreStoppedInTime(t *testing.T) {
	at := time.Unix(1000, 0)
	clock := NewEndpointClock(time.Second)
	clock.Observe(10*time.Second, at)
	assert.Assert(t, !clock.Stale(at, 10*time.Second))
	const stopsAnswered = 250 * time.Millisecond
	stale := 10*time.Second + Grant - stopsAnswered
	clock.Observe(stale, at.Add(stale-10*time.Second))
	assert.Assert(t, clock.Stale(at.Add(stale-10*time.Second), 10*time.Second))
}

// TestOvertakenReading guards against a late answer that sets the clock back.
func TestOvertakenReading(t *testing.T) {
	at := time.Unix(1000, 0)
	clock := NewEndpointClock(time.Second)
	clock.Observe(10*time.Second, at)
	clock.Observe(9*time.Second, at.Add(time.Millisecond))
	assert.Assert(t, clock.At(at.Add(time.Millisecond)) >= 10*time.Second)
}

// TestNoRunOutlivesItsLease guards against a task that starts elsewhere while its
// first run continues. ExpiresAfter after the leader's last answer, every deadline
// has passed: also with clocks that are 2% slow, late readings, lost renewals, and
// an agent whose own clock stands still while its VM is suspended.
func TestNoRunOutlivesItsLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := 1 - float64(rapid.IntRange(0, 20).Draw(t, "slow"))/1000
		start := time.Unix(1000, 0)
		endpointClock := func(at time.Time) time.Duration {
			return 50*time.Second + time.Duration(float64(at.Sub(start))*rate)
		}
		clock := NewEndpointClock(time.Second)
		now, suspended := start, time.Duration(0)
		agentNow := func() time.Time { return now.Add(-suspended) }
		clock.Observe(endpointClock(now), agentNow())
		var lastAnswer time.Time
		var contact, latest time.Duration
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				contact = clock.At(agentNow())
				lastAnswer = now
			case 1:
				late := time.Duration(rapid.IntRange(0, 100).Draw(t, "late")) * time.Millisecond
				clock.Observe(endpointClock(now.Add(-late)), agentNow())
			case 2:
				suspended += time.Duration(rapid.IntRange(0, 300).Draw(t, "suspended")) * time.Millisecond
				now = now.Add(50 * time.Millisecond)
			}
			latest = max(latest, clock.Deadline(agentNow(), contact))
		}
		if lastAnswer.IsZero() {
			return
		}
		expired := endpointClock(lastAnswer.Add(ExpiresAfter))
		assert.Assert(t, latest < expired, "deadline %v, lease expired at %v", latest, expired)
	})
}
