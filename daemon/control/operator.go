package control

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/cicadapulley/cicadapulley/api/codec"
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// ApplyTicket implements rpc.Operator.
func (a *api) ApplyTicket(ctx context.Context, q *rpc.ApplyTicketRequest) (*rpc.ApplyTicketResponse, error) {
	ticket := codec.TicketFromRPC(q.Ticket)
	if err := ticket.Validate(); err != nil {
		return nil, twirp.InvalidArgument.Error(err.Error())
	}
	digest, err := ticketDigest(q.Ticket)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	result, err := a.replica.Propose(ctx, state.Command{ApplyTicket: &state.ApplyTicket{Ticket: ticket, Digest: digest}})
	if err != nil {
		redirect, err := a.redirect(err)
		return &rpc.ApplyTicketResponse{NotLeader: redirect}, err
	}
	a.logTicket(ticket, *result.Ticket)
	return &rpc.ApplyTicketResponse{
		Status:       uint32(result.Ticket.Status),
		Revision:     result.Ticket.Revision,
		Winner:       result.Ticket.Winner,
		WinnerAuthor: result.Ticket.WinnerAuthor,
		Object:       result.Ticket.Object,
	}, nil
}

// ticketDigest identifies a ticket's content. The encoding is deterministic,
// and the order of a ticket's lists is part of its content.
func ticketDigest(t *rpc.Ticket) ([32]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(t)
	if err != nil {
		return [32]byte{}, errors.Wrap(err, "encode ticket")
	}
	return sha256.Sum256(data), nil
}

func (a *api) logTicket(t state.Ticket, r state.TicketResult) {
	id := events.TicketApplied
	if r.Status != state.TicketApplied && r.Status != state.TicketRepeated {
		id = events.TicketRefused
	}
	a.log.Emit(events.Event{ID: id, Ticket: t.Number, Text: t.Author})
}

// ListTickets implements rpc.Operator.
func (a *api) ListTickets(context.Context, *rpc.ListTicketsRequest) (*rpc.ListTicketsResponse, error) {
	resp := &rpc.ListTicketsResponse{}
	err := a.replica.Read(func(m *state.Machine) {
		for _, t := range m.Tickets() {
			resp.Tickets = append(resp.Tickets, codec.AppliedTicketToRPC(t))
		}
	})
	if err != nil {
		redirect, err := a.redirect(err)
		return &rpc.ListTicketsResponse{NotLeader: redirect}, err
	}
	return resp, nil
}

// GetTicket implements rpc.Operator.
func (a *api) GetTicket(_ context.Context, q *rpc.GetTicketRequest) (*rpc.GetTicketResponse, error) {
	resp := &rpc.GetTicketResponse{}
	err := a.replica.Read(func(m *state.Machine) {
		if t, ok := m.Ticket(q.Number); ok {
			resp.Found = true
			resp.Ticket = codec.AppliedTicketToRPC(t)
		}
	})
	if err != nil {
		redirect, err := a.redirect(err)
		return &rpc.GetTicketResponse{NotLeader: redirect}, err
	}
	return resp, nil
}

// GetConfig implements rpc.Operator.
func (a *api) GetConfig(context.Context, *rpc.GetConfigRequest) (*rpc.GetConfigResponse, error) {
	resp := &rpc.GetConfigResponse{}
	err := a.replica.Read(func(m *state.Machine) {
		resp = codec.ConfigToRPC(m.Config())
		resp.Revision = m.ConfigRevision()
		resp.HighestTicket = m.HighestTicket()
	})
	if err != nil {
		redirect, err := a.redirect(err)
		return &rpc.GetConfigResponse{NotLeader: redirect}, err
	}
	return resp, nil
}

// WaitTicket implements rpc.Operator.
func (a *api) WaitTicket(ctx context.Context, q *rpc.WaitTicketRequest) (*rpc.WaitTicketResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.MaxWaitMs)*time.Millisecond)
	defer cancel()
	for {
		changed := a.replica.Changed()
		reported := a.leases.nextRevisionReport()
		var behind []string
		err := a.replica.Read(func(m *state.Machine) {
			// Agents receive no changes of members, so they may never reach a later
			// revision.
			wanted := min(q.Revision, m.Config().LastChange())
			behind = a.leases.behind(m.Members(), wanted)
		})
		if err != nil {
			redirect, err := a.redirect(err)
			return &rpc.WaitTicketResponse{NotLeader: redirect}, err
		}
		if len(behind) == 0 || ctx.Err() != nil || a.stopping.Err() != nil {
			return &rpc.WaitTicketResponse{InForce: len(behind) == 0, Behind: behind}, nil
		}
		select {
		case <-reported:
		case <-changed:
		case <-ctx.Done():
		case <-a.stopping.Done():
		}
	}
}

