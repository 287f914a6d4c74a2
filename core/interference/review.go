package interference

import (
	"math"
	"time"
)

const (
	// reviewPeriod is the time in which all pairs are looked at once. With 110 queues, a period
	// of one second costs more than the observations of a small system.
	reviewPeriod = 10 * time.Second
	// minEffect is the logarithm of the smallest slowdown that matters, 1.1. It also covers
	// small biases, as of the number of neighbours within a stratum.
	minEffect = 0.0953
	// minObservations is the least number of runs on either side of a comparison, with
	// faded weights. The distribution of their mean is close to normal then.
	minObservations = 40
	// falseRate is the accepted probability of any false conclusion within an hour, over
	// all pairs. looks is the number of independent comparisons of a pair in that time, given
	// halfLife, with a margin because the pair is looked at each second.
	falseRate = 0.01
	looks     = 50
	// minPairs is the least number of pairs for which the threshold is set, because the
	// distribution of a mean of few observations has heavier tails than the normal one.
	minPairs = 100
	// keepShare is the share of the threshold that a finding needs to stay. Without new
	// observations, one that was just made falls to it within two half-lives, and one with
	// four times that z within six.
	keepShare = 0.5
	// maxSlowdown bounds the slowdown of a finding.
	maxSlowdown = 4.0
	// minExposure bounds the difference in exposure by which an effect is divided.
	minExposure = 0.3
)

// threshold returns the number of standard errors by which a difference must exceed
// minEffect.
func (t *Table) threshold() float64 {
	return math.Sqrt2 * math.Erfinv(1-2*falseRate/t.comparisons())
}

// comparisons returns the number of comparisons in an hour.
func (t *Table) comparisons() float64 {
	n := float64(len(t.queues))
	return max(n*n, minPairs) * looks
}

// comparison is the difference between a queue's runs beside another queue and
// without it.
type comparison struct {
	effect float64
	// with and without are the weighted numbers of runs in the strata that have both.
	with, without float64
	// exposure is the difference in the shares of the runs' time during which the other queue
	// is beside them, by its presence at their start and end.
	exposure float64
	// z is the excess of the effect over minEffect in standard errors.
	z float64
}

func (t *Table) compare(q *queue, p *pair) comparison {
	var c comparison
	weights, difference := 0.0, 0.0
	n := 0.0
	for k := range p.cells {
		with, total := p.cells[k], q.total[k]
		without := cell{n: total.n - with.n, sum: total.sum - with.sum}
		n += total.n
		// A side with less than one observation has none: faded sums don't cancel exactly.
		if with.n < t.weight || without.n < t.weight {
			continue
		}
		c.with += with.n / t.weight
		c.without += without.n / t.weight
		w := with.n * without.n / (with.n + without.n)
		weights += w
		difference += w * (with.sum/with.n - without.sum/without.n)
	}
	if weights == 0 || q.squares <= 0 {
		return c
	}
	c.effect = difference/weights + p.removed/p.n()
	with := p.n()
	c.exposure = max((1+p.stayed/with-p.came/max(n-with, t.weight))/2, minExposure)
	variance := q.squares / n
	c.z = (c.effect - minEffect) * math.Sqrt(weights/t.weight/variance)
	return c
}

// Review looks for pairs to conclude on, and for findings whose evidence has faded. It
// looks at a part of the queues at a time, in proportion to the time since the last call.
func (t *Table) Review(now time.Time) {
	share := min(max(now.Sub(t.reviewedAt).Seconds()/reviewPeriod.Seconds(), 0), 1)
	t.reviewedAt = now
	t.due += share * float64(len(t.queues))
	if t.due < 1 {
		return
	}
	t.advance(now)
	threshold := t.threshold()
	for ; t.due >= 1; t.due-- {
		t.next = (t.next + 1) % len(t.queues)
		t.reviewQueue(now, QueueID(t.next), threshold)
	}
}

// reviewQueue updates the findings of a queue, and makes at most one new one: that with
// the strongest evidence. Its effect may be in the evidence on other pairs too.
func (t *Table) reviewQueue(now time.Time, id QueueID, threshold float64) {
	q := t.queues[id]
	best, bestZ := Untracked, threshold
	for i := range t.queues {
		p := &q.pairs[i]
		if p.n() < minObservations*t.weight && p.finding == nil {
			continue
		}
		c := t.compare(q, p)
		switch {
		case p.finding != nil && c.z < keepShare*threshold:
			t.drop(id, QueueID(i))
		case p.finding != nil:
			t.update(p.finding, c)
		case c.z > bestZ && min(c.with, c.without) >= minObservations:
			best, bestZ = QueueID(i), c.z
		}
	}
	if best != Untracked {
		t.find(now, id, best)
	}
}

// update sets the figures of a finding. Observations from now on have its new effect taken
// off.
func (t *Table) update(f *Finding, c comparison) {
	f.effect = min(max(c.effect, 0), math.Log(maxSlowdown))
	f.Slowdown = min(math.Exp(c.effect/c.exposure), maxSlowdown)
	f.Observations = c.with
	f.Confidence = 1 - min(t.comparisons()*math.Erfc(c.z/math.Sqrt2)/2, 1)
}

// find makes a finding. Its effect is taken off the observations, and the evidence on the
// queue's other pairs begins again, since it may contain that effect.
func (t *Table) find(now time.Time, id, other QueueID) {
	q := t.queues[id]
	p := &q.pairs[other]
	f := &Finding{Queue: q.name, Beside: t.queues[other].name, Since: now}
	t.update(f, t.compare(q, p))
	p.finding = f
	p.removed = f.effect * p.n()
	q.shift(p, -f.effect)
	for i := range t.queues {
		if o := &q.pairs[i]; o.finding == nil {
			*o = pair{}
		}
	}
	q.slowedBy.Add(other)
	t.queues[other].slows.Add(id)
	t.findings++
	t.changes = append(t.changes, Change{Finding: *f})
}

// drop ends a finding, if there is one, and puts its effect back on the observations.
func (t *Table) drop(id, other QueueID) {
	q := t.queues[id]
	p := &q.pairs[other]
	if p.finding == nil {
		return
	}
	if n := p.n(); n > 0 {
		q.shift(p, p.removed/n)
	}
	p.removed = 0
	t.changes = append(t.changes, Change{Finding: *p.finding, Dropped: true})
	p.finding = nil
	q.slowedBy.Remove(other)
	t.queues[other].slows.Remove(id)
	t.findings--
}

// shift adds a value to the observations of a pair. Those that are also observations of
// other pairs are not known; their share is taken as that in all observations. It then moves all
// observations and the level so that their mean is zero, as that of later ones will be:
// otherwise earlier and later observations of the other pairs would differ.
func (q *queue) shift(p *pair, value float64) {
	n, sum := 0.0, 0.0
	for k := range p.cells {
		if q.total[k].n <= 0 {
			continue
		}
		change := value * p.cells[k].n
		for i := range q.pairs {
			if o := &q.pairs[i]; o != p {
				o.cells[k].sum += change * o.cells[k].n / q.total[k].n
			}
		}
		p.cells[k].sum += change
		q.total[k].sum += change
		n += q.total[k].n
		sum += q.total[k].sum
	}
	if n <= 0 {
		return
	}
	mean := sum / n
	q.level += mean
	for k := range q.total {
		q.total[k].sum -= mean * q.total[k].n
		for i := range q.pairs {
			q.pairs[i].cells[k].sum -= mean * q.pairs[i].cells[k].n
		}
	}
}
