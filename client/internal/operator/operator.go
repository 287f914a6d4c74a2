// Package operator sends operators' requests to the control VMs: status, tickets,
// drain marks and changes of the group. It prints nothing; errors have an exit
// code.
package operator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/cicadapulley/cicadapulley/api/codec"
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/client/internal/exit"
	"github.com/cicadapulley/cicadapulley/core/state"
)

// pollInterval is the delay between requests about something that takes a
// control VM some time, such as catching up.
const pollInterval = 200 * time.Millisecond

// Client sends operators' requests. Progress, if set, receives a message when a
// step of a long operation begins.
type Client struct {
	// Control calls the leader, which controlclient.Client finds.
	Control  rpc.Operator
	Progress func(line string)
}

func (c *Client) progress(format string, args ...any) {
	if c.Progress != nil {
		c.Progress(fmt.Sprintf(format, args...))
	}
}

// callFailure adds the exit code to the error of a call. action names the call
// in the message.
func callFailure(action string, err error) error {
	var twirpErr twirp.Error
	if !errors.As(err, &twirpErr) {
		return exit.Errorf(exit.Unreachable, "%s: %w", action, err)
	}
	switch twirpErr.Code() {
	case twirp.InvalidArgument:
		return exit.Errorf(exit.Usage, "%s: %s", action, twirpErr.Msg())
	case twirp.PermissionDenied, twirp.Unauthenticated:
		return exit.Errorf(exit.Failure, "%s: the certificate's role does not allow it: %w", action, err)
	}
	return exit.Errorf(exit.Unreachable, "%s: %w", action, err)
}

// Status returns the state of the group and its members.
func (c *Client) Status(ctx context.Context) (*rpc.StatusResponse, error) {
	resp, err := c.Control.Status(ctx, &rpc.StatusRequest{})
	if err != nil {
		return nil, callFailure("read status", err)
	}
	return resp, nil
}

// Config is the configuration in force.
type Config struct {
	state.Config
	Revision uint64
	// HighestTicket is the highest ticket number, zero before the first.
	HighestTicket uint64
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (Config, error) {
	resp, err := c.Control.GetConfig(ctx, &rpc.GetConfigRequest{})
	if err != nil {
		return Config{}, callFailure("read configuration", err)
	}
	return Config{Config: codec.ConfigFromRPC(resp), Revision: resp.Revision, HighestTicket: resp.HighestTicket}, nil
}

// Jobs lists the job records, without the results of their tasks.
func (c *Client) Jobs(ctx context.Context) ([]*rpc.JobRecord, error) {
	resp, err := c.Control.ListJobs(ctx, &rpc.ListJobsRequest{})
	if err != nil {
		return nil, callFailure("list jobs", err)
	}
	return resp.Jobs, nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
