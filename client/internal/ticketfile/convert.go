package ticketfile

import "github.com/cicadapulley/cicadapulley/core/state"

// mapSlice converts each element. It returns nil if there are none.
func mapSlice[A, B any](list []A, convert func(A) B) []B {
	var out []B
	for _, v := range list {
		out = append(out, convert(v))
	}
	return out
}

func (f *file) toTicket() state.Ticket {
	t := state.Ticket{
		Number:   f.Number,
		Author:   f.Author,
		Services: mapSlice(f.Services, service.toState),
		Quotas:   mapSlice(f.Quotas, quota.toState),
		Drains:   mapSlice(f.Drains, drain.toState),
	}
	if f.Limits != nil {
		t.Limits = &state.Limits{MaxQueued: f.Limits.MaxQueued}
	}
	return t
}

func (s service) toState() state.Service {
	return state.Service{Name: s.Name, Removed: s.Removed, Kinds: mapSlice(s.Kinds, kind.toState)}
}

func (k kind) toState() state.Kind {
	out := state.Kind{Name: k.Name, Repeatable: k.Repeatable, ExpectedMS: k.ExpectedMS}
	if k.Needs != nil {
		out.Needs = state.Resources{MilliCPU: k.Needs.MilliCPU, MemoryMB: k.Needs.MemoryMB, Accelerators: k.Needs.Accelerators}
	}
	return out
}

func (q quota) toState() state.Quota {
	return state.Quota{Caller: q.Caller, MaxTasks: q.MaxTasks, Weight: q.Weight}
}

func (d drain) toState() state.DrainMark {
	return state.DrainMark{Endpoint: d.Endpoint, Drain: d.Drain}
}

func fromTicket(t state.Ticket) file {
	f := file{
		Number:   t.Number,
		Author:   t.Author,
		Services: mapSlice(t.Services, fromService),
		Quotas:   mapSlice(t.Quotas, fromQuota),
		Drains:   mapSlice(t.Drains, fromDrain),
	}
	if t.Limits != nil {
		f.Limits = &limits{MaxQueued: t.Limits.MaxQueued}
	}
	return f
}

func fromService(s state.Service) service {
	return service{Name: s.Name, Removed: s.Removed, Kinds: mapSlice(s.Kinds, fromKind)}
}

func fromKind(k state.Kind) kind {
	out := kind{Name: k.Name, Repeatable: k.Repeatable, ExpectedMS: k.ExpectedMS}
	if k.Needs != (state.Resources{}) {
		out.Needs = &needs{MilliCPU: k.Needs.MilliCPU, MemoryMB: k.Needs.MemoryMB, Accelerators: k.Needs.Accelerators}
	}
	return out
}

func fromQuota(q state.Quota) quota {
	return quota{Caller: q.Caller, MaxTasks: q.MaxTasks, Weight: q.Weight}
}

func fromDrain(d state.DrainMark) drain {
	return drain{Endpoint: d.Endpoint, Drain: d.Drain}
}
