package tasktable

import (
	"github.com/cicadapulley/cicadapulley/core/invariant"
	"github.com/cicadapulley/cicadapulley/core/job"
)

// Abort removes the record of a start that certainly did not reach the endpoint,
// for example because the connection was refused. The task may start again under
// a later attempt.
func (t *Table) Abort(k job.TaskKey, a Attempt) {
	e := t.find(k)
	invariant.Check(e != nil && e.result == nil, invariant.SingleStart,
		"task %d of job %s aborted without a start, or after its end", k.Task, k.Job)
	j := t.jobs[k.Job]
	delete(j.tasks, k.Task)
	j.running--
	t.records--
	t.running--
	t.recordDenied(j, k.Task, a)
}
