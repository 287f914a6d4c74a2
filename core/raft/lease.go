package raft

import (
	"slices"
	"time"
)

// A lease lasts leaseTenths tenths of the minimum election timeout. That
// covers clocks whose rates are off by up to 5% in opposite directions:
// 0.9/0.95 < 1/1.05.
const leaseTenths = 9

func leaseDuration(electionTimeout time.Duration) time.Duration {
	return electionTimeout / 10 * leaseTenths
}

// sentRound is a round of heartbeats and its send time.
type sentRound struct {
	round uint64
	at    time.Time
}

// broadcastHeartbeat sends a new round. Rounds that are too old for a lease
// are forgotten.
func (n *Node) broadcastHeartbeat() {
	l := n.lead
	expired := func(r sentRound) bool { return n.now.Sub(r.at) > n.limits.electionTimeout }
	l.rounds = slices.DeleteFunc(l.rounds, expired)
	l.round++
	l.rounds = append(l.rounds, sentRound{round: l.round, at: n.now})
	l.heartbeatAt = n.now.Add(n.limits.heartbeatInterval)
	for _, s := range n.group().Servers {
		if s.ID != n.id {
			commit := min(n.log.commit, l.peers[s.ID].match)
			n.send(Message{Type: MsgHeartbeat, To: s.ID, Round: l.round, Commit: commit})
		}
	}
}

func (n *Node) roundAnswered(p *peer, round uint64) {
	for _, r := range n.lead.rounds {
		if r.round == round && r.at.After(p.promisedFrom) {
			p.promisedFrom = r.at
		}
	}
}

// majorityTime returns the latest time that a majority of voters reaches; the
// leader itself counts with now.
func (n *Node) majorityTime(of func(*peer) time.Time) time.Time {
	group := n.group()
	times := make([]time.Time, 0, MaxServers)
	for _, s := range group.Servers {
		switch {
		case !s.Voter:
		case s.ID == n.id:
			times = append(times, n.now)
		default:
			times = append(times, of(n.lead.peers[s.ID]))
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[len(times)-group.Majority()]
}

// quorumDeadline is when the leader steps down unless it hears more voters.
func (n *Node) quorumDeadline() time.Time {
	heard := n.majorityTime(func(p *peer) time.Time { return p.heard })
	return heard.Add(n.limits.electionTimeout)
}

// leaseHolds tells whether no other server can have been elected by now.
func (n *Node) leaseHolds() bool {
	if n.role != Leader || n.lead.transfer.handedOver {
		return false
	}
	from := n.majorityTime(func(p *peer) time.Time { return p.promisedFrom })
	return n.now.Before(from.Add(n.limits.leaseDuration))
}

// LeaseValid tells whether the leader may serve a read locally at now, once
// ReadIndex is applied. The first entry of its term must be applied, since
// until then it may not know of all that its predecessors acknowledged.
func (n *Node) LeaseValid(now time.Time) bool {
	n.observe(now)
	return n.leaseHolds() && n.log.applied >= n.lead.firstIndex
}

// ReadIndex returns the index to wait for before a read under the lease.
func (n *Node) ReadIndex() uint64 { return n.log.commit }
