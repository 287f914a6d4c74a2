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
	endLife = 2 * time.Second
	// maxEnds bounds the remembered ends.
	maxEnds = 512
)

// memory is what an agent knows over its sessions. It is safe for concurrent use.
type memory struct {
	mu      sync.Mutex
	started map[work.Run]startedRun
	ends    []rememberedEnd
	// lastRun is the highest run number seen.
	lastRun uint64
}

// rememberedEnd is the end of a best-effort run.
type rememberedEnd struct {
	end   work.End
	owner owner
	at    time.Time
}

func newMemory() *memory { return &memory{started: map[work.Run]startedRun{}} }

// start notes a run that is ordered from the endpoint.
func (m *memory) start(r work.Run, s startedRun) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.started[r] = s
	m.lastRun = max(m.lastRun, r.Number)
}

// of returns what is known of a run.
func (m *memory) of(r work.Run) (startedRun, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, known := m.started[r]
	return s, known
}

// keepOnly forgets all runs but those that the endpoint lists.
func (m *memory) keepOnly(listed map[work.Run]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for r := range m.started {
		if !listed[r] {
			delete(m.started, r)
		}
	}
	for r := range listed {
		m.lastRun = max(m.lastRun, r.Number)
	}
}

// adopt makes the leader the owner of all runs.
func (m *memory) adopt() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for r, s := range m.started {
		s.owner = owner{}
		m.started[r] = s
	}
}

// end forgets a run that has ended, and remembers how if it was of a best-effort
// job.
func (m *memory) end(now time.Time, e work.End) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, known := m.started[e.Run]
	delete(m.started, e.Run)
	m.expire(now)
	if known && s.bestEffort && e.Reason.Durable() && len(m.ends) < maxEnds {
		m.ends = append(m.ends, rememberedEnd{end: e, owner: s.owner, at: now})
	}
}

func (m *memory) expire(now time.Time) {
	old := 0
	for old < len(m.ends) && now.Sub(m.ends[old].at) > endLife {
		old++
	}
	m.ends = m.ends[old:]
}

// forget drops a run that never began.
func (m *memory) forget(r work.Run) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.started, r)
}

// since returns the remembered ends from a time on that a holder may know of:
// those of an entry's own runs and of the last leader's. The leader may know all.
func (m *memory) since(from time.Time, vm string) []mesh.NumberedEnd {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []mesh.NumberedEnd
	for _, e := range m.ends {
		if !e.at.Before(from) && concerns(e.owner, vm) {
			list = append(list, mesh.NumberedEnd{End: e.end, BestEffort: true})
		}
	}
	return list
}

// highest returns the highest run number seen.
func (m *memory) highest() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastRun
}
