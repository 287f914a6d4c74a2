package placement

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// noteOrder notes that a run was ordered or found.
func (j *job) noteOrder(now time.Time, r *run) {
	if len(j.trail) < maxTrail {
		j.trail = append(j.trail, Passage{Task: r.Task, Run: r.Run.Run, VM: r.at.VM, Ordered: now.Sub(j.arrived)})
	}
}

// noteEnd notes the end of a run in the trail.
func (j *job) noteEnd(now time.Time, r work.Run, outcome string) {
	for i := range j.trail {
		if p := &j.trail[i]; p.Task == r.Task && p.Run == r.Run && p.Outcome == "" {
			p.Ended = now.Sub(j.arrived)
			p.Outcome = outcome
			return
		}
	}
}

// account tells how a job has fared until now.
func (j *job) account(now time.Time) Account {
	a := Account{Queue: j.spec.Queue, Took: now.Sub(j.arrived), Objective: j.due.Sub(j.arrived), Trail: j.trail}
	for s := range j.tasks {
		for t := range j.tasks[s] {
			if phase := j.tasks[s][t].phase; phase == blocked || phase == waiting {
				a.Waiting++
			}
		}
	}
	return a
}
