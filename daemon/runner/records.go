package runner

import (
	"sync"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/work"
)

const (
	// endTTL is how long ends of best-effort runs are kept after they were
	// reported. If the scheduler of a job is lost, the next one uses them; it
	// takes over within this time.
	endTTL = 2 * time.Second
	// maxRecentEnds limits the number of ends kept.
	maxRecentEnds = 512
)

// runRecords holds the runs and recent ends of an agent across its sessions. It is
// safe for concurrent use.
type runRecords struct {
	mu      sync.Mutex
	started map[work.Run]startedRun
	// ended has the runs in started whose end was listed.
	ended map[work.Run]bool
	ends  []recentEnd
	// lastRun is the highest run number so far.
	lastRun uint64
}

// recentEnd is the end of a best-effort run.
type recentEnd struct {
	end   work.End
	owner owner
	at    time.Time
}

func newRunRecords() *runRecords {
	return &runRecords{started: map[work.Run]startedRun{}, ended: map[work.Run]bool{}}
}

// recordStart records a run before the endpoint is asked to start it.
func (rec *runRecords) recordStart(r work.Run, s startedRun) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.started[r] = s
	rec.lastRun = max(rec.lastRun, r.Number)
}

// lookup returns the record of a run, and false if there is none.
func (rec *runRecords) lookup(r work.Run) (startedRun, bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	s, known := rec.started[r]
	return s, known
}

// retain removes the records of all runs that the endpoint does not list.
func (rec *runRecords) retain(listed map[work.Run]bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for r := range rec.started {
		if !listed[r] {
			rec.delete(r)
		}
	}
	for r := range listed {
		rec.lastRun = max(rec.lastRun, r.Number)
	}
}

// assignToLeader makes the leader the owner of all runs.
func (rec *runRecords) assignToLeader() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for r, s := range rec.started {
		s.owner = owner{}
		rec.started[r] = s
	}
}

// recordEnd marks a run as ended, and keeps the end if it is durable and the run
// belonged to a best-effort job. The record of the run stays as long as the endpoint
// lists the end, since the next session reads it again.
func (rec *runRecords) recordEnd(at time.Time, e work.End) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.expireEnds(at)
	s, known := rec.started[e.Run]
	if !known || rec.ended[e.Run] {
		return
	}
	rec.ended[e.Run] = true
	if s.bestEffort && e.Reason.Durable() && len(rec.ends) < maxRecentEnds {
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

// remove removes the record of a run without keeping an end.
func (rec *runRecords) remove(r work.Run) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.delete(r)
}

// delete removes the record of a run. The caller holds mu.
func (rec *runRecords) delete(r work.Run) {
	delete(rec.started, r)
	delete(rec.ended, r)
}

// retainEnded removes the records of ended runs whose end the endpoint no longer lists.
func (rec *runRecords) retainEnded(listed []End) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if len(rec.ended) == 0 {
		return
	}
	still := make(map[work.Run]bool, len(listed))
	for _, e := range listed {
		still[e.End.Run] = true
	}
	for r := range rec.ended {
		if !still[r] {
			rec.delete(r)
		}
	}
}

// endsSince returns the kept ends since a time that a scheduler may see: an entry
// sees the ends of its own runs and of the last leader's runs, the leader sees all.
// vm is the entry's VM; it is empty for the leader.
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

// highestRun returns the highest run number so far.
func (rec *runRecords) highestRun() uint64 {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.lastRun
}
