// Package entry takes jobs and calls from callers and sends their tasks to
// agents. Parent: the root of role entry. Children, rest-for-one in this
// order: membership, dispatcher, peers (one for each agent), jobs, api (other
// entries), callers (HTTP). State: the queue, jobs in progress and estimates,
// in memory; after a crash another entry takes the recorded jobs over.
package entry

import (
	"context"
	"hash/fnv"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cicadapulley/cicadapulley/api/controlclient"
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/dispatch"
	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/ingress"
	"github.com/cicadapulley/cicadapulley/daemon/membership"
	"github.com/cicadapulley/cicadapulley/daemon/settings"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
	"github.com/cicadapulley/cicadapulley/daemon/transport"
)

// leaveTimeout bounds each request that announces a planned stop to control.
const leaveTimeout = 2 * time.Second

// Options configure an entry.
type Options struct {
	Settings settings.Entry
	Network  transport.Network
	Control  *controlclient.Client
	Log      *events.Log
	// Listener accepts connections of other entries, CallerListener those of
	// callers.
	Listener       net.Listener
	CallerListener net.Listener
	Security       transport.Security
	// Fallback serves paths outside the callers' interface. If it is nil, they are
	// answered with not_found.
	Fallback http.Handler
}

// Service is an entry.
type Service struct {
	opts       Options
	members    *membership.Service
	dispatcher *dispatcher
	peers      *peerSet
	jobs       *jobManager
	// entryHTTPClient sends requests to other entries.
	entryHTTPClient *http.Client
	draining        atomic.Bool
	// entryGate bounds the connections and requests of other entries, callerGate those of callers.
	entryGate, callerGate *ingress.Gate
}

// New returns an entry; Run starts it.
func New(o Options) *Service {
	memory := o.Settings.RequestMemory()
	entries := transport.FileShare(transport.MaxConnections, transport.SecondListenerFilePercent)
	callers := transport.FileShare(o.Settings.ConnectionLimit(), transport.ListenerFilePercent)
	s := &Service{
		opts:       o,
		entryGate:  transport.NewGate("entries", entries, memory, settings.DefaultMaxBodyBytes),
		callerGate: transport.NewGate("callers", callers, memory, o.Settings.BodyLimit()),
	}
	s.dispatcher = newDispatcher(dispatch.Options{
		Strategy:   strategy(o.Settings.Dispatch),
		DataCentre: o.Settings.DataCentre,
		Seed:       seed(o.Settings.ID),
	})
	s.members = membership.New(o.Control, o.Log, member(o), s.recoverJobs)
	s.peers = &peerSet{
		members:    s.members,
		dispatcher: s.dispatcher,
		log:        o.Log,
		network:    o.Network,
		security:   o.Security,
		queueBytes: o.Settings.LinkQueueBytes(),
		group:      supervisor.NewGroup("entry/peers", o.Log),
		byID:       map[string]*peer{},
	}
	s.entryHTTPClient = transport.NewClient(transport.ClientOptions{Network: o.Network, TLS: o.Security.ClientConfig(), QueueBytes: o.Settings.LinkQueueBytes()})
	s.jobs = newJobManager(s)
	return s
}

func strategy(name string) dispatch.Strategy {
	for _, s := range []dispatch.Strategy{dispatch.Random, dispatch.TwoChoices} {
		if s.String() == name {
			return s
		}
	}
	return dispatch.Grants
}

