package scheduler

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadapulley/cicadapulley/core/interference"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// maxExportedPairs bounds the pairs of queues with metrics of their own.
const maxExportedPairs = 100

// logInterference emits the events of pairs of queues that were found to interfere, or
// no longer.
func (s *Scheduler) logInterference() {
	for _, c := range s.Planner.TakeInterferenceChanges() {
		e := events.Event{ID: events.InterferenceFound, Text: findingText(c.Finding)}
		if c.Dropped {
			e.ID = events.InterferenceDropped
		}
		s.log.Emit(e)
	}
}

func findingText(f interference.Finding) string {
	return "queue " + f.Queue + " beside queue " + f.Beside + " slowdown " + strconv.FormatFloat(f.Slowdown, 'f', 2, 64) +
		" confidence " + strconv.FormatFloat(f.Confidence, 'f', 4, 64) + " runs " + strconv.FormatFloat(f.Observations, 'f', 0, 64)
}

var (
	pairLabels = []string{"queue", "beside"}

	pairsDesc        = prometheus.NewDesc("cicadapulley_interference_pairs", "Pairs of queues that are found to slow each other down.", nil, nil)
	observationsDesc = prometheus.NewDesc("cicadapulley_interference_observations_total", "Ended runs that were used as evidence in this term.", nil, nil)
	avoidedDesc      = prometheus.NewDesc("cicadapulley_interference_avoided_total", "Choices of a slower endpoint in this term because a faster one had an interfering run.", nil, nil)
	besideDesc       = prometheus.NewDesc("cicadapulley_interference_beside_total", "Starts in this term on an endpoint with an interfering run.", nil, nil)
	slowdownDesc     = prometheus.NewDesc("cicadapulley_interference_slowdown", "Factor by which runs of the queue take longer beside the other queue.", pairLabels, nil)
	confidenceDesc   = prometheus.NewDesc("cicadapulley_interference_confidence", "Confidence level of the slowdown, corrected for the number of pairs.", pairLabels, nil)
	ageDesc          = prometheus.NewDesc("cicadapulley_interference_age_seconds", "Time since the pair was found.", pairLabels, nil)
)

// interferenceCollector exports what a planner knows of interference.
type interferenceCollector struct {
	read func(use func(p *placement.Planner, now time.Time))
}

// NewInterferenceCollector returns the metrics of interference between queues. read calls its
// argument with the planner, which nothing else may use in the meantime, or doesn't call it
// if there is none.
func NewInterferenceCollector(read func(use func(p *placement.Planner, now time.Time))) prometheus.Collector {
	return &interferenceCollector{read: read}
}

// Describe implements prometheus.Collector.
func (c *interferenceCollector) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{pairsDesc, observationsDesc, avoidedDesc, besideDesc, slowdownDesc, confidenceDesc, ageDesc} {
		to <- d
	}
}

// Collect implements prometheus.Collector. The planner is released before the metrics are
// sent, since the receiver may be slow.
func (c *interferenceCollector) Collect(to chan<- prometheus.Metric) {
	var findings []interference.Finding
	var stats placement.Stats
	var observations uint64
	var at time.Time
	c.read(func(p *placement.Planner, now time.Time) {
		findings, stats, observations, at = p.InterferenceFindings(), p.Stats, p.InterferenceObservations(), now
	})
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		// A queue's name that is no valid label is left out.
		if m, err := prometheus.NewConstMetric(d, prometheus.GaugeValue, value, labels...); err == nil {
			to <- m
		}
	}
	gauge(pairsDesc, float64(len(findings)))
	gauge(observationsDesc, float64(observations))
	gauge(avoidedDesc, float64(stats.Avoided))
	gauge(besideDesc, float64(stats.BesideInterfering))
	for _, f := range findings[:min(len(findings), maxExportedPairs)] {
		gauge(slowdownDesc, f.Slowdown, f.Queue, f.Beside)
		gauge(confidenceDesc, f.Confidence, f.Queue, f.Beside)
		gauge(ageDesc, at.Sub(f.Since).Seconds(), f.Queue, f.Beside)
	}
}
