package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/daemon/scheduler"
)

var outcomeNames = map[mesh.Outcome]string{
	mesh.Accepted: "accepted", mesh.Found: "found", mesh.NoQueue: "no_queue", mesh.NoJob: "no_job", mesh.NotReady: "not_ready",
	mesh.Overloaded: "overloaded", mesh.Uncertain: "uncertain", mesh.Invalid: "invalid", mesh.NoLeader: "no_leader", mesh.GivenUp: "given_up",
}

func newLatency() *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "cicadapulley_request_seconds", Help: "Time from a caller's request to its answer.",
		Buckets: []float64{.005, .025, .05, .1, .2, .4, .8, 1.6, 3.2, 6.4},
	}, []string{"outcome"})
}

func newWithheld() prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cicadapulley_refusals_withheld_total",
		Help: "Refusals of jobs as not run that were answered as uncertain, since an earlier leader or this entry may have started the job.",
	})
}

// recordLatency records the time from a request to its answer, and returns the answer.
func (s *Service) recordLatency(start time.Time, r *mesh.Response) *mesh.Response {
	s.latency.WithLabelValues(outcomeNames[r.Outcome]).Observe(time.Since(start).Seconds())
	return r
}

// Collectors returns the entry's metrics.
func (s *Service) Collectors() []prometheus.Collector {
	return append(s.metrics.Collectors(), s.latency, s.withheld,
		scheduler.NewInterferenceCollector(s.readPlanner),
		scheduler.NewShareCollector(s.readPlanner),
		s.gauge("cicadapulley_requests_pending", "Requests that wait for the leader's answer.", func() float64 { return float64(len(s.pending)) }),
		s.gauge("cicadapulley_configuration_version", "Version of the configuration that this entry has received.", func() float64 { return float64(s.view.Version()) }),
		s.gauge("cicadapulley_places_locally", "1 while this entry has no leader and places jobs itself.", func() float64 {
			if s.local != nil {
				return 1
			}
			return 0
		}))
}

// readPlanner calls use with the planner of the local placer, if there is one.
func (s *Service) readPlanner(use func(p *placement.Planner, now time.Time)) {
	s.mu.Lock()
	local := s.local
	s.mu.Unlock()
	if local != nil {
		local.ReadPlanner(use)
	}
}

// gauge returns a gauge whose value is read under mu.
func (s *Service) gauge(name, help string, read func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return read()
	})
}
