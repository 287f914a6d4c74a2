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

// use tells what a group's result is still worth to its caller.
type timeliness uint8

const (
	// inTime groups can still meet their job's objective.
	inTime timeliness = iota
	// late groups can't, but their result is of some worth. They come after those
	// of their priority that can: under overload some jobs are late, and without
	// this all of them would be.
	late
	// expired groups are worth nothing any more. They come last, but an accepted
	// job is still completed.
	expired
)

// before orders groups by the priority of their queue, by what they are worth, and
// by the time of their objective.
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

// demote moves the groups whose worth has fallen behind the others. fastest
// returns the shortest time in which a task of a group can run.
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
