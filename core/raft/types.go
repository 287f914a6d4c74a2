// Package raft is the pure core of the agreement between control VMs: a
// replicated log with pre-vote, check-quorum and a leader lease. It takes
// messages and times and returns what to save, to send and to apply. The
// caller serialises all methods and does the I/O.
package raft

// ServerID is the random identity of a control VM's data folder. A VM that
// lost its folder comes back under another identity and can't vote as the old one.
type ServerID string

// Server is one member of the group.
type Server struct {
	ID      ServerID
	Address string
	// Voter is false for a server that still catches up.
	Voter bool
}

// Group is the set of control VMs.
type Group struct {
	Servers []Server
}

// EntryType tells the state machine's commands from changes of the group.
type EntryType uint8

// Entry types.
const (
	// EntryCommand carries a command; empty data is a no-op.
	EntryCommand EntryType = iota
	// EntryGroup carries an encoded Group that is in force from its append on.
	EntryGroup
)

// Entry is one record of the log.
type Entry struct {
	Term  uint64
	Index uint64
	Type  EntryType
	Data  []byte
	// Group is set for EntryGroup.
	Group *Group
}

// HardState must be synced before messages of its term are sent.
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
