package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cicadapulley/cicadapulley/core/verdict"
)

// maxEarlyExpiry is the longest time before its deadline at which an item may
// expire: half of the longest run time in the test.
const maxEarlyExpiry = 30 * time.Millisecond

// machine drives a Scheduler with random events and records independently which
// items are queued and in flight.
type machine struct {
	s             *Scheduler
	now           time.Time
	nextID        uint64
	queued        map[uint64]Item
	inFlight      map[uint64]Assignment
	busySlots     map[string]int
	slots         map[string]int
	draining      map[string]bool
	endpointCount int
	// departed holds the items in flight at endpoints that were removed from the
	// membership.
	departed map[uint64]bool
}

func newMachine(t *rapid.T) *machine {
	m := &machine{
		now: start, nextID: 1, queued: map[uint64]Item{}, inFlight: map[uint64]Assignment{},
		busySlots: map[string]int{}, slots: map[string]int{}, draining: map[string]bool{}, departed: map[uint64]bool{},
	}
	strategy := rapid.SampledFrom([]Strategy{Grants, Random, TwoChoices}).Draw(t, "strategy")
	m.s = New(Options{Strategy: strategy, Seed: rapid.Uint64().Draw(t, "seed"), DataCentre: "dc1"})
	m.changeMembership(t)
	return m
}

// changeMembership sets a random list of endpoints, some of them draining.
func (m *machine) changeMembership(t *rapid.T) {
	m.endpointCount = rapid.IntRange(1, 6).Draw(t, "endpoints")
	list := fleet(m.endpointCount, "quote", "batch")
	m.slots = map[string]int{}
	m.draining = map[string]bool{}
	for i := range list {
		list[i].Slots = rapid.IntRange(1, 8).Draw(t, "slots")
		list[i].Drain = rapid.IntRange(0, 5).Draw(t, "drain") == 0
		m.slots[list[i].ID] = list[i].Slots
		m.draining[list[i].ID] = list[i].Drain
	}
	for id, a := range m.inFlight {
		if _, kept := m.slots[a.Endpoint]; !kept {
			m.departed[id] = true
			delete(m.busySlots, a.Endpoint)
		}
	}
	m.s.SetEndpoints(m.now, list)
}

func (m *machine) enqueue(t *rapid.T) {
	caller := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller")
	id := rapid.SampledFrom([]string{"j1", "j2"}).Draw(t, "job")
	kind := rapid.SampledFrom([]string{"quote", "batch"}).Draw(t, "kind")
	items := newItems(caller, id, kind, m.nextID, rapid.IntRange(1, 30).Draw(t, "count"), m.now)
	m.nextID += uint64(len(items))
	deadline := rapid.IntRange(0, 3).Draw(t, "deadline")
	for i := range items {
		if deadline > 0 {
			items[i].Deadline = m.now.Add(time.Duration(deadline) * time.Second)
		}
		m.queued[items[i].ID] = items[i]
	}
	m.s.Enqueue(m.now, items)
}

// next takes one assignment and reports whether there was one.
func (m *machine) next(t *rapid.T) bool {
	a, ok := m.s.Next(m.now)
	if !ok {
		return false
	}
	m.removeQueued(t, a.Item)
	if !a.Item.Deadline.IsZero() && !a.Item.Deadline.After(m.now) {
		t.Fatalf("item %d started after its deadline", a.Item.ID)
	}
	m.busySlots[a.Endpoint]++
	if m.busySlots[a.Endpoint] > m.slots[a.Endpoint] {
		t.Fatalf("%d tasks in flight at %s with %d slots", m.busySlots[a.Endpoint], a.Endpoint, m.slots[a.Endpoint])
	}
	if m.draining[a.Endpoint] {
		t.Fatalf("start on draining endpoint %s", a.Endpoint)
	}
	m.inFlight[a.Item.ID] = a
	return true
}

func (m *machine) removeQueued(t *rapid.T, item Item) {
	if _, ok := m.queued[item.ID]; !ok {
		t.Fatalf("item %d was returned but is not queued", item.ID)
	}
	delete(m.queued, item.ID)
}

// lowestInFlight returns the assignment in flight that has the lowest item ID.
func (m *machine) lowestInFlight() (Assignment, bool) {
	var best Assignment
	for _, a := range m.inFlight {
		if best.Endpoint == "" || a.Item.ID < best.Item.ID {
			best = a
		}
	}
	return best, best.Endpoint != ""
}

