package runtable

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

const (
	// endTTL is how long ends of best-effort runs are kept after they were
	// reported. If the scheduler of a job is lost, the next one uses them; it
	// takes over within this time.
	endTTL = 2 * time.Second
	// maxRecentEnds limits the number of ends kept.
	maxRecentEnds = 512
	// lostEndWindow is the time before the last contact with a leader in which a
	// reported end may have been lost with that leader. Jobs that are open then are
	// seldom older.
	lostEndWindow = 400 * time.Millisecond
)

// startedRun is the record of a run that the agent started.
type startedRun struct {
	owner      Owner
	need       work.Resources
	bestEffort bool
	// ownerContactAt is the last contact with the entry that owned the run when a leader took it
	// over; zero for other runs.
	ownerContactAt time.Time
}

// Records holds the runs and recent ends of an agent across its sessions.
type Records struct {
	started map[work.Run]startedRun
	// ended has the runs in started whose end was listed.
	ended map[work.Run]bool
	ends  []recentEnd
	// lastRun is the highest run number so far.
	lastRun uint64
	// leaderContactAt is when a leader last answered.
	leaderContactAt time.Time
	// contactAt has when the last ping was sent that an owner of runs has answered.
	contactAt map[Owner]time.Time
	// slowdown is the latest that a leader has sent, in thousandths, and slowdownOf the
	// incarnation of the endpoint that it belongs to.
	slowdown   int
	slowdownOf string
}

// recentEnd is the end of a best-effort run.
type recentEnd struct {
	end   work.End
	owner Owner
	at    time.Time
}

// NewRecords returns the records of an agent that has just started.
func NewRecords() *Records {
	return &Records{started: map[work.Run]startedRun{}, ended: map[work.Run]bool{}, contactAt: map[Owner]time.Time{}}
}

// recordSlowdown replaces the slowdown of an incarnation of the endpoint.
func (rec *Records) recordSlowdown(instance string, thousandths int) {
	rec.slowdown, rec.slowdownOf = thousandths, instance
}

// slowdownFor returns the slowdown of an incarnation of the endpoint in thousandths, 0 if it is
// unknown.
func (rec *Records) slowdownFor(instance string) int {
	if rec.slowdownOf != instance {
		return 0
	}
	return rec.slowdown
}

// recordStart records a run before the endpoint is asked to start it.
func (rec *Records) recordStart(r work.Run, s startedRun) {
	rec.started[r] = s
	rec.lastRun = max(rec.lastRun, r.Number)
}

// retain removes the records of all runs that the endpoint does not list.
func (rec *Records) retain(listed map[work.Run]bool) {
	for r := range rec.started {
		if !listed[r] {
			rec.remove(r)
		}
	}
	for r := range listed {
		rec.lastRun = max(rec.lastRun, r.Number)
	}
}

// assignToLeader makes the leader the owner of all runs.
func (rec *Records) assignToLeader() {
	for r, s := range rec.started {
		s.ownerContactAt = time.Time{}
		if s.owner.VM != "" {
			s.ownerContactAt = rec.contactAt[s.owner]
		}
		s.owner = Owner{}
		rec.started[r] = s
	}
	clear(rec.contactAt)
}

// recordEnd marks a run as ended, and keeps the end if it is durable and the run
// belonged to a best-effort job. The record of the run stays as long as the endpoint
// lists the end, since the next session reads it again.
func (rec *Records) recordEnd(at time.Time, e work.End) {
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

func (rec *Records) expireEnds(at time.Time) {
	expired := 0
	for expired < len(rec.ends) && at.Sub(rec.ends[expired].at) > endTTL {
		expired++
	}
	rec.ends = rec.ends[expired:]
}

// remove removes the record of a run without keeping an end.
func (rec *Records) remove(r work.Run) {
	delete(rec.started, r)
	delete(rec.ended, r)
}

// retainEnded removes the records of ended runs whose end the endpoint no longer lists.
func (rec *Records) retainEnded(listed []End) {
	if len(rec.ended) == 0 {
		return
	}
	still := make(map[work.Run]bool, len(listed))
	for _, e := range listed {
		still[e.End.Run] = true
	}
	for r := range rec.ended {
		if !still[r] {
			rec.remove(r)
		}
	}
}

// LostEnds returns the kept ends that may have been lost with the last leader, as far as a
// scheduler may see them: an entry sees the ends of its own runs and of the last leader's
// runs, the leader sees all. vm is the entry's VM; it is empty for the leader.
func (rec *Records) LostEnds(vm string) []ReportedEnd {
	from := rec.leaderContactAt.Add(-lostEndWindow)
	var list []ReportedEnd
	for _, e := range rec.ends {
		if !e.at.Before(from) && e.owner.VisibleTo(vm) {
			list = append(list, ReportedEnd{End: e.end, BestEffort: true})
		}
	}
	return list
}
