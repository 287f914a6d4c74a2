package harness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cicadapulley/cicadapulley/daemon/agent"
	"github.com/cicadapulley/cicadapulley/daemon/control"
	"github.com/cicadapulley/cicadapulley/daemon/entry"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/membership"
	"github.com/cicadapulley/cicadapulley/daemon/settings"
)

type role uint8

const (
	roleControl role = iota
	roleEntry
	roleAgent
)

// Process is one process over all its lives.
type Process struct {
	ID        string
	cluster   *Cluster
	role      role
	bootstrap bool
	disk      *Disk

	mu    sync.Mutex
	lives int
	life  *Life
	all   []*Life
	// disturbed is when the process was last started, killed, or cut off.
	disturbed time.Time
}

// Life is one run of a process.
type Life struct {
	gate   *gate
	cancel context.CancelFunc
	// ended closes when the services have returned.
	ended chan struct{}
	err   error
	log   *events.Log

	// stopped is when a planned stop began.
	stopped time.Time

	Control *control.Service
	Entry   *entry.Service
	Agent   *agent.Service
}

// Members returns the membership of a life, nil for a control VM.
func (l *Life) Members() *membership.Service {
	switch {
	case l == nil:
		return nil
	case l.Entry != nil:
		return l.Entry.Members()
	case l.Agent != nil:
		return l.Agent.Members()
	}
	return nil
}

// Killed reports whether the life was ended by Kill.
func (l *Life) Killed() bool { return l.gate.dead() }

// Ended reports whether the life's services have returned.
func (l *Life) Ended() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

// Err returns what the services returned; call it only after their end.
func (l *Life) Err() error { return l.err }

// Life returns the present life, nil while the process is down.
func (p *Process) Life() *Life {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life
}

// Start starts the process. It is an error if it runs. One goroutine at a time
// starts and ends a process.
func (p *Process) Start() error {
	if p.Life() != nil {
		return fmt.Errorf("%s runs already", p.ID)
	}
	p.lives++
	l := &Life{
		gate:  newGate(),
		ended: make(chan struct{}),
		log:   p.cluster.newLog(fmt.Sprintf("%s#%d", p.ID, p.lives)),
	}
	// No lock is held here: opening a disk takes virtual time, which stands
	// still while a goroutine waits for a mutex.
	run, err := p.build(l)
	if err != nil {
		l.gate.close()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	p.mu.Lock()
	p.disturbed = time.Now()
	p.life = l
	p.all = append(p.all, l)
	p.mu.Unlock()
	go func() {
		defer close(l.ended)
		l.err = run(ctx)
	}()
	return nil
}

func (p *Process) build(l *Life) (func(context.Context) error, error) {
	switch p.role {
	case roleControl:
		return p.buildControl(l)
	case roleEntry:
		return p.buildEntry(l)
	default:
		return p.buildAgent(l)
	}
}

func (p *Process) settings() settings.Process {
	return settings.Process{ID: p.ID, DataCentre: "dc", Advertise: address(p.ID), DrainMS: DrainBound.Milliseconds()}
}

func (p *Process) network(l *Life) gatedNetwork {
	return gatedNetwork{p.cluster.net.Host(p.ID), l.gate}
}

func (p *Process) buildControl(l *Life) (func(context.Context) error, error) {
	network := p.network(l)
	listener, err := network.Listen(context.Background(), address(p.ID))
	if err != nil {
		return nil, err
	}
	l.Control, err = control.Open(control.Options{
		Settings: settings.Control{
			Process:         p.settings(),
			DataDir:         "/data",
			Bootstrap:       p.bootstrap,
			SnapshotEntries: p.cluster.size.SnapshotEntries,
		},
		Network:  network,
		Log:      l.log,
		Listener: listener,
		FS:       gatedFS{p.disk, l.gate, p.cluster.size.SyncDelay},
	})
	if err != nil {
		return nil, err
	}
	return l.Control.Run, nil
}

func (p *Process) buildEntry(l *Life) (func(context.Context) error, error) {
	network := p.network(l)
	listener, err := network.Listen(context.Background(), address(p.ID))
	if err != nil {
		return nil, err
	}
	callers, err := network.Listen(context.Background(), callersAddress(p.ID))
	if err != nil {
		return nil, err
	}
	client, _ := p.cluster.controlClient(network)
	l.Entry = entry.New(entry.Options{
		Settings:       settings.Entry{Process: p.settings(), BalancerWaitMS: BalancerWait.Milliseconds()},
		Network:        network,
		Control:        client,
		Log:            l.log,
		Listener:       listener,
		CallerListener: callers,
	})
	return l.Entry.Run, nil
}

func (p *Process) buildAgent(l *Life) (func(context.Context) error, error) {
	network := p.network(l)
	listener, err := network.Listen(context.Background(), address(p.ID))
	if err != nil {
		return nil, err
	}
	client, _ := p.cluster.controlClient(network)
	e, err := p.cluster.endpoint(p.ID)
	if err != nil {
		return nil, err
	}
	l.Agent = agent.New(agent.Options{
		Settings: settings.Agent{
			Process:     p.settings(),
			Endpoint:    "http://" + e.address + "/",
			Serves:      Served(),
			Slots:       p.cluster.size.Slots,
			Connections: 64,
			MilliCPU:    16_000,
			MemoryMB:    32_000,
		},
		Network:         network,
		EndpointNetwork: gatedNetwork{p.cluster.local.Host(p.ID), l.gate},
		Control:         client,
		Log:             l.log,
		Listener:        listener,
	})
	return l.Agent.Run, nil
}

// Kill ends the process without warning: its connections break, and what its
// goroutines still do reaches nobody.
func (p *Process) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.life == nil {
		return
	}
	p.disturbed = time.Now()
	p.life.gate.close()
	p.cluster.net.Kill(p.ID)
	p.life.cancel()
	p.life = nil
}

// PowerLoss drops an arbitrary part of what a dead control VM did not sync.
func (p *Process) PowerLoss(r *rand.Rand) { p.disk.PowerLoss(r) }

// LoseDisk replaces a dead control VM's disk by an empty one.
func (p *Process) LoseDisk() {
	p.bootstrap = false
	p.disk = NewDisk()
}

// Stop begins a planned stop.
func (p *Process) Stop() *Life {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.life != nil && p.life.stopped.IsZero() {
		p.life.stopped = time.Now()
		p.life.cancel()
	}
	return p.life
}

// Clear forgets a life that has ended by itself or by a planned stop, so that
// the process can start again.
func (p *Process) Clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.life == nil {
		return
	}
	p.life.gate.close()
	p.cluster.net.Kill(p.ID)
	p.life = nil
}

// Disturb notes that the process was cut off or reconnected.
func (p *Process) Disturb() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbed = time.Now()
}

// Disturbed returns when the process last started, died, or was cut off.
func (p *Process) Disturbed() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.disturbed
}

// wait blocks until the goroutines of all lives have ended.
func (p *Process) wait() {
	for _, l := range p.all {
		<-l.ended
	}
}
