// Package consensus drives the replicated log of a control VM: it passes
// messages, times and proposals to the raft node, saves and sends what the node
// returns as ready, and applies committed entries. Parent: control or coordinator.
// Children: one sender for each other control VM. Restart rule: any failure is
// fatal to the daemon, since memory and disk may disagree afterwards. State: the
// raft node and the state machine in memory, the log through package storage.
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
	// maxProposalsPerAppend bounds the proposals that share one append.
	maxProposalsPerAppend = 1024
	// inboxSize bounds the received messages that wait for the driver. Messages are
	// dropped while it is full, which the raft node tolerates.
	inboxSize = 4096
	// heartbeatsPerTimeout is the number of heartbeats in an election timeout.
	// Heartbeats are most of the traffic of an idle leader.
	heartbeatsPerTimeout = 4
	// maxEntriesPerMessage and MaxBytesPerMessage bound one append message, and
	// MaxInflight the unanswered ones to one server. All of them may be sent at once, to a
	// VM that catches up: 16 MiB fit into one message of package mesh, and arrive before
	// the connection counts as dead (0.6 s at 28 MB/s).
	maxEntriesPerMessage = 512
	MaxBytesPerMessage   = 256 << 10
	MaxInflight          = 64
	// maxSenderAddresses bounds the cached addresses of senders.
	maxSenderAddresses = 64
)

// ErrUncertain is returned for a proposal in progress when this VM loses the
// leadership or stops. The command may or may not be committed.
var ErrUncertain = errors.New("the proposal lost its leader")

// Machine is the replicated state machine. Apply and Restore must be
// deterministic. The driver serialises all calls except those of the function
// that Freeze returns.
type Machine interface {
	// Apply applies a committed command and returns its result; empty data is a
	// no-op. An error is fatal to the daemon.
	Apply(index uint64, data []byte) (any, error)
	// Applied returns the log index of the last applied command.
	Applied() uint64
	// Revision returns a number that differs after each change that watchers wait
	// for.
	Revision() uint64
	// Restore replaces the state with that of an encoded snapshot.
	Restore(data []byte) error
	// Freeze returns a function that encodes the current state. The function may
	// run concurrently with later calls of Apply.
	Freeze() func() ([]byte, error)
}

// Options configure a driver.
type Options struct {
	Machine   Machine
	Store     *storage.Store
	Recovered storage.Recovered
	// Address is the address at which other control VMs reach this one.
	Address         string
	ElectionTimeout time.Duration
	// SnapshotEntries is the number of applied entries between snapshots, and SnapshotBytes
	// their size. The first that is reached counts.
	SnapshotEntries uint64
	SnapshotBytes   int
	Transport       Transport
	Log             *events.Log
	// Now is the clock of leases and elections; nil means time.Now, whose readings
	// are monotonic.
	Now func() time.Time
}

// Transport sends messages to another control VM.
type Transport interface {
	// Send delivers messages to an address, or returns an error.
	Send(ctx context.Context, address string, messages []raft.Message) error
}

// Driver runs the raft node of one control VM. Its methods are safe for concurrent
// use.
type Driver struct {
	opts      Options
	proposals chan *proposal
	inbox     chan raft.Message
	saves     chan raft.Ready
	saved     savedChannels
	// wakeups makes the loop process the node's ready work after a call from another
	// goroutine.
	wakeups chan struct{}
	group   *supervisor.Group

	mu sync.Mutex
	// runCtx is the context of Run and the parent of the senders' contexts.
	runCtx context.Context
	// node, machine and everything below are guarded by mu.
	node    *raft.Node
	machine Machine
	// pending maps a log index to the proposal that was appended there.
	pending map[uint64]*proposal
	leading bool
	// serving is set while this VM led and could serve reads when last checked.
	serving bool
	// changed is closed and replaced when the machine's revision changes, a snapshot
	// is installed, or this VM gains or loses the leadership or can serve reads.
	changed chan struct{}
	peers   map[raft.ServerID]*peer
	// senderAddresses holds the addresses of senders, for VMs outside the group.
	senderAddresses map[raft.ServerID]string
	// savingSince is since when a save is in progress; zero if none is.
	savingSince time.Time
	// deferredState is a hard state that is saved with the next sync.
	deferredState *raft.HardState
	snapshots     snapshots
}

// savedChannels receive what has been saved.
type savedChannels struct {
	log       chan raft.Ready
	snapshots chan savedSnapshot
}

