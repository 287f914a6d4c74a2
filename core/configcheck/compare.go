package configcheck

import (
	"fmt"
	"strconv"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// Kind is what a difference changes. Scripts rely on the values.
type Kind string

// Kinds of differences.
const (
	VersionChanged  Kind = "version"
	RouteAdded      Kind = "route_added"
	RouteRemoved    Kind = "route_removed"
	RouteRenamed    Kind = "route_renamed"
	BackendChanged  Kind = "route_backend"
	TimeoutChanged  Kind = "route_timeout"
	PriorityChanged Kind = "route_priority"
	AttemptsChanged Kind = "route_max_attempts"
	TargetChanged   Kind = "route_target"
	StretchChanged  Kind = "route_stretch"
	ServiceAdded    Kind = "service_added"
	ServiceRemoved  Kind = "service_removed"
)

const effectNone = "none for callers"

// Difference is a change from the configuration in force, with its effect on callers.
type Difference struct {
	Kind     Kind
	Name     string
	Old, New string
	Effect   string
}

// Compare returns what changes for callers when next comes into force after current.
// Routes are the same if host and prefix are, since these are what callers use.
func Compare(current, next *work.Configuration) []Difference {
	var d differences
	was, is := byPlace(current), byPlace(next)
	for i := range current.Queues {
		q := &current.Queues[i]
		if at := placeOf(q); is[at] == nil {
			d.add(RouteRemoved, q.Name, at.String(), "", "callers of %s get 404 once it is in force, also for jobs that they have there", at)
		}
	}
	for i := range next.Queues {
		q := &next.Queues[i]
		at := placeOf(q)
		if before := was[at]; before != nil {
			d.compareRoute(before, q, at)
		} else {
			d.add(RouteAdded, q.Name, "", at.String(), "callers of %s, who get 404 now, are served by service %q", at, q.Pool)
		}
	}
	d.compareServices(current.Pools, next.Pools)
	if current.Version != next.Version || len(d) > 0 {
		effect := "callers see the differences below once it is in force"
		switch {
		case next.Version <= current.Version:
			effect = "none: it would be acknowledged and ignored, since only a higher version comes into force"
		case len(d) == 0:
			effect = effectNone
		}
		d = append(differences{{VersionChanged, "", strconv.FormatUint(current.Version, 10), strconv.FormatUint(next.Version, 10), effect}}, d...)
	}
	return d
}

func byPlace(c *work.Configuration) map[place]*work.Queue {
	routes := map[place]*work.Queue{}
	for i := range c.Queues {
		routes[placeOf(&c.Queues[i])] = &c.Queues[i]
	}
	return routes
}

type differences []Difference

func (d *differences) add(kind Kind, name, before, after, effect string, args ...any) {
	*d = append(*d, Difference{kind, name, before, after, fmt.Sprintf(effect, args...)})
}

func (d *differences) compareRoute(before, after *work.Queue, at place) {
	name := after.Name
	if before.Name != name {
		d.add(RouteRenamed, name, before.Name, name, effectNone+"; logs and metrics have the new name")
	}
	if before.Pool != after.Pool {
		d.add(BackendChanged, name, before.Pool, after.Pool, "new jobs of callers of %s run on the endpoints of service %q; jobs accepted before stay with %q", at, after.Pool, before.Pool)
	}
	if old, now := before.Timeout, after.Timeout; old != now {
		d.add(TimeoutChanged, name, old.String(), now.String(), "a %s time-out: an answer to callers of %s has to come within %v", choose(now < old, "shorter", "longer"), at, now)
	}
	if old, now := before.Priority, after.Priority; old != now {
		d.add(PriorityChanged, name, strconv.Itoa(old), strconv.Itoa(now), "a %s: under load, callers of %s are served after those of routes with a number below %d",
			choose(now > old, "lower priority", "higher priority"), at, now)
	}
	if old, now := max(before.MaxAttempts, 1), max(after.MaxAttempts, 1); old != now {
		d.add(AttemptsChanged, name, strconv.Itoa(old), strconv.Itoa(now), "jobs of callers of %s fail after %s failed runs of a task", at, choose(now < old, "fewer", "more"))
	}
	if old, now := before.Target, after.Target; old != now {
		d.addObjective(TargetChanged, name, old.String(), now.String(), now < old, at)
	}
	if old, now := before.Stretch, after.Stretch; old != now {
		d.addObjective(StretchChanged, name, formatFloat(old), formatFloat(now), now < old, at)
	}
}

// addObjective adds a change of the objective, of which admission is a multiple.
func (d *differences) addObjective(kind Kind, name, before, after string, shorter bool, at place) {
	effect := "a longer objective: under load, fewer new jobs of callers of %s are refused, and they wait longer"
	if shorter {
		effect = "a shorter objective: under load, more new jobs of callers of %s are refused"
	}
	d.add(kind, name, before, after, effect, at)
}

func (d *differences) compareServices(before, after []string) {
	was, is := setOf(before), setOf(after)
	for _, name := range before {
		if !is[name] {
			d.add(ServiceRemoved, name, name, "", effectNone+" but those of its routes")
			is[name] = true // listed once if the configuration repeats it
		}
	}
	for _, name := range after {
		if !was[name] {
			d.add(ServiceAdded, name, "", name, effectNone+" until a route uses it")
			was[name] = true
		}
	}
}

func setOf(names []string) map[string]bool {
	set := map[string]bool{}
	for _, name := range names {
		set[name] = true
	}
	return set
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
