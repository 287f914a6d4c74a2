package runner

import (
	"context"
	"time"

	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/runtable"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// Endpoint calls the endpoint on the agent's VM. Every call names the endpoint
// instance that it is meant for. An error means that no answer arrived; the call
// may still be executed later.
type Endpoint interface {
	// Start starts a run.
	Start(ctx context.Context, instance string, q StartRequest) (runtable.Answer, error)
	// Stop ends a run, or prevents it from starting.
	Stop(ctx context.Context, instance string, q StopRequest) (runtable.Answer, error)
	// Hold renews the lease, acknowledges ends and lists runs.
	Hold(ctx context.Context, instance string, q runtable.HoldRequest) (runtable.Listing, error)
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
