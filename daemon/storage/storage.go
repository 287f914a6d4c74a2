// Package storage keeps the durable state of a control daemon: the data
// folder's identity, the log, the hard state and snapshots.
//
// Place in the supervisor tree: its parent is control; it has no children and
// starts no goroutine. Restart rule: a failed write or sync makes the store
// permanently failed, so control stops and the whole daemon opens the folder
// anew. State: every file under the data folder, guarded by an exclusive lock.
//
// Each Save is one frame and one sync, so a crash can damage only the last
// frame of the last segment. Any other damage is refused with file and offset.
package storage

import (
	"encoding/hex"
	"time"

	"github.com/cicadapulley/cicadapulley/core/raft"
)

// DefaultSegmentBytes is the size, in bytes, at which a log segment is closed.
// Open rewrites the last segment, so larger segments lengthen a restart.
const DefaultSegmentBytes = 8 << 20

// Options configures a store. The zero value is valid.
type Options struct {
	// SegmentBytes is the size of a segment, in bytes, after which a new one
	// starts; 0 means DefaultSegmentBytes.
	SegmentBytes int64
	// SyncDelay is slept after each sync of a file or folder. It models a slow
	// disk in experiments.
	SyncDelay time.Duration
	// FS is the file system; nil means the operating system's.
	FS FS
	// Identity names a new folder; the zero value draws one at random. A VM of a
	// group's first start has one that the others can derive from its address.
	Identity Identity
}

// Identity is the name of a data folder. A folder that was lost must come back
// under another one.
type Identity [16]byte

// ServerID returns the identity as the group writes it.
func (id Identity) ServerID() raft.ServerID { return raft.ServerID(hex.EncodeToString(id[:])) }

// Recovered is what Open found in the data folder.
type Recovered struct {
	// Identity is the random identity of the folder.
	Identity raft.ServerID
	// HardState is the last saved one. Its commit index is raised to the
	// snapshot's index where it is lower.
	HardState raft.HardState
	// Snapshot is the newest valid one; zero when there is none.
	Snapshot raft.Snapshot
	// Entries are the log entries after the snapshot.
	Entries []raft.Entry
	// Cut describes the torn tail that was removed; nil when there was none.
	TornTail *TornTail
	// Damaged lists damaged snapshots that were not needed, because the log
	// or a newer snapshot holds their content.
	Damaged []*CorruptError
}

// Cut describes the removed tail of the last segment.
type TornTail struct {
	// File is the segment's path.
	File string
	// Offset is the length, in bytes, that was kept.
	Offset int64
	// Bytes is the length, in bytes, that was removed.
	Bytes int64
}

// Stats describes a store's files and the work since Open.
type Stats struct {
	// LogBytes and SnapshotBytes are the sizes of the files, in bytes.
	LogBytes, SnapshotBytes int64
	// WrittenBytes counts the bytes that were written since Open.
	WrittenBytes int64
	// Syncs counts the syncs of files and folders since Open.
	Syncs int64
	// Segments and Snapshots count the files.
	Segments, Snapshots int
}
