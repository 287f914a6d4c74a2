package codec

import (
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/raft"
)

// MessagesToRPC encodes messages between control VMs.
func MessagesToRPC(list []raft.Message) []*rpc.RaftMessage { return mapSlice(list, messageToRPC) }

// MessagesFromRPC decodes messages between control VMs.
func MessagesFromRPC(list []*rpc.RaftMessage) []raft.Message { return mapSlice(list, messageFromRPC) }

func messageToRPC(m raft.Message) *rpc.RaftMessage {
	return &rpc.RaftMessage{
		Type:     uint32(m.Type),
		From:     string(m.From),
		To:       string(m.To),
		Term:     m.Term,
		Index:    m.Index,
		LogTerm:  m.LogTerm,
		Commit:   m.Commit,
		Hint:     m.Hint,
		Round:    m.Round,
		Reject:   m.Reject,
		Entries:  mapSlice(m.Entries, entryToRPC),
		Snapshot: snapshotToRPC(m.Snapshot),
	}
}

func messageFromRPC(m *rpc.RaftMessage) raft.Message {
	return raft.Message{
		Type:     raft.MessageType(m.Type),
		From:     raft.ServerID(m.From),
		To:       raft.ServerID(m.To),
		Term:     m.Term,
		Index:    m.Index,
		LogTerm:  m.LogTerm,
		Commit:   m.Commit,
		Hint:     m.Hint,
		Round:    m.Round,
		Reject:   m.Reject,
		Entries:  mapSlice(m.Entries, entryFromRPC),
		Snapshot: snapshotFromRPC(m.Snapshot),
	}
}

func entryToRPC(e raft.Entry) *rpc.RaftEntry {
	return &rpc.RaftEntry{Term: e.Term, Index: e.Index, Type: uint32(e.Type), Data: e.Data, Group: groupToRPC(e.Group)}
}

func entryFromRPC(e *rpc.RaftEntry) raft.Entry {
	return raft.Entry{Term: e.Term, Index: e.Index, Type: raft.EntryType(e.Type), Data: e.Data, Group: groupFromRPC(e.Group)}
}

func groupToRPC(g *raft.Group) *rpc.RaftGroup {
	if g == nil {
		return nil
	}
	return &rpc.RaftGroup{Servers: mapSlice(g.Servers, func(s raft.Server) *rpc.RaftServer {
		return &rpc.RaftServer{Id: string(s.ID), Address: s.Address, Voter: s.Voter}
	})}
}

func groupFromRPC(g *rpc.RaftGroup) *raft.Group {
	if g == nil {
		return nil
	}
	return &raft.Group{Servers: mapSlice(g.Servers, func(s *rpc.RaftServer) raft.Server {
		return raft.Server{ID: raft.ServerID(s.Id), Address: s.Address, Voter: s.Voter}
	})}
}

func snapshotToRPC(s *raft.Snapshot) *rpc.RaftSnapshot {
	if s == nil {
		return nil
	}
	return &rpc.RaftSnapshot{Index: s.Index, Term: s.Term, Group: groupToRPC(&s.Group), Data: s.Data}
}

func snapshotFromRPC(s *rpc.RaftSnapshot) *raft.Snapshot {
	if s == nil {
		return nil
	}
	out := &raft.Snapshot{Index: s.Index, Term: s.Term, Data: s.Data}
	if g := groupFromRPC(s.Group); g != nil {
		out.Group = *g
	}
	return out
}
