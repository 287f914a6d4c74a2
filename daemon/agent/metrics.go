package agent

import "github.com/prometheus/client_golang/prometheus"

// Collectors returns the agent's metrics.
func (s *Service) Collectors() []prometheus.Collector {
	return append(s.members.Collectors(),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cicadapulley_agent_running_tasks",
			Help: "Tasks in progress at the endpoint.",
		}, func() float64 { return float64(s.executor.running()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cicadapulley_agent_slots",
			Help: "Tasks that the endpoint may run at once.",
		}, func() float64 { return float64(s.executor.slots) }),
		s.executor.refusedTasks,
	)
}

// newRefusedCounter returns the counter of refused starts.
func newRefusedCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadapulley_agent_refused_tasks_total",
		Help: "Starts that were refused, by code.",
	}, []string{"code"})
}
