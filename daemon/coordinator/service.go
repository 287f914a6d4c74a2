// Package coordinator runs a control VM for jobs with steps. Parent: the root of
// its process, through Manager. Children, rest-for-one in this order: consensus (the replicated
// log), peers (one connection to each other control VM), group (additions and
// replacements of members), leader (the placement of tasks while this VM leads), drains
// (sends the data centres that are drained to entries and agents), server (connections of entries, agents and control VMs). A disk that refuses
// writes stops them all until it accepts writes again; other failures are fatal to
// the daemon. State: the data folder and, on the leader, the planner of
// package placement.
package coordinator

import (
	"cmp"
	"context"
	"crypto/sha256"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/core/relay"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/control/consensus"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/ingress"
	"github.com/cicadapulley/cicadapulley/daemon/scheduler"
	"github.com/cicadapulley/cicadapulley/daemon/storage"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
)

const (
	// electionTimeout is the minimum time without a leader before an election. It
	// covers many syncs of 9 ms each, and a CPU quota that stops the process for
	// the rest of a 100 ms period.
	electionTimeout = 200 * time.Millisecond
	// defaultSnapshotEntries and defaultSnapshotBytes are the limits of options without them.
	// Two snapshots and the log since the older one are kept, so that 8 MiB bounds the data
	// folder to about 40 MiB as long as the state is smaller.
	defaultSnapshotEntries = 20_000
	defaultSnapshotBytes   = 8 << 20
	// transferTimeout bounds how long a planned stop waits for another leader.
	transferTimeout = 500 * time.Millisecond
	// defaultLeaveTimeout is that of options without one. A replacement takes a second check of
	// the group and two commits.
	defaultLeaveTimeout = time.Second
	// stopTimeout bounds the stop of one child.
	stopTimeout = 2 * time.Second
)

// Options configure a coordinator.
type Options struct {
	// VM is the name of this VM.
	VM string
	// Address is the address at which other processes reach this one.
	Address string
	// Listen opens the listener for connections of other processes.
	Listen  func() (net.Listener, error)
	DataDir string
	// FS is the file system of the data folder; nil means the operating system's.
	FS storage.FS
	// Bootstrap is set when the whole system starts for the first time. The
	// initial group then consists of Founders.
	Bootstrap bool
	// Founders are the addresses of control VMs in the settings.
	Founders []string
	// Voters is the target number of voting control VMs.
	Voters int
	// LeaveTimeout bounds how long a planned stop waits until a learner has replaced this VM;
	// 0 means the default.
	LeaveTimeout time.Duration
	// KeepFinal is how long the state of a final job is kept.
	KeepFinal time.Duration
	// DataCentres are the data centres that operators may drain; empty means any.
	DataCentres []string
	// SnapshotEntries is the number of log entries after which a snapshot is saved, and
	// SnapshotBytes their size; 0 means the default.
	SnapshotEntries uint64
	SnapshotBytes   int
	// MemoryBytes is the memory of this VM, which bounds what a leader accepts; 0 means no bound.
	MemoryBytes int64
	// Gate bounds the connections and messages of other processes; nil for none.
	Gate *ingress.Gate
	// QueueBytes bounds the bytes that wait to be sent on a connection; 0 for the default.
	QueueBytes int
	// DetectInterference is set if a leader learns which queues slow each other down on one
	// endpoint, and prefers other endpoints for their tasks.
	DetectInterference bool
	// QueueShares are the shares of queues in percent.
	QueueShares map[string]int
	// Relays is the number of agents that a leader lets each entry relay; 0 means the default,
	// and a negative number none.
	Relays int
	Log    *events.Log
}

// Service is a control VM.
type Service struct {
	opts         Options
	store        *storage.Store
	driver       *consensus.Driver
	machine      *machine
	self         raft.Server
	peers        *peerTransport
	groupManager *groupManager
	metrics      *scheduler.Metrics
	memory       *memoryMonitor

	// mu guards the fields below. It is taken before the driver's lock.
	mu sync.Mutex
	// term is the leader's state, nil while this VM doesn't lead.
	term *term
	// clients are the connected entries and agents.
	clients map[*client]bool
	// lastClient is the number that was last given to a client.
	lastClient relay.ConnectionID
	// lastMembers are the member addresses that were last sent to the clients.
	lastMembers []string
	// drains are the latest that were sent to all clients.
	drains work.DataCentreDrains
	shares *scheduler.Shares
}

// founderIdentity derives the identity of a founder's data folder from its
// address, so that all founders write the same first entry.
func founderIdentity(address string) storage.Identity {
	sum := sha256.Sum256([]byte("founder " + address))
	return storage.Identity(sum[:16])
}

// open opens the data folder and returns the service; Run starts it.
func open(o Options, metrics *scheduler.Metrics) (*Service, error) {
	founder := o.Bootstrap && slices.Contains(o.Founders, o.Address)
	storeOptions := storage.Options{FS: o.FS}
	if founder {
		storeOptions.Identity = founderIdentity(o.Address)
	}
	store, err := storage.Open(o.DataDir, storeOptions)
	if err != nil {
		return nil, errors.Wrap(err, "open data folder")
	}
	s := &Service{opts: o, store: store, machine: &machine{Machine: ledger.New(), log: o.Log, dataCentres: o.DataCentres}, clients: map[*client]bool{}, metrics: metrics}
	s.shares = scheduler.NewShares(o.QueueShares, o.Log)
	s.memory = newMemoryMonitor(o.MemoryBytes, o.Log)
	if err := s.init(founder); err != nil {
		return nil, errors.CombineErrors(err, store.Close())
	}
	return s, nil
}

