package model

import (
	"fmt"
	"math"
	"time"

	"github.com/cicadapulley/cicadapulley/core/dispatch"
	"github.com/cicadapulley/cicadapulley/core/slots"
	"github.com/cicadapulley/cicadapulley/core/state"
)

// Config describes one run.
type Config struct {
	Workload  Workload
	Strategy  dispatch.Strategy
	Entries   int
	Endpoints int
	Slots     int
	// Spread is the ratio of the fastest to the slowest endpoint.
	Spread float64
	// Load is the ratio of the offered work to the capacity.
	Load float64
	// Faults injects each of the three faults into one endpoint at the start of
	// the measured interval.
	Faults bool
	// Latency is the one-way latency between entries and agents.
	Latency time.Duration
	Warmup  time.Duration
	Length  time.Duration
	Seed    uint64
}

// run is the state of one run.
type run struct {
	config    Config
	sim       *simulator
	startTime time.Time
	entries   []*entry
	agents    map[string]*agent
	agentList []*agent
	metrics   *metrics
}

// Run simulates a configuration and returns its figures.
func Run(c Config) Result {
	r := &run{config: c, sim: newSimulator(c.Seed), agents: map[string]*agent{}}
	r.startTime = r.sim.now
	r.metrics = &metrics{run: r, from: r.startTime.Add(c.Warmup), to: r.startTime.Add(c.Warmup + c.Length)}
	r.addAgents()
	r.addEntries()
	for _, spec := range c.Workload.classes {
		newSource(r, spec, c.Load*r.capacity()).scheduleNext()
	}
	r.sim.runUntil(r.metrics.from)
	r.metrics.reset()
	if c.Faults {
		r.injectFaults()
	}
	r.sim.runUntil(r.metrics.to)
	res := r.metrics.result()
	return res
}

// addAgents adds agents whose endpoints have speeds spread evenly on a
// logarithmic scale, with mean 1.
func (r *run) addAgents() {
	c := r.config
	sum := 0.0
	for i := range c.Endpoints {
		position := 0.5
		if c.Endpoints > 1 {
			position = float64(i) / float64(c.Endpoints-1)
		}
		a := &agent{
			run: r, id: fmt.Sprintf("w%04d", i), slots: c.Slots,
			speed: math.Pow(c.Spread, position-0.5), divider: slots.New(c.Slots),
		}
		sum += a.speed
		r.agents[a.id] = a
		r.agentList = append(r.agentList, a)
	}
	for _, a := range r.agentList {
		a.speed *= float64(c.Endpoints) / sum
	}
}

func (r *run) addEntries() {
	var endpoints []dispatch.Endpoint
	for i, a := range r.agentList {
		d := dispatch.Endpoint{ID: a.id, Slots: a.slots, DataCentre: dataCentre(i)}
		for _, spec := range r.config.Workload.classes {
			d.Serves = append(d.Serves, state.ServedKind{Service: service, Kind: spec.kind.name})
		}
		endpoints = append(endpoints, d)
	}
	for i := range r.config.Entries {
		e := &entry{
			run: r, id: fmt.Sprintf("e%d", i), queued: map[uint64]*call{},
			inFlight: map[string]map[*call]bool{},
		}
		for _, a := range r.agentList {
			e.inFlight[a.id] = map[*call]bool{}
		}
		e.scheduler = dispatch.New(dispatch.Options{
			Strategy: r.config.Strategy, DataCentre: dataCentre(i), Seed: r.config.Seed + uint64(i),
		})
		e.scheduler.SetEndpoints(r.sim.now, endpoints)
		r.entries = append(r.entries, e)
	}
}

func dataCentre(i int) string { return fmt.Sprintf("dc%d", i%3) }

// injectFaults injects the three faults into endpoints of about the mean speed.
func (r *run) injectFaults() {
	middle := len(r.agentList) / 2
	r.agentList[middle-1].fault = FailsAll
	r.agentList[middle].fault = Slow
	silent := r.agentList[middle+1]
	silent.fault = Silent
	r.sim.after(silenceTimeout, func() {
		for _, e := range r.entries {
			e.reportAllLost(silent)
		}
	})
}

// capacity returns the work per second that all slots can do without faults.
func (r *run) capacity() float64 { return float64(r.slots()) }

func (r *run) slots() int { return r.config.Endpoints * r.config.Slots }
