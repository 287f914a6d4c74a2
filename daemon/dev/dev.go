// Package dev runs all roles in one process, on an in-memory network, with
// stand-in endpoints. Parent: the root. Children, one-for-one: control VMs,
// endpoints, agents, entries and the set-up. State: the data folder.
package dev

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cicadapulley/cicadapulley/api/controlclient"
	"github.com/cicadapulley/cicadapulley/daemon/agent"
	"github.com/cicadapulley/cicadapulley/daemon/control"
	"github.com/cicadapulley/cicadapulley/daemon/dev/precise"
	"github.com/cicadapulley/cicadapulley/daemon/dev/standin"
	"github.com/cicadapulley/cicadapulley/daemon/entry"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/memnet"
	"github.com/cicadapulley/cicadapulley/daemon/settings"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
	"github.com/cicadapulley/cicadapulley/daemon/transport"
)

// dataCentre is the data centre of all processes.
const dataCentre = "dev"

// workersPerRack matches the users' sites.
const workersPerRack = 3

// Options configure a development system.
type Options struct {
	// Listen has one address for callers for each entry.
	Listen []string
	// Data is the data folder.
	Data string
	// Controls is the number of control VMs: 1, 3 or 5.
	Controls int
	// Speeds holds the speed of each worker's endpoint.
	Speeds []float64
	// Slots is the number of slots of each worker.
	Slots int
	// LinkDelay is the one-way delay between processes.
	LinkDelay time.Duration
	// SyncDelay is added to each disk sync.
	SyncDelay time.Duration
	// LeaseTTL is the length of leases; zero means the default of control VMs.
	LeaseTTL time.Duration
	Dispatch string
	// Kinds are additional repeatable kinds that behave like sleep.
	Kinds  []string
	Logger *zap.Logger
	// Ready receives a line with the first entry's URL for callers.
	Ready io.Writer
}

// connectionsPerWorker matches the users' sites.
const connectionsPerWorker = 64

// System is a development system. Build it with New, then Run once.
type System struct {
	opts      Options
	net       *memnet.Network
	root      *supervisor.Supervisor
	starts    *standin.Starts
	controls  []*control.Service
	agents    []*agent.Service
	entries   []*entry.Service
	endpoints map[string]*standin.Endpoint
	logs      map[string]*events.Log
	urls      []string
}

// New opens the data folder and the listeners.
func New(ctx context.Context, o Options) (*System, error) {
	s := &System{
		opts:      o,
		net:       memnet.New(o.LinkDelay).WithSleep(precise.Sleep),
		endpoints: map[string]*standin.Endpoint{},
		logs:      map[string]*events.Log{},
	}
	s.root = supervisor.New("root", supervisor.Options{Observer: s.eventLog("dev"), StopTimeout: time.Minute})
	for _, step := range []func(context.Context) error{s.addControls, s.openStarts, s.addWorkers, s.addEntries} {
		if err := step(ctx); err != nil {
			return nil, err
		}
	}
	s.root.Add(supervisor.Child{Name: "setup", Run: s.setUp, Once: true})
	return s, nil
}

// eventLog returns the event log of a process, which it creates on first use.
func (s *System) eventLog(process string) *events.Log {
	if l := s.logs[process]; l != nil {
		return l
	}
	l := events.NewLog(process, s.opts.Logger.With(zap.String("process", process)), events.NewClock())
	s.logs[process] = l
	return l
}

func (s *System) openStarts(context.Context) error {
	starts, err := standin.OpenStarts(filepath.Join(s.opts.Data, "starts.jsonl"))
	s.starts = starts
	return err
}

func (s *System) process(id string) settings.Process {
	return settings.Process{ID: id, DataCentre: dataCentre, Advertise: address(id)}
}

// address returns the address of a process on the in-memory network.
func address(id string) string { return id + ".dev:1" }

func (s *System) addControls(ctx context.Context) error {
	for i := range s.opts.Controls {
		id := controlID(i)
		host := s.net.Host(id)
		l, err := host.Listen(ctx, address(id))
		if err != nil {
			return err
		}
		service, err := control.Open(control.Options{
			Settings: settings.Control{
				Process:     s.process(id),
				DataDir:     filepath.Join(s.opts.Data, id),
				Bootstrap:   i == 0,
				LeaseTTLMS:  s.opts.LeaseTTL.Milliseconds(),
				SyncDelayMS: s.opts.SyncDelay.Milliseconds(),
			},
			Network:  host,
			Log:      s.eventLog(id),
			Listener: l,
		})
		if err != nil {
			return errors.Wrapf(err, "%s", id)
		}
		s.controls = append(s.controls, service)
		s.root.Add(supervisor.Child{Name: id, Run: service.Run})
	}
	return nil
}

