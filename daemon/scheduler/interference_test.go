package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// TestInterferenceIsVisible guards against a pair of queues that is kept apart without an
// event and metrics: the runs of one queue take three times as long beside the other.
func TestInterferenceIsVisible(t *testing.T) {
	log := events.NewLog("control-1", zap.NewNop(), events.NewClock())
	now := time.Unix(1000, 0)
	planner := placement.NewPlanner(1, now, nil)
	planner.DetectInterference()
	s := New(planner, NewMetrics(), log)
	registry := prometheus.NewPedanticRegistry()
	registry.MustRegister(NewInterferenceCollector(func(use func(*placement.Planner, time.Time)) { use(planner, now) }))
	assert.Equal(t, metric(t, registry, "cicadapulley_interference_pairs"), 0.0)
	assert.Equal(t, metric(t, registry, "cicadapulley_interference_slowdown"), -1.0)
	planner.Join(now, placement.Endpoint{
		Session: 1, VM: "vm-1", Instance: "incarnation", Pool: "desk", Capacity: work.Resources{CPU: 2000},
	}, nil, nil)
	for i := range 400 {
		beside, took := "third", 100*time.Millisecond
		if i%2 == 0 {
			beside, took = "loud", 300*time.Millisecond
		}
		first := start(t, planner, now, beside, fmt.Sprintf("%d-beside", i))
		second := start(t, planner, now, "quiet", fmt.Sprintf("%d-quiet", i))
		now = now.Add(took)
		planner.Ended(now, second.Session, work.End{Run: second.Run, Reason: work.Done})
		planner.Ended(now, first.Session, work.End{Run: first.Run, Reason: work.Stopped})
		planner.Abandon(now, first.Run.Task.Job)
		planner.TakeFinished()
		planner.TakeOrders()
		s.Tick(now)
	}
	assert.Equal(t, log.Count(events.InterferenceFound), uint64(1))
	found := planner.InterferenceFindings()
	assert.Equal(t, len(found), 1)
	assert.Equal(t, findingText(found[0])[:len("queue quiet beside queue loud ")], "queue quiet beside queue loud ")
	assert.Equal(t, metric(t, registry, "cicadapulley_interference_pairs"), 1.0)
	assert.Assert(t, metric(t, registry, "cicadapulley_interference_slowdown") > 1.1)
	assert.Assert(t, metric(t, registry, "cicadapulley_interference_confidence") > 0.99)
	assert.Assert(t, metric(t, registry, "cicadapulley_interference_age_seconds") > 0)
	assert.Assert(t, metric(t, registry, "cicadapulley_interference_observations_total") >= 400)
	for range 200 {
		now = now.Add(time.Minute)
		s.Tick(now)
	}
	assert.Equal(t, log.Count(events.InterferenceDropped), uint64(1))
	assert.Equal(t, metric(t, registry, "cicadapulley_interference_pairs"), 0.0)
}

// start starts a task of a queue.
func start(t *testing.T, planner *placement.Planner, now time.Time, queue, id string) placement.Order {
	planner.Add(now, &work.Job{
		ID: work.JobID(id), Queue: queue, Pool: "desk", MaxAttempts: 1, Stretch: 1.6, BestEffort: true,
		Steps: []work.Step{{Tasks: 1, Need: work.Resources{CPU: 1000}, Estimate: 100 * time.Millisecond}},
	}, placement.PriorState{})
	planner.Assign(now)
	orders := planner.TakeOrders()
	assert.Equal(t, len(orders), 1)
	return orders[0]
}

// metric returns the value of a metric's first series, -1 if there is none.
func metric(t *testing.T, registry *prometheus.Registry, name string) float64 {
	families, err := registry.Gather()
	assert.NilError(t, err)
	for _, f := range families {
		if f.GetName() == name {
			return f.GetMetric()[0].GetGauge().GetValue()
		}
	}
	return -1
}
