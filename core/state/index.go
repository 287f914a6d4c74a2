package state

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cicadapulley/cicadapulley/core/job"
)

// owner names the entry process that runs a job.
type owner struct {
	id          string
	incarnation uint64
}

// ownedJobs holds the running jobs of one owner. Jobs that were taken over are
// indexed separately too, because every view of an entry lists them.
type ownedJobs struct {
	all       map[job.Key]*job.Record
	takenOver map[job.Key]*job.Record
}

// jobIndex finds running jobs by their owner. It is derived from the records.
type jobIndex map[owner]*ownedJobs

func ownerOf(r *job.Record) owner {
	return owner{id: r.Owner, incarnation: r.OwnerIncarnation}
}

func (x jobIndex) add(r *job.Record) {
	jobs, ok := x[ownerOf(r)]
	if !ok {
		jobs = &ownedJobs{all: map[job.Key]*job.Record{}, takenOver: map[job.Key]*job.Record{}}
		x[ownerOf(r)] = jobs
	}
	jobs.all[r.Key] = r
	if r.Epoch > 1 {
		jobs.takenOver[r.Key] = r
	}
}

func (x jobIndex) remove(r *job.Record) {
	jobs := x[ownerOf(r)]
	delete(jobs.all, r.Key)
	delete(jobs.takenOver, r.Key)
	if len(jobs.all) == 0 {
		delete(x, ownerOf(r))
	}
}

// objectKind is the kind of a watched object.
type objectKind uint8

const (
	serviceObject objectKind = iota
	quotaObject
	drainObject
	memberObject
)

// change records that an object was written at a revision. It is out of date once
// the object has been written again or removed.
type change struct {
	revision uint64
	kind     objectKind
	name     string
}

// compactSlack is the number of changes kept beyond twice the number of objects
// before out-of-date ones are dropped. It prevents machines with few objects from
// compacting at every change.
const compactSlack = 64

// recordChange appends a change of an object that is about to be stored at a
// revision. A ticket that names an object twice changes it once.
func (m *Machine) recordChange(kind objectKind, name string, revision uint64) {
	if m.revisionOf(kind, name) == revision {
		return
	}
	m.changes = append(m.changes, change{revision: revision, kind: kind, name: name})
	if len(m.changes) > 2*m.objectCount()+compactSlack {
		m.changes = slices.DeleteFunc(m.changes, func(c change) bool {
			return c.revision != revision && m.revisionOf(c.kind, c.name) != c.revision
		})
	}
}

func (m *Machine) objectCount() int {
	return len(m.config.Services) + len(m.config.Quotas) + len(m.config.Drains) + len(m.members)
}

func (m *Machine) revisionOf(kind objectKind, name string) uint64 {
	switch kind {
	case serviceObject:
		return m.config.Services[name].Revision
	case quotaObject:
		return m.config.Quotas[name].Revision
	case drainObject:
		return m.config.Drains[name].Revision
	}
	return m.members[name].Revision
}

// compareChanges orders the changes of one ticket by kind and name, so that a
// restored machine lists them like the original one.
func compareChanges(a, b change) int {
	return cmp.Or(
		cmp.Compare(a.revision, b.revision),
		cmp.Compare(a.kind, b.kind),
		cmp.Compare(a.name, b.name),
	)
}

// changesAfter lists the current objects' changes after a revision, oldest first.
func (m *Machine) changesAfter(after uint64) []change {
	first := sort.Search(len(m.changes), func(i int) bool { return m.changes[i].revision > after })
	var list []change
	for _, c := range m.changes[first:] {
		if m.revisionOf(c.kind, c.name) == c.revision {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, compareChanges)
	return list
}

// rebuildChanges derives the list of changes from the objects.
func (m *Machine) rebuildChanges() {
	m.changes = nil
	for name, s := range m.config.Services {
		m.changes = append(m.changes, change{s.Revision, serviceObject, name})
	}
	for name, q := range m.config.Quotas {
		m.changes = append(m.changes, change{q.Revision, quotaObject, name})
	}
	for name, d := range m.config.Drains {
		m.changes = append(m.changes, change{d.Revision, drainObject, name})
	}
	for name, member := range m.members {
		m.changes = append(m.changes, change{member.Revision, memberObject, name})
	}
	slices.SortFunc(m.changes, compareChanges)
}
