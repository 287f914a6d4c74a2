// Package raft implements the Raft consensus algorithm between control VMs, with
// pre-vote, check-quorum and a leader lease. It is a deterministic state machine
// without I/O: it takes messages and times and returns what to save, to send and
// to apply. The caller serialises all method calls and does the I/O.
package raft

// ServerID is the random ID of a control VM's data folder. A VM that lost its
// folder comes back with another ID, so it can't vote twice as the old server.
type ServerID string

// Server is one member of the group.
type Server struct {
	ID      ServerID
	Address string
	// Voter is false for a learner, a server that is still catching up.
	Voter bool
}

// Group is the set of control VMs.
type Group struct {
	Servers []Server
}

// EntryType distinguishes commands of the state machine from group changes.
type EntryType uint8

// Entry types.
const (
	// EntryCommand carries a command; empty data is a no-op.
	EntryCommand EntryType = iota
	// EntryGroup carries a Group that is in force as soon as it is appended.
	EntryGroup
)

// Entry is one entry of the replicated log.
type Entry struct {
	Term  uint64
	Index uint64
	Type  EntryType
	Data  []byte
	// Group is set only for EntryGroup.
	Group *Group
}

// HardState is the state that must survive a restart. It must be synced before
// messages of its term are sent.
type HardState struct {
	Term   uint64
	Vote   ServerID
	Commit uint64
}

// Snapshot replaces the log up to Index.
type Snapshot struct {
	Index uint64
	Term  uint64
	Group Group
	Data  []byte
}
