package runtable

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
)

func runOf(job string, number uint64) work.Run {
	return work.Run{Task: work.TaskID{Job: work.JobID(job)}, Number: number}
}

var (
	someRun  = runOf("a", 1)
	someTime = time.Unix(1_000_000, 0)
)

func newTable() *Table {
	return New(Options{Fence: 7, MaxHold: time.Second, Records: NewRecords()})
}

// TestOvertakenListingEndsNoRun guards against a task that runs twice at the same time (review/8): the
// answer to one hold, given before a late start was carried out, arrives after the answer to another
// one that lists the run, so that the run seems to have vanished.
func TestOvertakenListingEndsNoRun(t *testing.T) {
	for name, numbers := range map[string][2]uint64{"the earlier hold is overtaken": {2, 1}, "the later hold is executed first": {1, 2}} {
		t.Run(name, func(t *testing.T) {
			table := newTable()
			table.holdsSent = 2
			table.runs[someRun] = &run{state: unanswered}
			table.ApplyListing(someTime, numbers[0], Listing{Clock: 2 * time.Second, Running: []placement.ListedRun{{Run: someRun}}})
			c := table.ApplyListing(someTime, numbers[1], Listing{Clock: time.Second, Ends: []End{{Number: 1, End: work.End{Run: runOf("b", 3), Reason: work.Done}}}})
			assert.Equal(t, len(c.Stops), 0)
			for _, r := range c.Reports {
				assert.Equal(t, len(r.Vanished), 0, "the run is listed by the newer answer")
				assert.Equal(t, len(r.Ends), 1, "its ends count")
			}
			assert.Equal(t, len(c.Reports), 1)
			assert.Equal(t, len(table.running), 1, "the newer listing stays")
			table.holdsSent = 3
			c = table.ApplyListing(someTime, 3, Listing{Clock: 3 * time.Second})
			assert.Equal(t, len(c.Reports[Owner{}].Vanished), 1, "a newer listing counts")
		})
	}
}

// TestTakenOverRunsTellOfTheirEntry guards against a leader that lets the run of an entry go on for
// longer than the entry, out of contact, takes it to go on.
func TestTakenOverRunsTellOfTheirEntry(t *testing.T) {
	records := NewRecords()
	leaderless := New(Options{Fence: 7, MaxHold: time.Second, Records: records})
	leaderless.Begin(someTime, Listing{Clock: time.Second})
	entry := NewScheduler(Owner{VM: "entry", Period: 1}, 1)
	leaderless.Join(someTime, entry)
	ping := leaderless.Ping(someTime, entry)
	leaderless.Pong(someTime.Add(5*time.Millisecond), entry, ping.Sequence)
	_, refusal := leaderless.AdmitStart(someTime, entry, placement.Order{Run: someRun})
	assert.Equal(t, refusal, placement.Refusal(0))
	leaderless.StartAnswered(someTime, someRun, Answer{Verdict: Done, Clock: time.Second})

	listing := Listing{Clock: 2 * time.Second, Running: []placement.ListedRun{{Run: someRun}}}
	takenOver := New(Options{Fence: 8, MaxHold: time.Second, Records: records, Leader: NewScheduler(Owner{}, 8)})
	list := takenOver.Begin(someTime.Add(800*time.Millisecond), listing).Running
	assert.Equal(t, list[0].OwnerSilence, 800*time.Millisecond)
	next := New(Options{Fence: 9, MaxHold: time.Second, Records: records, Leader: NewScheduler(Owner{}, 9)})
	list = next.Begin(someTime.Add(900*time.Millisecond), listing).Running
	assert.Equal(t, list[0].OwnerSilence, time.Duration(0), "the earlier leader owned it since")
}

