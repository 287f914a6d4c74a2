package scheduler

import (
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// shareLogInterval is the shortest time between two events about placements that shares of
// queues decided.
const shareLogInterval = 10 * time.Second

// Shares are the shares of queues in the settings of this process. The owner of the
// schedulers serialises all methods.
type Shares struct {
	percent map[string]int
	log     *events.Log
	// reported has the problems that were reported last and the version of the configuration.
	reported string
}

// NewShares returns the shares of queues, in percent by their names.
func NewShares(percent map[string]int, log *events.Log) *Shares {
	return &Shares{percent: percent, log: log}
}

// Apply gives a planner the shares under a configuration, nil before the first one. It
// reports once for each configuration what is ignored or scaled down.
func (s *Shares) Apply(p *placement.Planner, routes *work.Routes) {
	if s == nil || len(s.percent) == 0 || routes == nil {
		return
	}
	shares := placement.NewShares(s.percent, routes.Queues())
	p.SetShares(shares)
	text := shareProblems(shares)
	if report := strconv.FormatUint(routes.Version, 10) + " " + text; text != "" && report != s.reported {
		s.reported = report
		s.log.Emit(events.Event{ID: events.SharesAdjusted, Ticket: routes.Version, Text: text})
	}
}

// shareProblems describes the shares that are not applied as they are set, empty if there
// are none.
func shareProblems(s placement.Shares) string {
	var problems []string
	if len(s.UnknownQueues) > 0 {
		problems = append(problems, "ignored, unknown queues: "+strings.Join(s.UnknownQueues, " "))
	}
	if len(s.ScaledPools) > 0 {
		problems = append(problems, "scaled down, over 100% in pools: "+strings.Join(s.ScaledPools, " "))
	}
	return strings.Join(problems, "; ")
}

// shareLog has what was reported last of the placements that shares decided.
type shareLog struct {
	at     time.Time
	placed map[shareKey]uint64
}

type shareKey struct{ queue, pool string }

// logShares emits an event if shares have decided placements since the last one.
func (s *Scheduler) logShares(now time.Time) {
	if now.Sub(s.shareLog.at) < shareLogInterval {
		return
	}
	placed := map[shareKey]uint64{}
	var texts []string
	for _, u := range s.Planner.ShareUses(now) {
		key := shareKey{queue: u.Queue, pool: u.Pool}
		placed[key] = u.PlacedFirst
		if n := u.PlacedFirst - s.shareLog.placed[key]; n > 0 {
			texts = append(texts, "queue "+u.Queue+" tasks "+strconv.FormatUint(n, 10))
		}
	}
	if len(texts) > 0 {
		s.shareLog = shareLog{at: now, placed: placed}
		s.log.Emit(events.Event{ID: events.SharesDecided, Text: strings.Join(texts, "; ")})
	}
}

var shareUsedDesc = prometheus.NewDesc("cicadapulley_queue_share_used",
	"Running work of the queue over its share of the capacity of its pool's usable endpoints; more than 1 while it uses what others leave.",
	[]string{"queue"}, nil)

// shareCollector exports the use of shares.
type shareCollector struct {
	read func(use func(p *placement.Planner, now time.Time))
}

// NewShareCollector returns the metrics of shares. read is as for NewInterferenceCollector.
func NewShareCollector(read func(use func(p *placement.Planner, now time.Time))) prometheus.Collector {
	return &shareCollector{read: read}
}

// Describe implements prometheus.Collector.
func (c *shareCollector) Describe(to chan<- *prometheus.Desc) { to <- shareUsedDesc }

// Collect implements prometheus.Collector. The planner is released before the metrics are
// sent, since the receiver may be slow.
func (c *shareCollector) Collect(to chan<- prometheus.Metric) {
	var uses []placement.ShareUse
	c.read(func(p *placement.Planner, now time.Time) { uses = p.ShareUses(now) })
	for i, u := range uses {
		if i > 0 && uses[i-1].Queue == u.Queue {
			continue // the queue of two routes with different pools
		}
		// A queue's name that is no valid label is left out.
		if m, err := prometheus.NewConstMetric(shareUsedDesc, prometheus.GaugeValue, u.Used, u.Queue); err == nil {
			to <- m
		}
	}
}
