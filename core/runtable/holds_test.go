package runtable

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestHoldsFollowUnansweredOnes guards against ends that become known late because all
// concurrent holds wait for answers that never come, and against holds that stay more after
// the endpoint answers all of them again.
func TestHoldsFollowUnansweredOnes(t *testing.T) {
	table := New(Options{MaxHold: time.Second})
	at := time.Unix(1000, 0)
	added := 0
	for range 10 {
		if table.AddHold(at) {
			added++
		}
	}
	assert.Equal(t, added, maxConcurrentHolds-ConcurrentHolds)
	assert.Assert(t, !table.DropHold(at.Add(extraHoldPeriod-1)), "holds were unanswered a moment ago")
	at = at.Add(extraHoldPeriod)
	assert.Assert(t, table.DropHold(at))
	assert.Assert(t, table.DropHold(at))
	assert.Assert(t, table.AddHold(at), "a dropped hold can be added again")
}

// TestSilenceCountsAllConcurrentHolds guards against an endpoint that is taken for
// unreachable because it has left one answer out on each of several concurrent holds.
func TestSilenceCountsAllConcurrentHolds(t *testing.T) {
	at := time.Unix(1000, 0)
	missesUntilSilent := func(table *Table) int {
		for n := 1; ; n++ {
			if table.MissHold(at).BecameSilent {
				return n
			}
		}
	}
	assert.Equal(t, missesUntilSilent(New(Options{MaxHold: time.Second})), silentAfterRounds*ConcurrentHolds)
	more := New(Options{MaxHold: time.Second})
	more.AddHold(at)
	assert.Equal(t, missesUntilSilent(more), silentAfterRounds*(ConcurrentHolds+1))
}
