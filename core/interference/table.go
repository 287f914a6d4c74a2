// Package interference decides which queues' tasks slow each other down on one
// endpoint. The evidence is the ratio of a run's duration to the one expected from
// the task and the endpoint, by the queues that had runs on the endpoint when the run
// started. It takes typed values and times; it reads no clock, and equal calls give
// equal conclusions. The caller serialises all methods.
//
// What ran beside a run is taken at its start. Neighbours that arrive later would bias
// the comparison, since a run that takes longer for its own reasons meets more of them.
//
// A conclusion about a queue beside another compares runs of the first queue that
// started with the same number of neighbours, with and without the other one. It
// requires observations on both sides, a difference beyond minEffect, and a confidence
// that is corrected for the number of pairs.
package interference

import "time"

const (
	// maxQueues bounds the queues with evidence, and so the table to 1.6 MB. The
	// target has 110 client accounts.
	maxQueues = 128
	// halfLife is the time in which evidence loses half of its weight. A pair of 110
	// queues at 1,000 runs a second has several hundred observations in that time.
	halfLife = 10 * time.Minute
	// reclaimAfter is how long a queue must have had no run before another queue may
	// take its place in a full table. Its evidence has faded to an eighth by then. A run of
	// it that lasts longer counts as one of the other queue.
	reclaimAfter = 3 * halfLife
	// strata is the number of ranges of neighbours, within which runs are compared.
	strata = 4
	// maxWeight bounds the growing weight of new evidence; beyond it, all evidence is
	// scaled down.
	maxWeight = 1 << 30
	// weightInterval is the interval at which that weight grows.
	weightInterval = time.Second
)

// QueueID identifies a queue in a table.
type QueueID uint8

// Untracked is the ID of queues for which the table has no place.
const Untracked QueueID = maxQueues

// cell sums weighted observations.
type cell struct{ n, sum float64 }

func (c *cell) add(weight, value float64) {
	c.n += weight
	c.sum += weight * value
}

// pair is the evidence on a queue's runs that started beside another queue.
type pair struct {
	cells [strata]cell
	// stayed is the weight of those of the runs at whose end the other queue was there
	// too, and came that of the queue's runs at whose end it was there, but not at the start.
	stayed, came float64
	// removed is the weighted sum of the effect that was taken off the observations in
	// cells because of the conclusion.
	removed float64
	finding *Finding
}

func (p *pair) n() float64 {
	n := 0.0
	for k := range p.cells {
		n += p.cells[k].n
	}
	return n
}

// queue is the evidence on the runs of one queue.
type queue struct {
	name     string
	lastUsed time.Time
	// level is the recent mean of the queue's observations, over all endpoints.
	level    float64
	levelAt  time.Time
	observed int
	// total has all observations by stratum, and squares the weighted sum of their squares.
	total   [strata]cell
	squares float64
	pairs   [maxQueues]pair
	// slowedBy are the queues that slow this one according to findings, and slows those
	// that this one slows.
	slowedBy, slows Set
}

// Table has the evidence on all pairs of queues.
type Table struct {
	queues []*queue
	byName map[string]QueueID
	// weight is that of a new observation. It doubles every halfLife, which has the same
	// effect as evidence that fades, without a change of all cells.
	weight   float64
	weightAt time.Time
	// next is the queue that the review looked at last, reviewedAt the time of its latest
	// step, and due the number of queues, with a fraction, that it has to look at since.
	next       int
	reviewedAt time.Time
	due        float64
	findings   int
	changes    []Change
	// Observed counts the observations.
	Observed uint64
}

// NewTable returns a table without evidence.
func NewTable() *Table { return &Table{byName: map[string]QueueID{}, weight: 1} }

