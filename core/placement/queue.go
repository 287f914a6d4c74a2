package placement

import (
	"slices"
	"sort"
	"time"
)

// group holds the waiting tasks of one step of a job.
type group struct {
	job        *job
	step       int
	tasks      []int
	timeliness timeliness
}

// timeliness is whether a group's job can still be in time for its caller.
type timeliness uint8

const (
	// inTime groups can still meet their job's objective.
	inTime timeliness = iota
	// late groups cannot, but the caller still has some use for the result. They
	// come after the groups of their priority that can meet the objective:
	// otherwise all jobs, and not only some, would be late under overload.
	late
	// expired groups have a result that the caller has no use for. They come last,
	// but an accepted job is still completed.
	expired
)

// before orders groups by the priority of their queue, then by timeliness, then by
// the time of their objective. Expired groups come last in any case.
func (g *group) before(o *group) bool {
	if g.timeliness == expired || o.timeliness == expired {
		if g.timeliness != o.timeliness {
			return o.timeliness == expired
		}
	}
	if p, q := g.job.spec.Priority, o.job.spec.Priority; p != q {
		return p < q
	}
	if g.timeliness != o.timeliness {
		return g.timeliness < o.timeliness
	}
	return g.job.due.Before(o.job.due)
}

// queue holds the groups in the order in which they are placed.
type queue struct {
	groups []*group
}

func (q *queue) insert(g *group) {
	index := sort.Search(len(q.groups), func(i int) bool { return g.before(q.groups[i]) })
	q.groups = slices.Insert(q.groups, index, g)
}

func (q *queue) remove(g *group) {
	if index := slices.Index(q.groups, g); index >= 0 {
		q.groups = slices.Delete(q.groups, index, index+1)
	}
}

// demote moves groups that have become late or expired back in the queue.
// minRunTime returns the shortest time in which a task of a group can run.
func (q *queue) demote(now time.Time, minRunTime func(*group) time.Duration) {
	var demoted []*group
	for _, g := range q.groups {
		if g.currentTimeliness(now, minRunTime) > g.timeliness {
			demoted = append(demoted, g)
		}
	}
	for _, g := range demoted {
		q.remove(g)
		g.timeliness = g.currentTimeliness(now, minRunTime)
		q.insert(g)
	}
}

func (g *group) currentTimeliness(now time.Time, minRunTime func(*group) time.Duration) timeliness {
	switch {
	case now.After(g.job.expiresAt):
		return expired
	case now.Add(minRunTime(g)).After(g.job.due):
		return late
	}
	return inTime
}
