package scheduler

import "github.com/prometheus/client_golang/prometheus"

// Metrics count the decisions and measure the results of all schedulers of a process.
type Metrics struct {
	// completion is the time from a best-effort job's arrival to its end.
	completion *prometheus.HistogramVec
	// refused counts the jobs that were refused because they would be late.
	refused prometheus.Counter
}

// NewMetrics returns metrics without observations.
func NewMetrics() *Metrics {
	return &Metrics{
		completion: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cicadapulley_work_completion_seconds", Help: "Time from the arrival of a best-effort job to its end.",
			Buckets: []float64{.025, .05, .1, .2, .4, .8, 1.6, 3.2, 6.4},
		}, []string{"outcome"}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cicadapulley_work_refused_total", Help: "Jobs refused because they would complete too late.",
		}),
	}
}

// Collectors returns the metrics for registration.
func (m *Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.completion, m.refused}
}