// seed differs between entries, so that they don't make the same choices.
func seed(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

func member(o Options) state.Member {
	address := o.Settings.Advertise
	if address == "" {
		address = o.Listener.Addr().String()
	}
	return state.Member{
		ID:         o.Settings.ID,
		Role:       state.RoleEntry,
		Address:    address,
		Ops:        o.Settings.OpsURL(),
		DataCentre: o.Settings.DataCentre,
		Rack:       o.Settings.Rack,
	}
}

// WaitReady blocks until the entry accepts jobs.
func (s *Service) WaitReady(ctx context.Context) error { return s.members.WaitReady(ctx) }

// Ready reports whether the balancer should send requests to this entry.
func (s *Service) Ready() bool {
	return !s.draining.Load() && s.members.LeaseValid() && s.members.Replica().Revision > 0
}

// Members returns the entry's membership, for its operations server.
func (s *Service) Members() *membership.Service { return s.members }

// Status returns the scheduler's state, for the operations server.
func (s *Service) Status() dispatch.Status { return s.dispatcher.status() }

// Run serves until ctx is done, then drains: it withdraws readiness, waits for
// the balancer, completes open requests and jobs, and releases the lease last.
func (s *Service) Run(ctx context.Context) error {
	stopTimeout := s.opts.Settings.DrainTimeout() + s.opts.Settings.BalancerWait() + leaveTimeout
	tree := supervisor.New("entry", supervisor.Options{
		Strategy:    supervisor.RestForOne,
		Observer:    s.opts.Log,
		StopTimeout: stopTimeout,
	})
	tree.Add(supervisor.Child{Name: "membership", Run: s.runMembership})
	tree.Add(supervisor.Child{Name: "dispatcher", Run: s.dispatcher.Run})
	tree.Add(supervisor.Child{Name: "peers", Run: s.peers.Run})
	tree.Add(supervisor.Child{Name: "jobs", Run: s.jobs.Run})
	tree.Add(supervisor.Child{Name: "api", Run: s.serveEntries})
	tree.Add(supervisor.Child{Name: "callers", Run: s.serveCallers})
	tree.Add(supervisor.Child{Name: "limits", Run: func(ctx context.Context) error { return ingress.Report(ctx, s.opts.Log, s.Gates()...) }})
	return tree.Run(ctx)
}

// Gates returns the gates of the entry's listeners, for its metrics.
func (s *Service) Gates() []*ingress.Gate { return []*ingress.Gate{s.entryGate, s.callerGate} }

// runMembership releases the lease after all later children have stopped.
func (s *Service) runMembership(ctx context.Context) error {
	err := s.members.Run(ctx)
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	if leaveErr := s.members.Leave(leaveCtx); leaveErr != nil {
		s.opts.Log.Emit(events.Event{ID: events.LeaseRenewFailed, Text: "planned stop", Err: leaveErr})
	}
	return err
}

func (s *Service) serveEntries(ctx context.Context) error {
	mux := http.NewServeMux()
	server := rpc.NewEntryServer(&entryAPI{jobs: s.jobs}, transport.CountAnswers())
	mux.Handle(server.PathPrefix(), s.opts.Security.Require(transport.RoleEntry, transport.Buffered(transport.MaxRequestBytes, server)))
	srv := transport.NewServer(transport.Recover(s.opts.Log, mux), s.opts.Security.ServerConfig())
	s.entryGate.Configure(srv)
	return transport.Serve(ctx, srv, s.entryGate.Listener(s.opts.Listener), s.opts.Settings.DrainTimeout())
}

// serveCallers withdraws readiness and waits for the balancer before it stops
// taking connections.
func (s *Service) serveCallers(ctx context.Context) error {
	s.draining.Store(false)
	api := &callerAPI{service: s, jobs: s.jobs, settings: s.opts.Settings}
	srv := transport.NewServer(transport.Recover(s.opts.Log, api.routes()), nil)
	s.callerGate.Configure(srv)
	l := s.callerGate.Listener(s.opts.CallerListener)
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	go func() {
		<-ctx.Done()
		s.startDrain(serveCtx)
		stopServing()
	}()
	return transport.Serve(serveCtx, srv, l, s.opts.Settings.DrainTimeout())
}

func (s *Service) startDrain(ctx context.Context) {
	s.draining.Store(true)
	s.opts.Log.Emit(events.Event{ID: events.ProcessDraining})
	callCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := s.members.Drain(callCtx); err != nil {
		s.opts.Log.Emit(events.Event{ID: events.LeaseRenewFailed, Text: "planned stop", Err: err})
	}
	wait(ctx, s.opts.Settings.BalancerWait())
}
