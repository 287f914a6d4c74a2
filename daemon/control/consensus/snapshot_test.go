package consensus

import (
	"bytes"
	"context"
	"encoding/binary"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/storage"
)

// countingMachine keeps the number of its commands and the last one.
type countingMachine struct {
	applied, commands uint64
	last              []byte
}

func (m *countingMachine) Apply(index uint64, data []byte) (any, error) {
	m.applied = index
	if len(data) > 0 {
		m.commands++
		m.last = data
	}
	return m.commands, nil
}

func (m *countingMachine) Applied() uint64  { return m.applied }
func (m *countingMachine) Revision() uint64 { return m.applied }

func (m *countingMachine) Restore(data []byte) error {
	m.applied = binary.BigEndian.Uint64(data)
	m.commands = binary.BigEndian.Uint64(data[8:])
	m.last = data[16:]
	return nil
}

func (m *countingMachine) Freeze() func() ([]byte, error) {
	data := binary.BigEndian.AppendUint64(nil, m.applied)
	data = binary.BigEndian.AppendUint64(data, m.commands)
	data = append(data, m.last...)
	return func() ([]byte, error) { return data, nil }
}

// noTransport is the transport of a group of one.
type noTransport struct{}

func (noTransport) Send(context.Context, string, []raft.Message) error { return nil }

// singleVoter is a driver that is the only voter of its group.
type singleVoter struct {
	*testing.T
	store   *storage.Store
	driver  *Driver
	machine *countingMachine
	cancel  context.CancelFunc
	ended   chan error
}

// startSingleVoter opens a data folder and runs a driver on it.
func startSingleVoter(t *testing.T, dir string, limits Options) *singleVoter {
	const segmentBytes = 64 << 10
	store, err := storage.Open(dir, storage.Options{SegmentBytes: segmentBytes})
	assert.NilError(t, err)
	recovered := store.Recovered()
	if recovered.HardState.Term == 0 {
		group := raft.Group{Servers: []raft.Server{{ID: recovered.Identity, Voter: true}}}
		recovered.Entries = []raft.Entry{{Term: 1, Index: 1, Type: raft.EntryGroup, Group: &group}}
		recovered.HardState = raft.HardState{Term: 1, Commit: 1}
		assert.NilError(t, store.Save(&recovered.HardState, 0, recovered.Entries))
	}
	v := &singleVoter{T: t, store: store, machine: &countingMachine{}, ended: make(chan error, 1)}
	o := limits
	o.Machine, o.Store, o.Recovered, o.Transport = v.machine, store, recovered, noTransport{}
	o.ElectionTimeout = 50 * time.Millisecond
	o.Log = events.NewLog("control-1", zap.NewNop(), events.NewClock())
	v.driver, err = New(o)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	go func() { v.ended <- v.driver.Run(ctx) }()
	for !v.driver.Leading() {
		time.Sleep(time.Millisecond)
	}
	return v
}

func (v *singleVoter) stop() {
	v.cancel()
	assert.NilError(v, <-v.ended)
	assert.NilError(v, v.store.Close())
}

// propose commits a number of commands of a size, and returns the result of the last.
func (v *singleVoter) propose(commands, size int) uint64 {
	var result any
	for i := range commands {
		data := bytes.Repeat([]byte{byte(i)}, size)
		var err error
		result, err = v.driver.Propose(context.Background(), data)
		assert.NilError(v, err)
	}
	return result.(uint64)
}

// TestSnapshotsBoundTheLog guards against a log that is never compacted, so that it fills the disk
// and the memory of all control VMs (review/6), and against a snapshot from which a restart
// doesn't continue.
func TestSnapshotsBoundTheLog(t *testing.T) {
	for name, c := range map[string]struct {
		limits         Options
		commands, size int
	}{
		"many entries":  {Options{SnapshotEntries: 50, SnapshotBytes: 1 << 30}, 1000, 100},
		"large entries": {Options{SnapshotEntries: 1 << 30, SnapshotBytes: 256 << 10}, 200, 32 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			v := startSingleVoter(t, dir, c.limits)
			assert.Equal(t, v.propose(c.commands, c.size), uint64(c.commands))
			total := int64(c.commands * c.size)
			stats := v.store.Stats()
			assert.Equal(t, stats.Snapshots, 2)
			assert.Assert(t, stats.LogBytes < total/3, "the log has %d of %d bytes", stats.LogBytes, total)
			v.driver.Local(func() {
				entries := v.driver.node.Status().LastIndex - v.driver.node.FirstIndex()
				assert.Assert(t, entries < uint64(c.commands)/3, "%d entries are in memory", entries)
			})
			v.stop()
			v = startSingleVoter(t, dir, c.limits)
			defer v.stop()
			assert.Equal(t, v.propose(1, c.size), uint64(c.commands+1))
		})
	}
}
