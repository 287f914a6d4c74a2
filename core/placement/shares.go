package placement

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// Shares are the parts of their pools' capacity that queues can claim under one
// configuration.
type Shares struct {
	parts map[shareKey]part
	// UnknownQueues are the names of the setting that no queue of the configuration has.
	UnknownQueues []string
	// ScaledPools are the pools whose shares were over 100% in all and are scaled down.
	ScaledPools []string
}

// part is a part of a pool's capacity, at most 1. Integers give the same decisions on all
// machines.
type part struct{ numerator, denominator int }

// shareKey identifies the jobs of a queue. Those that were accepted under an earlier
// configuration may belong to another pool than later ones.
type shareKey struct{ queue, pool string }

func shareKeyOf(j *work.Job) shareKey { return shareKey{queue: j.Queue, pool: j.Pool} }

// NewShares applies the operators' shares, in percent by the names of queues, to the queues
// of a configuration.
func NewShares(percent map[string]int, queues iter.Seq[*work.Queue]) Shares {
	s := Shares{parts: map[shareKey]part{}}
	unknown, sums := maps.Clone(percent), map[string]int{}
	for q := range queues {
		key := shareKey{queue: q.Name, pool: q.Pool}
		if _, known := s.parts[key]; known || percent[q.Name] <= 0 {
			continue
		}
		delete(unknown, q.Name)
		s.parts[key] = part{numerator: percent[q.Name]}
		sums[q.Pool] += percent[q.Name]
	}
	for key, part := range s.parts {
		part.denominator = max(sums[key.pool], 100)
		s.parts[key] = part
	}
	maps.DeleteFunc(sums, func(_ string, sum int) bool { return sum <= 100 })
	s.UnknownQueues, s.ScaledPools = slices.Sorted(maps.Keys(unknown)), slices.Sorted(maps.Keys(sums))
	return s
}

// queueShare is the share of a queue and what the queue uses of it.
type queueShare struct {
	shareKey
	// part is the part of the capacity of the pool's usable endpoints.
	part
	// running is the CPU of the queue's runs that may exist.
	running int
	// groups are the queue's waiting groups, in the order of the planner's queue, and
	// queued is the workload of those that are not expired.
	groups []*group
	queued workload
	// next is the index in groups of the next one in a pass.
	next int
	// placedFirst counts the tasks that were placed before waiting ones of other queues
	// because of the share.
	placedFirst uint64
}

// queueShares has the shares by key, and in the order of queues and pools. Both are empty
// without the setting.
type queueShares struct {
	byKey  map[shareKey]*queueShare
	sorted []*queueShare
}

// of returns the share of a job's queue, nil if it has none.
func (s *queueShares) of(j *work.Job) *queueShare {
	if len(s.sorted) == 0 {
		return nil
	}
	return s.byKey[shareKeyOf(j)]
}

// SetShares applies the shares of queues. It answers an overload in which a queue of a low
// priority gets nothing while others fill its pool: the tasks of a queue that uses less
// than its share are placed first. No run is stopped.
func (p *Planner) SetShares(s Shares) {
	former := p.shares
	if len(former.sorted) == 0 && len(s.parts) == 0 {
		return
	}
	p.shares = queueShares{byKey: map[shareKey]*queueShare{}}
	for key, part := range s.parts {
		share := &queueShare{shareKey: key, part: part}
		if f := former.byKey[key]; f != nil {
			share.placedFirst = f.placedFirst
		}
		p.shares.byKey[key] = share
		p.shares.sorted = append(p.shares.sorted, share)
	}
	slices.SortFunc(p.shares.sorted, func(a, b *queueShare) int {
		return cmp.Or(cmp.Compare(a.queue, b.queue), cmp.Compare(a.pool, b.pool))
	})
	for _, j := range p.jobs {
		j.share = p.shares.of(j.spec)
	}
	for _, g := range p.queue.groups {
		if share := g.job.share; share != nil {
			share.groups = append(share.groups, g)
			share.addQueued(g, len(g.tasks))
		}
	}
	for _, e := range p.order {
		for _, r := range e.runs {
			r.job.share = p.shares.of(r.job.spec) // the job may be closed
			r.share = nil
			r.countInShare()
		}
	}
}

