// Package callers defines the JSON messages of the callers' HTTP interface.
// The field names are fixed: clients are written to them.
package callers

import (
	"encoding/json"

	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/verdict"
)

// Headers of POST /v1/call/{service}/{kind}.
const (
	HeaderCaller     = "Cicadapulley-Caller"
	HeaderRequestID  = "Cicadapulley-Request-Id"
	HeaderDeadlineMS = "Cicadapulley-Deadline-Ms"
)

// Headers that identify the task to an endpoint, besides HeaderCaller.
const (
	HeaderJob     = "Cicadapulley-Job"
	HeaderTask    = "Cicadapulley-Task"
	HeaderService = "Cicadapulley-Service"
	HeaderKind    = "Cicadapulley-Kind"
	HeaderVerdict = "Cicadapulley-Verdict"
)

// Task is one task of a submission.
type Task struct {
	Kind    string          `json:"kind"`
	Payload json.RawMessage `json:"payload"`
}

// Submission is the body of POST /v1/jobs.
type Submission struct {
	ID      string `json:"id"`
	Caller  string `json:"caller"`
	Service string `json:"service"`
	// DeadlineMS is the longest time from receipt to answer, in milliseconds.
	DeadlineMS int64  `json:"deadline_ms"`
	Tasks      []Task `json:"tasks"`
}

// Error is the reason of a refusal or failure.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// TaskResult is the result of one task in an answer.
type TaskResult struct {
	Task    int             `json:"task"`
	State   string          `json:"state"`
	Verdict string          `json:"verdict"`
	Output  json.RawMessage `json:"output,omitempty"`
}

// Answer is a job as its caller sees it.
type Answer struct {
	ID      string `json:"id"`
	Caller  string `json:"caller"`
	State   string `json:"state"`
	Verdict string `json:"verdict"`
	// Results is set for a complete job, one for each task in order.
	Results []TaskResult `json:"results,omitempty"`
	// Tasks is set for a failed or cancelled job: verdicts without outputs.
	Tasks []TaskResult `json:"tasks,omitempty"`
	Error *Error       `json:"error,omitempty"`
}

// Refusal is the body of a 4xx or 503 answer.
type Refusal struct {
	Verdict string `json:"verdict"`
	Error   Error  `json:"error"`
}

// NewRefusal encodes an error.
func NewRefusal(e *verdict.Error) Refusal {
	return Refusal{
		Verdict: e.Verdict.String(),
		Error:   Error{Code: string(e.Code), Message: e.Message},
	}
}

// RunningAnswer encodes a job that is still running.
func RunningAnswer(k job.Key) Answer {
	return Answer{ID: k.ID, Caller: k.Caller, State: job.Running.String(), Verdict: verdict.MayHaveRun.String()}
}

// FinalAnswer encodes a job's outcome.
func FinalAnswer(k job.Key, o job.Outcome) Answer {
	a := Answer{ID: k.ID, Caller: k.Caller, State: o.State.String(), Verdict: o.Verdict.String()}
	list := make([]TaskResult, len(o.Results))
	for i, r := range o.Results {
		list[i] = TaskResult{Task: i, State: r.State.String(), Verdict: r.Verdict.String(), Output: r.Output}
	}
	if o.State == job.Complete {
		a.Results = list
		return a
	}
	a.Tasks = list
	a.Error = &Error{Code: string(o.Code), Message: o.Message}
	return a
}
