package raft

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Config holds the settings of a node and the state recovered from its disk.
type Config struct {
	// ID is the identity of the data folder.
	ID ServerID
	// Now is the start-up time. A leader counts as heard at this time, so that
	// a restart can't break a promise that a lease depends on.
	Now time.Time
	// ElectionTimeout is the minimum; each wait is drawn from 1 to 2 times it.
	ElectionTimeout time.Duration
	// HeartbeatInterval is at most a third of ElectionTimeout.
	HeartbeatInterval time.Duration
	// Rand is a seeded source for election timeouts. The node owns it.
	Rand *rand.Rand
	// MaxEntriesPerMessage limits the entries of one append.
	MaxEntriesPerMessage int
	// MaxBytesPerMessage limits the data of one append, in bytes; a single
	// entry may exceed it.
	MaxBytesPerMessage int
	// MaxInflight limits the unanswered appends to one server.
	MaxInflight int

	// HardState is the last saved one.
	HardState HardState
	// Snapshot is the last saved one. A new group starts from Snapshot{Group:
	// ...} with index 0, the same on all; a joining server has no group.
	Snapshot Snapshot
	// Entries is the saved log in order. It may overlap the snapshot.
	Entries []Entry
}

// minHeartbeats is the number of heartbeats in an election timeout; with fewer
// one lost message would end the leader's lease.
const minHeartbeatsPerTimeout = 3

func (c *Config) validate() error {
	switch {
	case c.ID == "":
		return fmt.Errorf("%w: no server id", ErrInvalidConfig)
	case c.Now.IsZero():
		return fmt.Errorf("%w: no start-up time", ErrInvalidConfig)
	case c.Rand == nil:
		return fmt.Errorf("%w: no random source", ErrInvalidConfig)
	case c.HeartbeatInterval <= 0:
		return fmt.Errorf("%w: heartbeat interval %v", ErrInvalidConfig, c.HeartbeatInterval)
	case c.ElectionTimeout < minHeartbeatsPerTimeout*c.HeartbeatInterval:
		return fmt.Errorf("%w: election timeout %v is under %d heartbeat intervals",
			ErrInvalidConfig, c.ElectionTimeout, minHeartbeatsPerTimeout)
	case c.MaxEntriesPerMessage < 1 || c.MaxBytesPerMessage < 1 || c.MaxInflight < 1:
		return fmt.Errorf("%w: message limits must be positive", ErrInvalidConfig)
	}
	return nil
}
