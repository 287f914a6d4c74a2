package consensus

import (
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
)

// startSnapshot saves the state in a separate goroutine if SnapshotEntries entries
// have been applied since the last snapshot. The caller holds mu.
func (d *Driver) startSnapshot() {
	applied := d.machine.Applied()
	if applied < d.snapshotIndex+d.opts.SnapshotEntries {
		return
	}
	meta, err := d.node.SnapshotAt(applied)
	if err != nil {
		return // the node has not recorded it as applied yet; the next entry tries again
	}
	d.snapshotIndex = applied
	encode := d.machine.Freeze()
	go func() {
		_ = supervisor.CatchPanic(d.opts.Log, "control/consensus/snapshot", func() error {
			return d.saveSnapshot(meta, encode)
		})
	}()
}

// saveSnapshot encodes and saves a snapshot. After a failed write the store returns
// errors, and the next save of the log stops the daemon.
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

// finishSnapshot compacts the node's log up to the snapshot. The caller holds mu.
func (d *Driver) finishSnapshot(s raft.Snapshot) {
	d.opts.Log.Emit(events.Event{ID: events.SnapshotSaved})
	d.node.SetSnapshot(s)
	// If a later snapshot from the leader has been installed meanwhile, there is
	// nothing to compact.
	_ = d.node.Compact(s.Index)
}
