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

// accepts refuses messages of strangers. A sender outside the known group is
// heard only if the message shows that the known group may be old: it comes
// from a leader of this or a later term, or from a candidate whose log is
// ahead. Refusing those too would shut out a server that missed a group change,
// and with it the majority after the next loss.
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

// answerStale tells a sender of an older term about the own one. Without the
// answer, a leader or candidate that missed a term would never learn of it.
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

// adoptTerm enters the message's higher term; false if the message is ignored.
func (n *Node) adoptTerm(m Message) bool {
	switch m.Type {
	case MsgPreVote:
		return true
	case MsgPreVoteReply:
		if !m.Reject {
			return true
		}
	case MsgVote:
		// The term stays too: a higher one would depose the leader just heard.
		if n.hasActiveLeader() {
			return false
		}
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		invariant.Check(!n.holdsLease(), invariant.MonotonicRead,
			"%q leads term %d while the lease of term %d holds", m.From, m.Term, n.term)
	}
	n.becomeFollower(m.Term, "")
	return true
}

// handle dispatches a message of the own term, or a pre-vote of a later one.
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
