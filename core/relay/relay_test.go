package relay

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// world is a planner with the time and the entries of a test.
type world struct {
	*Planner
	now     time.Time
	entries []Entry
}

func newWorld(agents int, entries ...Entry) *world {
	w := &world{Planner: New(), now: time.Unix(1000, 0), entries: entries}
	for i := range agents {
		w.Enrol(w.now, vm(i), vm(i)+":1")
	}
	return w
}

func vm(i int) string { return fmt.Sprintf("agent-%04d", i) }

// after returns the orders that are due after some time.
func (w *world) after(d time.Duration) []Order {
	w.now = w.now.Add(d)
	return w.Plan(w.now, w.entries)
}

// delays returns the times between the orders for one agent.
func (w *world) delays(count int) (list []time.Duration, entries []string) {
	last := w.now
	for len(list) < count {
		if orders := w.after(10 * time.Millisecond); len(orders) > 0 {
			list = append(list, w.now.Sub(last))
			entries = append(entries, orders[0].Entry)
			last = w.now
		}
	}
	return list, entries
}

var (
	one   = Entry{VM: "e1", Limit: 16}
	two   = Entry{VM: "e2", Limit: 16}
	three = Entry{VM: "e3", Limit: 16}
)

// TestSpreadAndLimit guards against one entry that carries all relays, and against more
// relays on an entry than its limit.
func TestSpreadAndLimit(t *testing.T) {
	w := newWorld(100, one, two, Entry{VM: "e3", Limit: 4})
	assert.Equal(t, len(w.after(90*time.Millisecond)), 0, "a restart reconnects in that time")
	perEntry := map[string]int{}
	for i, o := range w.after(10 * time.Millisecond) {
		perEntry[o.Entry]++
		assert.Equal(t, o.Address, o.VM+":1")
		w.Opened(w.now, o.VM, ConnectionID(i), o.Entry)
	}
	assert.DeepEqual(t, perEntry, map[string]int{"e1": 16, "e2": 16, "e3": 4})
	assert.Equal(t, w.Relayed(), 36)
	assert.Equal(t, len(w.after(time.Second)), 0, "there is no room for the others")

	few := newWorld(10, one, two)
	perEntry = map[string]int{}
	for _, o := range few.after(time.Second) {
		perEntry[o.Entry]++
	}
	assert.DeepEqual(t, perEntry, map[string]int{"e1": 5, "e2": 5})
	assert.DeepEqual(t, []int{Limit(-1), Limit(0), Limit(3)}, []int{0, 16, 3})
}

// TestAttemptsAndDelays guards against an agent that is given up because one entry does not
// reach it, and against dials without end to a VM that is down.
func TestAttemptsAndDelays(t *testing.T) {
	w := newWorld(1, one, two)
	delays, entries := w.delays(8)
	ms := func(n time.Duration) time.Duration { return n * time.Millisecond }
	assert.DeepEqual(t, delays, []time.Duration{ms(100), ms(400), ms(800), ms(1200), ms(2000), ms(3600), ms(5400), ms(5400)})
	for i := 1; i < len(entries); i++ {
		assert.Assert(t, entries[i] != entries[i-1], "another entry is chosen: %v", entries)
	}
	w.after(time.Second) // the attempt fails
	w.entries = append(w.entries, three)
	assert.Equal(t, w.after(0)[0].Entry, "e3", "a new entry is tried at once")
}

// TestRelayThatEndsSoon guards against an agent whose relay ends again and again and is
// renewed without a delay.
func TestRelayThatEndsSoon(t *testing.T) {
	w := newWorld(1, one)
	orders, id := 0, ConnectionID(0)
	for range 1000 {
		for _, o := range w.after(10 * time.Millisecond) {
			orders++
			id++
			w.Opened(w.now, o.VM, id, o.Entry)
			w.Closed(w.now, o.VM, id)
		}
	}
	assert.Assert(t, orders <= 6, "%d orders in 10 s", orders)
	w.Opened(w.now, vm(0), 5000, "")
	w.Used(w.now, vm(0), 5000)
	w.now = w.now.Add(steadyTime)
	w.Closed(w.now, vm(0), 5000)
	assert.Equal(t, len(w.after(reconnectTime)), 1, "failures before a lasting connection are forgotten")
}

