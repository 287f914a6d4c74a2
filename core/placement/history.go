package placement

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// recordOrder adds a run that was ordered or adopted to the history.
func (j *job) recordOrder(now time.Time, r *run) {
	if len(j.history) < maxHistory {
		j.history = append(j.history, RunRecord{Task: r.Task, Run: r.Run.Number, VM: r.endpoint.VM, Ordered: now.Sub(j.arrived)})
	}
}

// recordEnd records the end of a run if the history includes the run.
func (j *job) recordEnd(now time.Time, r work.Run, outcome string) {
	for i := range j.history {
		if record := &j.history[i]; record.Task == r.Task && record.Run == r.Number && record.Outcome == "" {
			record.Ended = now.Sub(j.arrived)
			record.Outcome = outcome
			return
		}
	}
}

// summary returns the course of the job until now.
func (j *job) summary(now time.Time) Summary {
	summary := Summary{Queue: j.spec.Queue, Took: now.Sub(j.arrived), Objective: j.due.Sub(j.arrived), History: j.history}
	for s := range j.tasks {
		for t := range j.tasks[s] {
			if phase := j.tasks[s][t].phase; phase == blocked || phase == waiting {
				summary.Waiting++
			}
		}
	}
	return summary
}
