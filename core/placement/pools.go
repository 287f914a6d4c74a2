package placement

import (
	"math"
	"time"
)

// indexSortInterval is the interval at which the indexes are sorted by the
// endpoints' slowdowns, which change by a few percent with each run.
const indexSortInterval = time.Second

// indexKey identifies the index of a pool's endpoints with a label, or of all of
// them for an empty label.
type indexKey struct {
	pool, label string
}

// pools keeps the indexes of the endpoints. An endpoint whose state has changed is
// marked, and its leaves are updated before the next search, so that several changes
// in between cost one update.
type pools struct {
	indexes map[indexKey]*endpointIndex
	// members counts the endpoints of each pool with each label, whether or not an
	// index for it exists.
	members map[indexKey]int
	// capacity is the CPU of the usable endpoints of each pool.
	capacity map[string]int
	// dirty lists the endpoints whose leaves are not up to date.
	dirty []*endpoint
	// reopening lists endpoints that get no runs before a certain time, and
	// nextReopening is the earliest of these times.
	reopening     []*endpoint
	nextReopening time.Time
	sortedAt      time.Time
}

func newPools() pools {
	return pools{indexes: map[indexKey]*endpointIndex{}, members: map[indexKey]int{}, capacity: map[string]int{}}
}

// keys calls fn for the keys of all indexes that may contain the endpoint.
func (e *endpoint) keys(fn func(indexKey)) {
	fn(indexKey{pool: e.Pool})
	for _, label := range e.Labels {
		if label != "" {
			fn(indexKey{pool: e.Pool, label: label})
		}
	}
}

// add adds an endpoint.
func (s *pools) add(e *endpoint) {
	e.keys(func(key indexKey) { s.members[key]++ })
	s.mark(e)
}

// remove removes an endpoint.
func (s *pools) remove(e *endpoint) {
	s.count(e, 0)
	for index := range e.leaves {
		index.remove(e)
	}
	e.keys(func(key indexKey) {
		s.members[key]--
		if s.members[key] <= 0 {
			delete(s.members, key)
			delete(s.indexes, key)
		}
	})
}

// count sets the CPU of an endpoint that counts in the capacity of its pool.
func (s *pools) count(e *endpoint, cpu int) {
	if cpu == e.counted {
		return
	}
	s.capacity[e.Pool] += cpu - e.counted
	e.counted = cpu
	if s.capacity[e.Pool] == 0 {
		delete(s.capacity, e.Pool)
	}
}

// mark records that the endpoint's state has changed.
func (s *pools) mark(e *endpoint) {
	if !e.dirty {
		e.dirty = true
		s.dirty = append(s.dirty, e)
	}
}

// refresh updates the leaves of all endpoints that have changed.
func (p *Planner) refresh(now time.Time) {
	s := &p.pools
	s.reopen(now)
	for _, e := range s.dirty {
		e.dirty = false
		if p.endpoints[e.Session] != e {
			continue // removed since
		}
		node := e.indexNode(now, p.shared)
		if math.IsInf(node.usableRatio, 1) {
			s.count(e, 0)
		} else {
			s.count(e, e.Capacity.CPU)
		}
		e.keys(func(key indexKey) {
			if index := s.indexes[key]; index != nil {
				index.set(e, node)
			}
		})
		if now.Before(e.reopensAt()) {
			s.awaitReopening(e)
		}
	}
	s.dirty = s.dirty[:0]
}

// awaitReopening adds an endpoint to those that get no runs before a certain time.
func (s *pools) awaitReopening(e *endpoint) {
	if len(s.reopening) == 0 || e.reopensAt().Before(s.nextReopening) {
		s.nextReopening = e.reopensAt()
	}
	if !e.reopening {
		e.reopening = true
		s.reopening = append(s.reopening, e)
	}
}

// reopen marks the endpoints that may get runs again.
func (s *pools) reopen(now time.Time) {
	if len(s.reopening) == 0 || now.Before(s.nextReopening) {
		return
	}
	list := s.reopening
	s.reopening = nil
	for _, e := range list {
		e.reopening = false
		if now.Before(e.reopensAt()) {
			s.awaitReopening(e)
			continue
		}
		s.mark(e)
	}
}

// index returns the up-to-date index of a pool's endpoints with a label, nil if
// there are none. Indexes are made when they are first needed: most labels are never
// asked for.
func (p *Planner) index(now time.Time, pool, label string) *endpointIndex {
	p.refresh(now)
	key := indexKey{pool: pool, label: label}
	if index := p.pools.indexes[key]; index != nil || p.pools.members[key] == 0 {
		return index
	}
	index := newEndpointIndex()
	p.pools.indexes[key] = index
	for _, e := range p.order {
		e.keys(func(k indexKey) {
			if k == key {
				index.set(e, e.indexNode(now, p.shared))
			}
		})
	}
	index.sort()
	return index
}

// sortIndexes sorts the indexes if indexSortInterval has passed.
func (p *Planner) sortIndexes(now time.Time) {
	if now.Sub(p.pools.sortedAt) < indexSortInterval {
		return
	}
	p.pools.sortedAt = now
	p.refresh(now)
	for _, index := range p.pools.indexes {
		index.sort()
	}
}

// reopensAt returns the time before which the endpoint gets no runs.
func (e *endpoint) reopensAt() time.Time {
	if available := e.health.availableAt(); available.After(e.fullUntil) {
		return available
	}
	return e.fullUntil
}

// indexNode returns the endpoint's leaf.
func (e *endpoint) indexNode(now time.Time, shared bool) indexNode {
	node := emptyNode
	if !e.usable(now) {
		return node
	}
	node.usableRatio = e.slowdown.ratio
	node.rate = float64(e.Capacity.CPU) / 1000 / e.slowdown.ratio * e.share()
	if e.open(now, shared) {
		node.free = e.available()
		node.ratio = e.slowdown.ratio
	}
	return node
}

// bestRatio returns the lowest slowdown among the usable endpoints of a pool with a label, 0
// if there are none. An empty label stands for all endpoints.
func (p *Planner) bestRatio(now time.Time, pool, label string) float64 {
	index := p.index(now, pool, label)
	if index == nil || math.IsInf(index.root().usableRatio, 1) {
		return 0
	}
	return index.root().usableRatio
}

// capacity returns the CPU of the usable endpoints of a pool.
func (p *Planner) capacity(now time.Time, pool string) int {
	p.refresh(now)
	return p.pools.capacity[pool]
}

// rate returns the nominal work that the usable endpoints of a pool do, in cores.
func (p *Planner) rate(now time.Time, pool string) float64 {
	index := p.index(now, pool, "")
	if index == nil {
		return 0
	}
	return index.root().rate
}
