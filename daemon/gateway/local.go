package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/fallback"
	"github.com/cicadapulley/cicadapulley/daemon/link"
)

// applyWelcome stores what the leader sends at the start of its term and after each
// change of the configuration. A connection that has been replaced may still deliver a
// message, which is dropped.
func (s *Service) applyWelcome(from *leader, w *mesh.Welcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader != from {
		return
	}
	if s.view.Welcomed(w.Term, w.Agents, configurationOf(w)) {
		s.configurationChanged("leader of term " + strconv.FormatUint(w.Term, 10))
	}
}

func configurationOf(w *mesh.Welcome) *work.Configuration {
	return &work.Configuration{Version: w.Version, Queues: w.Queues}
}

// configurationChanged makes the present configuration the one by which jobs are placed.
// The caller holds mu.
func (s *Service) configurationChanged(from string) {
	s.opts.Log.Emit(events.Event{ID: events.ConfigurationReceived, Ticket: s.view.Version(), Text: from})
	if s.local != nil {
		s.local.SetRoutes(s.view.Routes())
	}
	s.notify()
}

// recordVersion records the version that a control VM has applied, and requests the
// configuration from it if this entry lacks it.
func (s *Service) recordVersion(c *link.Conn, version uint64) {
	s.mu.Lock()
	s.view.Reported(version)
	lacking := version > s.view.Version()
	s.mu.Unlock()
	if lacking {
		c.Send(&mesh.NewSession{})
	}
}

// applyDrains uses the drains of data centres that a control VM has sent, if they are the
// newest.
func (s *Service) applyDrains(d work.DataCentreDrains) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view.Drained(d) && s.local != nil {
		s.local.SetDrained(d)
	}
}

// Standby handles the messages of a control VM that does not lead. It implements
// follow.Options.Standby. Such a VM may have applied a configuration, or drains, that no
// leader has sent to this entry.
func (s *Service) Standby(c *link.Conn, m mesh.Message) {
	switch m := m.(type) {
	case *mesh.Pong:
		s.recordVersion(c, m.ConfigurationVersion)
	case *mesh.Drains:
		s.applyDrains(m.State)
	case *mesh.Welcome:
		s.mu.Lock()
		defer s.mu.Unlock()
		if m.Version > 0 && s.view.Configured(configurationOf(m)) {
			s.configurationChanged("control VM " + c.Remote())
		}
	}
}

func (s *Service) addAgent(a ledger.Agent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Enrolled(a)
}

// Run places best-effort jobs while there is no leader, until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		opts, ok := s.awaitLeaderLoss(ctx)
		if !ok {
			continue
		}
		p := fallback.New(opts)
		s.setLocal(p)
		leaderlessCtx, stop := context.WithCancel(ctx)
		go s.awaitLeader(leaderlessCtx, stop)
		p.Run(leaderlessCtx)
		stop()
		s.setLocal(nil)
	}
	return nil
}

// awaitLeaderLoss returns the options of a local placer if this entry may place jobs
// itself. Otherwise it waits until that may have changed, or ctx ends, and returns false.
func (s *Service) awaitLeaderLoss(ctx context.Context) (fallback.Options, bool) {
	s.mu.Lock()
	ok, wait := s.view.MayPlace(boottime.Now())
	opts := fallback.Options{
		VM: s.opts.VM, Term: s.view.Term(), LeaderLostAt: s.view.LeaderLostAt(), Routes: s.view.Routes(), Version: s.view.Version(),
		Agents: s.view.Agents(), Drains: s.view.Drains(), Metrics: s.metrics, Log: s.opts.Log,
		DetectInterference: s.opts.DetectInterference, Shares: s.shares, QueueBytes: s.opts.QueueBytes,
	}
	changed := s.changed
	s.mu.Unlock()
	if ok {
		return opts, true
	}
	var due <-chan time.Time
	if wait > 0 {
		due = time.After(wait)
	}
	select {
	case <-ctx.Done():
	case <-changed:
	case <-due:
	}
	return fallback.Options{}, false
}

// awaitLeader calls found once there is a leader.
func (s *Service) awaitLeader(ctx context.Context, found func()) {
	for ctx.Err() == nil {
		s.mu.Lock()
		l, changed := s.leader, s.changed
		s.mu.Unlock()
		if l != nil {
			found()
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// setLocal replaces the local placer; nil removes it.
func (s *Service) setLocal(p *fallback.Placer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.local = p
	if p != nil {
		// A newer configuration, or newer drains, may have arrived since p was made.
		p.SetRoutes(s.view.Routes())
		p.SetDrained(s.view.Drains())
	}
	s.notify()
}
