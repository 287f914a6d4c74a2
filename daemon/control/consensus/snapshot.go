package consensus

import (
	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/storage"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
)

// snapshots is the progress of the snapshots of a driver.
type snapshots struct {
	// index is the log index of the last snapshot that was started or restored, and bytes
	// the size of the last that was saved or restored.
	index uint64
	bytes int
	// loggedBytes is the size of the entries that were applied since index.
	loggedBytes int
	// saving is set while a snapshot is encoded and written.
	saving bool
	// compactTo is the index up to which the log in memory can be dropped once the next snapshot
	// is saved. The entries after it are kept for followers that are behind.
	compactTo uint64
}

// savedSnapshot is the outcome of a save.
type savedSnapshot struct {
	raft.Snapshot
	err error
}

// snapshotDue reports whether a snapshot has to be taken: SnapshotEntries entries have been applied
// since the last one, or SnapshotBytes bytes. With a large state the bytes of entries must
// exceed those of the last snapshot, so that at most half of what is written are snapshots.
func (d *Driver) snapshotDue() bool {
	if d.snapshots.saving {
		return false
	}
	entries := d.machine.Applied() - d.snapshots.index
	return entries >= d.opts.SnapshotEntries || d.snapshots.loggedBytes >= max(d.opts.SnapshotBytes, d.snapshots.bytes)
}

// startSnapshot saves the state in a separate goroutine if a snapshot is due. It must follow
// Advance, since the node takes no snapshot of entries that it has not recorded as applied. The caller
// holds mu.
func (d *Driver) startSnapshot() {
	if !d.snapshotDue() {
		return
	}
	applied := d.machine.Applied()
	meta, err := d.node.SnapshotAt(applied)
	if err != nil {
		// The state includes a received snapshot whose save hasn't ended.
		return
	}
	d.snapshots.index = applied
	d.snapshots.loggedBytes = 0
	d.snapshots.saving = true
	encode := d.machine.Freeze()
	runCtx := d.runCtx
	go func() {
		err := supervisor.CatchPanic(d.opts.Log, "control/consensus/snapshot", func() error {
			return d.saveSnapshot(&meta, encode)
		})
		select {
		case d.saved.snapshots <- savedSnapshot{Snapshot: meta, err: err}:
		case <-runCtx.Done():
		}
	}()
}

// saveSnapshot encodes and saves a snapshot. After a failed write the store returns
// errors, and the next save of the log stops the daemon.
func (d *Driver) saveSnapshot(s *raft.Snapshot, encode func() ([]byte, error)) error {
	data, err := encode()
	if err != nil {
		return err
	}
	s.Data = data
	return d.opts.Store.SaveSnapshot(*s)
}

// finishSnapshot compacts the node's log after a snapshot was saved. The caller holds mu.
func (d *Driver) finishSnapshot(s savedSnapshot) {
	d.snapshots.saving = false
	switch {
	case errors.Is(s.err, storage.ErrOutdatedSnapshot):
		return // a later one from the leader was saved meanwhile
	case s.err != nil:
		d.opts.Log.Emit(events.Event{ID: events.StorageFailed, Err: s.err})
		return
	}
	d.opts.Log.Emit(events.Event{ID: events.SnapshotSaved, Ticket: s.Index})
	d.snapshots.bytes = len(s.Data)
	d.node.SetSnapshot(s.Snapshot)
	// If a later snapshot from the leader has been installed meanwhile, there is
	// nothing to compact.
	_ = d.node.Compact(d.snapshots.compactTo)
	d.snapshots.compactTo = s.Index
}
