// Package agent runs tasks on the endpoint beside it. Parent: the root of role
// agent. Children: membership and api, rest-for-one. State: the task table in
// memory. It is lost on restart, which entries and control recognise by the new
// incarnation.
package agent

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cicadapulley/cicadapulley/api/controlclient"
	"github.com/cicadapulley/cicadapulley/api/rpc"
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

// Options configure an agent.
type Options struct {
	Settings settings.Agent
	Network  transport.Network
	// EndpointNetwork connects to the endpoint. It is local, so links are not
	// modelled on it.
	EndpointNetwork transport.Network
	Control         *controlclient.Client
	Log             *events.Log
	Listener        net.Listener
	Security        transport.Security
}

// Service is an agent.
type Service struct {
	opts     Options
	members  *membership.Service
	executor *executor
	// gate bounds the connections and requests of entries.
	gate *ingress.Gate
}

// New returns an agent; Run starts it.
func New(o Options) *Service {
	connections := transport.FileShare(transport.MaxConnections, transport.ListenerFilePercent)
	s := &Service{opts: o, gate: transport.NewGate("entries", connections, o.Settings.RequestMemory(), settings.DefaultMaxBodyBytes)}
	s.members = membership.New(o.Control, o.Log, member(o), nil)
	client := transport.NewEndpointClient(o.EndpointNetwork, o.Settings.Connections)
	s.executor = newExecutor(o.Settings, s.members, o.Log, &endpoint{url: o.Settings.Endpoint, client: client})
	return s
}

func member(o Options) state.Member {
	serves := make([]state.ServedKind, len(o.Settings.Serves))
	for i, k := range o.Settings.Serves {
		serves[i] = state.ServedKind(k)
	}
	address := o.Settings.Advertise
	if address == "" {
		address = o.Listener.Addr().String()
	}
	return state.Member{
		ID:          o.Settings.ID,
		Role:        state.RoleAgent,
		Address:     address,
		Ops:         o.Settings.OpsURL(),
		DataCentre:  o.Settings.DataCentre,
		Rack:        o.Settings.Rack,
		Slots:       o.Settings.Slots,
		Connections: o.Settings.Connections,
		Resources: state.Resources{
			MilliCPU:     o.Settings.MilliCPU,
			MemoryMB:     o.Settings.MemoryMB,
			Accelerators: o.Settings.Accelerators,
		},
		Serves: serves,
	}
}

// WaitReady blocks until the agent may start tasks.
func (s *Service) WaitReady(ctx context.Context) error { return s.members.WaitReady(ctx) }

// Members returns the agent's membership, for its operations server.
func (s *Service) Members() *membership.Service { return s.members }

// Run serves until ctx is done, then drains: it refuses new tasks, waits for the
// running ones and releases the lease last.
func (s *Service) Run(ctx context.Context) error {
	tree := supervisor.New("agent", supervisor.Options{
		Strategy:    supervisor.RestForOne,
		Observer:    s.opts.Log,
		StopTimeout: s.opts.Settings.DrainTimeout() + leaveTimeout,
	})
	tree.Add(supervisor.Child{Name: "membership", Run: s.members.Run})
	tree.Add(supervisor.Child{Name: "api", Run: s.serve})
	tree.Add(supervisor.Child{Name: "limits", Run: func(ctx context.Context) error { return ingress.Report(ctx, s.opts.Log, s.gate) }})
	return tree.Run(ctx)
}

// Gates returns the gate of the agent's listener, for its metrics.
func (s *Service) Gates() []*ingress.Gate { return []*ingress.Gate{s.gate} }

func (s *Service) serve(ctx context.Context) error {
	mux := http.NewServeMux()
	server := rpc.NewAgentServer(&api{executor: s.executor}, transport.CountAnswers())
	mux.Handle(server.PathPrefix(), s.opts.Security.Require(transport.RoleEntry, transport.Buffered(transport.MaxRequestBytes, server)))
	h := transport.Recover(s.opts.Log, mux)
	srv := transport.NewServer(h, s.opts.Security.ServerConfig())
	s.gate.Configure(srv)
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	go func() {
		<-ctx.Done()
		s.drain(serveCtx)
		stopServing()
	}()
	return transport.Serve(serveCtx, srv, s.gate.Listener(s.opts.Listener), s.opts.Settings.DrainTimeout())
}

// drain refuses new tasks and waits for the running ones. The server keeps
// answering, so that entries receive late results.
func (s *Service) drain(ctx context.Context) {
	s.opts.Log.Emit(events.Event{ID: events.ProcessDraining})
	s.executor.drain()
	drainCtx, cancel := context.WithTimeout(ctx, s.opts.Settings.DrainTimeout())
	defer cancel()
	s.callControl(drainCtx, s.members.Drain)
	s.executor.waitIdle(drainCtx)
	s.callControl(drainCtx, s.members.Leave)
}

func (s *Service) callControl(ctx context.Context, call func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := call(ctx); err != nil {
		s.opts.Log.Emit(events.Event{ID: events.LeaseRenewFailed, Text: "planned stop", Err: err})
	}
}
