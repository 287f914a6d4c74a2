package scheduler

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// TestSharesAreReported guards against settings that are ignored or scaled down without an
// event, against one event for each term or job, and against shares without a metric.
func TestSharesAreReported(t *testing.T) {
	log := events.NewLog("control-1", zap.NewNop(), events.NewClock())
	now := time.Unix(1000, 0)
	planner := placement.NewPlanner(1, now, nil)
	s := New(planner, NewMetrics(), log)
	shares := NewShares(map[string]int{"proofs": 75, "orders": 75, "gone": 5}, log)
	shares.Apply(planner, nil)
	configuration := &work.Configuration{Queues: []work.Queue{{Name: "orders", Pool: "desk"}, {Name: "proofs", Pool: "desk"}}}
	for range 3 {
		shares.Apply(planner, work.NewRoutes(configuration))
	}
	assert.Equal(t, log.Count(events.SharesAdjusted), uint64(1))
	configuration.Version = 2
	shares.Apply(planner, work.NewRoutes(configuration))
	assert.Equal(t, log.Count(events.SharesAdjusted), uint64(2))
	assert.Equal(t, shares.reported, "2 ignored, unknown queues: gone; scaled down, over 100% in pools: desk")

	registry := prometheus.NewPedanticRegistry()
	registry.MustRegister(NewShareCollector(func(use func(*placement.Planner, time.Time)) { use(planner, now) }))
	planner.Join(now, placement.Endpoint{
		Session: 1, VM: "vm-1", Instance: "incarnation", Pool: "desk", Capacity: work.Resources{CPU: 2000},
	}, nil, nil)
	assert.Equal(t, metric(t, registry, "cicadapulley_queue_share_used"), 0.0)
	start(t, planner, now, "orders", "1")
	assert.Equal(t, metric(t, registry, "cicadapulley_queue_share_used"), 1.0, "of orders, whose share is half")
	for i, queue := range []string{"orders", "orders", "proofs"} {
		planner.Add(now, &work.Job{
			ID: work.JobID("waiting" + string(rune('a'+i))), Queue: queue, Pool: "desk", MaxAttempts: 1, Stretch: 100, BestEffort: true,
			Steps: []work.Step{{Tasks: 1, Need: work.Resources{CPU: 1000}, Estimate: 100 * time.Millisecond}},
		}, placement.PriorState{})
	}
	for range 10 {
		s.Place(now)
		s.Tick(now)
		now = now.Add(50 * time.Millisecond)
	}
	assert.Equal(t, log.Count(events.SharesDecided), uint64(1))
}
