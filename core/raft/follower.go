package raft

import "github.com/cicadapulley/cicadapulley/core/invariant"

func (n *Node) handleAppend(m Message) {
	n.followLeader(m)
	if m.Index < n.log.commit {
		n.send(Message{Type: MsgAppendReply, To: m.From, Index: n.log.commit})
		return
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		n.rejectAppend(m)
		return
	}
	if at := n.log.findConflict(m.Entries); at < len(m.Entries) {
		n.replaceSuffix(m.Entries[at:])
	}
	last := m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, last))
	n.send(Message{Type: MsgAppendReply, To: m.From, Index: last})
}

// replaceSuffix removes the log from the first given entry on and appends the
// entries. Group changes in the removed part are rolled back.
func (n *Node) replaceSuffix(entries []Entry) {
	if first := entries[0].Index; first <= n.log.last() {
		n.log.truncate(first)
		n.groups.truncate(first)
	}
	n.appendEntries(entries...)
}

// rejectAppend replies with the last entry that may match the leader's log, so
// that the leader skips a whole term at a time.
func (n *Node) rejectAppend(m Message) {
	hint := n.log.lastIndexUpToTerm(m.Index, m.LogTerm)
	term, _ := n.log.term(hint)
	n.send(Message{Type: MsgAppendReply, To: m.From, Index: m.Index, Reject: true, Hint: hint, LogTerm: term})
}

func (n *Node) handleHeartbeat(m Message) {
	n.followLeader(m)
	n.commitTo(m.Commit)
	n.send(Message{Type: MsgHeartbeatReply, To: m.From, Round: m.Round})
}

func (n *Node) handleSnapshot(m Message) {
	n.followLeader(m)
	if m.Snapshot == nil {
		return
	}
	if s := m.Snapshot; s.Index > n.log.commit {
		n.installSnapshot(s)
	}
	n.send(Message{Type: MsgSnapshotReply, To: m.From, Index: n.log.commit})
}

// installSnapshot replaces the log by the snapshot, unless the log already
// contains all that the snapshot covers.
func (n *Node) installSnapshot(s *Snapshot) {
	if n.log.matches(s.Index, s.Term) {
		n.commitTo(s.Index)
		return
	}
	n.log.reset(s)
	n.groups = newGroupHistory(s.Index, s.Group)
	n.snapshot = *s
	n.pendingSnapshot = s
}

func (n *Node) commitTo(index uint64) {
	before := n.log.commit
	n.log.commitTo(max(index, before))
	invariant.Check(n.log.commit >= before, invariant.DurableAck, "commit index decreased from %d to %d", before, n.log.commit)
}

// handleTimeoutNow starts an election on request of the current leader, which
// is transferring its leadership to this server.
func (n *Node) handleTimeoutNow(m Message) {
	if n.role == Follower && n.leader == m.From && n.group().IsVoter(n.id) {
		n.startElection(MsgTransferVote)
	}
}
