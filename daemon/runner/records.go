package runner

import (
	"sync"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/work"
)

const (
	// endLife is how long ends of best-effort runs are remembered after they were
	// reported. They help the next holder of a job whose last one was lost, which
	// is found within this time.
	endTTL = 2 * time.Second
	// maxEnds bounds the remembered ends.
	maxRecentEnds = 512
)

// memory is what an agent knows over its sessions. It is safe for concurrent use.
type runRecords struct {
	mu      sync.Mutex
	started map[work.Run]startedRun
	ends    []recentEnd
	// lastRun is the highest run number seen.
	lastRun uint64
}

// rememberedEnd is the end of a best-effort run.
type recentEnd struct {
	end   work.End
	owner owner
	at    time.Time
}

func newRunRecords() *runRecords { return &runRecords{started: map[work.Run]startedRun{}} }

// start notes a run that is ordered from the endpoint.
func (rec *runRecords) recordStart(r work.Run, s startedRun) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.started[r] = s
	rec.lastRun = max(rec.lastRun, r.Number)
}

// of returns what is known of a run.
func (rec *runRecords) lookup(r work.Run) (startedRun, bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	s, known := rec.started[r]
	return s, known
}

// keepOnly forgets all runs but those that the endpoint lists.
func (rec *runRecords) retain(listed map[work.Run]bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for r := range rec.started {
		if !listed[r] {
			delete(rec.started, r)
		}
	}
	for r := range listed {
		rec.lastRun = max(rec.lastRun, r.Number)
	}
}

// adopt makes the leader the owner of all runs.
func (rec *runRecords) assignToLeader() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for r, s := range rec.started {
		s.owner = owner{}
		rec.started[r] = s
	}
}

// end forgets a run that has ended, and remembers how if it was of a best-effort
// job.
func (rec *runRecords) recordEnd(at time.Time, e work.End) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	s, known := rec.started[e.Run]
	delete(rec.started, e.Run)
	rec.expireEnds(at)
	if known && s.bestEffort && e.Reason.Durable() && len(rec.ends) < maxRecentEnds {
		rec.ends = append(rec.ends, recentEnd{end: e, owner: s.owner, at: at})
	}
}

func (rec *runRecords) expireEnds(at time.Time) {
	expired := 0
	for expired < len(rec.ends) && at.Sub(rec.ends[expired].at) > endTTL {
		expired++
	}
	rec.ends = rec.ends[expired:]
}

// forget drops a run that never began.
func (rec *runRecords) remove(r work.Run) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	delete(rec.started, r)
}

// since returns the remembered ends from a time on that a holder may know of:
// those of an entry's own runs and of the last leader's. The leader may know all.
func (rec *runRecords) endsSince(from time.Time, vm string) []mesh.NumberedEnd {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	var list []mesh.NumberedEnd
	for _, e := range rec.ends {
		if !e.at.Before(from) && visibleTo(e.owner, vm) {
			list = append(list, mesh.NumberedEnd{End: e.end, BestEffort: true})
		}
	}
	return list
}

// highest returns the highest run number seen.
func (rec *runRecords) highestRun() uint64 {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.lastRun
}
