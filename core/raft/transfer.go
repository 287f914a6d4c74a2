package raft

import (
	"fmt"
	"time"
)

// transfer is the state of a leadership transfer; the zero value means none.
type transfer struct {
	to       ServerID
	deadline time.Time
	// timeoutNowSent is set once MsgTimeoutNow was sent. The message may arrive
	// at any later time, so the leader has no lease for the rest of its term.
	timeoutNowSent bool
}

// TransferLeadership transfers the leadership to another voter. Proposals are
// refused until the transfer ends. If it takes longer than an election timeout,
// the leader continues, or steps down if MsgTimeoutNow was already sent. It fails
// with a *NotLeaderError, ErrInvalidChange or ErrNotCaughtUp.
func (n *Node) TransferLeadership(now time.Time, to ServerID) error {
	n.advanceClock(now)
	if err := n.checkProposeAllowed(); err != nil {
		return err
	}
	if to == n.id || !n.group().IsVoter(to) {
		return fmt.Errorf("%w: %q is not another voter of the group", ErrInvalidChange, to)
	}
	if !n.caughtUp(to) {
		return fmt.Errorf("%w: %q", ErrNotCaughtUp, to)
	}
	n.leaderState.transfer = transfer{to: to, deadline: n.now.Add(n.settings.electionTimeout)}
	n.continueTransfer()
	return nil
}

// yieldIfSyncStalls transfers the leadership when the other voters have been ahead of this server's
// own sync for an election timeout. The leader applies only what it has synced itself, so it
// serves nobody until its disk answers, while its heartbeats prevent an election. If all
// disks are slow, no majority is ahead.
func (n *Node) yieldIfSyncStalls() {
	l := n.leaderState
	switch {
	case !n.syncing || n.log.commit <= n.log.stable:
		l.syncBehindSince = time.Time{}
		return
	case l.syncBehindSince.IsZero():
		l.syncBehindSince = n.now
		return
	case n.now.Sub(l.syncBehindSince) < n.settings.electionTimeout || l.transfer.to != "":
		return
	}
	if to := n.mostAdvancedVoter(); n.caughtUp(to) {
		l.transfer = transfer{to: to, deadline: n.now.Add(n.settings.electionTimeout)}
		n.continueTransfer()
	}
}

// mostAdvancedVoter returns the other voter with the longest matching log, empty if there is none.
func (n *Node) mostAdvancedVoter() (id ServerID) {
	var match uint64
	for _, s := range n.group().Servers {
		if p := n.leaderState.peers[s.ID]; s.Voter && p != nil && p.match > match {
			id, match = s.ID, p.match
		}
	}
	return id
}

// continueTransfer sends MsgTimeoutNow once the target has the whole log.
func (n *Node) continueTransfer() {
	t := &n.leaderState.transfer
	if t.to == "" || t.timeoutNowSent || n.leaderState.peers[t.to].match < n.log.last() {
		return
	}
	t.timeoutNowSent = true
	n.send(Message{Type: MsgTimeoutNow, To: t.to})
}

// expireTransfer ends a transfer that took too long. It reports whether the leader
// stepped down.
func (n *Node) expireTransfer() bool {
	t := n.leaderState.transfer
	if t.to == "" || n.now.Before(t.deadline) {
		return false
	}
	if !t.timeoutNowSent {
		n.leaderState.transfer = transfer{}
		return false
	}
	n.becomeFollower(n.term, "")
	return true
}