// Queue returns the ID of a queue that is in use at a time. A queue that the table does
// not have is added, in place of one that has not been used for a long time if the table
// is full; it is Untracked if there is none.
func (t *Table) Queue(now time.Time, name string) QueueID {
	if id, ok := t.byName[name]; ok {
		q := t.queues[id]
		if now.After(q.lastUsed) {
			q.lastUsed = now
		}
		return id
	}
	id := QueueID(len(t.queues))
	if len(t.queues) < maxQueues {
		t.queues = append(t.queues, nil)
	} else {
		oldest := 0
		for i, q := range t.queues {
			if q.lastUsed.Before(t.queues[oldest].lastUsed) {
				oldest = i
			}
		}
		id = QueueID(oldest)
		if now.Sub(t.queues[id].lastUsed) < reclaimAfter {
			return Untracked
		}
		t.remove(id)
	}
	t.queues[id] = &queue{name: name, lastUsed: now}
	t.byName[name] = id
	return id
}

// remove deletes the evidence that concerns a queue.
func (t *Table) remove(id QueueID) {
	for other := range t.queues {
		t.drop(id, QueueID(other))
		t.drop(QueueID(other), id)
		t.queues[other].pairs[id] = pair{}
	}
	delete(t.byName, t.queues[id].name)
}

// advance increases the weight of new observations.
func (t *Table) advance(now time.Time) {
	if t.weightAt.IsZero() {
		t.weightAt = now
	}
	elapsed := now.Sub(t.weightAt)
	if elapsed < weightInterval {
		return
	}
	t.weightAt = now
	t.weight *= fadeFactor(elapsed)
	if t.weight > maxWeight {
		t.rescale()
	}
}

// rescale divides all evidence by the weight of a new observation.
func (t *Table) rescale() {
	scale := 1 / t.weight
	for _, q := range t.queues {
		for k := range q.total {
			q.total[k].scale(scale)
		}
		q.squares *= scale
		for i := range q.pairs {
			p := &q.pairs[i]
			for k := range p.cells {
				p.cells[k].scale(scale)
			}
			p.removed *= scale
			p.stayed *= scale
			p.came *= scale
		}
	}
	t.weight = 1
}

func (c *cell) scale(factor float64) {
	c.n *= factor
	c.sum *= factor
}

// Finding is the conclusion that a queue's runs take longer beside another queue.
type Finding struct {
	// Queue is the queue that is slowed, and Beside the one that slows it; they may be the same.
	Queue, Beside string
	Since         time.Time
	// Slowdown is the factor by which the runs take longer, and Confidence the level at
	// which it exceeds the smallest one that matters, corrected for the number of pairs.
	Slowdown   float64
	Confidence float64
	// Observations is the number of runs beside the other queue, with faded weights.
	Observations float64
	// effect is the logarithm of the factor between runs with and without the other queue
	// at their start. It is below that of Slowdown, since the other queue is beside either kind
	// for a part of the time.
	effect float64
}

// Change is a finding that was made or dropped.
type Change struct {
	Finding
	Dropped bool
}

// TakeChanges returns the changes since the last call.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// Findings returns the findings in the order of the queues' IDs.
func (t *Table) Findings() []Finding {
	list := make([]Finding, 0, t.findings)
	for _, q := range t.queues {
		for other := range q.slowedBy.All() {
			list = append(list, *q.pairs[other].finding)
		}
	}
	return list
}

// Concerns reports whether the queue is in any finding.
func (t *Table) Concerns(id QueueID) bool {
	return t.findings > 0 && id != Untracked && (!t.queues[id].slowedBy.Empty() || !t.queues[id].slows.Empty())
}

// SlowedBy returns the queues beside which runs of a queue take longer.
func (t *Table) SlowedBy(id QueueID) Set { return t.queues[id].slowedBy }

// Slows returns the queues whose runs take longer beside a queue.
func (t *Table) Slows(id QueueID) Set { return t.queues[id].slows }

// Slowdown returns the factor by which runs of a queue take longer beside another one, 1
// without a finding.
func (t *Table) Slowdown(id, beside QueueID) float64 {
	if f := t.queues[id].pairs[beside].finding; f != nil {
		return f.Slowdown
	}
	return 1
}
