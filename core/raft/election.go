package raft

import (
	"github.com/cicadapulley/cicadapulley/core/invariant"
)

// campaign starts an election. It requests pre-votes first, so that a server
// that can't win doesn't raise the term and depose a healthy leader.
func (n *Node) campaign() {
	if n.isOnlyVoter() {
		n.startElection(MsgVote)
		return
	}
	n.role = PreCandidate
	n.leader = ""
	n.votes = map[ServerID]bool{n.id: true}
	n.preVoteRound++
	n.scheduleElection()
	n.requestVotes(MsgPreVote, n.term+1)
}

// startElection enters the next term as a candidate that votes for itself. Its
// own vote is counted once it is synced, see Advance.
func (n *Node) startElection(request MessageType) {
	n.term++
	n.vote = n.id
	n.termLeader = ""
	n.role = Candidate
	n.leader = ""
	n.votes = map[ServerID]bool{}
	n.scheduleElection()
	n.requestVotes(request, n.term)
}

func (n *Node) requestVotes(request MessageType, term uint64) {
	m := Message{Type: request, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm(), Round: n.preVoteRound}
	for _, s := range n.group().Servers {
		if s.Voter && s.ID != n.id {
			m.To = s.ID
			n.send(m)
		}
	}
}

// mayVoteFor reports whether the sender's log allows this server to vote for it.
// A voter requires that the sender's log is at least as up to date as its own. A
// server that isn't a voter in its own log requires a log that is ahead, which
// may contain its promotion. This is safe since a candidate counts only the
// votes of voters of its own group.
func (n *Node) mayVoteFor(m Message) bool {
	order := n.log.compareLastEntry(m.Index, m.LogTerm)
	if order == 0 {
		return n.group().IsVoter(n.id)
	}
	return order > 0
}

func (n *Node) handlePreVote(m Message) {
	grant := m.Term > n.term && !n.hasActiveLeader() && n.mayVoteFor(m)
	reply := Message{Type: MsgPreVoteReply, To: m.From, Round: m.Round, Reject: !grant}
	if grant {
		reply.Term = m.Term
	}
	n.send(reply)
}

func (n *Node) handlePreVoteReply(m Message) {
	stale := m.Round != n.preVoteRound || (!m.Reject && m.Term != n.term+1)
	if n.role != PreCandidate || stale {
		return
	}
	n.votes[m.From] = !m.Reject
	switch n.countVotes() {
	case voteWon:
		n.startElection(MsgVote)
	case voteLost:
		n.becomeFollower(n.term, "")
	}
}

// handleVote answers a vote request of the current term. No vote is granted
// while a leader's lease may depend on this server, except after a transfer.
func (n *Node) handleVote(m Message) {
	voteAvailable := n.vote == m.From || (n.vote == "" && n.termLeader == "")
	leaderActive := m.Type == MsgVote && n.hasActiveLeader()
	grant := voteAvailable && !leaderActive && n.mayVoteFor(m)
	if grant {
		n.vote = m.From
		n.scheduleElection()
	}
	n.send(Message{Type: MsgVoteReply, To: m.From, Reject: !grant})
}

func (n *Node) handleVoteReply(m Message) {
	if n.role == Candidate {
		n.recordVote(m.From, !m.Reject)
	}
}

func (n *Node) recordVote(from ServerID, granted bool) {
	n.votes[from] = granted
	switch n.countVotes() {
	case voteWon:
		n.becomeLeader()
	case voteLost:
		n.becomeFollower(n.term, "")
	}
}

type voteResult uint8

const (
	votePending voteResult = iota
	voteWon
	voteLost
)

// countVotes returns the result of the votes received so far; only votes of the
// group's voters count.
func (n *Node) countVotes() voteResult {
	group := n.group()
	granted, refused := 0, 0
	for id, voteGranted := range n.votes {
		switch {
		case !group.IsVoter(id):
		case voteGranted:
			granted++
		default:
			refused++
		}
	}
	switch {
	case granted >= group.Majority():
		return voteWon
	case refused > group.Voters()-group.Majority():
		return voteLost
	}
	return votePending
}

// becomeLeader starts the leader's term with an empty entry, since entries of
// earlier terms are committed only together with one of the current term.
func (n *Node) becomeLeader() {
	invariant.Check(n.vote == n.id, invariant.ElectionSafety, "elected leader of term %d, but voted for %q", n.term, n.vote)
	n.role = Leader
	n.leader = n.id
	n.termLeader = n.id
	n.votes = nil
	n.leaderState = newLeaderState(n)
	n.appendEntries(Entry{Term: n.term, Index: n.log.last() + 1})
	n.leaderState.firstIndex = n.log.last()
	n.broadcastHeartbeat()
	n.replicateAll()
}