// TestEntryLost guards against an agent that waits for an entry which is gone.
func TestEntryLost(t *testing.T) {
	w := newWorld(1, one)
	assert.Equal(t, len(w.after(reconnectTime)), 1)
	w.entries = nil
	assert.Equal(t, len(w.after(50*time.Millisecond)), 0, "no entry")
	w.entries = []Entry{two}
	assert.Equal(t, w.after(0)[0].Entry, "e2")
	w.Opened(w.now, vm(0), 1, "e2")
	w.now = w.now.Add(time.Minute)
	w.Closed(w.now, vm(0), 1)
	w.entries = []Entry{one, two} // the end of the relay may be seen before that of its entry
	assert.Equal(t, w.after(reconnectTime)[0].Entry, "e1")
}

// TestConnectedAgentsAreNotRelayed guards against relays for agents that have a connection
// or are no longer enrolled, and against connections that only seem to work.
func TestConnectedAgentsAreNotRelayed(t *testing.T) {
	w := newWorld(4, one)
	w.Opened(w.now, vm(0), 1, "")
	w.Used(w.now, vm(0), 1)
	w.Opened(w.now.Add(-unusedTimeout), vm(1), 2, "") // its endpoint has not announced itself
	w.Opened(w.now, vm(2), 3, "")                     // it may not hear the leader
	w.Remove(vm(3))
	orders := w.after(reconnectTime)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].VM, vm(2))
	w.after(unusedTimeout)
	assert.Assert(t, !w.Waiting(), "a connection that has lasted works")

	w.Opened(w.now, vm(0), 4, "e1")
	w.Closed(w.now, vm(0), 1)
	assert.Assert(t, !w.Waiting(), "the relayed connection is one")
	w.Opened(w.now, vm(0), 5, "")
	w.Closed(w.now, vm(0), 4)
	assert.Assert(t, w.Waiting(), "the direct one has not been used yet")
	w.Used(w.now, vm(0), 5)
	assert.Assert(t, !w.Waiting())
	assert.Equal(t, w.Relayed(), 0)
}

// TestSilentConnectionIsRelayedBeforeItEnds guards against an agent that stays unused until its
// connection is given up, and against a relay for one that was silent for a moment only.
func TestSilentConnectionIsRelayedBeforeItEnds(t *testing.T) {
	w := newWorld(1, one, two)
	w.Opened(w.now, vm(0), 1, "")
	w.Used(w.now, vm(0), 1)
	w.after(time.Minute)
	w.SetSilent(w.now, vm(0), 1, true)
	assert.Equal(t, len(w.after(0)), 1)
	w.Opened(w.now, vm(0), 2, "e1")
	w.Closed(w.now, vm(0), 1)
	assert.Assert(t, !w.Waiting())
	w.SetSilent(w.now, vm(0), 2, true)
	assert.Assert(t, w.Waiting())
	w.SetSilent(w.now, vm(0), 2, false)
	assert.Assert(t, !w.Waiting())
	w.SetSilent(w.now, vm(0), 3, true)
	assert.Assert(t, !w.Waiting(), "a connection that has ended")
}

// BenchmarkPlan measures the tick of a leader with 1,500 agents, of which some are waiting.
func BenchmarkPlan(b *testing.B) {
	for _, waiting := range []int{0, 17, 750} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			w := newWorld(1500)
			for i := range 20 {
				w.entries = append(w.entries, Entry{VM: fmt.Sprint("e", i), Limit: 16})
			}
			for i := range 1500 - waiting {
				w.Opened(w.now, vm(i), ConnectionID(i), "")
				w.Used(w.now, vm(i), ConnectionID(i))
			}
			for b.Loop() {
				if w.Waiting() {
					w.after(50 * time.Millisecond)
				}
			}
		})
	}
}
