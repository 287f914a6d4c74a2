// Package verdict states whether a request may have run. Every refusal and
// failure carries a Verdict, from the endpoint's agent to the caller.
package verdict

import (
	"fmt"
	"time"
)

// Verdict states what is known about the execution of a request.
type Verdict uint8

// The zero value is MayHaveRun, so that a forgotten assignment never claims
// that a request did not run.
const (
	// MayHaveRun means that the request may or may not have been executed.
	MayHaveRun Verdict = iota
	// NotRun means that the request was not executed and never will be.
	NotRun
	// Ran means that the request was executed, with success or not.
	Ran
)

var names = [...]string{MayHaveRun: "may_have_run", NotRun: "not_run", Ran: "ran"}

// String returns the name used in callers' answers.
func (v Verdict) String() string {
	if int(v) < len(names) {
		return names[v]
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// Parse returns the verdict of a name; an unknown name is an error.
func Parse(name string) (Verdict, error) {
	for v, n := range names {
		if n == name {
			return Verdict(v), nil
		}
	}
	return MayHaveRun, fmt.Errorf("unknown verdict %q", name)
}

// Combine returns the joint verdict of two requests: NotRun only if neither ran,
// Ran only if both ran.
func Combine(a, b Verdict) Verdict {
	if a == b {
		return a
	}
	return MayHaveRun
}

// Evidence is what an entry has found out about other submissions with a job's ID
// before it refuses one.
type Evidence struct {
	// NoRecord is set if control has confirmed that the ID has no record.
	NoRecord bool
	// NoneInProgress is set if no other entry has a submission of the ID in progress.
	NoneInProgress bool
}

// RefusalVerdict returns the verdict of a refusal. That an entry does not start a
// job is not enough for NotRun: another entry may run or be recording it.
func (e Evidence) RefusalVerdict() Verdict {
	if e.NoRecord && e.NoneInProgress {
		return NotRun
	}
	return MayHaveRun
}

// Code identifies the reason of a refusal or failure.
type Code string

// Codes used in callers' answers. The values are part of the interface.
const (
	CodeBadRequest     Code = "bad_request"
	CodeNotFound       Code = "not_found"
	CodeConflict       Code = "conflict"
	CodeTooLarge       Code = "too_large"
	CodeNoEndpoint     Code = "no_endpoint"
	CodeOverloaded     Code = "overloaded"
	CodeQuota          Code = "quota_exceeded"
	CodeDeadline       Code = "deadline_exceeded"
	CodeCancelled      Code = "cancelled"
	CodeUnavailable    Code = "unavailable"
	CodeShuttingDown   Code = "shutting_down"
	CodeEndpointFailed Code = "endpoint_failed"
	CodeEndpointLost   Code = "endpoint_lost"
	CodeEndpointBusy   Code = "endpoint_busy"
	CodeFenced         Code = "fenced"
	CodeLeaseExpired   Code = "lease_lapsed"
	CodeAlreadyStarted Code = "already_started"
	CodeAnswerExpired  Code = "answer_expired"
	CodeInternal       Code = "internal"
)

// Error is a refusal or failure together with its verdict.
type Error struct {
	Code    Code
	Verdict Verdict
	Message string
	// RetryAfter is how long the caller should wait before a retry, or zero if a
	// retry does not help.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Message)
}

// Errorf builds an Error with a formatted message.
func Errorf(code Code, v Verdict, format string, args ...any) *Error {
	return &Error{Code: code, Verdict: v, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e with RetryAfter set to d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}
