package ticketfile

import (
	"fmt"
	"slices"

	"github.com/cicadapulley/cicadapulley/core/state"
)

// Change is what a ticket would do to one object.
type Change struct {
	Object string `json:"object"`
	// Before and After are empty where the object is absent.
	Before string `json:"before,omitempty"`
	After  string `json:"after"`
	// Ticket is the number of the last ticket that wrote the object, zero if
	// none did.
	Ticket uint64 `json:"ticket"`
	// Stale means that Ticket is not below the new ticket's number, so that
	// the new ticket would be refused.
	Stale bool `json:"stale,omitempty"`
}

// Differs reports whether the object would change.
func (c Change) Differs() bool { return c.Before != c.After }

// Diff compares a ticket with the configuration in force.
func Diff(config state.Config, t state.Ticket) []Change {
	var changes []Change
	add := func(object, before, after string, lastTicket uint64) {
		changes = append(changes, Change{Object: object, Before: before, After: after, Ticket: lastTicket, Stale: lastTicket >= t.Number})
	}
	for _, s := range t.Services {
		old := config.Services[s.Name]
		add(fmt.Sprintf("service %q", s.Name), describeService(old), describeService(s), old.Ticket)
		for _, name := range kindNames(old, s) {
			oldKind, inOld := old.Kind(name)
			newKind, inNew := s.Kind(name)
			add(fmt.Sprintf("service %q kind %q", s.Name, name), describeKind(oldKind, inOld), describeKind(newKind, inNew), old.Ticket)
		}
	}
	for _, q := range t.Quotas {
		old := config.Quotas[q.Caller]
		add(fmt.Sprintf("quota of caller %q", q.Caller), describeQuota(old), describeQuota(q), old.Ticket)
	}
	for _, d := range t.Drains {
		old := config.Drains[d.Endpoint]
		add(fmt.Sprintf("drain mark of endpoint %q", d.Endpoint), describeDrain(old), describeDrain(d), old.Ticket)
	}
	if t.Limits != nil {
		add("limits", describeLimits(config.Limits), describeLimits(*t.Limits), config.Limits.Ticket)
	}
	return changes
}

// kindNames returns the sorted names of the kinds in either state of a service.
func kindNames(a, b state.Service) []string {
	var names []string
	for _, k := range slices.Concat(a.Kinds, b.Kinds) {
		names = append(names, k.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func describeService(s state.Service) string {
	switch {
	case s.Name == "":
		return ""
	case s.Removed:
		return "removed"
	}
	return "offered"
}

func describeKind(k state.Kind, found bool) string {
	if !found {
		return ""
	}
	text := fmt.Sprintf("repeatable=%t expected_ms=%d", k.Repeatable, k.ExpectedMS)
	if k.Needs == (state.Resources{}) {
		return text
	}
	return fmt.Sprintf("%s milli_cpu=%d memory_mb=%d accelerators=%d", text, k.Needs.MilliCPU, k.Needs.MemoryMB, k.Needs.Accelerators)
}

func describeQuota(q state.Quota) string {
	if q.Caller == "" {
		return ""
	}
	return fmt.Sprintf("max_tasks=%d weight=%d", q.MaxTasks, q.Weight)
}

func describeDrain(d state.DrainMark) string {
	if d.Endpoint == "" {
		return ""
	}
	return fmt.Sprintf("drain=%t", d.Drain)
}

func describeLimits(l state.Limits) string { return fmt.Sprintf("max_queued=%d", l.MaxQueued) }
