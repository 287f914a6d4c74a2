package runner

import (
	"context"
	"time"

	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// Endpoint is the interface to the endpoint beside the agent. Every call names
// the life of the endpoint that it is meant for. An error means that there was
// no answer: the call may still be carried out later.
type Endpoint interface {
	// Start begins a run.
	Start(ctx context.Context, instance string, q StartRequest) (Answer, error)
	// Stop ends a run, or keeps it from beginning.
	Stop(ctx context.Context, instance string, q StopRequest) (Answer, error)
	// Hold renews the lease, acknowledges ends and lists runs.
	Hold(ctx context.Context, instance string, q HoldRequest) (Listing, error)
}

// Start is the order to begin a run.
type StartRequest struct {
	Run        work.Run
	Spec       string
	Checkpoint string
	Fence      placement.SessionID
	// Deadline is the end of the lease on the endpoint's clock.
	Deadline time.Duration
}

// Stop is the order to end a run.
type StopRequest struct {
	Run   work.Run
	Fence placement.SessionID
}

// Hold renews the lease of everything that runs.
type HoldRequest struct {
	Fence placement.SessionID
	// Deadline is the end of the lease on the endpoint's clock; 0 leaves it.
	Deadline time.Duration
	// Seen is the number up to which the endpoint may forget ends.
	AckedUpTo uint64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// Verdict is the kind of an endpoint's answer.
type Verdict uint8

// Verdicts of endpoints.
const (
	// Done means that the order is carried out.
	Done Verdict = iota + 1
	// Refused means that the order was refused for the answer's reason.
	Refused
	// Fenced means that the endpoint has seen a higher fencing token.
	Fenced
	// OtherInstance means that the endpoint's life is not the one meant.
	OtherInstance
)

// Answer is an endpoint's answer to a start or stop.
type Answer struct {
	Verdict Verdict
	// Why is set for Refused.
	Reason placement.Refusal
	// Clock is the endpoint's clock; 0 if the answer has none.
	Clock time.Duration
}

// End is an end as the endpoint lists it.
type End struct {
	Number uint64
	End    work.End
}

// Listing is an endpoint's answer to Hold.
type Listing struct {
	Verdict Verdict
	Clock   time.Duration
	// Born is the start of the endpoint's life, 0 if it isn't told.
	StartTimeMS int64
	Running     []placement.ListedRun
	Ends        []End
}

// Registration is what an endpoint says of itself.
type Registration struct {
	work.Incarnation
	// Sequence rises with each message of one life.
	Sequence uint64
	Draining bool
	// Recalled is set if control remembers the life and the endpoint hasn't
	// announced it to this agent yet.
	FromRecord bool
}
