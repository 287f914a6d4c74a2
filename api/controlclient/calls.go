package controlclient

import (
	"context"
	"time"

	"github.com/cicadapulley/cicadapulley/api/rpc"
)

// AcceptJob records a job before its tasks are sent.
func (c *Client) AcceptJob(ctx context.Context, r *rpc.AcceptJobRequest) (*rpc.AcceptJobResponse, error) {
	return do(ctx, c, 0, r, func(s *server, ctx context.Context, r *rpc.AcceptJobRequest) (*rpc.AcceptJobResponse, error) {
		return s.control.AcceptJob(ctx, r)
	})
}

// FinishJob records a job's outcome.
func (c *Client) FinishJob(ctx context.Context, r *rpc.FinishJobRequest) (*rpc.FinishJobResponse, error) {
	return do(ctx, c, 0, r, func(s *server, ctx context.Context, r *rpc.FinishJobRequest) (*rpc.FinishJobResponse, error) {
		return s.control.FinishJob(ctx, r)
	})
}

// GetJob returns a job's record.
func (c *Client) GetJob(ctx context.Context, r *rpc.GetJobRequest) (*rpc.GetJobResponse, error) {
	return do(ctx, c, 0, r, func(s *server, ctx context.Context, r *rpc.GetJobRequest) (*rpc.GetJobResponse, error) {
		return s.control.GetJob(ctx, r)
	})
}

// Register registers a process as a member.
func (c *Client) Register(ctx context.Context, r *rpc.RegisterRequest) (*rpc.RegisterResponse, error) {
	return do(ctx, c, 0, r, func(s *server, ctx context.Context, r *rpc.RegisterRequest) (*rpc.RegisterResponse, error) {
		return s.control.Register(ctx, r)
	})
}

// Renew extends a lease.
func (c *Client) Renew(ctx context.Context, r *rpc.RenewRequest) (*rpc.RenewResponse, error) {
	return do(ctx, c, 0, r, func(s *server, ctx context.Context, r *rpc.RenewRequest) (*rpc.RenewResponse, error) {
		return s.control.Renew(ctx, r)
	})
}

// Drain marks a member that is about to stop.
func (c *Client) Drain(ctx context.Context, r *rpc.MemberRequest) (*rpc.MemberResponse, error) {
	return do(ctx, c, 0, r, func(s *server, ctx context.Context, r *rpc.MemberRequest) (*rpc.MemberResponse, error) {
		return s.control.Drain(ctx, r)
	})
}

// Leave ends a lease.
func (c *Client) Leave(ctx context.Context, r *rpc.MemberRequest) (*rpc.MemberResponse, error) {
	return do(ctx, c, 0, r, func(s *server, ctx context.Context, r *rpc.MemberRequest) (*rpc.MemberResponse, error) {
		return s.control.Leave(ctx, r)
	})
}

// Watch waits for a change of configuration or members.
func (c *Client) Watch(ctx context.Context, r *rpc.WatchRequest) (*rpc.WatchResponse, error) {
	return do(ctx, c, time.Duration(r.MaxWaitMs)*time.Millisecond, r, func(s *server, ctx context.Context, r *rpc.WatchRequest) (*rpc.WatchResponse, error) {
		return s.control.Watch(ctx, r)
	})
}

// ApplyTicket applies a configuration ticket.
func (c *Client) ApplyTicket(ctx context.Context, r *rpc.ApplyTicketRequest) (*rpc.ApplyTicketResponse, error) {
	return do(ctx, c, 0, r, func(s *server, ctx context.Context, r *rpc.ApplyTicketRequest) (*rpc.ApplyTicketResponse, error) {
		return s.operator.ApplyTicket(ctx, r)
	})
}

// ListTickets lists the retained tickets.
func (c *Client) ListTickets(ctx context.Context, r *rpc.ListTicketsRequest) (*rpc.ListTicketsResponse, error) {
	return do(ctx, c, 0, r, func(s *server, ctx context.Context, r *rpc.ListTicketsRequest) (*rpc.ListTicketsResponse, error) {
		return s.operator.ListTickets(ctx, r)
	})
}

// GetTicket returns one ticket.
func (c *Client) GetTicket(ctx context.Context, r *rpc.GetTicketRequest) (*rpc.GetTicketResponse, error) {
	return do(ctx, c, 0, r, func(s *server, ctx context.Context, r *rpc.GetTicketRequest) (*rpc.GetTicketResponse, error) {
		return s.operator.GetTicket(ctx, r)
	})
}

// GetConfig returns the configuration in force.
func (c *Client) GetConfig(ctx context.Context, r *rpc.GetConfigRequest) (*rpc.GetConfigResponse, error) {
	return do(ctx, c, 0, r, func(s *server, ctx context.Context, r *rpc.GetConfigRequest) (*rpc.GetConfigResponse, error) {
		return s.operator.GetConfig(ctx, r)
	})
}

// WaitTicket waits until every active member has applied a revision.
func (c *Client) WaitTicket(ctx context.Context, r *rpc.WaitTicketRequest) (*rpc.WaitTicketResponse, error) {
	return do(ctx, c, time.Duration(r.MaxWaitMs)*time.Millisecond, r, func(s *server, ctx context.Context, r *rpc.WaitTicketRequest) (*rpc.WaitTicketResponse, error) {
		return s.operator.WaitTicket(ctx, r)
	})
}

// ListJobs lists job records.
func (c *Client) ListJobs(ctx context.Context, r *rpc.ListJobsRequest) (*rpc.ListJobsResponse, error) {
	return do(ctx, c, 0, r, func(s *server, ctx context.Context, r *rpc.ListJobsRequest) (*rpc.ListJobsResponse, error) {
		return s.operator.ListJobs(ctx, r)
	})
}

// Status returns the state of the group and its members.
func (c *Client) Status(ctx context.Context, r *rpc.StatusRequest) (*rpc.StatusResponse, error) {
	return do(ctx, c, 0, r, func(s *server, ctx context.Context, r *rpc.StatusRequest) (*rpc.StatusResponse, error) {
		return s.operator.Status(ctx, r)
	})
}

// ChangeGroup adds or removes a control VM.
func (c *Client) ChangeGroup(ctx context.Context, r *rpc.ChangeGroupRequest) (*rpc.ChangeGroupResponse, error) {
	return do(ctx, c, 0, r, func(s *server, ctx context.Context, r *rpc.ChangeGroupRequest) (*rpc.ChangeGroupResponse, error) {
		return s.operator.ChangeGroup(ctx, r)
	})
}
