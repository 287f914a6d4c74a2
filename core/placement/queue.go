package placement

import (
	"slices"
	"sort"
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// group holds the waiting tasks of one step of a job.
type group struct {
	job        *job
	step       int
	tasks      []int
	timeliness timeliness
	// heldBackSince is when a task of the group first found no endpoint; zero before that.
	heldBackSince time.Time
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

// workload is an amount of work at nominal speed, in thousandths of a core times
// milliseconds. Sums of integers do not drift.
type workload int64

// maxTaskWorkload bounds the workload of a task, about a million core-seconds, so that
// the sum over two million queued tasks does not overflow.
const maxTaskWorkload workload = 1 << 42

// seconds returns the workload in core-seconds.
func (w workload) seconds() float64 { return float64(w) / 1e6 }

// taskWorkload returns the workload of one task of the group.
func (g *group) taskWorkload() workload { return taskWorkload(&g.job.spec.Steps[g.step]) }

// taskWorkload returns the workload of one task of a step.
func taskWorkload(step *work.Step) workload {
	cpu, estimate := workload(step.Need.CPU), workload(step.Estimate.Milliseconds())
	if cpu > 0 && estimate > maxTaskWorkload/cpu {
		return maxTaskWorkload
	}
	return cpu * estimate
}

// jobWorkload returns the workload of all tasks of a job.
func jobWorkload(j *work.Job) workload {
	var sum workload
	for i := range j.Steps {
		sum += workload(j.Steps[i].Tasks) * taskWorkload(&j.Steps[i])
	}
	return sum
}

// loadKey identifies the work of one pool and priority.
type loadKey struct {
	pool     string
	priority int
}

// loads has the sums of work by pool and priority, without sums of 0.
type loads map[loadKey]workload

func (l loads) add(key loadKey, w workload) {
	if sum := l[key] + w; sum != 0 {
		l[key] = sum
	} else {
		delete(l, key)
	}
}

// ahead returns the work that comes before a new job of the pool and priority.
func (l loads) ahead(pool string, priority int) workload {
	var sum workload
	for key, w := range l {
		if key.pool == pool && key.priority <= priority {
			sum += w
		}
	}
	return sum
}

// queue holds the groups in the order in which they are placed.
type queue struct {
	groups []*group
	// tasks counts the tasks of all groups.
	tasks int
	// load is the workload of the groups that are not expired. It equals the sum over
	// these groups at all times.
	load loads
}

func newQueue() queue { return queue{load: loads{}} }

// addLoad counts n tasks more, or fewer if n is negative.
func (q *queue) addLoad(g *group, n int) {
	q.tasks += n
	if n == 0 || g.timeliness == expired {
		return
	}
	q.load.add(loadKey{pool: g.job.spec.Pool, priority: g.job.spec.Priority}, workload(n)*g.taskWorkload())
	if s := g.job.share; s != nil {
		s.addQueued(g, n)
	}
}

func (q *queue) insert(g *group) {
	q.groups = insertInOrder(q.groups, g)
	if s := g.job.share; s != nil {
		s.groups = insertInOrder(s.groups, g)
	}
	q.addLoad(g, len(g.tasks))
}

// insertInOrder inserts a group behind those that are not after it.
func insertInOrder(groups []*group, g *group) []*group {
	index := sort.Search(len(groups), func(i int) bool { return g.before(groups[i]) })
	return slices.Insert(groups, index, g)
}

// first returns the first group of a pool, nil if there is none.
func (q *queue) first(pool string) *group {
	for _, g := range q.groups {
		if g.job.spec.Pool == pool {
			return g
		}
	}
	return nil
}

func (q *queue) remove(g *group) {
	if index := slices.Index(q.groups, g); index >= 0 {
		q.removeAt(index)
	}
}

func (q *queue) removeAt(index int) {
	g := q.groups[index]
	q.groups = slices.Delete(q.groups, index, index+1)
	if s := g.job.share; s != nil {
		index := slices.Index(s.groups, g)
		s.groups = slices.Delete(s.groups, index, index+1)
	}
	q.addLoad(g, -len(g.tasks))
}

// push adds a task to a group of the queue.
func (q *queue) push(g *group, task int) {
	g.tasks = append(g.tasks, task)
	q.addLoad(g, 1)
}

// removeTask removes a task from a group of the queue.
func (q *queue) removeTask(g *group, task int) {
	if index := slices.Index(g.tasks, task); index >= 0 {
		g.tasks = slices.Delete(g.tasks, index, index+1)
		q.addLoad(g, -1)
	}
}

// removeFirst removes the first n tasks of a group of the queue.
func (q *queue) removeFirst(g *group, n int) {
	g.tasks = slices.Delete(g.tasks, 0, n)
	q.addLoad(g, -n)
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
