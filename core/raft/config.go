package raft

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Config holds the settings of a node and the state recovered from its disk.
type Config struct {
	// ID identifies the data folder.
	ID ServerID
	// Now is the start-up time. It counts as the last contact with a leader, so
	// that a restarted server grants no vote while a leader's lease may depend
	// on it.
	Now time.Time
	// ElectionTimeout is the minimum; each timeout is drawn at random from
	// [ElectionTimeout, 2*ElectionTimeout).
	ElectionTimeout time.Duration
	// HeartbeatInterval is at most a third of ElectionTimeout.
	HeartbeatInterval time.Duration
	// Rand is a seeded source for election timeouts, used only by the node.
	Rand *rand.Rand
	// MaxEntriesPerMessage limits the entries of one append.
	MaxEntriesPerMessage int
	// MaxBytesPerMessage limits the data of one append, in bytes; a single
	// entry may exceed it.
	MaxBytesPerMessage int
	// MaxInflight limits the unacknowledged appends to one server.
	MaxInflight int

	// HardState is the last saved hard state.
	HardState HardState
	// Snapshot is the last saved snapshot. All servers of a new group start
	// from the same Snapshot{Group: ...} with index 0; a joining server has an
	// empty group.
	Snapshot Snapshot
	// Entries is the saved log in index order. It may overlap the snapshot.
	Entries []Entry
}

// minHeartbeatsPerTimeout is the minimum number of heartbeat intervals in an
// election timeout. With fewer, one lost message would end the leader's lease.
const minHeartbeatsPerTimeout = 3

func (c *Config) validate() error {
	switch {
	case c.ID == "":
		return fmt.Errorf("%w: no server ID", ErrInvalidConfig)
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
