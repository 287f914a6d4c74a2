// Package slots divides an agent's slots among entries in advance, so that an
// entry starts a task with one round trip and without a probe. A grant is
// advice: the agent's own rule stays that running tasks never exceed the slots.
// Slots and grants are counts of tasks. The caller serialises all methods.
package slots

import (
	"math"
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/invariant"
)

const (
	// EntryLife is how long an entry without running tasks keeps its grant. It
	// is longer than the time after which an entry stops using one, so that no
	// slot is granted twice for long.
	EntryTTL = time.Second
	// backlogHalfLife is the time in which a reported backlog counts half,
	// because the entry may have sent it elsewhere since.
	backlogHalfLife = 100 * time.Millisecond
)

// account is what the agent knows of one entry.
type entryState struct {
	entry   string
	running int
	backlog int
	// told is the last grant that the entry was given.
	lastGrant int
	// seen is the time of the last start or end; asked that of the last start.
	lastActive time.Time
	backlogAt  time.Time
}

// demand is the number of tasks that the entry could have in progress here.
func (a *entryState) demand(now time.Time) int {
	age := float64(max(now.Sub(a.backlogAt), 0)) / float64(backlogHalfLife)
	return a.running + int(float64(a.backlog)*math.Exp2(-age))
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

// Begin notes the start of a task of an entry, which has a backlog of tasks
// waiting. The agent has checked that a slot is free.
func (d *Divider) Begin(entry string, backlog int, now time.Time) {
	a := d.touch(entry, now)
	a.running++
	a.backlog = backlog
	a.backlogAt = now
}

// Refused notes the backlog of an entry whose task found no free slot.
func (d *Divider) Refused(entry string, backlog int, now time.Time) {
	a := d.touch(entry, now)
	a.backlog = backlog
	a.backlogAt = now
}

// End notes the end of a task of an entry.
func (d *Divider) End(entry string, now time.Time) {
	a := d.touch(entry, now)
	invariant.Check(a.running > 0, invariant.InternalCounting, "entry %s ended more tasks than it began", entry)
	a.running--
}

// Granted returns how many tasks an entry may have in progress, at least 1.
// The sum over all entries never exceeds the slots plus the number of entries.
// A grant rises only as far as the grants that other entries were last told and
// the tasks that they still run allow.
func (d *Divider) Granted(entry string, now time.Time) int {
	a := d.touch(entry, now)
	others := 0
	for _, other := range d.entries {
		if other != a {
			others += max(other.lastGrant, other.running)
		}
	}
	limit := d.slots - others
	a.lastGrant = max(1, min(d.share(a, now), limit, d.slots))
	d.checkGrantTotal()
	return a.lastGrant
}

func (d *Divider) checkGrantTotal() {
	sum := 0
	for _, a := range d.entries {
		sum += a.lastGrant
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
	for _, a := range d.entries {
		if a.entry == entry {
			a.lastActive = now
			return a
		}
	}
	a := &entryState{entry: entry, lastGrant: 1, lastActive: now, backlogAt: now}
	d.entries = append(d.entries, a)
	return a
}

// prune forgets entries that were silent for EntryLife.
func (d *Divider) prune(now time.Time) {
	d.entries = slices.DeleteFunc(d.entries, func(a *entryState) bool {
		return a.running == 0 && now.Sub(a.lastActive) >= EntryTTL
	})
}

// share returns an entry's part of the slots: max-min fair by demand, the rest
// in equal parts.
func (d *Divider) share(a *entryState, now time.Time) int {
	share := 0
	order := slices.Clone(d.entries)
	slices.SortStableFunc(order, func(x, y *entryState) int { return x.demand(now) - y.demand(now) })
	left := d.slots
	for i, other := range order {
		part := min(max(1, other.demand(now)), max(left/(len(order)-i), 1))
		left -= part
		if other == a {
			share = part
		}
	}
	n := len(d.entries)
	return share + (max(left, 0)+n-1)/n
}
