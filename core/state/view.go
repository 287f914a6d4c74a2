package state

import (
	"maps"

	"github.com/cicadapulley/cicadapulley/core/invariant"
	"github.com/cicadapulley/cicadapulley/core/job"
)

// View is an update for a watcher: either everything (Full) or the objects that
// changed after the watcher's revision.
type View struct {
	Revision uint64
	Full     bool
	Services []Service
	Quotas   []Quota
	Drains   []DrainMark
	Limits   Limits
	Members  []Member
	// TakenOver lists jobs that the watching entry now owns.
	TakenOver []job.Record
}

// View returns what changed after a revision, for the watcher with a member ID.
// The view is full if the revision is zero, older than the last pruning of
// members, or above the machine's own.
func (m *Machine) View(after uint64, watcher string) View {
	full := after == 0 || after < m.prunedRevision || after > m.configRevision
	if full {
		after = 0
	}
	v := View{Revision: m.configRevision, Full: full, Limits: m.config.Limits}
	for _, c := range m.changesAfter(after) {
		m.addToView(&v, c)
	}
	v.TakenOver = m.TakenOver(watcher, after)
	return v
}

// ForAgent reduces a view to what an agent needs, the configuration, and
// reports whether it has any that is newer than a revision. Members are most of
// the changes, and the cost of sending each to every agent would grow with the
// square of the number of agents.
func (v View) ForAgent(after uint64) (View, bool) {
	v.Members = nil
	objects := len(v.Services) + len(v.Quotas) + len(v.Drains)
	return v, v.Full || objects > 0 || v.Limits.Revision > after
}

func (m *Machine) addToView(v *View, c change) {
	switch c.kind {
	case serviceObject:
		v.Services = append(v.Services, m.config.Services[c.name])
	case quotaObject:
		v.Quotas = append(v.Quotas, m.config.Quotas[c.name])
	case drainObject:
		v.Drains = append(v.Drains, m.config.Drains[c.name])
	case memberObject:
		v.Members = append(v.Members, m.members[c.name])
	}
}

// Replica is a watcher's copy of configuration and members. It is immutable:
// Merge returns a new one, so readers need no lock.
type Replica struct {
	Revision uint64
	Config   Config
	Members  map[string]Member
}

// NewReplica returns an empty copy at revision zero.
func NewReplica() *Replica {
	return &Replica{Config: NewConfig(), Members: map[string]Member{}}
}

// Merge returns the replica after a view, and whether it differs. A view that is
// not newer than the replica, for example one from a deposed leader, is ignored.
func (r *Replica) Merge(v View) (*Replica, bool) {
	if v.Revision <= r.Revision {
		return r, false
	}
	next := r.mergeBase(v.Full)
	for _, s := range v.Services {
		next.Config.Services[s.Name] = s
	}
	for _, q := range v.Quotas {
		next.Config.Quotas[q.Caller] = q
	}
	for _, d := range v.Drains {
		next.Config.Drains[d.Endpoint] = d
	}
	for _, member := range v.Members {
		next.Members[member.ID] = member
	}
	next.Config.Limits = v.Limits
	next.Revision = v.Revision
	r.checkMonotonic(next)
	return next, true
}

func (r *Replica) mergeBase(full bool) *Replica {
	if full {
		return NewReplica()
	}
	return &Replica{Config: r.Config.Clone(), Members: maps.Clone(r.Members)}
}

// checkMonotonic asserts that no object of the configuration has an older ticket
// than before or is missing.
func (r *Replica) checkMonotonic(next *Replica) {
	for name, s := range r.Config.Services {
		checkTicket("service "+name, s.Ticket, next.Config.Services[name].Ticket)
	}
	for caller, q := range r.Config.Quotas {
		checkTicket("quota "+caller, q.Ticket, next.Config.Quotas[caller].Ticket)
	}
	for id, d := range r.Config.Drains {
		checkTicket("drain mark "+id, d.Ticket, next.Config.Drains[id].Ticket)
	}
	checkTicket("limits", r.Config.Limits.Ticket, next.Config.Limits.Ticket)
}

func checkTicket(object string, old, next uint64) {
	invariant.Check(next >= old, invariant.ConfigMonotonic, "%s went from ticket %d to %d", object, old, next)
}

// HighestTicket returns the highest ticket number in force, zero before the first.
func (r *Replica) HighestTicket() uint64 {
	highest := r.Config.Limits.Ticket
	for _, s := range r.Config.Services {
		highest = max(highest, s.Ticket)
	}
	for _, q := range r.Config.Quotas {
		highest = max(highest, q.Ticket)
	}
	for _, d := range r.Config.Drains {
		highest = max(highest, d.Ticket)
	}
	return highest
}