func (s *Service) init(founder bool) error {
	recovered := s.store.Recovered()
	s.opts.Log.Emit(events.Event{ID: events.StorageOpened, Text: string(recovered.Identity)})
	if recovered.TornTail != nil {
		s.opts.Log.Emit(events.Event{ID: events.StorageTornTail, Text: recovered.TornTail.File})
	}
	if founder && string(recovered.Identity) == string(founderIdentity(s.opts.Address).ServerID()) {
		if err := s.initGroup(&recovered); err != nil {
			return errors.Wrap(err, "start a new group")
		}
	}
	s.self = raft.Server{ID: recovered.Identity, Address: s.opts.Address}
	s.peers = newPeerTransport(s.self, s.opts.VM, s.opts.QueueBytes, s.opts.Log)
	driver, err := consensus.New(consensus.Options{
		Machine:         s.machine,
		Store:           s.store,
		Recovered:       recovered,
		Address:         s.opts.Address,
		ElectionTimeout: electionTimeout,
		SnapshotEntries: cmp.Or(s.opts.SnapshotEntries, defaultSnapshotEntries),
		SnapshotBytes:   cmp.Or(s.opts.SnapshotBytes, defaultSnapshotBytes),
		Transport:       s.peers,
		Log:             s.opts.Log,
		Now:             boottime.Now,
	})
	if err != nil {
		return err
	}
	s.driver = driver
	s.groupManager = newGroupManager(s)
	s.peers.onMembers = s.groupManager.receiveMembers
	return nil
}

// initGroup writes the first entry of a new group, which is the same on all
// founders, unless the folder already has a log.
func (s *Service) initGroup(r *storage.Recovered) error {
	if r.Snapshot.Index > 0 || len(r.Entries) > 0 || r.HardState.Term > 0 {
		return nil
	}
	var group raft.Group
	for _, address := range s.opts.Founders {
		id := founderIdentity(address).ServerID()
		group.Servers = append(group.Servers, raft.Server{ID: id, Address: address, Voter: true})
	}
	r.Entries = []raft.Entry{{Term: 1, Index: 1, Type: raft.EntryGroup, Group: &group}}
	r.HardState = raft.HardState{Term: 1, Commit: 1}
	return s.store.Save(&r.HardState, 0, r.Entries)
}

// Run serves until ctx ends, then transfers the leadership, leaves the group if there is a
// successor, and stops.
func (s *Service) Run(ctx context.Context) error {
	defer s.store.Close()
	tree := supervisor.New("coordinator", supervisor.Options{
		Strategy:    supervisor.RestForOne,
		Observer:    s.opts.Log,
		StopTimeout: stopTimeout,
	})
	tree.Add(supervisor.Child{Name: "consensus", Run: s.driver.Run})
	tree.Add(supervisor.Child{Name: "peers", Run: s.peers.Run})
	tree.Add(supervisor.Child{Name: "group", Run: s.groupManager.Run})
	tree.Add(supervisor.Child{Name: "leader", Run: s.lead})
	tree.Add(supervisor.Child{Name: "drains", Run: s.watchDrains})
	tree.Add(supervisor.Child{Name: "server", Run: s.serve})
	treeCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	cancelDrain := context.AfterFunc(ctx, func() {
		s.opts.Log.Emit(events.Event{ID: events.ProcessDraining})
		s.driver.HandOver(transferTimeout)
		s.groupManager.leave(cmp.Or(s.opts.LeaveTimeout, defaultLeaveTimeout))
		stop()
	})
	defer cancelDrain()
	return tree.Run(treeCtx)
}

// members returns the addresses of the group's members.
func (s *Service) members() []string {
	var list []string
	for _, server := range s.driver.Status().Group.Servers {
		list = append(list, server.Address)
	}
	return list
}

// sendMembers sends the member addresses to all clients when they have changed.
// Clients must be connected to each control VM before it becomes the leader.
func (s *Service) sendMembers(leads bool) {
	list := s.members()
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(list, s.lastMembers) {
		return
	}
	s.lastMembers = list
	for cl := range s.clients {
		cl.conn.Send(&mesh.Members{Addresses: list, Leading: leads})
	}
}

// leaderAddress returns the address of the leader. It is empty if the leader is
// unknown, or if this VM leads and its lease does not hold.
func (s *Service) leaderAddress() string {
	status := s.driver.Status()
	if status.Leader == "" || status.Leader == status.ID && !s.driver.Leading() {
		return ""
	}
	return s.driver.AddressOf(status.Leader)
}

// machine adapts the ledger to consensus.Machine: it decodes commands and
// snapshots.
type machine struct {
	*ledger.Machine
	log *events.Log
	// dataCentres are those of Options.
	dataCentres []string
	// recording is set during a term, and effects has the commands that were applied in
	// it and await applyEffects. The driver's lock guards both.
	recording bool
	effects   []effect
	// cancelledAt dates the cancellations that the ledger keeps. The driver's lock guards it.
	cancelledAt cancellationDates
}

// catchPanic runs fn, and reports and returns a panic, which ends only fn. Its goroutine serves one
// request or connection, and the daemon continues.
func (s *Service) catchPanic(name string, fn func()) error {
	return supervisor.CatchPanic(s.opts.Log, "coordinator/"+name, func() error {
		fn()
		return nil
	})
}
