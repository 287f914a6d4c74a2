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

// Process is one process with all its incarnations.
type Process struct {
	ID        string
	cluster   *Cluster
	role      role
	bootstrap bool
	disk      *Disk

	mu           sync.Mutex
	startCount   int
	current      *Incarnation
	incarnations []*Incarnation
	// lastDisruption is when the process was last started, killed, cut off or
	// reconnected.
	lastDisruption time.Time
}

// Incarnation is one run of a process.
type Incarnation struct {
	gate   *gate
	cancel context.CancelFunc
	// ended is closed when the services have returned.
	ended chan struct{}
	err   error
	log   *events.Log

	// stopRequestedAt is when a planned stop began.
	stopRequestedAt time.Time

	Control *control.Service
	Entry   *entry.Service
	Agent   *agent.Service
}

// Members returns the membership service, nil for a control VM or a nil incarnation.
func (inc *Incarnation) Members() *membership.Service {
	switch {
	case inc == nil:
		return nil
	case inc.Entry != nil:
		return inc.Entry.Members()
	case inc.Agent != nil:
		return inc.Agent.Members()
	}
	return nil
}

// Killed reports whether the process was killed, or Clear was called after the end.
func (inc *Incarnation) Killed() bool { return inc.gate.isClosed() }

// Ended reports whether the services have returned.
func (inc *Incarnation) Ended() bool {
	select {
	case <-inc.ended:
		return true
	default:
		return false
	}
}

// Err returns the error of the services. Call it only after they have returned.
func (inc *Incarnation) Err() error { return inc.err }

// Current returns the running incarnation, nil while the process is down.
func (p *Process) Current() *Incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// Start starts the process. It returns an error if the process is running. Only
// one goroutine at a time may start and end a process.
func (p *Process) Start() error {
	if p.Current() != nil {
		return fmt.Errorf("%s is already running", p.ID)
	}
	p.startCount++
	inc := &Incarnation{
		gate:  newGate(),
		ended: make(chan struct{}),
		log:   p.cluster.newLog(fmt.Sprintf("%s#%d", p.ID, p.startCount)),
	}
	// No lock is held here: opening a disk takes virtual time, which does not
	// advance while a goroutine waits for a mutex.
	run, err := p.build(inc)
	if err != nil {
		inc.gate.close()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	inc.cancel = cancel
	p.mu.Lock()
	p.lastDisruption = time.Now()
	p.current = inc
	p.incarnations = append(p.incarnations, inc)
	p.mu.Unlock()
	go func() {
		defer close(inc.ended)
		inc.err = run(ctx)
	}()
	return nil
}

func (p *Process) build(inc *Incarnation) (func(context.Context) error, error) {
	switch p.role {
	case roleControl:
		return p.buildControl(inc)
	case roleEntry:
		return p.buildEntry(inc)
	default:
		return p.buildAgent(inc)
	}
}

func (p *Process) settings() settings.Process {
	return settings.Process{ID: p.ID, DataCentre: "dc", Advertise: address(p.ID), DrainMS: DrainTimeout.Milliseconds()}
}

func (p *Process) network(inc *Incarnation) gatedNetwork {
	return gatedNetwork{p.cluster.net.Host(p.ID), inc.gate}
}

func (p *Process) buildControl(inc *Incarnation) (func(context.Context) error, error) {
	network := p.network(inc)
	listener, err := network.Listen(context.Background(), address(p.ID))
	if err != nil {
		return nil, err
	}
	inc.Control, err = control.Open(control.Options{
		Settings: settings.Control{
			Process:         p.settings(),
			DataDir:         "/data",
			Bootstrap:       p.bootstrap,
			SnapshotEntries: p.cluster.size.SnapshotEntries,
		},
		Network:  network,
		Log:      inc.log,
		Listener: listener,
		FS:       gatedFS{p.disk, inc.gate, p.cluster.size.SyncDelay},
	})
	if err != nil {
		return nil, err
	}
	return inc.Control.Run, nil
}

func (p *Process) buildEntry(inc *Incarnation) (func(context.Context) error, error) {
	network := p.network(inc)
	listener, err := network.Listen(context.Background(), address(p.ID))
	if err != nil {
		return nil, err
	}
	callers, err := network.Listen(context.Background(), callersAddress(p.ID))
	if err != nil {
		return nil, err
	}
	client, _ := p.cluster.controlClient(network)
	inc.Entry = entry.New(entry.Options{
		Settings:       settings.Entry{Process: p.settings(), BalancerWaitMS: BalancerWait.Milliseconds()},
		Network:        network,
		Control:        client,
		Log:            inc.log,
		Listener:       listener,
		CallerListener: callers,
	})
	return inc.Entry.Run, nil
}

func (p *Process) buildAgent(inc *Incarnation) (func(context.Context) error, error) {
	network := p.network(inc)
	listener, err := network.Listen(context.Background(), address(p.ID))
	if err != nil {
		return nil, err
	}
	client, _ := p.cluster.controlClient(network)
	e, err := p.cluster.endpoint(p.ID)
	if err != nil {
		return nil, err
	}
	inc.Agent = agent.New(agent.Options{
		Settings: settings.Agent{
			Process:     p.settings(),
			Endpoint:    "http://" + e.address + "/",
			Serves:      ServedKinds(),
			Slots:       p.cluster.size.Slots,
			Connections: 64,
			MilliCPU:    16_000,
			MemoryMB:    32_000,
		},
		Network:         network,
		EndpointNetwork: gatedNetwork{p.cluster.endpointNet.Host(p.ID), inc.gate},
		Control:         client,
		Log:             inc.log,
		Listener:        listener,
	})
	return inc.Agent.Run, nil
}

// Kill ends the process without warning: its connections break, and its
// remaining goroutines can no longer send or write.
func (p *Process) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		return
	}
	p.lastDisruption = time.Now()
	p.current.gate.close()
	p.cluster.net.Kill(p.ID)
	p.current.cancel()
	p.current = nil
}

// PowerLoss drops a random part of the unsynced data of a killed control VM.
func (p *Process) PowerLoss(r *rand.Rand) { p.disk.PowerLoss(r) }

// LoseDisk replaces the disk of a killed control VM by an empty one.
func (p *Process) LoseDisk() {
	p.bootstrap = false
	p.disk = NewDisk()
}

// Stop begins a planned stop and returns the incarnation that is stopping.
func (p *Process) Stop() *Incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil && p.current.stopRequestedAt.IsZero() {
		p.current.stopRequestedAt = time.Now()
		p.current.cancel()
	}
	return p.current
}

// Clear removes an incarnation that has ended by itself or by a planned stop, so
// that the process can start again.
func (p *Process) Clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		return
	}
	p.current.gate.close()
	p.cluster.net.Kill(p.ID)
	p.current = nil
}

// RecordDisruption records that the process was cut off or reconnected.
func (p *Process) RecordDisruption() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastDisruption = time.Now()
}

// LastDisruption returns when the process was last started, killed, cut off or
// reconnected.
func (p *Process) LastDisruption() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastDisruption
}

// wait blocks until the services of all incarnations have returned.
func (p *Process) wait() {
	for _, inc := range p.incarnations {
		<-inc.ended
	}
}
