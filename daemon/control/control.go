// Package control runs a control VM, which stores the replicated state on disk.
// Parent: the root of role control. Children, rest-for-one in this order:
// consensus (the log and one sender for each peer), leases (expiry and takeover,
// on the leader), api. State: the data folder, opened before the children start.
// A failure of the data folder is fatal to the daemon.
package control

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/daemon/control/consensus"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/ingress"
	"github.com/cicadapulley/cicadapulley/daemon/settings"
	"github.com/cicadapulley/cicadapulley/daemon/storage"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
	"github.com/cicadapulley/cicadapulley/daemon/transport"
)

const (
	// transferTimeout bounds the transfer of leadership at a planned stop.
	transferTimeout = time.Second
	// defaultSnapshotEntries is the number of log entries between snapshots.
	defaultSnapshotEntries = 10_000
	// snapshotBytes is the size of the log entries between snapshots.
	snapshotBytes = 8 << 20
)

// Options configure a control VM.
type Options struct {
	Settings settings.Control
	Network  transport.Network
	Log      *events.Log
	Listener net.Listener
	Security transport.Security
	// FS is the file system of the data folder; nil is the operating system's.
	FS storage.FS
	// Retention bounds the history; the zero value selects state.DefaultRetention.
	Retention state.Retention
}

// Service is a control VM.
type Service struct {
	opts     Options
	store    *storage.Store
	replica  *Replica
	leases   *leases
	draining atomic.Bool
	// gate bounds the connections and requests of other processes and of operators.
	gate *ingress.Gate
}

// Open opens the data folder and returns the control VM; Run starts it. It fails if
// the folder is damaged or locked.
func Open(o Options) (*Service, error) {
	if o.Retention == (state.Retention{}) {
		o.Retention = state.DefaultRetention
	}
	store, err := storage.Open(o.Settings.DataDir, storage.Options{
		SyncDelay: time.Duration(o.Settings.SyncDelayMS) * time.Millisecond,
		FS:        o.FS,
	})
	if err != nil {
		return nil, errors.Wrap(err, "open data folder")
	}
	s := &Service{opts: o, store: store, gate: newGate(o.Settings)}
	if err := s.init(); err != nil {
		store.Close()
		return nil, err
	}
	return s, nil
}

func newGate(s settings.Control) *ingress.Gate {
	connections := transport.FileShare(transport.MaxConnections, transport.ListenerFilePercent)
	return transport.NewGate("processes", connections, s.RequestMemory(), transport.MaxRequestBytes)
}

func (s *Service) init() error {
	recovered := s.store.Recovered()
	s.opts.Log.Emit(events.Event{ID: events.StorageOpened, Text: string(recovered.Identity)})
	if recovered.TornTail != nil {
		s.opts.Log.Emit(events.Event{ID: events.StorageTornTail, Text: recovered.TornTail.File})
	}
	if s.opts.Settings.Bootstrap {
		if err := s.bootstrap(&recovered); err != nil {
			return errors.Wrap(err, "start a new group")
		}
	}
	replica, err := newReplica(consensus.Options{
		Store:           s.store,
		Recovered:       recovered,
		Address:         s.advertiseAddress(),
		ElectionTimeout: s.opts.Settings.ElectionTimeout(),
		SnapshotEntries: s.snapshotEntries(),
		SnapshotBytes:   snapshotBytes,
		Transport:       newRaftTransport(s.opts, recovered.Identity, s.advertiseAddress()),
		Log:             s.opts.Log,
	}, s.opts.Retention)
	if err != nil {
		return err
	}
	s.replica = replica
	s.leases = newLeases(replica, s.opts.Settings.LeaseTTL(), s.opts.Log)
	return nil
}

func (s *Service) snapshotEntries() uint64 {
	if s.opts.Settings.SnapshotEntries == 0 {
		return defaultSnapshotEntries
	}
	return s.opts.Settings.SnapshotEntries
}

// advertiseAddress returns the address at which other VMs reach this one.
func (s *Service) advertiseAddress() string {
	if s.opts.Settings.Advertise != "" {
		return s.opts.Settings.Advertise
	}
	return s.opts.Listener.Addr().String()
}

