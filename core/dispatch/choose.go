package dispatch

import (
	"math"
	"slices"
)

// maxCandidates is the maximum number of endpoints that one choice considers.
const maxCandidates = 16

// reindex moves an endpoint to the set that matches its changed state, and
// updates the totals and timers that depend on it.
func (s *Scheduler) reindex(e *endpoint) {
	if e.removed() {
		return
	}
	set := s.setOf(e)
	e.pool.move(e, set)
	free := 0
	if set == &e.pool.ready {
		free = max(min(e.granted, e.Slots)-e.inFlight(), 0)
	}
	s.freeSlots += free - e.freeSlots
	e.freeSlots = free
	s.updateThroughput(e)
	if set != &e.pool.ready {
		s.setTimer(e.nextChange(s.now), e)
	} else if at := e.health.nextUnrestrictedTrial(); e.health.quarantined && at.After(s.now) {
		s.setTimer(at, e)
	}
}

// setOf returns the set to which an endpoint belongs now, nil if no task may
// start on it.
func (s *Scheduler) setOf(e *endpoint) *bucketSet {
	inFlight := e.inFlight()
	if e.Drain || inFlight >= e.Slots {
		return nil
	}
	if e.health.quarantined {
		if inFlight > 0 || s.now.Before(e.health.nextTrial) {
			return nil
		}
		return &e.pool.ready
	}
	if e.health.consecutiveFailures >= suspectFailures && inFlight > 0 {
		return nil
	}
	if s.now.Before(e.busyUntil) {
		return nil
	}
	return s.setByStrategy(e)
}

// setByStrategy returns the set of a healthy endpoint that is not full.
func (s *Scheduler) setByStrategy(e *endpoint) *bucketSet {
	inFlight := e.inFlight()
	switch s.opts.Strategy {
	case Random, TwoChoices:
		return &e.pool.ready
	case Grants:
		e.expireGrant(s.now)
	}
	if inFlight < e.granted {
		return &e.pool.ready
	}
	if s.opts.Strategy == Grants && inFlight+e.usedByOthers+speculationReserve < e.Slots {
		return &e.pool.speculative
	}
	return nil
}

// chooseEndpoint returns an endpoint on which an item should start now, and
// whether that start is beyond the grant. It returns nil if the item should
// wait.
func (s *Scheduler) chooseEndpoint(f *flow, k *kind, item *Item) (*endpoint, bool) {
	if s.opts.Strategy == Random || s.opts.Strategy == TwoChoices {
		return s.chooseSampled(k, item), false
	}
	if s.opts.Strategy == LateBinding {
		return s.chooseFastest(k, item, false), false
	}
	if e := s.chooseFastest(k, item, false); e != nil && !s.shouldWait(f, k, e) {
		return e, false
	}
	if !s.speculation.available(s.headroom.isBulk(f, k)) {
		return nil, false
	}
	if e := s.chooseFastest(k, item, true); e != nil && !s.shouldWait(f, k, e) {
		return e, true
	}
	return nil, false
}

// chooseFastest returns the endpoint with the earliest expected end. A free slot
// is assumed to start the task at once, so this is the fastest endpoint.
// Endpoints in item.Avoid are a fallback.
func (s *Scheduler) chooseFastest(k *kind, item *Item, speculative bool) *endpoint {
	var fallback *endpoint
	limit := bucketCount
	for range maxCandidates {
		set, bucket := k.fastestSet(item, limit, speculative)
		if set == nil {
			break
		}
		e, moved := s.pickInBucket(set, bucket, item)
		if moved {
			continue
		}
		if e != nil && !slices.Contains(item.Avoid, e.ID) && !e.health.unsafeTrial(item, s.now) {
			return e
		}
		if fallback == nil && e != nil && !e.health.unsafeTrial(item, s.now) {
			fallback = e
		}
		limit = bucket
	}
	return fallback
}