// New returns a driver that starts from recovered state.
func New(o Options) (*Driver, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	d := &Driver{
		opts:            o,
		proposals:       make(chan *proposal, maxProposalsPerAppend),
		inbox:           make(chan raft.Message, inboxSize),
		saves:           make(chan raft.Ready, 1),
		saved:           savedChannels{log: make(chan raft.Ready, 1), snapshots: make(chan savedSnapshot, 1)},
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
		MaxBytesPerMessage:   MaxBytesPerMessage,
		MaxInflight:          MaxInflight,
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

// randSeed derives the seed of a VM's random election timeouts from its ID, so that
// they differ between VMs.
func randSeed(id raft.ServerID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// restore replaces the machine's state with a snapshot. A snapshot at index 0 is
// empty and leaves the state as it is.
func (d *Driver) restore(s raft.Snapshot) error {
	if s.Index == 0 {
		return nil
	}
	if err := d.machine.Restore(s.Data); err != nil {
		return errors.Wrapf(err, "snapshot at index %d", s.Index)
	}
	d.snapshots.index = s.Index
	d.snapshots.bytes = len(s.Data)
	d.snapshots.loggedBytes = 0
	d.snapshots.compactTo = s.Index
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

// loop handles one event at a time, and processes the node's ready work after each.
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
		case rd := <-d.saved.log:
			d.withLock(func(time.Time) { d.finishSave(rd) })
		case s := <-d.saved.snapshots:
			d.withLock(func(time.Time) { d.finishSnapshot(s) })
		}
		if err := d.processReady(); err != nil {
			return err
		}
		d.resetTimer(timer)
	}
}

// withLock calls fn with the current time while it holds mu.
func (d *Driver) withLock(fn func(now time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fn(d.opts.Now())
}

// stepMessages passes a message and those queued behind it to the node. The caller
// holds mu.
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

// resetTimer sets the timer to the node's next deadline.
func (d *Driver) resetTimer(timer *time.Timer) {
	d.mu.Lock()
	deadline := d.node.NextDeadline()
	d.mu.Unlock()
	if deadline.IsZero() {
		return
	}
	timer.Reset(deadline.Sub(d.opts.Now()))
}

// processReady processes the node's ready work until none is left other than a save
// in progress.
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
			d.advance(rd)
			continue
		}
		d.savingSince = d.opts.Now()
		d.saves <- d.withDeferred(rd) // doesn't block: the node returns the next part to save only after Advance
	}
	d.updateLeadership()
	d.updateServing()
	return nil
}

// deferSave leaves a hard state in which only the commit index changed to the next
// sync. A separate sync would delay the next proposal, and a restarted VM gets the
// commit index from the leader anyway. The caller holds mu.
func (d *Driver) deferSave(rd raft.Ready) {
	if rd.HardState != nil {
		d.deferredState = rd.HardState
	}
}

// withDeferred adds the deferred hard state to a part that will be synced, if it
// has none of its own. The caller holds mu.
func (d *Driver) withDeferred(rd raft.Ready) raft.Ready {
	if rd.HardState == nil {
		rd.HardState = d.deferredState
	}
	d.deferredState = nil
	return rd
}

// saveLoop makes parts of the log durable, with one sync each. It runs concurrently
// with loop, so that heartbeats continue during a sync.
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
			d.saved.log <- rd
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

// finishSave sends the messages that had to wait for the sync. The caller holds mu.
func (d *Driver) finishSave(rd raft.Ready) {
	d.savingSince = time.Time{}
	d.send(rd.MessagesAfterSync)
	d.advance(rd)
}

// advance confirms to the node that rd has been processed. The caller holds mu.
func (d *Driver) advance(rd raft.Ready) {
	d.node.Advance(rd)
	d.startSnapshot()
}

// updateServing notifies watchers when this VM, after its election, can serve reads:
// its first entry is committed and its lease holds. mu is held.
func (d *Driver) updateServing() {
	serving := d.canServe()
	if serving && !d.serving {
		d.notifyWatchers()
	}
	d.serving = serving
}

// updateLeadership notifies watchers, and fails pending proposals, when this VM has
// gained or lost the leadership. The caller holds mu.
func (d *Driver) updateLeadership() {
	leading := d.node.IsLeader()
	if leading == d.leading {
		return
	}
	d.leading = leading
	event := events.Event{ID: events.LeaderElected}
	if !leading {
		event.ID = events.LeaderLost
		if since := d.savingSince; !since.IsZero() {
			event.Text = "own sync in progress for " + d.opts.Now().Sub(since).Round(time.Millisecond).String()
		}
		d.failPending()
	}
	d.opts.Log.Emit(event)
	d.notifyWatchers()
}

// notifyWatchers closes the channel that Changed has returned. The caller holds mu.
func (d *Driver) notifyWatchers() {
	close(d.changed)
	d.changed = make(chan struct{})
}
