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
	// late groups come after all others: their result is worth nothing any
	// more, but an accepted job is still completed.
	late bool
}

// before orders groups by worth, the priority of their queue, and the time of
// their objective.
func (g *group) before(o *group) bool {
	if g.late != o.late {
		return o.late
	}
	if p, q := g.job.spec.Priority, o.job.spec.Priority; p != q {
		return p < q
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

// demote moves the groups whose job has expired behind the others.
func (q *queue) demote(now time.Time) {
	var expired []*group
	for _, g := range q.groups {
		if !g.late && now.After(g.job.expired) {
			expired = append(expired, g)
		}
	}
	for _, g := range expired {
		q.remove(g)
		g.late = true
		q.insert(g)
	}
}
