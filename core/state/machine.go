// Package state is the replicated state machine: configuration, members and
// job records. Apply is deterministic: the same commands at the same indexes
// give the same state on every replica. The caller serialises all methods.
package state

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/invariant"
	"github.com/cicadapulley/cicadapulley/core/job"
)

// Retention bounds what the machine keeps of finished jobs, ended members and
// applied tickets.
type Retention struct {
	// FinishedJobs is how long a finished job's answer is kept after the later
	// of its end and its deadline.
	FinishedJobs time.Duration
	// FinishedBytes bounds the kept answers' size in bytes. Answers of jobs
	// whose deadline has not passed are kept beyond it. The key of a job whose
	// answer was dropped is kept, so that a resubmission does not run.
	FinishedBytes int64
	// DroppedJobs bounds the number of jobs of which only the key is kept.
	DroppedJobs int
	// EndedMembers is the minimum time for which a left or expired member is kept.
	// It is kept longer while a job runs whose tasks it may have started.
	EndedMembers time.Duration
	// EndedBatch is the minimum number of members that are forgotten at once.
	EndedBatch int
	// Tickets is the number of tickets kept in the history.
	Tickets int
}

// DefaultRetention is used where the settings give no value.
var DefaultRetention = Retention{
	FinishedJobs:  10 * time.Minute,
	FinishedBytes: 64 << 20,
	// At about 200 bytes each this takes 20 MB.
	DroppedJobs:  100_000,
	EndedMembers: 30 * time.Minute,
	// At 300 ended members a day this costs each watcher five full views a day.
	EndedBatch: 64,
	Tickets:    1000,
}

// Machine is the replicated state.
type Machine struct {
	retention Retention
	applied   uint64
	config    Config
	// configRevision is the index of the last change of configuration or members.
	configRevision uint64
	// prunedRevision is the index of the last pruning of members; a watcher with an
	// older revision needs a full view.
	prunedRevision uint64
	tickets        map[uint64]AppliedTicket
	ticketOrder    []uint64
	// forgottenTickets holds the numbers dropped from the history, which count as
	// used.
	forgottenTickets ticketRanges
	// forgottenUpTo is a bound at or below which all numbers count as used. It
	// is above zero only after maxTicketRanges was exceeded.
	forgottenUpTo uint64
	members       map[string]Member
	// ended lists the IDs of left and expired members in order of their end.
	ended []string
	jobs  map[job.Key]*job.Record
	// running indexes the running jobs in jobs.
	running jobIndex
	// changes lists the changes of watched objects in order of their revision.
	changes       []change
	finished      finishedJobs
	finishedBytes int64
	// dropped holds finished jobs whose answers were dropped because of
	// Retention.FinishedBytes.
	dropped finishedJobs
}

// New returns an empty machine.
func New(r Retention) *Machine {
	return &Machine{
		retention: r,
		config:    NewConfig(),
		tickets:   map[uint64]AppliedTicket{},
		members:   map[string]Member{},
		jobs:      map[job.Key]*job.Record{},
		running:   jobIndex{},
	}
}

// Applied returns the index of the last applied command.
func (m *Machine) Applied() uint64 { return m.applied }

// ConfigRevision returns the index of the last change of configuration or members.
func (m *Machine) ConfigRevision() uint64 { return m.configRevision }

// Apply executes the command at index, which must follow the last one.
func (m *Machine) Apply(index uint64, c Command) Result {
	invariant.Check(index == m.applied+1, invariant.LogMatching,
		"applying index %d after %d", index, m.applied)
	m.applied = index
	res := m.dispatch(index, c)
	res.Index = index
	m.pruneJobs(c.Now)
	return res
}

func (m *Machine) dispatch(index uint64, c Command) Result {
	switch {
	case c.AcceptJob != nil:
		return m.acceptJob(index, c.Now, c.AcceptJob)
	case c.FinishJob != nil:
		return m.finishJob(index, c.Now, c.FinishJob)
	case c.TakeOverJob != nil:
		return m.takeOverJob(index, c.TakeOverJob)
	case c.ApplyTicket != nil:
		return m.applyTicket(index, c.ApplyTicket)
	case c.Register != nil:
		return m.register(index, c.Now, c.Register.Member)
	case c.EndMember != nil:
		return m.endMember(index, c.Now, c.EndMember)
	case c.DrainMember != nil:
		return m.drainMember(index, c.DrainMember)
	}
	return Result{}
}

// setConfigRevision makes a change at an index visible to watchers.
func (m *Machine) setConfigRevision(index uint64) { m.configRevision = index }
