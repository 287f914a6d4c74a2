package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/core/verdict"
)

var start = time.Unix(1_700_000_000, 0)

// fleet returns n endpoints of 8 slots that serve the kinds of service "shop".
func fleet(n int, kinds ...string) []Endpoint {
	var list []Endpoint
	for i := range n {
		e := Endpoint{ID: fmt.Sprintf("w%04d", i), Slots: 8, DataCentre: fmt.Sprintf("dc%d", i%3)}
		for _, k := range kinds {
			e.Serves = append(e.Serves, state.ServedKind{Service: "shop", Kind: k})
		}
		list = append(list, e)
	}
	return list
}

// newItems returns n items of one job.
func newItems(caller, id, kind string, first uint64, n int, now time.Time) []Item {
	var items []Item
	for i := range n {
		items = append(items, Item{
			ID: first + uint64(i), Job: job.Key{Caller: caller, ID: id}, Task: i,
			Caller: caller, Service: "shop", Kind: kind, Enqueued: now,
		})
	}
	return items
}

func success(run time.Duration) Report {
	return Report{Verdict: verdict.Ran, OK: true, RunTime: run, Load: &Load{Slots: 8, Running: 0, Granted: 8}}
}

// Guards against items that are lost or started twice without any fault.
func TestEveryItemStartsOnce(t *testing.T) {
	s := New(Options{})
	s.SetEndpoints(start, fleet(3, "quote"))
	s.Enqueue(start, newItems("a", "j", "quote", 1, 50, start))
	started := map[uint64]bool{}
	now := start
	for len(started) < 50 {
		a, ok := s.Next(now)
		assert.Assert(t, ok)
		assert.Assert(t, !started[a.Item.ID])
		started[a.Item.ID] = true
		now = now.Add(50 * time.Millisecond)
		s.Done(now, a, success(50*time.Millisecond))
	}
	_, ok := s.Next(now)
	assert.Assert(t, !ok)
	assert.Equal(t, s.Snapshot().InFlight, 0)
}
