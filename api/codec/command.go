package codec

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/state"
)

// EncodeCommand encodes a command for the replicated log.
func EncodeCommand(c state.Command) ([]byte, error) {
	m := &rpc.Command{NowUnixMs: unixMS(c.Now)}
	setCommand(m, c)
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return data, nil
}

func setCommand(m *rpc.Command, c state.Command) {
	switch {
	case c.AcceptJob != nil:
		m.Command = &rpc.Command_AcceptJob{AcceptJob: RecordToRPC(&c.AcceptJob.Record)}
	case c.FinishJob != nil:
		m.Command = &rpc.Command_FinishJob{FinishJob: &rpc.FinishJob{
			Key:     KeyToRPC(c.FinishJob.Key),
			Epoch:   c.FinishJob.Epoch,
			Outcome: OutcomeToRPC(&c.FinishJob.Outcome),
		}}
	case c.TakeOverJob != nil:
		m.Command = &rpc.Command_TakeOverJob{TakeOverJob: &rpc.TakeOverJob{
			Key:       KeyToRPC(c.TakeOverJob.Key),
			FromEpoch: c.TakeOverJob.FromEpoch,
			Owner:     c.TakeOverJob.Owner,
		}}
	case c.ApplyTicket != nil:
		m.Command = &rpc.Command_ApplyTicket{ApplyTicket: &rpc.AppliedTicket{
			Ticket: TicketToRPC(c.ApplyTicket.Ticket),
			Digest: c.ApplyTicket.Digest[:],
		}}
	case c.Register != nil:
		m.Command = &rpc.Command_Register{Register: MemberToRPC(c.Register.Member)}
	case c.EndMember != nil:
		m.Command = &rpc.Command_EndMember{EndMember: &rpc.EndMember{
			Id:          c.EndMember.ID,
			Incarnation: c.EndMember.Incarnation,
			State:       uint32(c.EndMember.State),
		}}
	case c.DrainMember != nil:
		m.Command = &rpc.Command_DrainMember{DrainMember: &rpc.EndMember{
			Id:          c.DrainMember.ID,
			Incarnation: c.DrainMember.Incarnation,
		}}
	}
}

// DecodeCommand decodes a command of the replicated log. Empty data is a no-op.
func DecodeCommand(data []byte) (state.Command, error) {
	var m rpc.Command
	if err := proto.Unmarshal(data, &m); err != nil {
		return state.Command{}, fmt.Errorf("decode command: %w", err)
	}
	c := state.Command{Now: fromUnixMS(m.NowUnixMs)}
	switch v := m.Command.(type) {
	case *rpc.Command_AcceptJob:
		c.AcceptJob = &state.AcceptJob{Record: *RecordFromRPC(v.AcceptJob)}
	case *rpc.Command_FinishJob:
		c.FinishJob = decodeFinish(v.FinishJob)
	case *rpc.Command_TakeOverJob:
		c.TakeOverJob = &state.TakeOverJob{
			Key:       KeyFromRPC(v.TakeOverJob.Key),
			FromEpoch: v.TakeOverJob.FromEpoch,
			Owner:     v.TakeOverJob.Owner,
		}
	case *rpc.Command_ApplyTicket:
		t := AppliedTicketFromRPC(v.ApplyTicket)
		c.ApplyTicket = &state.ApplyTicket{Ticket: t.Ticket, Digest: t.Digest}
	case *rpc.Command_Register:
		c.Register = &state.RegisterMember{Member: MemberFromRPC(v.Register)}
	case *rpc.Command_EndMember:
		c.EndMember = &state.EndMember{
			ID:          v.EndMember.Id,
			Incarnation: v.EndMember.Incarnation,
			State:       state.MemberState(v.EndMember.State),
		}
	case *rpc.Command_DrainMember:
		c.DrainMember = &state.DrainMember{ID: v.DrainMember.Id, Incarnation: v.DrainMember.Incarnation}
	}
	return c, nil
}

func decodeFinish(f *rpc.FinishJob) *state.FinishJob {
	c := &state.FinishJob{Key: KeyFromRPC(f.Key), Epoch: f.Epoch}
	if out := OutcomeFromRPC(f.Outcome); out != nil {
		c.Outcome = *out
	}
	return c
}

// EncodeSnapshot encodes the replicated state.
func EncodeSnapshot(s state.Snapshot) ([]byte, error) {
	c := ConfigToRPC(s.Config)
	m := &rpc.StateSnapshot{
		Applied:          s.Applied,
		ConfigRevision:   s.ConfigRevision,
		PrunedRevision:   s.PrunedRevision,
		ForgottenTicket:  s.ForgottenUpTo,
		ForgottenTickets: mapSlice(s.ForgottenTickets, rangeToRPC),
		Services:         c.Services,
		Quotas:           c.Quotas,
		Drains:           c.Drains,
		Limits:           c.Limits,
		Tickets:          mapSlice(s.Tickets, AppliedTicketToRPC),
		Members:          mapSlice(s.Members, MemberToRPC),
		Running:          RecordsToRPC(s.Running),
		Finished:         RecordsToRPC(s.Finished),
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// DecodeSnapshot decodes the replicated state.
func DecodeSnapshot(data []byte) (state.Snapshot, error) {
	var m rpc.StateSnapshot
	if err := proto.Unmarshal(data, &m); err != nil {
		return state.Snapshot{}, fmt.Errorf("decode snapshot: %w", err)
	}
	return state.Snapshot{
		Applied:          m.Applied,
		ConfigRevision:   m.ConfigRevision,
		PrunedRevision:   m.PrunedRevision,
		ForgottenUpTo:    m.ForgottenTicket,
		ForgottenTickets: mapSlice(m.ForgottenTickets, rangeFromRPC),
		Config:           configFromLists(m.Services, m.Quotas, m.Drains, m.Limits),
		Tickets:          mapSlice(m.Tickets, AppliedTicketFromRPC),
		Members:          mapSlice(m.Members, MemberFromRPC),
		Running:          RecordsFromRPC(m.Running),
		Finished:         RecordsFromRPC(m.Finished),
	}, nil
}

func rangeToRPC(r state.TicketRange) *rpc.TicketRange {
	return &rpc.TicketRange{First: r.First, Last: r.Last}
}

func rangeFromRPC(r *rpc.TicketRange) state.TicketRange {
	return state.TicketRange{First: r.GetFirst(), Last: r.GetLast()}
}
