// Package exit defines the exit codes of the command line. Scripts rely on
// the numbers.
package exit

import (
	"errors"
	"fmt"

	"github.com/cicadapulley/cicadapulley/core/verdict"
)

// Code is an exit code.
type Code int

// Exit codes.
const (
	OK Code = 0
	// Failure is any failure without a more specific code.
	Failure Code = 1
	// Usage is a wrong flag, argument or file.
	Usage Code = 2
	// NotRun is a refusal or failure after which nothing has run or will run.
	NotRun Code = 3
	// MayHaveRun is a failure after which work may have run.
	MayHaveRun Code = 4
	// TicketRefused is a ticket that was refused because another one has its
	// number or is newer for one of its objects.
	TicketRefused Code = 5
	// NotInForce is a timeout before a ticket is in force everywhere or a change of
	// the group is done.
	NotInForce Code = 6
	// Unreachable means that no control leader, entry or member answered. A ticket
	// may still have been applied; resending it is safe.
	Unreachable Code = 7
)

// Help lists the exit codes for the help texts of the commands.
const Help = `Exit codes:
  0  ok
  1  failure
  2  wrong usage: flag, argument or file
  3  refused or failed with not_run: nothing ran
  4  failed with may_have_run: work may have run
  5  ticket refused because of another one (conflict or stale)
  6  timed out before the change was in force or done
  7  unreachable: no control leader or entry answered`

// Error is a failure with its exit code.
type Error struct {
	Code Code
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Errorf returns an Error with a formatted message.
func Errorf(code Code, format string, args ...any) error {
	return &Error{Code: code, Err: fmt.Errorf(format, args...)}
}

// CodeOf returns the code of an error: OK for nil, Failure for one without a code.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return Failure
}

// CodeOfVerdict returns the code of a refusal or failure with a verdict.
func CodeOfVerdict(v verdict.Verdict) Code {
	switch v {
	case verdict.NotRun:
		return NotRun
	case verdict.Ran:
		return Failure
	}
	return MayHaveRun
}