// TestCutListOfEndsEndsNoRun guards against a task that starts again after its end: an endpoint lists 500
// ends at a time, and a run whose end came after them was taken for vanished, or for never started.
func TestCutListOfEndsEndsNoRun(t *testing.T) {
	table := newTable()
	states := map[work.Run]runState{runOf("confirmed", 1): confirmed, runOf("unanswered", 2): unanswered, runOf("stopped", 3): stopped}
	for r, state := range states {
		table.runs[r] = &run{state: state}
	}
	l := Listing{Clock: time.Second}
	for n := range uint64(maxListedEnds) {
		l.Ends = append(l.Ends, End{Number: n + 1, End: work.End{Run: runOf("b", n+10), Reason: work.Done}})
	}
	table.holdsSent = 1
	c := table.ApplyListing(someTime, 1, l)
	assert.Equal(t, len(c.Stops), 0)
	assert.Equal(t, len(c.Reports[Owner{}].Vanished)+len(c.Reports[Owner{}].Refused), 0, "their ends may follow")
	table.holdsSent = 2
	c = table.ApplyListing(someTime, 2, Listing{Clock: 2 * time.Second, Ends: []End{{Number: maxListedEnds + 1, End: work.End{Run: runOf("confirmed", 1), Reason: work.Done}}}})
	assert.Equal(t, len(c.Reports[Owner{}].Ends), 1)
	assert.Equal(t, len(c.Reports[Owner{}].Vanished), 0)
	assert.Equal(t, len(c.Reports[Owner{}].Refused), 1, "a stopped run that is in no list never started")
}

// TestDrainedAgentAdmitsNoStart guards against starts in a drained data centre, against an
// agent that loses the drain to older ones, and against one that refuses starts for the rest
// of its session or because of another data centre.
func TestDrainedAgentAdmitsNoStart(t *testing.T) {
	table := newTable()
	table.Begin(someTime, Listing{Clock: time.Second})
	entry := NewScheduler(Owner{VM: "entry", Period: 1}, 1)
	table.Join(someTime, entry)
	ping := table.Ping(someTime, entry)
	table.Pong(someTime.Add(time.Millisecond), entry, ping.Sequence)
	drains := NewDrains("east")
	for n, c := range []struct {
		received work.DataCentreDrains
		refusal  placement.Refusal
	}{
		{work.DataCentreDrains{}, 0},
		{work.DataCentreDrains{Revision: 4, DataCentres: []string{"east"}}, placement.RefusedDrained},
		{work.DataCentreDrains{Revision: 3}, placement.RefusedDrained},
		{work.DataCentreDrains{Revision: 5, DataCentres: []string{"west"}}, 0},
	} {
		drains.Received(c.received)
		table.SetDrained(drains.Drained())
		_, refusal := table.AdmitStart(someTime.Add(2*time.Millisecond), entry, placement.Order{Run: runOf("a", uint64(n+1))})
		assert.Equal(t, refusal, c.refusal, "%+v", c.received)
	}
	unknown := NewDrains("")
	unknown.Received(work.DataCentreDrains{Revision: 4, DataCentres: []string{"east"}})
	assert.Assert(t, !unknown.Drained())
}

// TestSlowdownIsThatOfAnIncarnation guards against a restarted endpoint that starts with what a leader has
// learned of the incarnation before, and against a slowdown that ends with its session.
func TestSlowdownIsThatOfAnIncarnation(t *testing.T) {
	records := NewRecords()
	reported := func(startTimeMS int64, learned int) int {
		leader := NewScheduler(Owner{}, 1)
		table := New(Options{Fence: 7, MaxHold: time.Second, Records: records, Leader: leader, Incarnation: work.Incarnation{Instance: "i", StartTimeMS: startTimeMS}})
		slowdown := table.Begin(someTime, Listing{Clock: time.Second}).Endpoint.Slowdown
		table.SetSlowdown(leader, learned)
		return slowdown
	}
	assert.Equal(t, reported(1, 1300), 0)
	assert.Equal(t, reported(1, 0), 1300, "0 stands for no change")
	assert.Equal(t, reported(1, 0), 1300)
	assert.Equal(t, reported(2, 1500), 0)
	assert.Equal(t, reported(1, 0), 0, "only the latest incarnation is kept")
}
