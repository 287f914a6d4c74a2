package coordinator

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadapulley/cicadapulley/core/placement"
)

// Collectors returns the coordinator's metrics.
func (s *Service) Collectors() []prometheus.Collector {
	return append(s.metrics.Collectors(),
		s.gauge("cicadapulley_leads", "1 while this VM leads.", func(*placement.Planner) float64 { return 1 }),
		s.gauge("cicadapulley_work_waiting_tasks", "Tasks that wait for room.", func(p *placement.Planner) float64 { return float64(p.Waiting()) }),
		s.gauge("cicadapulley_runs_started_total", "Starts ordered in this term.", func(p *placement.Planner) float64 { return float64(p.Stats.Starts) }),
		s.gauge("cicadapulley_runs_refused_total", "Starts that endpoints refused in this term.", func(p *placement.Planner) float64 { return float64(p.Stats.Refusals) }),
		s.gauge("cicadapulley_runs_moved_total", "Runs stopped in this term to restart elsewhere.", func(p *placement.Planner) float64 { return float64(p.Stats.Moves) }),
		s.gauge("cicadapulley_tasks_requeued_total", "Tasks that waited again in this term.", func(p *placement.Planner) float64 { return float64(p.Stats.Requeues) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cicadapulley_term", Help: "Term of the consensus."}, func() float64 { return float64(s.driver.Term()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cicadapulley_storage_syncs", Help: "Syncs since the start."}, func() float64 { return float64(s.store.Stats().Syncs) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cicadapulley_storage_log_bytes", Help: "Size of the log on disk."}, func() float64 { return float64(s.store.Stats().LogBytes) }),
	)
}

// gauge returns a gauge that reads the planner; it is 0 while this VM doesn't lead.
func (s *Service) gauge(name, help string, read func(*placement.Planner) float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.term == nil {
			return 0
		}
		return read(s.term.Planner)
	})
}
