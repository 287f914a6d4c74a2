package interference

import (
	"math"
	"time"
)

const (
	// maxDeviation bounds the logarithm of one observation, relative to what is usual
	// at the time: a run of seven times its estimate, as 3% are, then counts little more than
	// the usual spread.
	maxDeviation = 1.0
	// levelTime is the time over which a queue's level is averaged. It is short, so that a
	// busy hour raises the level and not the observations, and evidence compares runs of
	// about the same time.
	levelTime = 20 * time.Second
	// Bounds of the weight of one observation in a queue's level.
	minLevelRate = 1.0 / 1024
	maxLevelRate = 1.0 / 16
	// endpointRate is that weight in the levels of an endpoint.
	endpointRate = 1.0 / 16
	// warmUp is the number of observations of a queue that only set its level.
	warmUp = 16
)

// fadeFactor returns the growth of the weight of new observations in a time.
func fadeFactor(elapsed time.Duration) float64 {
	return math.Exp2(float64(elapsed) / float64(halfLife))
}

// Observe records a run of a queue that has ended in success. The expected duration takes
// the task's estimate and the endpoint's learned slowdown at the start into account. The
// endpoint no longer counts the run. Several
// runs with one cause for their durations, such as the tasks of one step, must be
// observed only once, and chosen by something other than their duration.
func (t *Table) Observe(now time.Time, id QueueID, e *Endpoint, beside Neighbours, expected, took time.Duration) {
	if id == Untracked || expected <= 0 || took <= 0 {
		return
	}
	t.advance(now)
	t.Observed++
	q := t.queues[id]
	q.lastUsed = now
	known := t.knownEffect(q, beside.Queues)
	value := math.Log(float64(took)/float64(expected)) - known - q.level - e.level - float64(e.queueLevels[id])
	value = min(max(value, -maxDeviation), maxDeviation)
	q.updateLevels(now, id, e, value)
	if q.observed <= warmUp || beside.runs == 0 {
		return // runs without neighbours are not compared with others
	}
	k := beside.stratum()
	q.total[k].add(t.weight, value)
	q.squares += t.weight * value * value
	for other := range beside.Queues.All() {
		p := &q.pairs[other]
		p.cells[k].add(t.weight, value)
		if e.present.Contains(other) {
			p.stayed += t.weight
		}
		if p.finding != nil {
			p.removed += t.weight * p.finding.effect
		}
	}
	for other := range e.present.Without(beside.Queues).All() {
		q.pairs[other].came += t.weight
	}
}

// knownEffect returns the sum of the effects of the neighbours that slow the queue
// according to findings. It is taken off each observation, so that a queue that is often
// beside such a neighbour is not held responsible.
func (t *Table) knownEffect(q *queue, beside Set) float64 {
	sum := 0.0
	for other := range beside.Intersect(q.slowedBy).All() {
		sum += q.pairs[other].finding.effect
	}
	return sum
}

// updateLevels includes an observation in what is usual for the queue and the endpoint.
func (q *queue) updateLevels(now time.Time, id QueueID, e *Endpoint, value float64) {
	q.observed++
	rate := min(max(float64(now.Sub(q.levelAt))/float64(levelTime), minLevelRate), maxLevelRate)
	if q.observed <= warmUp {
		rate = 1 / float64(q.observed)
	}
	q.levelAt = now
	q.level += rate * value
	e.level += endpointRate * value
	e.queueLevels[id] += float32(endpointRate * value)
}