func (m *machine) done(t *rapid.T) {
	a, ok := m.lowestInFlight()
	if !ok {
		return
	}
	r := rapid.SampledFrom([]Report{
		{Verdict: verdict.Ran, OK: true, RunTime: 60 * time.Millisecond},
		{Verdict: verdict.Ran, Code: verdict.CodeEndpointFailed, RunTime: time.Millisecond},
		{Verdict: verdict.MayHaveRun, Code: verdict.CodeEndpointLost},
		{Verdict: verdict.NotRun, Code: verdict.CodeEndpointBusy},
		{Verdict: verdict.NotRun, Code: verdict.CodeLeaseExpired},
		{Verdict: verdict.MayHaveRun, Code: verdict.CodeDeadline},
	}).Draw(t, "report")
	if rapid.Bool().Draw(t, "with load") {
		slots := m.slots[a.Endpoint]
		r.Load = &Load{Slots: slots, Running: rapid.IntRange(0, slots).Draw(t, "running"),
			Granted: rapid.IntRange(0, slots+1).Draw(t, "granted")}
	}
	m.finish(a, r)
	if r.Verdict == verdict.NotRun && m.s.Requeue(m.now, a.Item) {
		m.queued[a.Item.ID] = a.Item
	}
}

func (m *machine) finish(a Assignment, r Report) {
	delete(m.inFlight, a.Item.ID)
	if !m.departed[a.Item.ID] {
		m.busySlots[a.Endpoint]--
	}
	delete(m.departed, a.Item.ID)
	m.s.Done(m.now, a, r)
	m.s.Done(m.now, a, r)
}

func (m *machine) remove(t *rapid.T) {
	items := newItems(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"),
		rapid.SampledFrom([]string{"j1", "j2"}).Draw(t, "job"), "", 0, 1, m.now)
	key := items[0].Job
	for _, item := range m.s.RemoveJob(key) {
		if item.Job != key {
			t.Fatalf("removed item %d of job %s", item.ID, item.Job)
		}
		m.removeQueued(t, item)
	}
	for _, item := range m.queued {
		if item.Job == key {
			t.Fatalf("item %d of removed job %s is still queued", item.ID, key)
		}
	}
}

func (m *machine) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
	m.collectExpired(t)
}

func (m *machine) collectExpired(t *rapid.T) {
	for _, item := range m.s.TakeExpired(m.now) {
		if item.Deadline.IsZero() || item.Deadline.Add(-maxEarlyExpiry).After(m.now) {
			t.Fatalf("item %d expired too early", item.ID)
		}
		m.removeQueued(t, item)
	}
}

// check compares the scheduler's counters with the machine's records.
func (m *machine) check(t *rapid.T) {
	st := m.s.Snapshot()
	expired := 0
	for _, n := range m.s.expired {
		if n.expired {
			expired++
		}
	}
	if st.Queued+expired != len(m.queued) || st.InFlight != len(m.inFlight) {
		t.Fatalf("scheduler has %d queued, %d in flight; expected %d, %d",
			st.Queued, st.InFlight, len(m.queued), len(m.inFlight))
	}
	quarantined := 0
	for _, e := range st.Endpoints {
		if e.InFlight != m.busySlots[e.ID] {
			t.Fatalf("endpoint %s has %d in flight, expected %d", e.ID, e.InFlight, m.busySlots[e.ID])
		}
		if e.Quarantined {
			quarantined++
		}
	}
	free := 0
	for _, e := range m.s.endpoints {
		free += e.freeSlots
	}
	if free != m.s.freeSlots {
		t.Fatalf("scheduler counts %d free slots, expected %d", m.s.freeSlots, free)
	}
	if 2*quarantined > m.endpointCount {
		t.Fatalf("%d of %d endpoints are quarantined", quarantined, m.endpointCount)
	}
}

// drain lets all tasks succeed and requires that the queue becomes empty: health,
// grants and backoffs may delay tasks, but not for ever.
func (m *machine) drain(t *rapid.T) {
	for id := range m.draining {
		m.draining[id] = false
	}
	list := fleet(m.endpointCount, "quote", "batch")
	for i := range list {
		list[i].Slots = m.slots[list[i].ID]
	}
	m.s.SetEndpoints(m.now, list)
	for step := 0; len(m.queued)+len(m.inFlight) > 0; step++ {
		if step > 10_000 {
			t.Fatalf("%d items are still queued", len(m.queued))
		}
		m.collectExpired(t)
		for m.next(t) {
		}
		if a, ok := m.lowestInFlight(); ok {
			m.now = m.now.Add(time.Millisecond)
			slots := m.slots[a.Endpoint]
			m.finish(a, Report{Verdict: verdict.Ran, OK: true, RunTime: 50 * time.Millisecond,
				Load: &Load{Slots: slots, Granted: slots}})
			continue
		}
		if wake := m.s.NextWake(m.now); wake.After(m.now) {
			m.now = wake
		} else if len(m.queued) > 0 && wake.IsZero() {
			t.Fatalf("%d items wait without a wake-up", len(m.queued))
		}
	}
}

// Guards against lost or duplicated items, starts beyond the slots or on
// draining endpoints, wrong counters, and queues that never become empty.
func TestSchedulerStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"membership": m.changeMembership,
			"enqueue":    m.enqueue,
			"next":       func(t *rapid.T) { m.next(t) },
			"done":       m.done,
			"remove":     m.remove,
			"pass":       m.advance,
			"":           m.check,
		})
		m.drain(t)
	})
}
