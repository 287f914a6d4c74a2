package slots

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against grants that exceed the slots by more than the number of entries,
// leave an entry without a grant, or stay with an entry that is no longer active.
func TestDividerStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 16).Draw(t, "slots")
		names := []string{"e1", "e2", "e3", "e4", "e5"}
		d := New(capacity)
		now := start
		running := map[string]int{}
		grants := map[string]int{}
		lastActive := map[string]time.Time{}
		total := 0
		entry := func(t *rapid.T) string { return rapid.SampledFrom(names).Draw(t, "entry") }
		// An entry stops using a grant before it has been inactive for EntryTTL.
		touch := func(name string) {
			if running[name] == 0 && now.Sub(lastActive[name]) >= EntryTTL {
				grants[name] = 1
			}
			lastActive[name] = now
		}
		requestGrant := func(t *rapid.T, name string) {
			touch(name)
			grants[name] = d.Granted(name, now)
			if grants[name] < 1 || grants[name] > capacity {
				t.Fatalf("granted %d of %d slots", grants[name], capacity)
			}
			sum, active := 0, 0
			for n, at := range lastActive {
				if now.Sub(at) < EntryTTL || running[n] > 0 {
					sum += grants[n]
					active++
				}
			}
			if sum > capacity+active {
				t.Fatalf("granted %d for %d slots and %d entries", sum, capacity, active)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				name := entry(t)
				touch(name)
				if total == capacity {
					d.Refused(name, rapid.IntRange(0, 900).Draw(t, "backlog"), now)
					return
				}
				d.Begin(name, rapid.IntRange(0, 900).Draw(t, "backlog"), now)
				running[name]++
				total++
			},
			"end": func(t *rapid.T) {
				name := entry(t)
				if running[name] == 0 {
					return
				}
				d.End(name, now)
				running[name]--
				total--
				requestGrant(t, name)
			},
			"ask": func(t *rapid.T) { requestGrant(t, entry(t)) },
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
		})
		now = now.Add(EntryTTL)
		for _, name := range names {
			for ; running[name] > 0; running[name]-- {
				d.End(name, now)
			}
		}
		now = now.Add(EntryTTL)
		assert.Equal(t, d.Entries(now), 0)
		assert.Equal(t, d.Granted("e1", now), capacity)
	})
}

// Guards against a division that ignores demand: an entry with a backlog gets the
// slots that others do not use, and two entries with a backlog get equal shares.
func TestGrantsFollowDemand(t *testing.T) {
	d := New(8)
	d.Begin("busy", 500, start)
	d.Begin("calm", 0, start)
	assert.Equal(t, d.Granted("calm", start), 1)
	assert.Equal(t, d.Granted("busy", start), 7)
	d.Begin("calm", 500, start)
	assert.Equal(t, d.Granted("calm", start), 1)
	assert.Equal(t, d.Granted("busy", start), 4)
	assert.Equal(t, d.Granted("calm", start), 4)
}
