package gateway

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/fallback"
)

// localPlacementDelay is how long an entry waits for another leader before it places
// jobs itself. An election takes 0.2 to 0.4 s from the last message of a leader, most
// of which has passed when the loss is detected.
const localPlacementDelay = 150 * time.Millisecond

// leaderInfo is what an entry has received from the last leader.
type leaderInfo struct {
	term    uint64
	routes  *work.Routes
	version uint64
	agents  map[string]ledger.Agent
}

// applyWelcome stores what a leader sends at the start of its term and after each
// change of the configuration.
func (s *Service) applyWelcome(w *mesh.Welcome) {
	agents := make(map[string]ledger.Agent, len(w.Agents))
	for _, a := range w.Agents {
		agents[a.VM] = a
	}
	info := leaderInfo{
		term: w.Term, routes: work.NewRoutes(&work.Configuration{Queues: w.Queues}), version: w.Version, agents: agents,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if info.version != s.leaderInfo.version {
		s.opts.Log.Emit(events.Event{ID: events.ConfigurationReceived, Ticket: info.version, Text: "term " + strconv.FormatUint(w.Term, 10)})
	}
	s.leaderInfo = info
	s.version = max(s.version, w.Version)
}

func (s *Service) addAgent(a ledger.Agent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaderInfo.agents[a.VM] = a
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

// awaitLeaderLoss returns the options of a local placer if there has been no leader for
// localPlacementDelay and this entry has the routes of the latest configuration.
// Otherwise it waits until that may have changed, or ctx ends, and returns false.
func (s *Service) awaitLeaderLoss(ctx context.Context) (fallback.Options, bool) {
	s.mu.Lock()
	wait := localPlacementDelay - boottime.Now().Sub(s.lostAt)
	canPlace := s.leader == nil && s.leaderInfo.routes != nil && s.leaderInfo.version >= s.version
	opts := fallback.Options{
		VM: s.opts.VM, Term: s.leaderInfo.term, LeaderLostAt: s.lostAt, Routes: s.leaderInfo.routes, Version: s.leaderInfo.version,
		Agents: slices.Collect(maps.Values(s.leaderInfo.agents)), Metrics: s.metrics, Log: s.opts.Log,
	}
	changed := s.changed
	s.mu.Unlock()
	var due <-chan time.Time
	if canPlace && wait <= 0 {
		return opts, true
	}
	if canPlace {
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
	s.notify()
}
