package load

import (
	"encoding/json"
	"net/http"

	"github.com/cicadapulley/cicadapulley/api/callers"
)

// State is how a request ended.
type State string

// States of requests.
const (
	// Complete requests have all outputs.
	Complete State = "complete"
	// Failed requests were accepted and ended without all outputs.
	Failed State = "failed"
	// Refused requests were not accepted.
	Refused State = "refused"
	// Unanswered requests got no answer in time.
	Unanswered State = "unanswered"
)

// States and verdicts in answers.
const (
	jobStateComplete = "complete"
	taskStateDone    = "done"
	verdictNotRun    = "not_run"
	verdictRan       = "ran"
)

// outcome is the classification of an answer.
type outcome struct {
	state   State
	code    string
	verdict string
	// taskVerdicts holds the verdict of each task of a failed job, if the answer
	// lists them.
	taskVerdicts []string
	// partial marks a complete answer with a missing or wrong output, and a
	// failed one with any output.
	partial bool
}

// classify returns the outcome of a reply to r.
func (out reply) classify(r *Request) outcome {
	switch {
	case out.err != nil || out.status == http.StatusAccepted:
		return outcome{state: Unanswered, code: "no_answer"}
	case out.status >= http.StatusBadRequest:
		return classifyRefusal(out.body)
	case r.Stream.Form == FormCall:
		return outcome{state: Complete, verdict: verdictRan, partial: !isExpectedOutput(out.body, r, 0)}
	}
	return classifyJob(out.body, r)
}

func classifyRefusal(body []byte) outcome {
	var refusal callers.Refusal
	if err := json.Unmarshal(body, &refusal); err != nil {
		return outcome{state: Refused, code: "not_json"}
	}
	o := outcome{state: Refused, code: refusal.Error.Code, verdict: refusal.Verdict}
	if refusal.Verdict != verdictNotRun {
		o.state = Failed
	}
	return o
}

func classifyJob(body []byte, r *Request) outcome {
	var a callers.Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return outcome{state: Complete, partial: true, code: "not_json"}
	}
	if a.State == jobStateComplete {
		return outcome{state: Complete, verdict: a.Verdict, partial: !outputsValid(a.Results, r)}
	}
	o := outcome{state: Failed, verdict: a.Verdict, partial: len(a.Results) > 0}
	if a.Error != nil {
		o.code = a.Error.Code
	}
	for _, t := range a.Tasks {
		o.taskVerdicts = append(o.taskVerdicts, t.Verdict)
		o.partial = o.partial || len(t.Output) > 0
	}
	return o
}

// outputsValid reports whether each task has its expected output, in order.
func outputsValid(results []callers.TaskResult, r *Request) bool {
	if len(results) != len(r.Tasks) {
		return false
	}
	for i, result := range results {
		if result.Task != i || result.State != taskStateDone || !isExpectedOutput(result.Output, r, i) {
			return false
		}
	}
	return true
}

func isExpectedOutput(output []byte, r *Request, task int) bool {
	var s string
	return json.Unmarshal(output, &s) == nil && s == expectedOutput(r, task)
}