// bootstrap writes the first entry of a new group, with this VM as its only server,
// unless the folder already has a log.
func (s *Service) bootstrap(r *storage.Recovered) error {
	if r.Snapshot.Index > 0 || len(r.Entries) > 0 || r.HardState.Term > 0 {
		return nil
	}
	group := raft.Group{Servers: []raft.Server{{ID: r.Identity, Address: s.advertiseAddress(), Voter: true}}}
	r.Entries = []raft.Entry{{Term: 1, Index: 1, Type: raft.EntryGroup, Group: &group}}
	r.HardState = raft.HardState{Term: 1, Commit: 1}
	return s.store.Save(&r.HardState, 0, r.Entries)
}

// Replica returns this VM's copy of the state with its log.
func (s *Service) Replica() *Replica { return s.replica }

// Ready reports whether this VM leads or has a leader, and is not draining.
func (s *Service) Ready() bool {
	return !s.draining.Load() && (s.replica.Leading() || s.replica.Status().Leader != "")
}

// WaitLeading blocks until this VM leads and may serve reads, or ctx ends.
func (s *Service) WaitLeading(ctx context.Context) error {
	for {
		changed := s.replica.Changed()
		if s.replica.Leading() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-time.After(s.opts.Settings.ElectionTimeout() / 10):
		}
	}
}

// Run serves until ctx ends, then transfers leadership and stops.
func (s *Service) Run(ctx context.Context) error {
	defer s.store.Close()
	tree := supervisor.New("control", supervisor.Options{
		Strategy:    supervisor.RestForOne,
		Observer:    s.opts.Log,
		StopTimeout: s.opts.Settings.DrainTimeout(),
	})
	tree.Add(supervisor.Child{Name: "consensus", Run: s.replica.Run})
	tree.Add(supervisor.Child{Name: "leases", Run: s.leases.Run})
	tree.Add(supervisor.Child{Name: "api", Run: s.serve})
	tree.Add(supervisor.Child{Name: "limits", Run: func(ctx context.Context) error { return ingress.Report(ctx, s.opts.Log, s.gate) }})
	return tree.Run(ctx)
}

// Operator returns the operators' API, for a development system that serves it next
// to the callers' API.
func (s *Service) Operator() rpc.TwirpServer {
	return rpc.NewOperatorServer(&api{replica: s.replica, leases: s.leases, log: s.opts.Log, stopping: context.Background()})
}

// Gates returns the gate of the VM's listener, for its metrics.
func (s *Service) Gates() []*ingress.Gate { return []*ingress.Gate{s.gate} }

func (s *Service) serve(ctx context.Context) error {
	mux := http.NewServeMux()
	handlers := &api{replica: s.replica, leases: s.leases, log: s.opts.Log, stopping: ctx}
	sec := s.opts.Security
	control := rpc.NewControlServer(handlers, transport.CountAnswers())
	mux.Handle(control.PathPrefix(), sec.RequireAny([]transport.Role{transport.RoleEntry, transport.RoleAgent}, control))
	operator := rpc.NewOperatorServer(handlers, transport.CountAnswers())
	mux.Handle(operator.PathPrefix(), sec.Require(transport.RoleOperator, operator))
	raftServer := rpc.NewRaftServer(&raftAPI{driver: s.replica.Driver, log: s.opts.Log, id: s.replica.Status().ID})
	mux.Handle(raftServer.PathPrefix(), sec.Require(transport.RoleControl, raftServer))
	srv := transport.NewServer(transport.Recover(s.opts.Log, transport.Buffered(transport.MaxRequestBytes, mux)), sec.ServerConfig())
	s.gate.Configure(srv)
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go func() {
		<-ctx.Done()
		s.handOver()
		stop()
	}()
	return transport.Serve(serveCtx, srv, s.gate.Listener(s.opts.Listener), s.opts.Settings.DrainTimeout())
}

// handOver withdraws readiness and transfers leadership to another VM.
func (s *Service) handOver() {
	s.draining.Store(true)
	s.opts.Log.Emit(events.Event{ID: events.ProcessDraining})
	s.replica.HandOver(transferTimeout)
}
