package consensus

import (
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
)

// startSnapshot saves the state beside the driver once enough entries were
// applied since the last time. The caller holds mu.
func (d *Driver) startSnapshot() {
	applied := d.machine.Applied()
	if applied < d.snapshotIndex+d.opts.SnapshotEntries {
		return
	}
	meta, err := d.node.SnapshotAt(applied)
	if err != nil {
		return // not applied in the core's view yet; the next entry tries again
	}
	d.snapshotIndex = applied
	encode := d.machine.Freeze()
	go func() {
		_ = supervisor.CatchPanic(d.opts.Log, "control/consensus/snapshot", func() error {
			return d.saveSnapshot(meta, encode)
		})
	}()
}

// saveSnapshot encodes and saves a snapshot. A failed write makes the store
// fail, and the next save of the log stops the daemon.
func (d *Driver) saveSnapshot(s raft.Snapshot, encode func() ([]byte, error)) error {
	data, err := encode()
	if err != nil {
		return err
	}
	s.Data = data
	if err := d.opts.Store.SaveSnapshot(s); err != nil {
		d.opts.Log.Emit(events.Event{ID: events.StorageFailed, Err: err})
		return err
	}
	d.snapshots <- s
	return nil
}

// finishSnapshot lets the core drop the log before the snapshot. The caller holds mu.
func (d *Driver) finishSnapshot(s raft.Snapshot) {
	d.opts.Log.Emit(events.Event{ID: events.SnapshotSaved})
	d.node.SetSnapshot(s)
	// A snapshot from the leader may have overtaken this one; then there is
	// nothing to drop.
	_ = d.node.Compact(s.Index)
}
