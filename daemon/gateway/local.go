package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/fallback"
)

// localAfter is how long an entry waits for another leader before it places jobs
// itself. An election takes 0.2 to 0.4 s from the last message of a leader, most
// of which has passed when the loss is noticed.
const localAfter = 150 * time.Millisecond

// knowledge is what the last leader told an entry.
type knowledge struct {
	term    uint64
	routes  *work.Routes
	version uint64
	agents  map[string]ledger.Agent
}

// learn takes what a leader tells at its beginning and after each change of the
// configuration.
func (s *Service) learn(w *mesh.Welcome) {
	agents := make(map[string]ledger.Agent, len(w.Agents))
	for _, a := range w.Agents {
		agents[a.VM] = a
	}
	known := knowledge{
		term: w.Term, routes: work.NewRoutes(&work.Configuration{Queues: w.Queues}), version: w.Version, agents: agents,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known = known
	s.version = max(s.version, w.Version)
}

// enrolled takes another agent.
func (s *Service) enrolled(a ledger.Agent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known.agents[a.VM] = a
}

// Run places best-effort jobs while there is no leader, until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		o, ok := s.awaitLoss(ctx)
		if !ok {
			continue
		}
		p := fallback.New(o)
		s.setLocal(p)
		led, stop := context.WithCancel(ctx)
		go s.awaitLeader(led, stop)
		p.Run(led)
		stop()
		s.setLocal(nil)
	}
	return nil
}

// awaitLoss waits until there has been no leader for localAfter. It is false if
// that changes meanwhile, or if this entry doesn't know enough to place jobs.
func (s *Service) awaitLoss(ctx context.Context) (fallback.Options, bool) {
	s.mu.Lock()
	wait := localAfter - boottime.Now().Sub(s.lost)
	possible := s.leader == nil && s.known.routes != nil && s.known.version >= s.version
	o := fallback.Options{
		VM: s.opts.VM, Term: s.known.term, Lost: s.lost, Routes: s.known.routes,
		Agents: slices.Collect(maps.Values(s.known.agents)), Metrics: s.metrics, Log: s.opts.Log,
	}
	changed := s.changed
	s.mu.Unlock()
	var due <-chan time.Time
	if possible && wait <= 0 {
		return o, true
	}
	if possible {
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

// setLocal replaces who places jobs while there is no leader.
func (s *Service) setLocal(p *fallback.Placer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.local = p
	s.notify()
}
