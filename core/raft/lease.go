package raft

import (
	"slices"
	"time"
)

// leaseTenths is the duration of a lease in tenths of the minimum election
// timeout. It covers clocks whose rates are off by up to 5% in opposite
// directions: 0.9/0.95 < 1/1.05.
const leaseTenths = 9

func leaseDuration(electionTimeout time.Duration) time.Duration {
	return electionTimeout / 10 * leaseTenths
}

// heartbeatRound is a round of heartbeats and its send time.
type heartbeatRound struct {
	round  uint64
	sentAt time.Time
}

// broadcastHeartbeat sends a new round of heartbeats. It drops the rounds that
// are too old for a lease.
func (n *Node) broadcastHeartbeat() {
	l := n.leaderState
	expired := func(r heartbeatRound) bool { return n.now.Sub(r.sentAt) > n.settings.electionTimeout }
	l.rounds = slices.DeleteFunc(l.rounds, expired)
	l.round++
	l.rounds = append(l.rounds, heartbeatRound{round: l.round, sentAt: n.now})
	l.nextHeartbeat = n.now.Add(n.settings.heartbeatInterval)
	for _, s := range n.group().Servers {
		if s.ID != n.id {
			commit := min(n.log.commit, l.peers[s.ID].match)
			n.send(Message{Type: MsgHeartbeat, To: s.ID, Round: l.round, Commit: commit})
		}
	}
}

func (n *Node) recordRoundReply(p *peer, round uint64) {
	for _, r := range n.leaderState.rounds {
		if r.round == round && r.sentAt.After(p.leaseStart) {
			p.leaseStart = r.sentAt
		}
	}
}

// majorityTime returns the latest time that timeOf reaches for a majority of the
// voters. The leader itself counts with the current time.
func (n *Node) majorityTime(timeOf func(*peer) time.Time) time.Time {
	group := n.group()
	times := make([]time.Time, 0, MaxServers)
	for _, s := range group.Servers {
		switch {
		case !s.Voter:
		case s.ID == n.id:
			times = append(times, n.now)
		default:
			times = append(times, timeOf(n.leaderState.peers[s.ID]))
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[len(times)-group.Majority()]
}

// quorumDeadline returns when the leader steps down unless more voters contact it.
func (n *Node) quorumDeadline() time.Time {
	lastContact := n.majorityTime(func(p *peer) time.Time { return p.lastContact })
	return lastContact.Add(n.settings.electionTimeout)
}

// holdsLease reports whether this server is the leader and no other server can
// have been elected by now.
func (n *Node) holdsLease() bool {
	if n.role != Leader || n.leaderState.transfer.timeoutNowSent {
		return false
	}
	from := n.majorityTime(func(p *peer) time.Time { return p.leaseStart })
	return n.now.Before(from.Add(n.settings.leaseDuration))
}

// LeaseValid reports whether this server may serve a read locally at now, once
// ReadIndex is applied. The leader must have applied the first entry of its term,
// since until then its commit index may not cover everything that its
// predecessors acknowledged.
func (n *Node) LeaseValid(now time.Time) bool {
	n.advanceClock(now)
	return n.holdsLease() && n.log.applied >= n.leaderState.firstIndex
}

// ReadIndex returns the index that must be applied before a read under the lease.
func (n *Node) ReadIndex() uint64 { return n.log.commit }
