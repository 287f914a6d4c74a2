// Package configcheck judges a configuration of the operators: what makes it invalid, what
// is accepted but can't work as written, and what it changes for callers.
package configcheck

import (
	"fmt"
	"iter"
	"strings"
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// Severity tells whether a configuration with a finding is refused.
type Severity string

// Severities. Only errors refuse a configuration.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Code identifies the rule of a finding. Scripts rely on the values.
type Code string

// Codes.
const (
	UnknownService        Code = "unknown_service"
	TimeoutNotPositive    Code = "timeout_not_positive"
	DuplicateRoute        Code = "duplicate_route"
	TooMany               Code = "too_many"
	DuplicateName         Code = "duplicate_name"
	NeverMatches          Code = "never_matches"
	JobIDsShadowed        Code = "job_ids_shadowed"
	UnusedService         Code = "unused_service"
	TimeoutBelowObjective Code = "timeout_below_objective"
	AttemptsExceedTimeout Code = "attempts_exceed_timeout"
	StretchBelowOne       Code = "stretch_below_one"
)

// Field is a field of a queue or pool.
type Field uint8

// Fields.
const (
	Name Field = iota
	Host
	Prefix
	Pool
	Timeout
	MaxAttempts
	Stretch
	// WholeList is the list itself; the index has no meaning.
	WholeList
)

// Finding is an error or warning about one field. Index counts the queues or, if InPools is
// set, the pools.
type Finding struct {
	Severity Severity
	Code     Code
	InPools  bool
	Index    int
	Field    Field
	Text     string
}

// Check returns the errors of a configuration, in the order in which Validate finds them,
// and then the warnings.
func Check(c *work.Configuration) iter.Seq[Finding] {
	return func(yield func(Finding) bool) {
		for p := range c.Problems() {
			if !yield(invalid(p)) {
				return
			}
		}
		for _, f := range warnings(c) {
			if !yield(f) {
				return
			}
		}
	}
}

func invalid(p work.Problem) Finding {
	f := Finding{Severity: Error, Index: p.Queue, Text: p.Text}
	switch p.Kind {
	case work.UnknownPool:
		f.Code, f.Field = UnknownService, Pool
	case work.NoTimeout:
		f.Code, f.Field = TimeoutNotPositive, Timeout
	case work.RouteTaken:
		f.Code, f.Field = DuplicateRoute, Prefix
	case work.TooManyQueues, work.TooManyPools:
		f.Code, f.Field, f.InPools = TooMany, WholeList, p.Kind == work.TooManyPools
	}
	return f
}

// place is what selects a queue.
type place struct{ host, prefix string }

func (p place) String() string { return p.host + " " + p.prefix }

func placeOf(q *work.Queue) place { return place{q.Host, q.Prefix} }

func warnings(c *work.Configuration) []Finding {
	var found []Finding
	routes := byPlace(c)
	used := map[string]bool{}
	names := map[string]bool{}
	for i := range c.Queues {
		q := &c.Queues[i]
		warn := func(code Code, field Field, format string, args ...any) {
			found = append(found, Finding{Severity: Warning, Code: code, Index: i, Field: field, Text: fmt.Sprintf("route %q: ", q.Name) + fmt.Sprintf(format, args...)})
		}
		if names[q.Name] {
			warn(DuplicateName, Name, "another route has this name; logs and metrics don't tell them apart")
		}
		names[q.Name], used[q.Pool] = true, true
		if !strings.HasPrefix(q.Prefix, "/") {
			warn(NeverMatches, Prefix, "no request matches the prefix %q, since paths begin with a slash", q.Prefix)
		}
		// The port of a request's host is cut off before the look-up. With two colons
		// or more the host is an IPv6 address.
		if strings.Count(q.Host, ":") == 1 {
			warn(NeverMatches, Host, "no request matches the host %q, since hosts are compared without port", q.Host)
		}
		if shorter, digits := shadowed(routes, q); shorter != nil {
			warn(JobIDsShadowed, Prefix, "callers of route %q (%s) whose job ids begin with %q are taken for callers of this route", shorter.Name, placeOf(shorter), digits)
		}
		checkLimits(q, warn)
	}
	for i, p := range c.Pools {
		if !used[p] {
			found = append(found, Finding{Severity: Warning, Code: UnusedService, InPools: true, Index: i, Text: fmt.Sprintf("service %q: no route uses it", p)})
		}
	}
	return found
}

// shadowed returns the queue whose prefix and the first digits of a job ID are the prefix
// of q, and these digits. The longest prefix wins, so that the queue loses such jobs.
func shadowed(routes map[place]*work.Queue, q *work.Queue) (*work.Queue, string) {
	for n := 1; n <= min(work.JobIDLength, len(q.Prefix)); n++ {
		rest, digits := q.Prefix[:len(q.Prefix)-n], q.Prefix[len(q.Prefix)-n:]
		if !strings.Contains("0123456789abcdefABCDEF", digits[:1]) {
			break
		}
		if shorter := routes[place{q.Host, rest}]; shorter != nil {
			return shorter, digits
		}
	}
	return nil, ""
}

// checkLimits reports limits that contradict each other. The run times of jobs are unknown
// here; an objective is the target and a multiple of the run time, so it is above the target.
func checkLimits(q *work.Queue, warn func(Code, Field, string, ...any)) {
	attempts := max(q.MaxAttempts, 1)
	switch {
	case q.Timeout <= 0:
	case q.Timeout <= q.Target:
		warn(TimeoutBelowObjective, Timeout, "the timeout %v is below the objective of every job, which is above the target %v", q.Timeout, q.Target)
	case q.Target > q.Timeout/time.Duration(attempts):
		warn(AttemptsExceedTimeout, MaxAttempts, "%d attempts don't fit into the timeout %v: each has less than the target %v", attempts, q.Timeout, q.Target)
	}
	if q.Stretch < 1 {
		warn(StretchBelowOne, Stretch, "with the stretch %v the objective of a long job is below its run time, so that it is late even on an idle endpoint", q.Stretch)
	}
}
