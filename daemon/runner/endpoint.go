package runner

import (
	"context"
	"time"

	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// Endpoint calls the endpoint on the agent's VM. Every call names the endpoint
// instance that it is meant for. An error means that no answer arrived; the call
// may still be executed later.
type Endpoint interface {
	// Start starts a run.
	Start(ctx context.Context, instance string, q StartRequest) (Answer, error)
	// Stop ends a run, or prevents it from starting.
	Stop(ctx context.Context, instance string, q StopRequest) (Answer, error)
	// Hold renews the lease, acknowledges ends and lists runs.
	Hold(ctx context.Context, instance string, q HoldRequest) (Listing, error)
}

// StartRequest is the order to start a run.
type StartRequest struct {
	Run        work.Run
	Spec       string
	Checkpoint string
	Fence      placement.SessionID
	// Deadline is the end of the lease, on the endpoint's clock.
	Deadline time.Duration
}

// StopRequest is the order to end a run.
type StopRequest struct {
	Run   work.Run
	Fence placement.SessionID
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

// End is the end of a run under its number in the endpoint's list.
type End struct {
	Number uint64
	End    work.End
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

// Registration is an endpoint's announcement of itself.
type Registration struct {
	work.Incarnation
	// Sequence increases with each message of one incarnation.
	Sequence uint64
	Draining bool
	// FromRecord is set if the incarnation comes from the control VMs' record and
	// the endpoint has not announced it to this agent yet.
	FromRecord bool
}
