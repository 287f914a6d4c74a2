// Package runtable decides, for an agent, about the runs at its endpoint: which may start
// and until when, which have ended or never began, whom to tell, and how long the endpoint's
// lease may last. A Table covers one session, which is one incarnation of the endpoint and one
// fencing token; Records are what the agent keeps from one session to the next. Both take events
// and the time and return what to send. They call nothing, read no clock, and the caller
// serialises all methods.
package runtable

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// Owner identifies the scheduler that ordered a run and renews its lease; the zero
// value is a leader. An entry that has handed its jobs over does not renew their
// runs in a later period.
type Owner struct {
	// VM is the entry's VM; empty for a leader.
	VM string
	// Period identifies the period without a leader in which the entry orders runs;
	// 0 for a leader.
	Period uint64
}

// VisibleTo reports whether the scheduler on vm may see the owner's runs: a leader,
// whose vm is empty, sees all runs, an entry its own and those of the last leader.
func (o Owner) VisibleTo(vm string) bool { return vm == "" || o.VM == "" || o.VM == vm }

// Verdict is the result of a call in an endpoint's answer.
type Verdict uint8

// Verdicts of endpoints.
const (
	// Done means that the order was executed.
	Done Verdict = iota + 1
	// Refused means that the order was refused for the answer's reason.
	Refused
	// Fenced means that the endpoint has seen a higher fencing token.
	Fenced
	// OtherInstance means that the call was meant for another instance.
	OtherInstance
)

// Answer is an endpoint's answer to a start or stop.
type Answer struct {
	Verdict Verdict
	// Reason is set for Refused.
	Reason placement.Refusal
	// Clock is the reading of the endpoint's clock; 0 if the answer has none.
	Clock time.Duration
}

// HoldRequest renews the lease of all runs at the endpoint.
type HoldRequest struct {
	Fence placement.SessionID
	// Deadline is the end of the lease, on the endpoint's clock; 0 leaves the
	// lease unchanged.
	Deadline time.Duration
	// AckedUpTo is the number up to which the endpoint may drop its ends.
	AckedUpTo uint64
	// Wait is how long the endpoint may delay its answer until a run ends.
	Wait time.Duration
}

// Listing is an endpoint's answer to HoldRequest.
type Listing struct {
	Verdict Verdict
	Clock   time.Duration
	// StartTimeMS is the start time of the endpoint's incarnation, 0 if the
	// answer has none.
	StartTimeMS int64
	Running     []placement.ListedRun
	Ends        []End
}

// End is the end of a run under its number in the endpoint's list.
type End struct {
	Number uint64
	End    work.End
}

// ReportedEnd is an end for a scheduler.
type ReportedEnd struct {
	// Number is that in the endpoint's list, 0 for one that the agent has kept.
	Number uint64
	End    work.End
	// BestEffort is set if the end need not be recorded.
	BestEffort bool
}

// RefusedStart is a run that has not begun and cannot begin any more.
type RefusedStart struct {
	Run    work.Run
	Reason placement.Refusal
}

// Report is what a listing tells the owner of runs.
type Report struct {
	Ends    []ReportedEnd
	Refused []RefusedStart
	// Vanished lists runs that the endpoint lists neither as running nor as ended.
	Vanished []work.Run
}

// Reports are reports by the owner of the runs.
type Reports map[Owner]*Report

// of returns the owner's report, which it adds if there is none.
func (r Reports) of(o Owner) *Report {
	if r[o] == nil {
		r[o] = &Report{}
	}
	return r[o]
}

// Inventory is the complete state of the endpoint for a scheduler that joins the session.
type Inventory struct {
	Endpoint placement.Endpoint
	Running  []placement.ListedRun
	Ends     []ReportedEnd
	// EndpointDraining is set if the endpoint, and not only the agent, accepts no runs.
	EndpointDraining bool
}

// Ping is what the agent sends a scheduler regularly. Its answer renews the lease.
type Ping struct {
	Sequence uint64
	// UsedByOthers is what the runs of other owners take.
	UsedByOthers work.Resources
	// Running has the progress from the latest listing, and Age the time since then. It is nil if
	// the scheduler has it already.
	Running []placement.ListedRun
	Age     time.Duration
}
