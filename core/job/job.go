// Package job defines jobs, their tasks and their outcomes.
package job

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/invariant"
	"github.com/cicadapulley/cicadapulley/core/verdict"
)

// MaxTasks is the largest number of tasks in a job. The users' target is 790.
const MaxTasks = 1024

// Key identifies a job. An ID is unique per caller.
type Key struct {
	Caller string
	ID     string
}

// String returns the key as it appears in logs.
func (k Key) String() string { return k.Caller + "/" + k.ID }

// TaskKey identifies one task of a job.
type TaskKey struct {
	Job  Key
	Task int
}

// Digest is the SHA-256 of a submission's canonical form.
type Digest [32]byte

// Task is one request of a job.
type Task struct {
	Kind    string
	Payload []byte
}

// State is the state of a job.
type State uint8

// Job states. Complete, Failed and Cancelled are final.
const (
	Running State = iota
	Complete
	Failed
	Cancelled
)

var stateNames = [...]string{Running: "running", Complete: "complete", Failed: "failed", Cancelled: "cancelled"}

// String returns the name used in callers' answers.
func (s State) String() string { return stateNames[s] }

// Final reports whether the state can no longer change.
func (s State) Final() bool { return s != Running }

// TaskState is the state of a task as callers see it.
type TaskState uint8

// Task states.
const (
	TaskPending TaskState = iota
	TaskDone
	TaskFailed
	TaskCancelled
	TaskUnknown
)

var taskStateNames = [...]string{
	TaskPending:   "pending",
	TaskDone:      "done",
	TaskFailed:    "failed",
	TaskCancelled: "cancelled",
	TaskUnknown:   "unknown",
}

// String returns the name used in callers' answers.
func (s TaskState) String() string { return taskStateNames[s] }

// TaskResult is the result of one task. Output is set only for TaskDone.
type TaskResult struct {
	State   TaskState
	Verdict verdict.Verdict
	Output  []byte
	Code    verdict.Code
	Message string
}

// Outcome is the result of a job. Results has one element for each task, in order.
type Outcome struct {
	State   State
	Verdict verdict.Verdict
	Results []TaskResult
	Code    verdict.Code
	Message string
}

// Record is a job in the replicated state.
type Record struct {
	Key      Key
	Digest   Digest
	Service  string
	Tasks    []Task
	Accepted time.Time
	Deadline time.Time
	// AcceptedIndex is the log index of the acceptance. It orders the job
	// against the registration of members without comparing clocks.
	AcceptedIndex uint64
	// Owner and OwnerIncarnation name the entry process that runs the job.
	Owner            string
	OwnerIncarnation uint64
	// Epoch rises by one with each change of owner. Agents refuse requests of a lower epoch.
	Epoch uint64
	State State
	// Outcome is nil while the job runs.
	Outcome  *Outcome
	Finished time.Time
	// AnswerDropped marks a finished job whose results are no longer kept. The
	// record is kept longer, so that a resubmission does not run again.
	AnswerDropped bool
	// Revision is the log index of the last change.
	Revision uint64
}

// NewOutcome derives a job's outcome from the results of its tasks. The job is
// complete only if every task is done; otherwise no output is kept. The first
// task that is not done gives the job's error.
func NewOutcome(results []TaskResult) Outcome {
	out := Outcome{State: Complete, Results: results}
	for i, r := range results {
		if i == 0 {
			out.Verdict = r.Verdict
		} else {
			out.Verdict = verdict.Combine(out.Verdict, r.Verdict)
		}
		if r.State == TaskDone {
			continue
		}
		if out.State == Complete {
			out.State = Failed
			out.Code = r.Code
			out.Message = r.Message
		}
	}
	if out.State != Complete {
		stripOutputs(out.Results)
	}
	checkOutcome(out)
	return out
}

// stripOutputs removes outputs, so that a failed job never returns a partial answer.
func stripOutputs(results []TaskResult) {
	for i := range results {
		results[i].Output = nil
	}
}

func checkOutcome(o Outcome) {
	for i, r := range o.Results {
		if o.State == Complete {
			invariant.Check(r.State == TaskDone && r.Verdict == verdict.Ran,
				invariant.AllOrNothingAnswer, "complete job has task %d in state %s", i, r.State)
			continue
		}
		invariant.Check(r.Output == nil, invariant.AllOrNothingAnswer, "failed job has an output of task %d", i)
	}
}
