package state

import "maps"

// Kind is one kind of request that a service accepts.
type Kind struct {
	Name string
	// Repeatable permits a second start of a task after a lost answer.
	Repeatable bool
	// ExpectedMS is the operators' estimate of the run time in milliseconds. It is
	// the initial value of the estimates that entries make from measured run times.
	// Zero means unknown.
	ExpectedMS int64
	// Needs are the resources that one task requires.
	Needs Resources
}

// Service is a set of kinds under one name.
type Service struct {
	Name  string
	Kinds []Kind
	// Removed marks a service that no longer accepts requests.
	Removed bool
	// Ticket is the number of the last ticket that changed the service.
	Ticket uint64
	// Revision is the log index of the last change.
	Revision uint64
}

// Kind returns the kind with a name.
func (s Service) Kind(name string) (Kind, bool) {
	for _, k := range s.Kinds {
		if k.Name == name {
			return k, true
		}
	}
	return Kind{}, false
}

// Quota bounds what one caller may have in progress at each entry.
type Quota struct {
	Caller string
	// MaxTasks is the number of unfinished tasks; zero means no bound.
	MaxTasks int64
	// Weight is the caller's share of a contended queue; zero means 1.
	Weight   int64
	Ticket   uint64
	Revision uint64
}

// Limits bounds each entry's queue.
type Limits struct {
	// MaxQueued bounds the tasks waiting at one entry; zero means the default.
	MaxQueued int64
	Ticket    uint64
	Revision  uint64
}

// DrainMark tells entries to send no new work to an endpoint.
type DrainMark struct {
	// Endpoint is the member ID of the endpoint's agent.
	Endpoint string
	Drain    bool
	Ticket   uint64
	Revision uint64
}

// Config is the configuration in force.
type Config struct {
	Services map[string]Service
	Quotas   map[string]Quota
	Drains   map[string]DrainMark
	Limits   Limits
}

// NewConfig returns an empty configuration.
func NewConfig() Config {
	return Config{
		Services: map[string]Service{},
		Quotas:   map[string]Quota{},
		Drains:   map[string]DrainMark{},
	}
}

// Clone returns a copy that shares no map with c.
func (c Config) Clone() Config {
	c.Services = maps.Clone(c.Services)
	c.Quotas = maps.Clone(c.Quotas)
	c.Drains = maps.Clone(c.Drains)
	return c
}

// hasAny reports whether any object of a ticket already exists.
func (c Config) hasAny(t Ticket) bool {
	for _, s := range t.Services {
		if _, ok := c.Services[s.Name]; ok {
			return true
		}
	}
	for _, q := range t.Quotas {
		if _, ok := c.Quotas[q.Caller]; ok {
			return true
		}
	}
	for _, d := range t.Drains {
		if _, ok := c.Drains[d.Endpoint]; ok {
			return true
		}
	}
	return t.Limits != nil && c.Limits.Revision > 0
}

// Ticket is a numbered change that carries the complete new state of each object
// that it changes.
type Ticket struct {
	Number   uint64
	Author   string
	Services []Service
	Quotas   []Quota
	Drains   []DrainMark
	Limits   *Limits
}

// TicketStatus is the result of applying a ticket.
type TicketStatus uint8

// Ticket results.
const (
	TicketApplied TicketStatus = iota
	// TicketRepeated means that the same ticket was applied before.
	TicketRepeated
	// TicketConflict means that another ticket has the same number.
	TicketConflict
	// TicketStale means that an object of the ticket has a newer ticket, or that
	// the number's ticket is no longer in the history.
	TicketStale
)

// TicketResult is the answer to a ticket.
type TicketResult struct {
	Status TicketStatus
	// Revision is the log index at which the ticket came into force.
	Revision uint64
	// Winner is the number of the ticket in force: the one with the same number or
	// the newer one.
	Winner uint64
	// WinnerAuthor is the author of the winning ticket.
	WinnerAuthor string
	// Object names the object with the newer ticket.
	Object string
}

// AppliedTicket is a ticket in the history.
type AppliedTicket struct {
	Ticket   Ticket
	Digest   [32]byte
	Revision uint64
}
