package raft

import (
	"fmt"
	"time"
)

// ChangeType is the type of a group change.
type ChangeType uint8

// Types of group changes.
const (
	// AddLearner adds a server that catches up without being a voter.
	AddLearner ChangeType = iota + 1
	// Promote makes a caught-up learner a voter.
	Promote
	// Remove removes a learner or voter. The leader can't be removed; it must
	// transfer its leadership first.
	Remove
)

// GroupChange adds, promotes or removes one server. Server.Voter is ignored.
type GroupChange struct {
	Type   ChangeType
	Server Server
}

// Limits of group membership.
const (
	// MaxVoters is one more than the largest target, so that a voter is promoted before
	// the one that it replaces is removed.
	MaxVoters  = 6
	MaxServers = 7
	// maxPromotionLag is how many entries a learner may be behind when it
	// becomes a voter. A majority that needs the new voter then waits for about
	// one message.
	maxPromotionLag = 64
)

// ProposeGroup appends a group change and returns its index. The change is in
// force at once, and final once the index is committed. It fails with a
// *NotLeaderError, ErrNotReady, ErrChangePending, ErrInvalidChange,
// ErrNotCaughtUp or ErrQuorumAtRisk.
func (n *Node) ProposeGroup(now time.Time, change GroupChange) (uint64, error) {
	n.advanceClock(now)
	if err := n.checkChangeAllowed(); err != nil {
		return 0, err
	}
	group, err := n.groupAfter(change)
	if err != nil {
		return 0, err
	}
	index := n.log.last() + 1
	n.appendEntries(Entry{Term: n.term, Index: index, Type: EntryGroup, Group: &group})
	n.updatePeers()
	n.replicateAll()
	return index, nil
}

// checkChangeAllowed allows one group change at a time, and none before the first
// entry of the term is committed: otherwise two leaders could change the same
// group in different ways and get majorities that don't overlap.
func (n *Node) checkChangeAllowed() error {
	if err := n.checkProposeAllowed(); err != nil {
		return err
	}
	if n.log.commit < n.leaderState.firstIndex {
		return ErrNotReady
	}
	if pending := n.groups.latest().index; pending > n.log.commit {
		return fmt.Errorf("%w at index %d", ErrChangePending, pending)
	}
	return nil
}

// groupAfter returns the group that results from a change.
func (n *Node) groupAfter(change GroupChange) (Group, error) {
	group := n.group().Clone()
	current, found := group.Find(change.Server.ID)
	switch {
	case change.Type == AddLearner && !found:
		return n.withLearner(group, change.Server)
	case change.Type == Promote && found && !current.Voter:
		return n.withVoter(group, current.ID)
	case change.Type == Remove && found && current.ID != n.id:
		return n.withoutServer(group, current.ID)
	}
	return Group{}, fmt.Errorf("%w: type %d of server %q", ErrInvalidChange, change.Type, change.Server.ID)
}

func (n *Node) withLearner(group Group, s Server) (Group, error) {
	if s.ID == "" || len(group.Servers) >= MaxServers {
		return Group{}, fmt.Errorf("%w: server %q has no ID or the group is full", ErrInvalidChange, s.ID)
	}
	s.Voter = false
	group.Servers = append(group.Servers, s)
	return group, nil
}

func (n *Node) withVoter(group Group, id ServerID) (Group, error) {
	if group.Voters() >= MaxVoters {
		return Group{}, fmt.Errorf("%w: %d voters", ErrInvalidChange, group.Voters())
	}
	// A server that has not received the group that it belongs to grants no vote.
	hasGroup := n.leaderState.peers[id].match >= n.groups.latest().index
	if !hasGroup || !n.caughtUp(id) {
		return Group{}, fmt.Errorf("%w: %q", ErrNotCaughtUp, id)
	}
	for i := range group.Servers {
		if group.Servers[i].ID == id {
			group.Servers[i].Voter = true
		}
	}
	return group, n.checkReachable(group)
}

func (n *Node) withoutServer(group Group, id ServerID) (Group, error) {
	var rest []Server
	for _, s := range group.Servers {
		if s.ID != id {
			rest = append(rest, s)
		}
	}
	group = Group{Servers: rest}
	return group, n.checkReachable(group)
}

// checkReachable returns ErrQuorumAtRisk unless the leader has recent contact
// with a majority of the group's voters: without it, the change could neither be
// committed nor undone.
func (n *Node) checkReachable(group Group) error {
	reachable := 0
	for _, s := range group.Servers {
		if s.Voter && (s.ID == n.id || n.isReachable(s.ID)) {
			reachable++
		}
	}
	if reachable < group.Majority() {
		return fmt.Errorf("%w: %d of %d", ErrQuorumAtRisk, reachable, group.Voters())
	}
	return nil
}

func (n *Node) isReachable(id ServerID) bool {
	p := n.leaderState.peers[id]
	return p != nil && n.now.Sub(p.lastContact) < n.settings.electionTimeout
}

func (n *Node) caughtUp(id ServerID) bool {
	p := n.leaderState.peers[id]
	return p != nil && p.match > 0 && n.isReachable(id) && p.match+maxPromotionLag >= n.log.last()
}

// updatePeers adds and removes peers after a group change. Replication to a new
// server starts with the change itself, so that its rejection shows at once which
// entries it lacks.
func (n *Node) updatePeers() {
	group := n.group()
	for _, s := range group.Servers {
		if s.ID != n.id && n.leaderState.peers[s.ID] == nil {
			n.leaderState.peers[s.ID] = newPeer(n.log.last(), n.now)
		}
	}
	for id := range n.leaderState.peers {
		if _, ok := group.Find(id); !ok {
			delete(n.leaderState.peers, id)
		}
	}
}
