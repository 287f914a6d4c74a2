package placement

import (
	"slices"
	"sort"
	"time"
)

// group holds the waiting tasks of one step of a job.
type group struct {
	job   *job
	step  int
	tasks []int
	use   use
}

// use tells what a group's result is still worth to its caller.
type use uint8

const (
	// inTime groups can still meet their job's objective.
	inTime use = iota
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
	if g.use == expired || o.use == expired {
		if g.use != o.use {
			return o.use == expired
		}
	}
	if p, q := g.job.spec.Priority, o.job.spec.Priority; p != q {
		return p < q
	}
	if g.use != o.use {
		return g.use < o.use
	}
	return g.job.due.Before(o.job.due)
}

// queue holds the groups in the order in which they are placed.
type queue struct {
	groups []*group
}

func (q *queue) insert(g *group) {
	at := sort.Search(len(q.groups), func(i int) bool { return g.before(q.groups[i]) })
	q.groups = slices.Insert(q.groups, at, g)
}

func (q *queue) remove(g *group) {
	if at := slices.Index(q.groups, g); at >= 0 {
		q.groups = slices.Delete(q.groups, at, at+1)
	}
}

// demote moves the groups whose worth has fallen behind the others. fastest
// returns the shortest time in which a task of a group can run.
func (q *queue) demote(now time.Time, fastest func(*group) time.Duration) {
	var fallen []*group
	for _, g := range q.groups {
		if g.worth(now, fastest) > g.use {
			fallen = append(fallen, g)
		}
	}
	for _, g := range fallen {
		q.remove(g)
		g.use = g.worth(now, fastest)
		q.insert(g)
	}
}

func (g *group) worth(now time.Time, fastest func(*group) time.Duration) use {
	switch {
	case now.After(g.job.expired):
		return expired
	case now.Add(fastest(g)).After(g.job.due):
		return late
	}
	return inTime
}
