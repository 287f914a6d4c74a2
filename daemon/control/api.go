package control

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/cicadapulley/cicadapulley/api/codec"
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// api serves members and operators. Each call runs in the goroutine of its
// HTTP/2 stream.
type api struct {
	replica *Replica
	leases  *leases
	log     *events.Log
	// stopping ends blocked calls when it is cancelled at a planned stop.
	stopping context.Context
}

// redirect converts a raft.NotLeaderError to the leader's address. Other errors are
// returned as twirp errors.
func (a *api) redirect(err error) (*rpc.NotLeader, error) {
	var notLeader *raft.NotLeaderError
	if errors.As(err, &notLeader) {
		return &rpc.NotLeader{Address: a.replica.AddressOf(notLeader.Leader)}, nil
	}
	return nil, twirp.Unavailable.Error(err.Error())
}

func (a *api) now() uint64 { return a.log.Now() }

// AcceptJob implements rpc.Control.
func (a *api) AcceptJob(ctx context.Context, q *rpc.AcceptJobRequest) (*rpc.AcceptJobResponse, error) {
	a.log.Observe(q.Clock)
	record := codec.RecordFromRPC(q.Record)
	if record == nil {
		return nil, twirp.RequiredArgumentError("record")
	}
	result, err := a.replica.Propose(ctx, state.Command{AcceptJob: &state.AcceptJob{Record: *record}})
	if err != nil {
		redirect, err := a.redirect(err)
		return &rpc.AcceptJobResponse{NotLeader: redirect}, err
	}
	return &rpc.AcceptJobResponse{
		Status: uint32(result.Accept),
		Record: codec.RecordToRPC(result.Record),
		Clock:  a.now(),
	}, nil
}

// FinishJob implements rpc.Control.
func (a *api) FinishJob(ctx context.Context, q *rpc.FinishJobRequest) (*rpc.FinishJobResponse, error) {
	a.log.Observe(q.Clock)
	outcome := codec.OutcomeFromRPC(q.Outcome)
	if outcome == nil || !outcome.State.Final() {
		return nil, twirp.InvalidArgumentError("outcome", "must be final")
	}
	result, err := a.replica.Propose(ctx, state.Command{FinishJob: &state.FinishJob{
		Key:     codec.KeyFromRPC(q.Key),
		Epoch:   q.Epoch,
		Outcome: *outcome,
	}})
	if err != nil {
		redirect, err := a.redirect(err)
		return &rpc.FinishJobResponse{NotLeader: redirect}, err
	}
	return &rpc.FinishJobResponse{
		Finished: result.Finished,
		Record:   codec.RecordToRPC(result.Record),
		Clock:    a.now(),
	}, nil
}

// GetJob implements rpc.Control.
func (a *api) GetJob(_ context.Context, q *rpc.GetJobRequest) (*rpc.GetJobResponse, error) {
	var record job.Record
	var found bool
	err := a.replica.Read(func(m *state.Machine) { record, found = m.Job(codec.KeyFromRPC(q.Key)) })
	if err != nil {
		redirect, err := a.redirect(err)
		return &rpc.GetJobResponse{NotLeader: redirect}, err
	}
	if !found {
		return &rpc.GetJobResponse{}, nil
	}
	return &rpc.GetJobResponse{Found: true, Record: codec.RecordToRPC(&record)}, nil
}

// Register implements rpc.Control.
func (a *api) Register(ctx context.Context, q *rpc.RegisterRequest) (*rpc.RegisterResponse, error) {
	a.log.Observe(q.Clock)
	member := codec.MemberFromRPC(q.Member)
	result, err := a.replica.Propose(ctx, state.Command{Register: &state.RegisterMember{Member: member}})
	if err != nil {
		redirect, err := a.redirect(err)
		return &rpc.RegisterResponse{NotLeader: redirect}, err
	}
	if result.Registered {
		a.leases.renew(member.ID, member.Incarnation, 0)
	}
	return &rpc.RegisterResponse{
		Registered: result.Registered,
		TtlMs:      a.leases.ttl.Milliseconds(),
		Clock:      a.now(),
	}, nil
}

