package state

import (
	"fmt"
	"slices"
)

// ticketObject is an object that a ticket changes, and the object's last ticket.
type ticketObject struct {
	name       string
	lastTicket uint64
}

func (m *Machine) applyTicket(index uint64, c *ApplyTicket) Result {
	t := c.Ticket
	if t.Number == 0 {
		return m.applyInitial(index, t)
	}
	if old, ok := m.tickets[t.Number]; ok {
		return Result{Ticket: recordedResult(old, c.Digest)}
	}
	if t.Number <= m.forgottenUpTo || m.forgottenTickets.contains(t.Number) {
		return Result{Ticket: m.forgottenResult(t.Number)}
	}
	for _, o := range m.touchedObjects(t) {
		if t.Number > o.lastTicket {
			continue
		}
		return Result{Ticket: m.staleResult(o)}
	}
	m.storeObjects(index, t)
	m.storeTicket(index, c)
	m.setConfigRevision(index)
	return Result{Ticket: &TicketResult{Status: TicketApplied, Revision: index, Winner: t.Number, WinnerAuthor: t.Author}}
}

// applyInitial stores objects that no ticket and no earlier initial
// configuration has set. An initial configuration has no number and is not added
// to the history.
func (m *Machine) applyInitial(index uint64, t Ticket) Result {
	if m.config.hasAny(t) {
		return Result{Ticket: &TicketResult{Status: TicketRepeated, Revision: m.configRevision}}
	}
	m.storeObjects(index, t)
	m.setConfigRevision(index)
	return Result{Ticket: &TicketResult{Status: TicketApplied, Revision: index}}
}

func recordedResult(old AppliedTicket, digest [32]byte) *TicketResult {
	res := &TicketResult{
		Status:       TicketConflict,
		Winner:       old.Ticket.Number,
		WinnerAuthor: old.Ticket.Author,
	}
	if old.Digest == digest {
		res.Status = TicketRepeated
		res.Revision = old.Revision
	}
	return res
}

func (m *Machine) staleResult(o ticketObject) *TicketResult {
	return &TicketResult{
		Status:       TicketStale,
		Winner:       o.lastTicket,
		WinnerAuthor: m.tickets[o.lastTicket].Ticket.Author,
		Object:       o.name,
	}
}

// forgottenResult refuses a number whose ticket is no longer in the history: a
// repeated ticket cannot be distinguished from another one with the same number.
func (m *Machine) forgottenResult(number uint64) *TicketResult {
	return &TicketResult{
		Status: TicketStale,
		Winner: max(number, m.forgottenUpTo),
		Object: "ticket history",
	}
}

func (m *Machine) touchedObjects(t Ticket) []ticketObject {
	var objects []ticketObject
	for _, s := range t.Services {
		objects = append(objects, ticketObject{fmt.Sprintf("service %q", s.Name), m.config.Services[s.Name].Ticket})
	}
	for _, q := range t.Quotas {
		objects = append(objects, ticketObject{fmt.Sprintf("quota of caller %q", q.Caller), m.config.Quotas[q.Caller].Ticket})
	}
	for _, d := range t.Drains {
		objects = append(objects, ticketObject{fmt.Sprintf("drain mark of endpoint %q", d.Endpoint), m.config.Drains[d.Endpoint].Ticket})
	}
	if t.Limits != nil {
		objects = append(objects, ticketObject{"limits", m.config.Limits.Ticket})
	}
	return objects
}

func (m *Machine) storeObjects(index uint64, t Ticket) {
	for _, s := range t.Services {
		s.Ticket = t.Number
		s.Revision = index
		m.recordChange(serviceObject, s.Name, index)
		m.config.Services[s.Name] = s
	}
	for _, q := range t.Quotas {
		q.Ticket = t.Number
		q.Revision = index
		m.recordChange(quotaObject, q.Caller, index)
		m.config.Quotas[q.Caller] = q
	}
	for _, d := range t.Drains {
		d.Ticket = t.Number
		d.Revision = index
		m.recordChange(drainObject, d.Endpoint, index)
		m.config.Drains[d.Endpoint] = d
	}
	if t.Limits != nil {
		limits := *t.Limits
		limits.Ticket = t.Number
		limits.Revision = index
		m.config.Limits = limits
	}
}

func (m *Machine) storeTicket(index uint64, c *ApplyTicket) {
	m.tickets[c.Ticket.Number] = AppliedTicket{Ticket: c.Ticket, Digest: c.Digest, Revision: index}
	m.ticketOrder = append(m.ticketOrder, c.Ticket.Number)
	if len(m.ticketOrder) <= m.retention.Tickets {
		return
	}
	oldest := m.ticketOrder[0]
	m.ticketOrder = m.ticketOrder[1:]
	delete(m.tickets, oldest)
	m.recordForgotten(oldest)
}

// recordForgotten records a number as used. The exact numbers are recorded,
// because with a bound alone a single ticket with a mistakenly huge number would
// make every later ticket stale. Above maxTicketRanges, the lowest range becomes
// the bound forgottenUpTo.
func (m *Machine) recordForgotten(number uint64) {
	m.forgottenTickets = m.forgottenTickets.insert(number)
	if len(m.forgottenTickets) <= maxTicketRanges {
		return
	}
	m.forgottenUpTo = max(m.forgottenUpTo, m.forgottenTickets[0].Last)
	m.forgottenTickets = slices.Delete(m.forgottenTickets, 0, 1)
}

// Tickets lists the tickets in the history in the order in which they were
// applied.
func (m *Machine) Tickets() []AppliedTicket {
	list := make([]AppliedTicket, 0, len(m.ticketOrder))
	for _, n := range m.ticketOrder {
		list = append(list, m.tickets[n])
	}
	return list
}

// Ticket returns a ticket in the history.
func (m *Machine) Ticket(number uint64) (AppliedTicket, bool) {
	t, ok := m.tickets[number]
	return t, ok
}

// HighestTicket returns the highest number of an applied ticket, zero before the
// first.
func (m *Machine) HighestTicket() uint64 {
	highest := m.forgottenUpTo
	if last := len(m.forgottenTickets) - 1; last >= 0 {
		highest = m.forgottenTickets[last].Last
	}
	for _, n := range m.ticketOrder {
		highest = max(highest, n)
	}
	return highest
}
