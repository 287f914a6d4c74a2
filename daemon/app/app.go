// Package app builds the process of each role from its settings: the root
// supervisor, the role and its operations server. It contains no other logic.
package app

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cicadapulley/cicadapulley/api/controlclient"
	"github.com/cicadapulley/cicadapulley/daemon/agent"
	"github.com/cicadapulley/cicadapulley/daemon/control"
	"github.com/cicadapulley/cicadapulley/daemon/entry"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/ops"
	"github.com/cicadapulley/cicadapulley/daemon/settings"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
	"github.com/cicadapulley/cicadapulley/daemon/transport"
)

// process holds the parts that all roles share.
type process struct {
	settings settings.Process
	log      *events.Log
	network  *transport.CountingNetwork
	security transport.Security
	listener net.Listener
	root     *supervisor.Supervisor
}

// NewLineLogger returns a JSON logger of level info and above that writes to out,
// which must not block.
func NewLineLogger(out zapcore.WriteSyncer) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), out, zapcore.InfoLevel))
}

// NewLogger returns a JSON logger that writes to standard error. An empty level
// means info.
func NewLogger(level string) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	cfg.Sampling = nil
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	if level != "" {
		parsed, err := zapcore.ParseLevel(level)
		if err != nil {
			return nil, err
		}
		cfg.Level = zap.NewAtomicLevelAt(parsed)
	}
	return cfg.Build(zap.WithCaller(false))
}

func newProcess(ctx context.Context, s settings.Process) (*process, error) {
	logger, err := NewLogger(s.LogLevel)
	if err != nil {
		return nil, errors.Wrap(err, "log_level")
	}
	p := &process{settings: s, network: &transport.CountingNetwork{Network: transport.TCP{}}}
	p.log = events.NewLog(s.ID, logger.With(zap.String("process", s.ID)), events.NewClock())
	p.log.Emit(events.Event{ID: events.ProcessStarted})
	if p.security, err = transport.LoadSecurity(s.TLS, p.log); err != nil {
		return nil, errors.Wrap(err, "tls")
	}
	if p.listener, err = p.network.Listen(ctx, s.Listen); err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p.root = supervisor.New("root", supervisor.Options{
		Observer:    p.log,
		StopTimeout: 2 * s.DrainTimeout(),
	})
	return p, nil
}

// controlClient returns a client of the control VMs.
func (p *process) controlClient(addresses []string) *controlclient.Client {
	client := transport.NewClient(transport.ClientOptions{Network: p.network, TLS: p.security.ClientConfig(), QueueBytes: p.settings.LinkQueueBytes()})
	return controlclient.New(client, p.security.Scheme(), addresses)
}

// addOps adds the operations server if the settings have an address for it.
func (p *process) addOps(ctx context.Context, o ops.Options) error {
	if p.settings.Ops == "" {
		return nil
	}
	// The server's own traffic is not counted, so that reading the counters doesn't
	// change them.
	l, err := transport.TCP{}.Listen(ctx, p.settings.Ops)
	if err != nil {
		return errors.Wrap(err, "ops")
	}
	o.Log = p.log
	o.Listener = l
	o.Collectors = append(o.Collectors, p.network.Collectors()...)
	p.root.Add(supervisor.Child{Name: "ops", Run: ops.New(o).Run})
	return nil
}

// run runs the supervisor tree until ctx ends.
func (p *process) run(ctx context.Context) error {
	p.root.Add(supervisor.Child{Name: "certificates", Run: p.security.Run})
	err := p.root.Run(ctx)
	p.log.Emit(events.Event{ID: events.ProcessStopped, Err: err})
	return err
}

// RunControl runs a control VM until ctx ends.
func RunControl(ctx context.Context, s settings.Control) error {
	p, err := newProcess(ctx, s.Process)
	if err != nil {
		return err
	}
	service, err := control.Open(control.Options{
		Settings: s,
		Network:  p.network,
		Log:      p.log,
		Listener: p.listener,
		Security: p.security,
	})
	if err != nil {
		return err
	}
	err = p.addOps(ctx, ops.Options{
		Ready:      service.Ready,
		Status:     func() any { return service.Replica().Status() },
		Collectors: service.Collectors(),
		Gates:      service.Gates(),
	})
	if err != nil {
		return err
	}
	// A restart of the child can't reconcile the log on disk with the one in
	// memory, so a failure of the role ends the process.
	p.root.Add(supervisor.Child{Name: "control", Run: fatalOnError(service.Run)})
	return p.run(ctx)
}

func fatalOnError(run func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		if err := run(ctx); err != nil {
			return supervisor.Fatal(err)
		}
		return nil
	}
}

// RunEntry runs an entry until ctx ends.
func RunEntry(ctx context.Context, s settings.Entry) error {
	p, err := newProcess(ctx, s.Process)
	if err != nil {
		return err
	}
	callers, err := transport.TCP{}.Listen(ctx, s.Callers)
	if err != nil {
		return errors.Wrap(err, "callers")
	}
	service := entry.New(entry.Options{
		Settings:       s,
		Network:        p.network,
		Control:        p.controlClient(s.Control),
		Log:            p.log,
		Listener:       p.listener,
		CallerListener: callers,
		Security:       p.security,
	})
	err = p.addOps(ctx, ops.Options{
		Ready:      service.Ready,
		Status:     func() any { return service.Status() },
		Collectors: service.Collectors(),
		Gates:      service.Gates(),
	})
	if err != nil {
		return err
	}
	p.root.Add(supervisor.Child{Name: "entry", Run: fatalOnError(service.Run)})
	return p.run(ctx)
}

// RunAgent runs an agent until ctx ends.
func RunAgent(ctx context.Context, s settings.Agent) error {
	p, err := newProcess(ctx, s.Process)
	if err != nil {
		return err
	}
	service := agent.New(agent.Options{
		Settings:        s,
		Network:         p.network,
		EndpointNetwork: transport.TCP{},
		Control:         p.controlClient(s.Control),
		Log:             p.log,
		Listener:        p.listener,
		Security:        p.security,
	})
	err = p.addOps(ctx, ops.Options{
		Ready:      service.Members().LeaseValid,
		Collectors: service.Collectors(),
		Gates:      service.Gates(),
	})
	if err != nil {
		return err
	}
	p.root.Add(supervisor.Child{Name: "agent", Run: fatalOnError(service.Run)})
	return p.run(ctx)
}
