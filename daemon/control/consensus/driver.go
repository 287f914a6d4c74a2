// Package consensus drives the replicated log of a control VM: it feeds the
// raft core with messages, times and proposals, saves and sends what the core
// asks for, and applies what is committed. Parent: control. Children: one
// sender for each other control VM. Restart rule: any failure is fatal to the
// daemon, since memory and disk may disagree afterwards. State: the raft node
// and the state machine in memory, the log through package storage.
package consensus

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/storage"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
)

const (
	// maxBatch bounds the proposals of one append.
	maxProposalsPerAppend = 1024
	// inboxSize bounds the messages that wait for the driver; the core
	// tolerates the loss of those that find it full.
	inboxSize = 4096
	// heartbeatsPerTimeout is how many heartbeats fit in an election timeout.
	// Heartbeats are most of what an idle leader sends.
	heartbeatsPerTimeout = 4
	// Bounds of one append message.
	maxEntriesPerMessage = 512
	maxBytesPerMessage   = 4 << 20
	maxInflight          = 64
	// maxLearned bounds the remembered addresses of senders.
	maxSenderAddresses = 64
)

// ErrUncertain is returned for a proposal that lost its leader: it may or may
// not come into force.
var ErrUncertain = errors.New("the proposal lost its leader")

// Machine is the replicated state that the log drives. Apply and Restore must
// be deterministic. The driver serialises all calls but that of the function
// returned by Freeze.
type Machine interface {
	// Apply brings a committed command into force; empty data is a no-op. An
	// error is fatal to the daemon.
	Apply(index uint64, data []byte) (any, error)
	// Applied is the index of the last applied command.
	Applied() uint64
	// Revision differs after a change that watchers wait for.
	Revision() uint64
	// Restore replaces the state by that of a snapshot.
	Restore(data []byte) error
	// Freeze returns a function that encodes the present state. It may run
	// beside later calls of Apply.
	Freeze() func() ([]byte, error)
}

// Options configure a driver.
type Options struct {
	Machine   Machine
	Store     *storage.Store
	Recovered storage.Recovered
	// Address is this VM's address, as others reach it.
	Address         string
	ElectionTimeout time.Duration
	// SnapshotEntries is the number of applied entries between snapshots.
	SnapshotEntries uint64
	Transport       Transport
	Log             *events.Log
	// Now is the clock of leases and elections; nil is the monotonic clock.
	Now func() time.Time
}

// Transport sends messages to another control VM.
type Transport interface {
	// Send delivers messages to an address, or fails.
	Send(ctx context.Context, address string, messages []raft.Message) error
}

// Driver runs one control VM's part of the agreement. Its methods are safe for
// concurrent use.
type Driver struct {
	opts      Options
	proposals chan *proposal
	inbox     chan raft.Message
	saves     chan raft.Ready
	saved     chan raft.Ready
	snapshots chan raft.Snapshot
	// woken makes the loop look at the core after a call from outside.
	wakeups chan struct{}
	group   *supervisor.Group

	mu sync.Mutex
	// base is the context of the senders, set by Run.
	runCtx context.Context
	// node, machine and everything below are guarded by mu.
	node    *raft.Node
	machine Machine
	// waiting maps a log index to the proposal that was appended there.
	pending map[uint64]*proposal
	leading bool
	// changed is closed and replaced at each change of the state or the leader.
	changed chan struct{}
	peers   map[raft.ServerID]*peer
	// learned holds the addresses of senders, for VMs outside the group.
	senderAddresses map[raft.ServerID]string
	// deferred is a hard state that waits for the next sync.
	deferredState *raft.HardState
	// snapshotIndex is the index of the last snapshot that was started.
	snapshotIndex uint64
}

// New returns a driver on recovered state.
func New(o Options) (*Driver, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	d := &Driver{
		opts:            o,
		proposals:       make(chan *proposal, maxProposalsPerAppend),
		inbox:           make(chan raft.Message, inboxSize),
		saves:           make(chan raft.Ready, 1),
		saved:           make(chan raft.Ready, 1),
		snapshots:       make(chan raft.Snapshot, 1),
		group:           supervisor.NewGroup("control/consensus", o.Log),
		machine:         o.Machine,
		pending:         map[uint64]*proposal{},
		changed:         make(chan struct{}),
		peers:           map[raft.ServerID]*peer{},
		senderAddresses: map[raft.ServerID]string{},
		wakeups:         make(chan struct{}, 1),
	}
	if err := d.restore(o.Recovered.Snapshot); err != nil {
		return nil, err
	}
	node, err := raft.New(raft.Config{
		ID:                   o.Recovered.Identity,
		Now:                  o.Now(),
		ElectionTimeout:      o.ElectionTimeout,
		HeartbeatInterval:    o.ElectionTimeout / heartbeatsPerTimeout,
		Rand:                 rand.New(rand.NewPCG(randSeed(o.Recovered.Identity), uint64(o.Now().UnixNano()))),
		MaxEntriesPerMessage: maxEntriesPerMessage,
		MaxBytesPerMessage:   maxBytesPerMessage,
		MaxInflight:          maxInflight,
		HardState:            o.Recovered.HardState,
		Snapshot:             o.Recovered.Snapshot,
		Entries:              o.Recovered.Entries,
	})
	if err != nil {
		return nil, errors.Wrap(err, "start consensus")
	}
	d.node = node
	return d, nil
}

