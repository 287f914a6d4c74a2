package state

import (
	"slices"

	"github.com/cicadapulley/cicadapulley/core/job"
)

// Snapshot is the complete state of a machine as typed values. It shares
// immutable parts with the machine; the caller encodes it before the next Apply.
type Snapshot struct {
	Applied        uint64
	ConfigRevision uint64
	PrunedRevision uint64
	ForgottenUpTo  uint64
	// ForgottenTickets lists the used numbers above ForgottenUpTo that are not
	// in Tickets, in ascending order.
	ForgottenTickets []TicketRange
	Config           Config
	Tickets          []AppliedTicket
	Members          []Member
	// Running and Finished list the jobs in order of their last change.
	Running  []job.Record
	Finished []job.Record
}

// Snapshot returns the machine's complete state. Equal machines return equal
// snapshots.
func (m *Machine) Snapshot() Snapshot {
	s := Snapshot{
		Applied:          m.applied,
		ConfigRevision:   m.configRevision,
		PrunedRevision:   m.prunedRevision,
		ForgottenUpTo:    m.forgottenUpTo,
		ForgottenTickets: slices.Clone(m.forgottenTickets),
		Config:           m.config.Clone(),
		Tickets:          m.Tickets(),
		Members:          m.Members(),
	}
	for _, jobs := range m.running {
		for _, r := range jobs.all {
			s.Running = append(s.Running, *r)
		}
	}
	for _, list := range []finishedJobs{m.finished, m.dropped} {
		for _, r := range list {
			s.Finished = append(s.Finished, *r)
		}
	}
	slices.SortFunc(s.Running, byRevision)
	slices.SortFunc(s.Finished, byRevision)
	return s
}

// Restore returns a machine with the state of a snapshot.
func Restore(r Retention, s Snapshot) *Machine {
	m := New(r)
	m.applied = s.Applied
	m.configRevision = s.ConfigRevision
	m.prunedRevision = s.PrunedRevision
	m.forgottenUpTo = s.ForgottenUpTo
	m.forgottenTickets = slices.Clone(s.ForgottenTickets)
	m.config = s.Config.Clone()
	for _, t := range s.Tickets {
		m.tickets[t.Ticket.Number] = t
		m.ticketOrder = append(m.ticketOrder, t.Ticket.Number)
	}
	for _, member := range s.Members {
		m.members[member.ID] = member
	}
	m.rebuildChanges()
	m.rebuildEnded()
	for _, r := range s.Running {
		m.jobs[r.Key] = &r
		m.running.add(&r)
	}
	for _, r := range s.Finished {
		m.jobs[r.Key] = &r
		m.indexFinished(&r)
	}
	return m
}
