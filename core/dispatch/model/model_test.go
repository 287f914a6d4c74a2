package model

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/dispatch"
)

func shortRun(spread float64, faults bool) Config {
	return Config{
		Workload: Dala(), Strategy: dispatch.Grants, Entries: 3, Endpoints: 11, Slots: 8, Spread: spread,
		Load: 0.7, Faults: faults, Latency: 500 * time.Microsecond,
		Warmup: 5 * time.Second, Length: 10 * time.Second, Seed: 1,
	}
}

// Guards against missing the targets for messages and for 50 ms tasks on
// endpoints of mean speed (docs/design.md, section 1.7).
func TestTargetsOnEqualEndpoints(t *testing.T) {
	r := Run(shortRun(1, false))
	assert.Assert(t, r.Tasks > 1000)
	assert.Assert(t, r.ShortMedian <= 1.10, "median %.3f", r.ShortMedian)
	assert.Assert(t, r.P99 <= 2.5, "99th percentile %.2f", r.P99)
	assert.Assert(t, r.WastedPerTask <= 0.05, "wasted %.3f", r.WastedPerTask)
	assert.Assert(t, r.MessagesPerTask <= 2.5, "messages %.2f", r.MessagesPerTask)
}

// Guards against decisions that depend on the iteration order of a map: a run
// must be repeatable from its seed.
func TestSameSeedSameRun(t *testing.T) {
	c := shortRun(4, true)
	assert.Equal(t, fmt.Sprintf("%+v", Run(c)), fmt.Sprintf("%+v", Run(c)))
}