// addQueued counts n waiting tasks more, or fewer if n is negative.
func (s *queueShare) addQueued(g *group, n int) {
	if g.timeliness != expired {
		s.queued += workload(n) * g.taskWorkload()
	}
}

// countInShare counts the run in the share of its queue.
func (r *run) countInShare() {
	if r.share = r.job.share; r.share != nil {
		r.share.running += r.need.CPU
	}
}

// removeFromShare reverts countInShare.
func (r *run) removeFromShare() {
	if r.share != nil {
		r.share.running -= r.need.CPU
	}
}

// claimable returns the CPU that a queue can claim.
func (p *Planner) claimable(now time.Time, s *queueShare) int {
	return p.capacity(now, s.pool) * s.numerator / s.denominator
}

// ahead returns the workload that is placed before a job of the queue, if own is that of
// its queue and all that of its pool: at its share of the rate, the queue's own work takes
// as long as more work at the whole rate.
func (s *queueShare) ahead(all, own workload) workload {
	if s == nil {
		return all
	}
	numerator, denominator := workload(s.numerator), workload(s.denominator)
	if own/numerator >= all/denominator { // also if the product overflowed
		return all
	}
	return own / numerator * denominator
}

// assignShares places waiting tasks of queues that use less than their shares, in queue
// order, until they use them. Groups that can't be in time have no precedence.
func (p *Planner) assignShares(now time.Time) {
	for _, s := range p.shares.sorted {
		s.next = 0
	}
	var free freeBounds
	for misses, skipped := headMisses, headSkipped; misses > 0 && skipped > 0; {
		g := p.nextClaim(now)
		if g == nil {
			return
		}
		s := g.job.share
		if !free.mayFit(p, now, g) {
			skipped--
			s.next++
			continue
		}
		passesOthers := p.queue.first(s.pool).job.share != s
		placed := p.placeGroup(now, g, p.unclaimedTasks(now, g))
		free = freeBounds{}
		if passesOthers {
			s.placedFirst += uint64(placed)
		}
		if len(g.tasks) == 0 {
			g.job.groups[g.step] = nil
			p.queue.remove(g)
		} else {
			misses--
			s.next++
		}
	}
}

// nextClaim returns the first group in queue order of the queues that use less than their
// shares, nil if there is none. All groups of a queue have one priority, unless it has just
// changed, so that those that can be in time come first.
func (p *Planner) nextClaim(now time.Time) *group {
	var first *group
	for _, s := range p.shares.sorted {
		if s.next >= len(s.groups) || s.groups[s.next].timeliness != inTime || s.running >= p.claimable(now, s) {
			continue
		}
		if g := s.groups[s.next]; first == nil || g.before(first) {
			first = g
		}
	}
	return first
}

// unclaimedTasks returns how many tasks of a group its queue can start until it uses its
// share.
func (p *Planner) unclaimedTasks(now time.Time, g *group) int {
	need := g.job.spec.Steps[g.step].Need.CPU
	if need <= 0 {
		return len(g.tasks)
	}
	left := p.claimable(now, g.job.share) - g.job.share.running
	return min((left+need-1)/need, len(g.tasks))
}

// ShareUse is the use of a queue's share.
type ShareUse struct {
	Queue, Pool string
	// Used is the running work over the share of the usable endpoints' capacity: 1 if the
	// queue uses its share, more if it uses what others leave.
	Used float64
	// PlacedFirst counts the tasks of this term that were placed before waiting ones of other
	// queues because of the share.
	PlacedFirst uint64
}

// ShareUses returns the use of all shares, in the order of queues and pools.
func (p *Planner) ShareUses(now time.Time) []ShareUse {
	var uses []ShareUse
	for _, s := range p.shares.sorted {
		u := ShareUse{Queue: s.queue, Pool: s.pool, PlacedFirst: s.placedFirst}
		if claim := p.claimable(now, s); claim > 0 {
			u.Used = float64(s.running) / float64(claim)
		}
		uses = append(uses, u)
	}
	return uses
}
