package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/scheduler"
	"github.com/cicadapulley/cicadapulley/daemon/storage"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
)

// storageRetryInterval is the interval between checks of a disk that refuses writes.
const storageRetryInterval = 250 * time.Millisecond

// Manager runs a Service, and opens another one from the data folder after the disk
// has refused a write. Until the disk accepts writes again, this VM has no part in
// the group: it can't record a vote or an entry, and the other control VMs elect a
// leader among them. The process continues, so that its state can be seen. Parent:
// the root of the process. Child: one Service at a time.
type Manager struct {
	opts    Options
	metrics *scheduler.Metrics
	// service is nil while the storage is unavailable.
	service atomic.Pointer[Service]
	// storageError is why the disk refuses writes, while there is no service.
	storageError atomic.Pointer[string]
}

// NewManager returns a manager; Run opens the data folder.
func NewManager(o Options) *Manager {
	return &Manager{opts: o, metrics: scheduler.NewMetrics()}
}

// Run runs a Service until ctx ends. An error other than that of a disk that refuses
// writes is fatal.
func (m *Manager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := m.runService(ctx)
		if err == nil {
			return nil
		}
		if !errors.Is(err, storage.ErrUnavailable) {
			return supervisor.Fatal(err)
		}
		text := err.Error()
		m.storageError.Store(&text)
		m.opts.Log.Emit(events.Event{ID: events.StorageUnavailable, Text: m.opts.DataDir, Err: err})
		if m.awaitStorage(ctx) {
			m.opts.Log.Emit(events.Event{ID: events.StorageAvailable, Text: m.opts.DataDir})
		}
	}
	return nil
}

func (m *Manager) runService(ctx context.Context) error {
	s, err := open(m.opts, m.metrics)
	if err != nil {
		return err
	}
	m.storageError.Store(nil)
	m.service.Store(s)
	defer m.service.Store(nil)
	return s.Run(ctx)
}

// awaitStorage waits until the disk accepts writes. It returns false if ctx ends
// first.
func (m *Manager) awaitStorage(ctx context.Context) bool {
	ticker := time.NewTicker(storageRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
		if storage.CheckWritable(m.opts.DataDir, m.opts.FS) == nil {
			return true
		}
	}
}

// Configure brings a configuration into force, as Service.Configure.
func (m *Manager) Configure(ctx context.Context, c *work.Configuration) error {
	s := m.service.Load()
	if s == nil {
		return m.unavailable()
	}
	return s.Configure(ctx, c)
}

// Configuration returns the configuration in force, as Service.Configuration.
func (m *Manager) Configuration(ctx context.Context) ([]byte, error) {
	s := m.service.Load()
	if s == nil {
		return nil, m.unavailable()
	}
	return s.Configuration(ctx)
}

// Drain drains a data centre or withdraws that, as Service.Drain.
func (m *Manager) Drain(ctx context.Context, dataCentre string, drained bool) (work.DataCentreDrains, error) {
	s := m.service.Load()
	if s == nil {
		return work.DataCentreDrains{}, m.unavailable()
	}
	return s.Drain(ctx, dataCentre, drained)
}

// Drains returns the drains of data centres that the leader has, as Service.Drains.
func (m *Manager) Drains(ctx context.Context) (work.DataCentreDrains, error) {
	s := m.service.Load()
	if s == nil {
		return work.DataCentreDrains{}, m.unavailable()
	}
	return s.Drains(ctx)
}

// DataCentres returns the names of the data centres in the settings and of those in d, sorted.
func (m *Manager) DataCentres(d work.DataCentreDrains) []string {
	return knownDataCentres(m.opts.DataCentres, d)
}

// unavailable returns the error of a VM without a service.
func (m *Manager) unavailable() error {
	if text := m.storageError.Load(); text != nil {
		return errors.Wrapf(ErrUnavailable, "the disk of this control VM refuses writes, free space or ask another control VM: %s", *text)
	}
	return errors.Wrap(ErrUnavailable, "this control VM is starting")
}

// Ready reports whether this VM knows a leader, which may be itself.
func (m *Manager) Ready() bool {
	s := m.service.Load()
	return s != nil && s.leaderAddress() != ""
}

// Collectors returns the coordinator's metrics.
func (m *Manager) Collectors() []prometheus.Collector {
	return append(m.metrics.Collectors(),
		newDrainCollector(m),
		m.plannerGauge("cicadapulley_leads", "1 while this VM leads.", func(*placement.Planner) float64 { return 1 }),
		m.plannerGauge("cicadapulley_work_waiting_tasks", "Tasks that wait for room.", func(p *placement.Planner) float64 { return float64(p.Waiting()) }),
		m.plannerGauge("cicadapulley_runs_started_total", "Starts ordered in this term.", func(p *placement.Planner) float64 { return float64(p.Stats.Starts) }),
		m.plannerGauge("cicadapulley_runs_refused_total", "Starts that endpoints refused in this term.", func(p *placement.Planner) float64 { return float64(p.Stats.Refusals) }),
		m.plannerGauge("cicadapulley_runs_moved_total", "Runs stopped in this term to restart elsewhere.", func(p *placement.Planner) float64 { return float64(p.Stats.Moves) }),
		m.plannerGauge("cicadapulley_work_shed_total", "Admitted jobs refused in this term before any of their tasks had begun.", func(p *placement.Planner) float64 { return float64(p.Stats.Shed) }),
		m.plannerGauge("cicadapulley_tasks_requeued_total", "Tasks that waited again in this term.", func(p *placement.Planner) float64 { return float64(p.Stats.Requeues) }),
		m.gauge("cicadapulley_relayed_agents", "Connections of agents that entries relay to this leader.", (*Service).relayedAgents),
		scheduler.NewInterferenceCollector(m.readPlanner),
		scheduler.NewShareCollector(m.readPlanner),
		m.gauge("cicadapulley_term", "Term of the consensus.", func(s *Service) float64 { return float64(s.driver.Term()) }),
		m.gauge("cicadapulley_storage_syncs", "Syncs since the data folder was opened.", func(s *Service) float64 { return float64(s.store.Stats().Syncs) }),
		m.gauge("cicadapulley_storage_log_bytes", "Size of the log on disk.", func(s *Service) float64 { return float64(s.store.Stats().LogBytes) }),
		m.gauge("cicadapulley_configuration_version", "Version of the configuration that this VM has applied.", func(s *Service) float64 { return float64(s.configurationVersion()) }),
		m.gauge("cicadapulley_memory_short", "1 while this VM leads and refuses work for lack of memory.", func(s *Service) float64 {
			if s.memory.isShort() && s.driver.Leading() {
				return 1
			}
			return 0
		}),
		m.gauge("cicadapulley_storage_available", "0 while the disk refuses writes and this VM has no part in the group.", func(*Service) float64 { return 1 }),
	)
}

// gauge returns a gauge that reads the service; it is 0 while there is none.
func (m *Manager) gauge(name, help string, read func(*Service) float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
		s := m.service.Load()
		if s == nil {
			return 0
		}
		return read(s)
	})
}

// readPlanner calls use with the planner of the current term, if this VM leads.
func (m *Manager) readPlanner(use func(p *placement.Planner, now time.Time)) {
	s := m.service.Load()
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != nil {
		use(s.term.Planner, boottime.Now())
	}
}

// plannerGauge returns a gauge that reads the planner; it is 0 while this VM doesn't
// lead.
func (m *Manager) plannerGauge(name, help string, read func(*placement.Planner) float64) prometheus.Collector {
	return m.gauge(name, help, func(s *Service) float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.term == nil {
			return 0
		}
		return read(s.term.Planner)
	})
}
