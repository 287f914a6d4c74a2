package raft

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/invariant"
)

// Step handles a received message.
func (n *Node) Step(now time.Time, m Message) {
	n.advanceClock(now)
	if !n.accepts(m) {
		return
	}
	switch {
	case m.Term < n.term:
		n.rejectStale(m)
		return
	case m.Term > n.term:
		if !n.adoptTerm(m) {
			return
		}
	}
	n.handle(m)
}

// accepts reports whether a message is handled. One from a sender outside the
// local group is accepted only if it shows that the local group may be out of
// date: it comes from a leader of this or a later term, or from a candidate
// whose log is ahead. Without this exception a server that missed a group change
// would be shut out, and the group could lose its majority with the next loss.
func (n *Node) accepts(m Message) bool {
	if m.To != n.id || m.From == n.id || m.From == "" {
		return false
	}
	if _, known := n.group().Find(m.From); known {
		return true
	}
	if m.Type.fromLeader() {
		return m.Term >= n.term
	}
	joined := len(n.group().Servers) > 0
	return joined && m.Type.isVoteRequest() && n.log.compareLastEntry(m.Index, m.LogTerm) > 0
}

// rejectStale answers a message of an older term with the current term. Without
// the answer, a leader or candidate that missed a term would never learn of it.
func (n *Node) rejectStale(m Message) {
	switch m.Type {
	case MsgPreVote:
		n.send(Message{Type: MsgPreVoteReply, To: m.From, Reject: true})
	case MsgVote, MsgTransferVote:
		n.send(Message{Type: MsgVoteReply, To: m.From, Reject: true})
	case MsgAppend, MsgSnapshot:
		n.send(Message{Type: MsgAppendReply, To: m.From, Reject: true})
	case MsgHeartbeat:
		n.send(Message{Type: MsgHeartbeatReply, To: m.From, Reject: true})
	}
}

// adoptTerm enters the higher term of a message where its type calls for that.
// It returns false if the message is to be ignored.
func (n *Node) adoptTerm(m Message) bool {
	switch m.Type {
	case MsgPreVote:
		return true
	case MsgPreVoteReply:
		if !m.Reject {
			return true
		}
	case MsgVote:
		// The term stays unchanged too: a higher one would depose the active leader.
		if n.hasActiveLeader() {
			return false
		}
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		invariant.Check(!n.holdsLease(), invariant.MonotonicRead,
			"%q is leader of term %d while the lease of term %d is valid", m.From, m.Term, n.term)
	}
	n.becomeFollower(m.Term, "")
	return true
}

// handle dispatches a message of the current term, or a pre-vote or its reply
// of a later term.
func (n *Node) handle(m Message) {
	switch m.Type {
	case MsgPreVote:
		n.handlePreVote(m)
	case MsgPreVoteReply:
		n.handlePreVoteReply(m)
	case MsgVote, MsgTransferVote:
		n.handleVote(m)
	case MsgVoteReply:
		n.handleVoteReply(m)
	case MsgAppend:
		n.handleAppend(m)
	case MsgHeartbeat:
		n.handleHeartbeat(m)
	case MsgSnapshot:
		n.handleSnapshot(m)
	case MsgTimeoutNow:
		n.handleTimeoutNow(m)
	default:
		n.handleReply(m)
	}
}
