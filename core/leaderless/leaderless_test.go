package leaderless

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/work"
)

var lostAt = time.Unix(1000, 0)

func configuration(version uint64, prefix string) *work.Configuration {
	return &work.Configuration{Version: version, Queues: []work.Queue{{Name: "q", Host: "h", Prefix: prefix, Pool: "desk"}}}
}

// withoutLeader returns the view of an entry that has received version 5 and lost its
// leader at lostAt.
func withoutLeader() *View {
	var v View
	v.LeaderFound()
	v.Welcomed(3, []ledger.Agent{{VM: "side-1"}}, configuration(5, "/a/"))
	v.LeaderLost(lostAt)
	return &v
}

// TestNothingIsPlacedByAnOlderConfiguration guards against an entry that runs a job of a
// dropped route, or misses an added one, although a control VM has reported a newer
// version to it.
func TestNothingIsPlacedByAnOlderConfiguration(t *testing.T) {
	v := withoutLeader()
	due := lostAt.Add(PlacementDelay)
	ok, _ := v.MayPlace(due)
	assert.Assert(t, ok)
	v.Reported(7)
	ok, wait := v.MayPlace(due)
	assert.Assert(t, !ok && wait == 0)
	assert.Assert(t, !v.Configured(configuration(4, "/old/")), "a control VM that is behind")
	assert.Assert(t, v.Configured(configuration(6, "/b/")))
	assert.Assert(t, v.Outdated(), "version 7 has been reported")
	assert.Assert(t, v.Configured(configuration(7, "/c/")))
	ok, _ = v.MayPlace(due)
	assert.Assert(t, ok, "an entry that has fetched the version can place jobs again")
	queue, _ := v.Routes().Match("h", "/a/")
	assert.Assert(t, queue == nil, "a dropped route is served")
	queue, _ = v.Routes().Match("h", "/c/")
	assert.Assert(t, queue != nil, "an added route is not served")
}

// TestLateMessageOfAnEarlierLeader guards against a message of a replaced connection that
// sets the configuration, or the agents that an entry waits for, back.
func TestLateMessageOfAnEarlierLeader(t *testing.T) {
	v := withoutLeader()
	v.Welcomed(4, []ledger.Agent{{VM: "side-1"}, {VM: "side-2"}}, configuration(6, "/b/"))
	assert.Assert(t, !v.Welcomed(3, []ledger.Agent{{VM: "side-1"}}, configuration(5, "/a/")))
	assert.Equal(t, v.Version(), uint64(6))
	assert.Equal(t, v.Term(), uint64(4))
	assert.Equal(t, len(v.Agents()), 2)
}

// TestNewestDrainsAreKept guards against an entry that places tasks in a drained data
// centre, because a control VM that is behind, or a former connection, sends older drains.
func TestNewestDrainsAreKept(t *testing.T) {
	v := withoutLeader()
	assert.Assert(t, !v.Drained(work.DataCentreDrains{}))
	assert.Assert(t, v.Drained(work.DataCentreDrains{Revision: 8, DataCentres: []string{"east"}}))
	assert.Assert(t, !v.Drained(work.DataCentreDrains{Revision: 5}))
	assert.Assert(t, !v.Drained(work.DataCentreDrains{Revision: 8, DataCentres: []string{"east"}}))
	drains := v.Drains()
	assert.Assert(t, drains.Contains("east"))
	assert.Assert(t, v.Drained(work.DataCentreDrains{Revision: 9}))
	drains = v.Drains()
	assert.Assert(t, !drains.Contains("east"))
}

// TestPlacementWaitsForAnElection guards against entries that compete with a leader, or
// place jobs before they have a configuration.
func TestPlacementWaitsForAnElection(t *testing.T) {
	var v View
	ok, wait := v.MayPlace(lostAt)
	assert.Assert(t, !ok && wait == 0, "no configuration yet")
	v.Configured(configuration(5, "/a/"))
	ok, _ = v.MayPlace(lostAt)
	assert.Assert(t, !ok, "no leader has sent the agents yet")
	v = *withoutLeader()
	ok, wait = v.MayPlace(lostAt.Add(PlacementDelay - time.Millisecond))
	assert.Assert(t, !ok)
	assert.Equal(t, wait, time.Millisecond)
	v.LeaderFound()
	ok, wait = v.MayPlace(lostAt.Add(time.Hour))
	assert.Assert(t, !ok && wait == 0)
}