// fastestSet returns the set that has the fastest bucket below a limit, and
// that bucket.
func (k *kind) fastestSet(item *Item, limit int, speculative bool) (*bucketSet, int) {
	var best *bucketSet
	bucket := -1
	for _, p := range k.pools {
		set := &p.ready
		if speculative {
			set = &p.speculative
		}
		if b := set.fastestBelow(limit); b > bucket && item.Needs.Fits(p.capacity) {
			best = set
			bucket = b
		}
	}
	return best, bucket
}

// bucketSample is the number of equally fast endpoints that are compared.
const bucketSample = 4

// pickInBucket compares a few endpoints of a bucket by data centre and free
// slots. It returns moved if one of them turned out to belong to another bucket
// or set.
func (s *Scheduler) pickInBucket(set *bucketSet, bucket int, item *Item) (best *endpoint, moved bool) {
	list := set.buckets[bucket]
	offset := s.random.IntN(len(list))
	bestScore := math.MinInt
	for i := range min(bucketSample, len(list)) {
		e := list[(offset+i)%len(list)]
		if s.refresh(e, set, bucket) {
			return nil, true
		}
		score := min(e.granted, e.Slots) - e.inFlight()
		if e.DataCentre == s.opts.DataCentre {
			score += 1 << 20
		}
		if slices.Contains(item.Avoid, e.ID) || e.health.unsafeTrial(item, s.now) {
			score -= 1 << 30
		}
		if score > bestScore {
			best = e
			bestScore = score
		}
	}
	return best, false
}

// refresh applies the changes that time alone causes at an endpoint: an expired
// grant or an overdue task. It reports whether the endpoint moved.
func (s *Scheduler) refresh(e *endpoint, set *bucketSet, bucket int) bool {
	e.updatePenalty(s.now)
	s.reindex(e)
	return e.set != set || e.bucket != bucket
}

// slowRatio is the fraction of the mean speed below which a task waits for a
// faster endpoint if the queue is short.
const slowRatio = 0.65

// shouldWait reports whether a faster endpoint is expected to finish a task of
// the kind earlier than e, although the task has to wait for it.
func (s *Scheduler) shouldWait(f *flow, k *kind, e *endpoint) bool {
	speed := math.Exp(e.effectiveLogSpeed())
	if speed >= slowRatio || e.health.quarantined {
		return false
	}
	if len(s.attempts) <= e.inFlight() {
		return false
	}
	return k.work/speed-k.work > s.expectedWait(f)
}

// expectedWait returns the time in seconds in which the flow's queued work is
// done at an equal share of the slots that are in use now.
func (s *Scheduler) expectedWait(f *flow) float64 {
	share := float64(max(1, len(s.attempts))) / float64(max(1, len(s.fair.heap)+len(s.skipped)))
	return f.queuedWork() / share
}

// chooseSampled returns a random endpoint, or the less loaded of two.
func (s *Scheduler) chooseSampled(k *kind, item *Item) *endpoint {
	best := s.sample(k, item)
	if best == nil || s.opts.Strategy == Random {
		return best
	}
	other := s.sample(k, item)
	if other.inFlight()*best.Slots < best.inFlight()*other.Slots {
		return other
	}
	return best
}

// sample returns a random endpoint that is not locally known to be full.
func (s *Scheduler) sample(k *kind, item *Item) *endpoint {
	total := 0
	for _, p := range k.pools {
		if item.Needs.Fits(p.capacity) {
			total += p.ready.size
		}
	}
	if total == 0 {
		return nil
	}
	index := s.random.IntN(total)
	for _, p := range k.pools {
		if !item.Needs.Fits(p.capacity) {
			continue
		}
		if index < p.ready.size {
			return p.ready.at(index)
		}
		index -= p.ready.size
	}
	return nil
}

// at returns the endpoint with an index over all buckets.
func (s *bucketSet) at(index int) *endpoint {
	for _, list := range s.buckets {
		if index < len(list) {
			return list[index]
		}
		index -= len(list)
	}
	return nil
}
