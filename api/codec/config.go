package codec

import (
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/state"
)

// mapSlice converts each element of a list.
func mapSlice[A, B any](list []A, convert func(A) B) []B {
	out := make([]B, len(list))
	for i, v := range list {
		out[i] = convert(v)
	}
	return out
}

// ResourcesToRPC encodes resources; the zero value is encoded as nil.
func ResourcesToRPC(r state.Resources) *rpc.Resources {
	if r == (state.Resources{}) {
		return nil
	}
	return &rpc.Resources{MilliCpu: r.MilliCPU, MemoryMb: r.MemoryMB, Accelerators: r.Accelerators}
}

// ResourcesFromRPC decodes resources.
func ResourcesFromRPC(r *rpc.Resources) state.Resources {
	return state.Resources{MilliCPU: r.GetMilliCpu(), MemoryMB: r.GetMemoryMb(), Accelerators: r.GetAccelerators()}
}

func kindToRPC(k state.Kind) *rpc.Kind {
	return &rpc.Kind{Name: k.Name, Repeatable: k.Repeatable, ExpectedMs: k.ExpectedMS, Needs: ResourcesToRPC(k.Needs)}
}

func kindFromRPC(k *rpc.Kind) state.Kind {
	return state.Kind{Name: k.Name, Repeatable: k.Repeatable, ExpectedMS: k.ExpectedMs, Needs: ResourcesFromRPC(k.Needs)}
}

func serviceToRPC(s state.Service) *rpc.ServiceConfig {
	return &rpc.ServiceConfig{
		Name:     s.Name,
		Kinds:    mapSlice(s.Kinds, kindToRPC),
		Removed:  s.Removed,
		Ticket:   s.Ticket,
		Revision: s.Revision,
	}
}

func serviceFromRPC(s *rpc.ServiceConfig) state.Service {
	return state.Service{
		Name:     s.Name,
		Kinds:    mapSlice(s.Kinds, kindFromRPC),
		Removed:  s.Removed,
		Ticket:   s.Ticket,
		Revision: s.Revision,
	}
}

func quotaToRPC(q state.Quota) *rpc.Quota {
	return &rpc.Quota{Caller: q.Caller, MaxTasks: q.MaxTasks, Weight: q.Weight, Ticket: q.Ticket, Revision: q.Revision}
}

func quotaFromRPC(q *rpc.Quota) state.Quota {
	return state.Quota{Caller: q.Caller, MaxTasks: q.MaxTasks, Weight: q.Weight, Ticket: q.Ticket, Revision: q.Revision}
}

func drainToRPC(d state.DrainMark) *rpc.DrainMark {
	return &rpc.DrainMark{Endpoint: d.Endpoint, Drain: d.Drain, Ticket: d.Ticket, Revision: d.Revision}
}

func drainFromRPC(d *rpc.DrainMark) state.DrainMark {
	return state.DrainMark{Endpoint: d.Endpoint, Drain: d.Drain, Ticket: d.Ticket, Revision: d.Revision}
}

func limitsToRPC(l state.Limits) *rpc.Limits {
	return &rpc.Limits{MaxQueued: l.MaxQueued, Ticket: l.Ticket, Revision: l.Revision}
}

func limitsFromRPC(l *rpc.Limits) state.Limits {
	return state.Limits{MaxQueued: l.GetMaxQueued(), Ticket: l.GetTicket(), Revision: l.GetRevision()}
}

// TicketToRPC encodes a ticket.
func TicketToRPC(t state.Ticket) *rpc.Ticket {
	out := &rpc.Ticket{
		Number:   t.Number,
		Author:   t.Author,
		Services: mapSlice(t.Services, serviceToRPC),
		Quotas:   mapSlice(t.Quotas, quotaToRPC),
		Drains:   mapSlice(t.Drains, drainToRPC),
	}
	if t.Limits != nil {
		out.Limits = limitsToRPC(*t.Limits)
	}
	return out
}

// TicketFromRPC decodes a ticket.
func TicketFromRPC(t *rpc.Ticket) state.Ticket {
	out := state.Ticket{
		Number:   t.GetNumber(),
		Author:   t.GetAuthor(),
		Services: mapSlice(t.GetServices(), serviceFromRPC),
		Quotas:   mapSlice(t.GetQuotas(), quotaFromRPC),
		Drains:   mapSlice(t.GetDrains(), drainFromRPC),
	}
	if t.GetLimits() != nil {
		limits := limitsFromRPC(t.Limits)
		out.Limits = &limits
	}
	return out
}

// AppliedTicketToRPC encodes a ticket of the history.
func AppliedTicketToRPC(t state.AppliedTicket) *rpc.AppliedTicket {
	return &rpc.AppliedTicket{Ticket: TicketToRPC(t.Ticket), Digest: t.Digest[:], Revision: t.Revision}
}

// AppliedTicketFromRPC decodes a ticket of the history.
func AppliedTicketFromRPC(t *rpc.AppliedTicket) state.AppliedTicket {
	out := state.AppliedTicket{Ticket: TicketFromRPC(t.GetTicket()), Revision: t.GetRevision()}
	copy(out.Digest[:], t.GetDigest())
	return out
}

// ConfigToRPC encodes the configuration in force.
func ConfigToRPC(c state.Config) *rpc.GetConfigResponse {
	out := &rpc.GetConfigResponse{Limits: limitsToRPC(c.Limits)}
	for _, s := range c.Services {
		out.Services = append(out.Services, serviceToRPC(s))
	}
	for _, q := range c.Quotas {
		out.Quotas = append(out.Quotas, quotaToRPC(q))
	}
	for _, d := range c.Drains {
		out.Drains = append(out.Drains, drainToRPC(d))
	}
	return out
}

// ConfigFromRPC decodes a configuration.
func ConfigFromRPC(c *rpc.GetConfigResponse) state.Config {
	return configFromLists(c.GetServices(), c.GetQuotas(), c.GetDrains(), c.GetLimits())
}

func configFromLists(services []*rpc.ServiceConfig, quotas []*rpc.Quota, drains []*rpc.DrainMark, limits *rpc.Limits) state.Config {
	c := state.NewConfig()
	for _, s := range services {
		c.Services[s.Name] = serviceFromRPC(s)
	}
	for _, q := range quotas {
		c.Quotas[q.Caller] = quotaFromRPC(q)
	}
	for _, d := range drains {
		c.Drains[d.Endpoint] = drainFromRPC(d)
	}
	c.Limits = limitsFromRPC(limits)
	return c
}