// Renew implements rpc.Control.
func (a *api) Renew(_ context.Context, q *rpc.RenewRequest) (*rpc.RenewResponse, error) {
	a.log.Observe(q.Clock)
	active := false
	err := a.replica.Read(func(m *state.Machine) {
		member, ok := m.Member(q.Id)
		active = ok && member.Active() && member.Incarnation == q.Incarnation
		if active {
			a.leases.renew(q.Id, q.Incarnation, q.Revision)
		}
	})
	if err != nil {
		redirect, err := a.redirect(err)
		return &rpc.RenewResponse{NotLeader: redirect}, err
	}
	return &rpc.RenewResponse{Known: active, TtlMs: a.leases.ttl.Milliseconds(), Clock: a.now()}, nil
}

// Drain implements rpc.Control.
func (a *api) Drain(ctx context.Context, q *rpc.MemberRequest) (*rpc.MemberResponse, error) {
	a.log.Observe(q.Clock)
	command := state.Command{DrainMember: &state.DrainMember{ID: q.Id, Incarnation: q.Incarnation}}
	return a.endMember(ctx, q, command, events.MemberDraining)
}

// Leave implements rpc.Control.
func (a *api) Leave(ctx context.Context, q *rpc.MemberRequest) (*rpc.MemberResponse, error) {
	a.log.Observe(q.Clock)
	command := state.Command{EndMember: &state.EndMember{ID: q.Id, Incarnation: q.Incarnation, State: state.MemberLeft}}
	return a.endMember(ctx, q, command, events.MemberLeft)
}

func (a *api) endMember(ctx context.Context, q *rpc.MemberRequest, c state.Command, id events.ID) (*rpc.MemberResponse, error) {
	result, err := a.replica.Propose(ctx, c)
	if err != nil {
		redirect, err := a.redirect(err)
		return &rpc.MemberResponse{NotLeader: redirect}, err
	}
	if result.Ended {
		a.log.Emit(events.Event{ID: id, Peer: q.Id})
	}
	return &rpc.MemberResponse{Done: result.Ended, Clock: a.now()}, nil
}

// Watch implements rpc.Control. The request's After is the revision that the member
// has in force.
func (a *api) Watch(ctx context.Context, q *rpc.WatchRequest) (*rpc.WatchResponse, error) {
	a.log.Observe(q.Clock)
	a.recordRevision(q)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.MaxWaitMs)*time.Millisecond)
	defer cancel()
	for {
		changed := a.replica.Changed()
		view, hasChanges, err := a.view(q)
		if err != nil {
			redirect, err := a.redirect(err)
			return &rpc.WatchResponse{NotLeader: redirect}, err
		}
		if hasChanges || ctx.Err() != nil || a.stopping.Err() != nil {
			if view.Revision <= q.After {
				a.log.Emit(events.Event{ID: events.WatchUnchanged, Peer: q.Id})
			}
			resp := codec.ViewToRPC(view)
			resp.Clock = a.now()
			return resp, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
		case <-a.stopping.Done():
		}
	}
}

// view returns the changes that the watcher has not received, and whether the answer
// has to be sent now.
func (a *api) view(q *rpc.WatchRequest) (view state.View, hasChanges bool, err error) {
	err = a.replica.Read(func(m *state.Machine) {
		if m.ConfigRevision() <= q.After {
			// There is no change; a full view would only add bytes.
			view = state.View{Revision: m.ConfigRevision()}
			return
		}
		view, hasChanges = m.View(q.After, q.Id), true
		if member, ok := m.Member(q.Id); ok && member.Role == state.RoleAgent {
			view, hasChanges = view.ForAgent(q.After)
		}
	})
	return view, hasChanges, err
}

// recordRevision records the revision that a member has in force.
func (a *api) recordRevision(q *rpc.WatchRequest) {
	_ = a.replica.Read(func(m *state.Machine) {
		member, ok := m.Member(q.Id)
		if ok && member.Active() && member.Incarnation == q.Incarnation {
			a.leases.renew(q.Id, q.Incarnation, q.After)
		}
	})
}
