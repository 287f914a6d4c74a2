package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cicadapulley/cicadapulley/core/state"
)

// SetEndpoints replaces the list of endpoints by that of the membership.
// Endpoints that stay in the list keep their in-flight counts, estimates and
// health.
func (s *Scheduler) SetEndpoints(now time.Time, list []Endpoint) {
	s.advance(now)
	listed := make(map[string]bool, len(list))
	for _, d := range list {
		listed[d.ID] = true
		s.setEndpoint(d)
	}
	for _, e := range s.endpointList {
		if !listed[e.ID] {
			s.removeEndpoint(e)
		}
	}
	s.endpointList = s.endpointList[:0]
	for _, d := range list {
		s.endpointList = append(s.endpointList, s.endpoints[d.ID])
	}
	s.readmitExcess()
	s.removeUnusedKinds()
	s.noneStartable = false
}

func (s *Scheduler) setEndpoint(d Endpoint) {
	e := s.endpoints[d.ID]
	if e == nil {
		e = &endpoint{}
		if s.opts.Strategy == Grants {
			e.granted = initialGrant(d.Slots)
		}
		s.endpoints[d.ID] = e
	}
	if e.pool == nil || e.pool.signature != signature(d) {
		s.leavePool(e)
		s.joinPool(e, d)
	}
	e.Endpoint = d
	e.granted = min(e.granted, d.Slots)
	s.reindex(e)
}

func (s *Scheduler) removeEndpoint(e *endpoint) {
	s.readmit(e)
	delete(s.endpoints, e.ID)
	s.leavePool(e)
	s.freeSlots -= e.freeSlots
	e.freeSlots = 0
	s.updateThroughput(e)
}

// removed reports whether the endpoint has been removed from the membership.
func (e *endpoint) removed() bool { return e.pool == nil }

// signature returns the key of an endpoint's pool.
func signature(d Endpoint) string {
	names := make([]string, 0, len(d.Serves))
	for _, k := range d.Serves {
		names = append(names, k.Service+"\x00"+k.Kind)
	}
	slices.Sort(names)
	return fmt.Sprint(d.Capacity, strings.Join(slices.Compact(names), "\x01"))
}

func (s *Scheduler) joinPool(e *endpoint, d Endpoint) {
	sig := signature(d)
	p := s.pools[sig]
	if p == nil {
		p = &pool{signature: sig, capacity: d.Capacity, members: map[string]*endpoint{}}
		s.pools[sig] = p
		for _, served := range d.Serves {
			k := s.kindFor(served.Service, served.Kind)
			if !slices.Contains(k.pools, p) {
				k.pools = append(k.pools, p)
			}
		}
	}
	p.members[d.ID] = e
	e.pool = p
}

func (s *Scheduler) leavePool(e *endpoint) {
	p := e.pool
	if p == nil {
		return
	}
	p.move(e, nil)
	delete(p.members, e.ID)
	e.pool = nil
	if len(p.members) > 0 {
		return
	}
	delete(s.pools, p.signature)
	for _, k := range s.kinds {
		k.pools = slices.DeleteFunc(k.pools, func(other *pool) bool { return other == p })
	}
}

// removeUnusedKinds removes the kinds that no endpoint serves and that have no
// tasks queued or in flight.
func (s *Scheduler) removeUnusedKinds() {
	for key, k := range s.kinds {
		if len(k.pools) == 0 && k.queued == 0 && k.inFlight == 0 {
			delete(s.kinds, key)
			s.kindList = slices.DeleteFunc(s.kindList, func(other *kind) bool { return other == k })
		}
	}
}

// fits reports whether any endpoint that serves the kind can run a task with
// these needs.
func (k *kind) fits(needs state.Resources) bool {
	for _, p := range k.pools {
		if needs.Fits(p.capacity) {
			return true
		}
	}
	return false
}
