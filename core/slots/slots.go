// Package slots divides an agent's slots among entries in advance, so that an
// entry starts a task with one round trip and without a probe. A grant is
// advisory: the agent itself ensures that running tasks never exceed the slots.
// Slots and grants are counts of tasks. The caller serialises all methods.
package slots

import (
	"math"
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/invariant"
)

const (
	// EntryTTL is how long an entry without running tasks keeps its grant. It
	// is longer than the time after which an entry stops using one, so that no
	// slot is granted twice for long.
	EntryTTL = time.Second
	// backlogHalfLife is the time after which a reported backlog counts half,
	// because the entry may have sent its tasks to other agents since.
	backlogHalfLife = 100 * time.Millisecond
)

// entryState is the state of one entry at the agent.
type entryState struct {
	entry   string
	running int
	backlog int
	// lastGrant is the grant that was last returned for the entry, initially 1.
	lastGrant int
	// lastActive is the time of the last call for the entry, backlogAt that of its
	// last reported backlog.
	lastActive time.Time
	backlogAt  time.Time
}

// demand is the number of tasks that the entry could have in progress here.
func (e *entryState) demand(now time.Time) int {
	age := float64(max(now.Sub(e.backlogAt), 0)) / float64(backlogHalfLife)
	return e.running + int(float64(e.backlog)*math.Exp2(-age))
}

// Divider divides the slots of one agent.
type Divider struct {
	slots   int
	entries []*entryState
}

// New returns a Divider without entries.
func New(slots int) *Divider {
	return &Divider{slots: slots}
}

// Begin records the start of a task of an entry, which has a backlog of queued
// tasks. The agent has checked that a slot is free.
func (d *Divider) Begin(entry string, backlog int, now time.Time) {
	e := d.touch(entry, now)
	e.running++
	e.backlog = backlog
	e.backlogAt = now
}

// Refused records the backlog of an entry whose task found no free slot.
func (d *Divider) Refused(entry string, backlog int, now time.Time) {
	e := d.touch(entry, now)
	e.backlog = backlog
	e.backlogAt = now
}

// End records the end of a task of an entry.
func (d *Divider) End(entry string, now time.Time) {
	e := d.touch(entry, now)
	invariant.Check(e.running > 0, invariant.InternalCounting, "entry %s ended more tasks than it began", entry)
	e.running--
}

// Granted returns how many tasks an entry may have in progress, at least 1.
// The sum over all entries never exceeds the slots plus the number of entries.
// A grant rises only as far as the last grants of the other entries and the tasks
// that they still run allow.
func (d *Divider) Granted(entry string, now time.Time) int {
	e := d.touch(entry, now)
	others := 0
	for _, other := range d.entries {
		if other != e {
			others += max(other.lastGrant, other.running)
		}
	}
	limit := d.slots - others
	e.lastGrant = max(1, min(d.share(e, now), limit, d.slots))
	d.checkGrantTotal()
	return e.lastGrant
}

func (d *Divider) checkGrantTotal() {
	sum := 0
	for _, e := range d.entries {
		sum += e.lastGrant
	}
	invariant.Check(sum <= d.slots+len(d.entries), invariant.InternalCounting,
		"grants of %d tasks for %d slots and %d entries", sum, d.slots, len(d.entries))
}

// Entries returns the number of entries that were active recently.
func (d *Divider) Entries(now time.Time) int {
	d.prune(now)
	return len(d.entries)
}

func (d *Divider) touch(entry string, now time.Time) *entryState {
	d.prune(now)
	for _, e := range d.entries {
		if e.entry == entry {
			e.lastActive = now
			return e
		}
	}
	e := &entryState{entry: entry, lastGrant: 1, lastActive: now, backlogAt: now}
	d.entries = append(d.entries, e)
	return e
}

// prune removes entries without running tasks that were inactive for EntryTTL.
func (d *Divider) prune(now time.Time) {
	d.entries = slices.DeleteFunc(d.entries, func(e *entryState) bool {
		return e.running == 0 && now.Sub(e.lastActive) >= EntryTTL
	})
}

// share returns an entry's share of the slots: max-min fair by demand, with the
// remaining slots divided equally.
func (d *Divider) share(e *entryState, now time.Time) int {
	share := 0
	order := slices.Clone(d.entries)
	slices.SortStableFunc(order, func(x, y *entryState) int { return x.demand(now) - y.demand(now) })
	left := d.slots
	for i, other := range order {
		part := min(max(1, other.demand(now)), max(left/(len(order)-i), 1))
		left -= part
		if other == e {
			share = part
		}
	}
	n := len(d.entries)
	return share + (max(left, 0)+n-1)/n
}
