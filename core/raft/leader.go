package raft

import (
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/invariant"
)

// leaderState is the state that a leader keeps for its term.
type leaderState struct {
	peers map[ServerID]*peer
	// firstIndex is the index of the leader's first entry of its term.
	firstIndex    uint64
	nextHeartbeat time.Time
	round         uint64
	rounds        []heartbeatRound
	transfer      transfer
	// syncBehindSince is since when the other voters have committed entries that the
	// outstanding sync of this server, or a later one, has to cover; zero if they haven't.
	syncBehindSince time.Time
}

func newLeaderState(n *Node) *leaderState {
	l := &leaderState{peers: map[ServerID]*peer{}}
	for _, s := range n.group().Servers {
		if s.ID != n.id {
			l.peers[s.ID] = newPeer(n.log.last()+1, n.now)
		}
	}
	return l
}

func (n *Node) tickLeader() {
	if !n.now.Before(n.quorumDeadline()) {
		n.becomeFollower(n.term, "")
		return
	}
	if n.expireTransfer() {
		return
	}
	n.yieldIfSyncStalls()
	if !n.now.Before(n.leaderState.nextHeartbeat) {
		n.broadcastHeartbeat()
	}
}

func (n *Node) leaderDeadline() time.Time {
	deadline := n.leaderState.nextHeartbeat
	for _, t := range []time.Time{n.quorumDeadline(), n.leaderState.transfer.deadline} {
		if !t.IsZero() && t.Before(deadline) {
			deadline = t
		}
	}
	return deadline
}

// Propose appends one entry for each payload and returns the index of the first.
// It fails with a *NotLeaderError or ErrEmptyProposal. A proposal may be lost if
// the leader fails: it is committed once Ready.CommittedEntries contains its
// index with the Term of this call; another term at that index means that the
// entry was replaced.
func (n *Node) Propose(now time.Time, payloads [][]byte) (uint64, error) {
	n.advanceClock(now)
	if err := n.checkProposeAllowed(); err != nil {
		return 0, err
	}
	if len(payloads) == 0 {
		return 0, ErrEmptyProposal
	}
	first := n.log.last() + 1
	entries := make([]Entry, len(payloads))
	for i, data := range payloads {
		entries[i] = Entry{Term: n.term, Index: first + uint64(i), Data: data}
	}
	n.appendEntries(entries...)
	n.replicateAll()
	return first, nil
}

func (n *Node) checkProposeAllowed() error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if to := n.leaderState.transfer.to; to != "" {
		return &NotLeaderError{Leader: to}
	}
	return nil
}

// replicateAll sends each server the entries that it lacks. The order is fixed,
// so that tests with a seed are reproducible.
func (n *Node) replicateAll() {
	for _, s := range n.group().Servers {
		if s.ID != n.id {
			n.replicate(s.ID)
		}
	}
}

func (n *Node) replicate(to ServerID) {
	p := n.leaderState.peers[to]
	for p.canSend(n.settings.maxInflight) {
		if p.next <= n.log.offset {
			n.sendSnapshot(to, p)
			return
		}
		if !n.sendAppend(to, p) {
			return
		}
	}
}

func (n *Node) sendAppend(to ServerID, p *peer) bool {
	entries := n.log.batch(p.next, n.settings.maxEntries, n.settings.maxBytes)
	if len(entries) == 0 {
		return false
	}
	prev := p.next - 1
	term, _ := n.log.term(prev)
	n.send(Message{Type: MsgAppend, To: to, Index: prev, LogTerm: term, Commit: n.log.commit, Entries: entries})
	p.appendSent(entries[len(entries)-1].Index, n.now)
	return true
}

func (n *Node) sendSnapshot(to ServerID, p *peer) {
	s := n.snapshot
	n.send(Message{Type: MsgSnapshot, To: to, Snapshot: &s})
	p.snapshotSent(s.Index, n.now)
}

// handleReply handles the replies that only a leader receives.
func (n *Node) handleReply(m Message) {
	if n.role != Leader {
		return
	}
	p := n.leaderState.peers[m.From]
	if p == nil {
		return
	}
	p.lastContact = n.now
	switch {
	case m.Type == MsgHeartbeatReply:
		n.recordRoundReply(p, m.Round)
		p.retry(n.now, n.settings)
	case m.Reject:
		p.rejected(m, n.log)
	default:
		invariant.Check(m.Index <= n.log.last(), invariant.DurableAck,
			"%q acknowledged index %d, but the leader's last entry is %d", m.From, m.Index, n.log.last())
		p.acknowledged(m.Index, n.now)
		n.advanceCommit()
		n.continueTransfer()
	}
	if n.role == Leader {
		n.replicate(m.From)
	}
}

// advanceCommit commits the entries that a majority of voters has synced. The
// highest of them must be of the current term: an older one could still be
// replaced although a majority has it.
func (n *Node) advanceCommit() {
	index := n.majorityMatch()
	if term, ok := n.log.term(index); ok && term == n.term && index > n.log.commit {
		n.commitTo(index)
	}
}

// majorityMatch returns the highest index that a majority of voters has synced.
func (n *Node) majorityMatch() uint64 {
	group := n.group()
	matches := make([]uint64, 0, MaxServers)
	for _, s := range group.Servers {
		switch {
		case !s.Voter:
		case s.ID == n.id:
			matches = append(matches, n.log.stable)
		default:
			matches = append(matches, n.leaderState.peers[s.ID].match)
		}
	}
	slices.Sort(matches)
	return matches[len(matches)-group.Majority()]
}