// seed tells the VMs' election timeouts apart.
func randSeed(id raft.ServerID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// restore replaces the state machine by a snapshot; an empty one is a new machine.
func (d *Driver) restore(s raft.Snapshot) error {
	if s.Index == 0 {
		return nil
	}
	if err := d.machine.Restore(s.Data); err != nil {
		return errors.Wrapf(err, "snapshot at index %d", s.Index)
	}
	d.snapshotIndex = s.Index
	return nil
}

// Run drives the log until ctx ends. Every error is fatal.
func (d *Driver) Run(ctx context.Context) error {
	d.mu.Lock()
	d.runCtx = ctx
	d.mu.Unlock()
	var saver conc.WaitGroup
	saveCtx, stop := context.WithCancel(ctx)
	failures := make(chan error, 1)
	saver.Go(func() { d.saveLoop(saveCtx, failures) })
	defer saver.Wait()
	defer stop()
	defer d.group.StopAll()
	if err := d.loop(ctx, failures); err != nil {
		return supervisor.Fatal(err)
	}
	d.failAll(ErrUncertain)
	return nil
}

// loop waits for one event at a time and acts on it.
func (d *Driver) loop(ctx context.Context, failures <-chan error) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failures:
			return err
		case <-timer.C:
			d.withLock(func(now time.Time) { d.node.Tick(now) })
		case <-d.wakeups:
		case p := <-d.proposals:
			d.withLock(func(now time.Time) { d.proposeBatch(now, d.collectProposals(p)) })
		case m := <-d.inbox:
			d.withLock(func(now time.Time) { d.stepMessages(now, m) })
		case rd := <-d.saved:
			d.withLock(func(time.Time) { d.finishSave(rd) })
		case s := <-d.snapshots:
			d.withLock(func(time.Time) { d.finishSnapshot(s) })
		}
		if err := d.processReady(); err != nil {
			return err
		}
		d.resetTimer(timer)
	}
}

func (d *Driver) withLock(fn func(now time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fn(d.opts.Now())
}

// receive steps a message and those that wait behind it.
func (d *Driver) stepMessages(now time.Time, m raft.Message) {
	d.node.Step(now, m)
	for range inboxSize {
		select {
		case m = <-d.inbox:
			d.node.Step(now, m)
		default:
			return
		}
	}
}

func (d *Driver) resetTimer(timer *time.Timer) {
	d.mu.Lock()
	deadline := d.node.NextDeadline()
	d.mu.Unlock()
	if deadline.IsZero() {
		return
	}
	timer.Reset(deadline.Sub(d.opts.Now()))
}

// act does what the core asks for until nothing is left but a save in progress.
func (d *Driver) processReady() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.node.HasReady() {
		rd := d.node.Ready()
		d.send(rd.Messages)
		if err := d.apply(rd); err != nil {
			return err
		}
		if !rd.MustSync && rd.Snapshot == nil {
			d.deferSave(rd)
			d.send(rd.MessagesAfterSync)
			d.node.Advance(rd)
			continue
		}
		d.saves <- d.withDeferred(rd) // the core returns the next part to save only after Advance
	}
	d.updateLeadership()
	return nil
}

// deferSave keeps a hard state whose commit index alone changed for the next
// sync. A sync of its own would delay the next proposal, and a restart learns
// the commit index from the leader anyway. The caller holds mu.
func (d *Driver) deferSave(rd raft.Ready) {
	if rd.HardState != nil {
		d.deferredState = rd.HardState
	}
}

// withDeferred adds the deferred hard state to a part that will be synced. The
// caller holds mu.
func (d *Driver) withDeferred(rd raft.Ready) raft.Ready {
	if rd.HardState == nil {
		rd.HardState = d.deferredState
	}
	d.deferredState = nil
	return rd
}

// saveLoop makes parts of the log durable, one sync each, beside the driver,
// so that heartbeats go on while the disk works.
func (d *Driver) saveLoop(ctx context.Context, failures chan<- error) {
	for {
		select {
		case <-ctx.Done():
			return
		case rd := <-d.saves:
			if err := d.save(rd); err != nil {
				d.opts.Log.Emit(events.Event{ID: events.StorageFailed, Err: err})
				failures <- err
				return
			}
			d.saved <- rd
		}
	}
}

func (d *Driver) save(rd raft.Ready) error {
	if rd.Snapshot != nil {
		if err := d.opts.Store.SaveSnapshot(*rd.Snapshot); err != nil {
			return errors.Wrap(err, "save received snapshot")
		}
	}
	err := d.opts.Store.Save(rd.HardState, rd.TruncateFrom, rd.Entries)
	return errors.Wrap(err, "save log")
}

// finishSave sends what had to wait for the sync. The caller holds mu.
func (d *Driver) finishSave(rd raft.Ready) {
	d.send(rd.MessagesAfterSync)
	d.node.Advance(rd)
}

// noteLeadership tells watchers and proposers about a change of leader. The
// caller holds mu.
func (d *Driver) updateLeadership() {
	leading := d.node.IsLeader()
	if leading == d.leading {
		return
	}
	d.leading = leading
	id := events.LeaderElected
	if !leading {
		id = events.LeaderLost
		d.failPending()
	}
	d.opts.Log.Emit(events.Event{ID: id})
	d.notifyWatchers()
}

// notify wakes those who wait for a change. The caller holds mu.
func (d *Driver) notifyWatchers() {
	close(d.changed)
	d.changed = make(chan struct{})
}
