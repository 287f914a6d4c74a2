// Package storage stores the durable state of a control VM: the identity of
// the data folder, the Raft log, the Raft hard state and snapshots.
//
// Place in the supervisor tree: its parent is control or coordinator; it has no
// children and starts no goroutine. Restart rule: a failed write or sync makes the store
// permanently failed, so its parent stops, and opens the folder again once the disk
// accepts writes (coordinator) or by a restart of the whole daemon (control). State: every file under the data folder,
// guarded by an exclusive lock.
//
// Each Save writes one frame and syncs it, so a crash can damage only the last
// frame of the last segment. Open fails on any other damage that loses state,
// with the file and offset.
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
	// SyncDelay is an extra delay after each sync of a file or folder, to
	// simulate a slow disk in experiments.
	SyncDelay time.Duration
	// FS is the file system; nil means the operating system's.
	FS FS
	// Identity is the identity of a new folder; the zero value means a random
	// one. The founders of a group derive theirs from their addresses, so that
	// each can compute those of the others.
	Identity Identity
}

// Identity identifies a data folder. A folder that replaces a lost one must
// have a different identity.
type Identity [16]byte

// ServerID returns the identity as a Raft server ID: lower-case hexadecimal.
func (id Identity) ServerID() raft.ServerID { return raft.ServerID(hex.EncodeToString(id[:])) }

// Recovered is what Open found in the data folder.
type Recovered struct {
	// Identity is the identity of the folder.
	Identity raft.ServerID
	// HardState is the last saved hard state, with a commit index of at least
	// the snapshot's index.
	HardState raft.HardState
	// Snapshot is the newest valid snapshot; zero when there is none.
	Snapshot raft.Snapshot
	// Entries are the log entries after the snapshot.
	Entries []raft.Entry
	// TornTail is nil when no torn tail was removed.
	TornTail *TornTail
	// Damaged lists damaged snapshots that were not needed, because the log
	// or a newer snapshot contains their content.
	Damaged []*CorruptError
}

// TornTail describes an incomplete last write that was removed from the end of
// the last segment.
type TornTail struct {
	// File is the segment's path.
	File string
	// Offset is the length, in bytes, that was kept.
	Offset int64
	// Bytes is the length, in bytes, that was removed.
	Bytes int64
}

// Stats describes a store's files and the I/O since Open.
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
