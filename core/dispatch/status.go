package dispatch

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Counters counts the scheduler's decisions since its start.
type Counters struct {
	// Started counts assignments, Speculative those beyond the grant.
	Started     uint64
	Speculative uint64 `json:"Spare"`
	// Refused counts reports with the verdict NotRun.
	Refused       uint64
	Retries       uint64
	RetriesDenied uint64
}

// EndpointStatus is an entry's state of one endpoint.
type EndpointStatus struct {
	ID       string
	Slots    int
	InFlight int
	Granted  int
	Drain    bool
	// Speed is relative to the fleet's mean.
	Speed       float64
	Quarantined bool
	// FailureStreak is the number of consecutive failed starts.
	FailureStreak int
	// NextTrial is zero unless the endpoint is quarantined.
	NextTrial time.Time
}

// KindStatus is an entry's state of one kind.
type KindStatus struct {
	Service  string
	Kind     string
	Queued   int
	InFlight int
	// Expected is the estimated run time at the fleet's mean speed.
	Expected time.Duration
	// FailureShare is the moving average of the share of failed starts, from 0
	// to 1.
	FailureShare float64
}

// FlowStatus is the queue of one caller at one service.
type FlowStatus struct {
	Service string
	Caller  string
	Queued  int
}

// Status is the state of a scheduler for operators. All lists are sorted.
type Status struct {
	Queued    int
	InFlight  int
	Endpoints []EndpointStatus
	Kinds     []KindStatus
	Flows     []FlowStatus
	Counters  Counters
}

// Snapshot returns the scheduler's state.
func (s *Scheduler) Snapshot() Status {
	st := Status{Queued: s.queue.size, InFlight: len(s.attempts), Counters: s.counters}
	for _, e := range s.endpoints {
		st.Endpoints = append(st.Endpoints, e.status())
	}
	for _, k := range s.kinds {
		st.Kinds = append(st.Kinds, k.status())
	}
	for _, f := range s.fair.heap {
		st.Flows = append(st.Flows, FlowStatus{Service: f.id.service, Caller: f.id.caller, Queued: f.queued})
	}
	slices.SortFunc(st.Endpoints, func(a, b EndpointStatus) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(st.Kinds, func(a, b KindStatus) int {
		return strings.Compare(a.Service+"\x00"+a.Kind, b.Service+"\x00"+b.Kind)
	})
	slices.SortFunc(st.Flows, func(a, b FlowStatus) int {
		return strings.Compare(a.Service+"\x00"+a.Caller, b.Service+"\x00"+b.Caller)
	})
	return st
}

func (e *endpoint) status() EndpointStatus {
	return EndpointStatus{
		ID:            e.ID,
		Slots:         e.Slots,
		InFlight:      e.inFlight(),
		Granted:       e.granted,
		Drain:         e.Drain,
		Speed:         math.Exp(e.effectiveLogSpeed()),
		Quarantined:   e.health.quarantined,
		FailureStreak: e.health.consecutiveFailures,
		NextTrial:     e.health.nextTrial,
	}
}

func (k *kind) status() KindStatus {
	return KindStatus{
		Service:      k.service,
		Kind:         k.name,
		Queued:       k.queued,
		InFlight:     k.inFlight,
		Expected:     time.Duration(k.work * float64(time.Second)),
		FailureShare: k.failureShare,
	}
}
