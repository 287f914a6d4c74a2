package entry

import "github.com/prometheus/client_golang/prometheus"

// Collectors returns the entry's metrics.
func (s *Service) Collectors() []prometheus.Collector {
	return append(s.members.Collectors(),
		gauge("cicadapulley_entry_queued_tasks", "Tasks that wait for a start.", func() float64 { return float64(s.Status().Queued) }),
		gauge("cicadapulley_entry_in_flight_tasks", "Tasks sent to agents.", func() float64 { return float64(s.Status().InFlight) }),
		gauge("cicadapulley_entry_active_jobs", "Jobs that this entry owns.", func() float64 { return float64(s.jobs.count()) }),
		gauge("cicadapulley_entry_quarantined_endpoints", "Endpoints that get only trials.", s.quarantined),
	)
}

func gauge(name, help string, value func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
}

func (s *Service) quarantined() float64 {
	n := 0.0
	for _, e := range s.Status().Endpoints {
		if e.Quarantined {
			n++
		}
	}
	return n
}

func (m *jobManager) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.active)
}
