// Package leaderless decides what an entry may do while it has no leader: whether it
// places best-effort jobs itself, and by which configuration. It reads no clock; the
// caller serialises all methods.
//
// An entry without a leader acts on the newest configuration that a control VM in
// contact with it has applied, and places nothing while it lacks that one. How long it
// places jobs isn't limited: without a majority of control no change is confirmed, and an
// entry that reaches no control VM can't distinguish its own isolation from that.
//
// It keeps the newest drains of data centres that any control VM has sent, for as long as
// it is cut off too. Drains don't need the version check of the configuration: a control
// VM sends them unasked, before anything else on a connection.
package leaderless

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// PlacementDelay is how long an entry waits for another leader before it places
// jobs itself. An election takes 0.2 to 0.4 s from the last message of a leader, most
// of which has passed when the loss is detected.
const PlacementDelay = 150 * time.Millisecond

// View is what control VMs have sent to an entry.
type View struct {
	hasLeader bool
	// lostAt is when the last leader was lost.
	lostAt time.Time
	// term is that of the last leader.
	term uint64
	// routes are the queues of the configuration, nil before the first, and version is
	// its version.
	routes  *work.Routes
	version uint64
	// reported is the highest version that a control VM has reported as applied.
	reported uint64
	drains   work.DataCentreDrains
	agents   map[string]ledger.Agent
}

// LeaderFound records that the entry is connected to a leader.
func (v *View) LeaderFound() { v.hasLeader = true }

// LeaderLost records that the connection to the leader has ended.
func (v *View) LeaderLost(now time.Time) {
	v.hasLeader = false
	v.lostAt = now
}

// Welcomed records what a leader has sent: its term, the agents whose endpoints may run
// tasks, and the configuration in force. It reports whether the configuration has changed.
// An earlier term is ignored, since its list of agents may lack one that runs tasks.
func (v *View) Welcomed(term uint64, agents []ledger.Agent, c *work.Configuration) bool {
	if term < v.term {
		return false
	}
	v.term = term
	v.agents = make(map[string]ledger.Agent, len(agents))
	for _, a := range agents {
		v.agents[a.VM] = a
	}
	return v.Configured(c)
}

// Enrolled records another agent whose endpoint may run tasks.
func (v *View) Enrolled(a ledger.Agent) {
	if v.agents == nil {
		v.agents = map[string]ledger.Agent{}
	}
	v.agents[a.VM] = a
}

// Configured records a configuration that a control VM has applied, and reports whether
// it replaces the present one. An older one is ignored, as from a VM that is behind.
func (v *View) Configured(c *work.Configuration) bool {
	v.Reported(c.Version)
	if v.routes != nil && c.Version <= v.version {
		return false
	}
	v.routes = work.NewRoutes(c)
	v.version = c.Version
	return true
}

// Reported records that a control VM has applied a version.
func (v *View) Reported(version uint64) { v.reported = max(v.reported, version) }

// Drained records the drains of data centres that a control VM has applied, and reports
// whether they are newer than those known. Older ones are ignored, as from a VM that is
// behind.
func (v *View) Drained(d work.DataCentreDrains) bool {
	if d.Revision <= v.drains.Revision {
		return false
	}
	v.drains = d
	return true
}

// Drains returns the newest drains of data centres.
func (v *View) Drains() work.DataCentreDrains { return v.drains }

// Outdated reports whether a control VM has applied a newer configuration than this
// entry has.
func (v *View) Outdated() bool { return v.version < v.reported }

// MayPlace reports whether the entry may place best-effort jobs itself at a time. If it
// may only later, unless a leader is found, wait is the time until then; otherwise it
// is 0.
func (v *View) MayPlace(now time.Time) (ok bool, wait time.Duration) {
	neverHadLeader := v.term == 0 // no list of agents has arrived
	if v.hasLeader || neverHadLeader || v.routes == nil || v.Outdated() {
		return false, 0
	}
	wait = PlacementDelay - now.Sub(v.lostAt)
	return wait <= 0, max(wait, 0)
}

// Term returns the term of the last leader.
func (v *View) Term() uint64 { return v.term }

// LeaderLostAt returns when the last leader was lost.
func (v *View) LeaderLostAt() time.Time { return v.lostAt }

// Routes returns the queues of the configuration, nil before the first.
func (v *View) Routes() *work.Routes { return v.routes }

// Version returns the version of the configuration.
func (v *View) Version() uint64 { return v.version }

// Agents returns the agents whose endpoints may run tasks.
func (v *View) Agents() []ledger.Agent { return slices.Collect(maps.Values(v.agents)) }
