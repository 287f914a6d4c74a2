package gateway

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/fallback"
	"github.com/cicadapulley/cicadapulley/daemon/scheduler"
)

// TestCutEntriesAreNotReady guards against an entry that reaches neither a leader nor an
// endpoint and stays in the balancer's rotation, so that a third of the callers are
// refused (single trouble cut-core of the further site, 29% refused for 8 s).
func TestCutEntriesAreNotReady(t *testing.T) {
	log := events.NewLog("entry-1", zap.NewNop(), events.NewClock())
	s := New(Options{VM: "entry-1", Log: log})
	assert.Assert(t, !s.Ready(), "no leader has been found yet")
	s.lastContact.Store(boottime.Now().UnixNano())
	assert.Assert(t, s.Ready())
	s.setLocal(fallback.New(fallback.Options{
		VM: "entry-1", Routes: work.NewRoutes(&work.Configuration{}), LeaderLostAt: boottime.Now(), Metrics: scheduler.NewMetrics(), Log: log,
	}))
	assert.Assert(t, s.Ready(), "an election may be in progress")
	s.lastContact.Store(boottime.Now().Add(-readyGrace - time.Millisecond).UnixNano())
	assert.Assert(t, !s.Ready(), "no endpoint has joined")
}