// ListJobs implements rpc.Operator.
func (a *api) ListJobs(context.Context, *rpc.ListJobsRequest) (*rpc.ListJobsResponse, error) {
	var jobs []job.Record
	err := a.replica.Read(func(m *state.Machine) { jobs = m.Jobs() })
	if err != nil {
		redirect, err := a.redirect(err)
		return &rpc.ListJobsResponse{NotLeader: redirect}, err
	}
	for i := range jobs {
		jobs[i].Outcome = withoutResults(jobs[i].Outcome)
	}
	return &rpc.ListJobsResponse{Jobs: codec.RecordsToRPC(jobs)}, nil
}

// withoutResults returns a copy of an outcome without the results of its tasks.
func withoutResults(o *job.Outcome) *job.Outcome {
	if o == nil {
		return nil
	}
	c := *o
	c.Results = nil
	return &c
}

// Status implements rpc.Operator.
func (a *api) Status(context.Context, *rpc.StatusRequest) (*rpc.StatusResponse, error) {
	status := a.replica.Status()
	resp := &rpc.StatusResponse{Id: string(status.ID), Term: status.Term}
	var members []state.Member
	err := a.replica.Read(func(m *state.Machine) {
		resp.Applied = m.Applied()
		resp.ConfigRevision = m.ConfigRevision()
		resp.HighestTicket = m.HighestTicket()
		resp.RunningJobs, resp.FinishedJobs = m.JobCounts()
		members = m.Members()
	})
	if err != nil {
		redirect, err := a.redirect(err)
		return &rpc.StatusResponse{NotLeader: redirect}, err
	}
	resp.Group = groupStatus(status, time.Now())
	for _, m := range members {
		revision, remaining := a.leases.status(m.ID)
		resp.Members = append(resp.Members, &rpc.MemberStatus{
			Member:      codec.MemberToRPC(m),
			Revision:    revision,
			LeaseLeftMs: remaining.Milliseconds(),
		})
	}
	return resp, nil
}

func groupStatus(s raft.Status, now time.Time) []*rpc.ControlVM {
	list := make([]*rpc.ControlVM, len(s.Servers))
	for i, server := range s.Servers {
		list[i] = &rpc.ControlVM{
			Id:         string(server.Server.ID),
			Address:    server.Server.Address,
			Voter:      server.Server.Voter,
			Leader:     server.Server.ID == s.Leader,
			MatchIndex: server.Match,
			SilentMs:   max(0, now.Sub(server.LastContact).Milliseconds()),
		}
	}
	return list
}

// ChangeGroup implements rpc.Operator. Adding starts a non-voter; it becomes a
// voter on the next call once it has caught up.
func (a *api) ChangeGroup(_ context.Context, q *rpc.ChangeGroupRequest) (*rpc.ChangeGroupResponse, error) {
	err := a.replica.ChangeGroup(a.groupChange(q))
	if err == nil {
		return &rpc.ChangeGroupResponse{Done: true}, nil
	}
	if errors.Is(err, raft.ErrNotLeader) {
		redirect, err := a.redirect(err)
		return &rpc.ChangeGroupResponse{NotLeader: redirect}, err
	}
	return &rpc.ChangeGroupResponse{Message: err.Error()}, nil
}

func (a *api) groupChange(q *rpc.ChangeGroupRequest) raft.GroupChange {
	server := raft.Server{ID: raft.ServerID(q.Id), Address: q.Address}
	if q.Remove {
		return raft.GroupChange{Type: raft.Remove, Server: server}
	}
	for _, s := range a.replica.Status().Group.Servers {
		if s.ID == server.ID {
			return raft.GroupChange{Type: raft.Promote, Server: s}
		}
	}
	return raft.GroupChange{Type: raft.AddLearner, Server: server}
}