func controlID(i int) string { return fmt.Sprintf("control-%d", i+1) }

// controlClient returns a client that calls the control VMs from a host.
func (s *System) controlClient(host string) *controlclient.Client {
	client := transport.NewClient(transport.ClientOptions{Network: s.net.Host(host)})
	addresses := make([]string, s.opts.Controls)
	for i := range addresses {
		addresses[i] = address(controlID(i))
	}
	return controlclient.New(client, "http", addresses)
}

func (s *System) addWorkers(ctx context.Context) error {
	// An endpoint is on its agent's worker, so the link between them has no delay.
	local := memnet.New(0)
	for i, speed := range s.opts.Speeds {
		endpointID := fmt.Sprintf("endpoint-%d", i+1)
		l, err := local.Host(endpointID).Listen(ctx, address(endpointID))
		if err != nil {
			return err
		}
		id := agentID(i)
		e := standin.New(l, s.starts, standin.Behaviour{Mode: standin.Normal, Speed: speed})
		e.Worker = id
		s.endpoints[id] = e
		s.root.Add(supervisor.Child{Name: endpointID, Run: e.Run})
		if err := s.addAgent(ctx, id, endpointID, i/workersPerRack, local); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) addAgent(ctx context.Context, id, endpointID string, rack int, local *memnet.Network) error {
	host := s.net.Host(id)
	l, err := host.Listen(ctx, address(id))
	if err != nil {
		return err
	}
	process := s.process(id)
	process.Rack = fmt.Sprintf("rack-%d", rack+1)
	process.Ops = s.opsURL(id)
	service := agent.New(agent.Options{
		Settings: settings.Agent{
			Process:     process,
			Endpoint:    "http://" + address(endpointID) + "/",
			Serves:      s.servedKinds(),
			Slots:       s.opts.Slots,
			Connections: connectionsPerWorker,
		},
		Network:         host,
		EndpointNetwork: local.Host(id),
		Control:         s.controlClient(id),
		Log:             s.eventLog(id),
		Listener:        l,
	})
	s.agents = append(s.agents, service)
	s.root.Add(supervisor.Child{Name: id, Run: service.Run})
	return nil
}

func (s *System) addEntries(ctx context.Context) error {
	for i, listen := range s.opts.Listen {
		id := entryID(i)
		host := s.net.Host(id)
		l, err := host.Listen(ctx, address(id))
		if err != nil {
			return err
		}
		callers, err := net.Listen("tcp", listen)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		s.urls = append(s.urls, "http://"+callers.Addr().String())
		s.addEntry(id, host, l, callers)
	}
	return nil
}

func agentID(i int) string { return fmt.Sprintf("worker-%d", i+1) }

func entryID(i int) string { return fmt.Sprintf("entry-%d", i+1) }

func (s *System) addEntry(id string, host transport.Network, l, callers net.Listener) {
	process := s.process(id)
	process.Ops = s.opsURL(id)
	service := entry.New(entry.Options{
		Settings: settings.Entry{
			Process:        process,
			BalancerWaitMS: 1, // a development system has no balancer
			Dispatch:       s.opts.Dispatch,
		},
		Network:        host,
		Control:        s.controlClient(id),
		Log:            s.eventLog(id),
		Listener:       l,
		CallerListener: callers,
		Fallback:       http.HandlerFunc(s.serveAPI),
	})
	s.entries = append(s.entries, service)
	s.root.Add(supervisor.Child{Name: id, Run: service.Run})
}

// opsURL returns the URL of a process's operations server, whose paths are served on
// the first entry's address.
func (s *System) opsURL(id string) string {
	return "http://" + s.opts.Listen[0] + "/dev/processes/" + id
}

// Run serves until ctx ends.
func (s *System) Run(ctx context.Context) error {
	defer s.starts.Close()
	return s.root.Run(ctx)
}
