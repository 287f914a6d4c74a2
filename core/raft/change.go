package raft

import (
	"fmt"
	"time"
)

// ChangeType is a kind of group change.
type ChangeType uint8

// Kinds of group changes.
const (
	// AddLearner adds a server that catches up and has no vote.
	AddLearner ChangeType = iota + 1
	// Promote makes a caught-up learner a voter.
	Promote
	// Remove removes a learner or voter; the leader transfers its role first.
	Remove
)

// GroupChange adds, promotes or removes one server. Server.Voter is ignored.
type GroupChange struct {
	Type   ChangeType
	Server Server
}

// Limits of a group.
const (
	MaxVoters  = 5
	MaxServers = 7
	// promotionDistance is how many entries a learner may lack when it becomes
	// a voter; a majority that needs it then waits for about one message.
	maxPromotionLag = 64
)

// ProposeGroup appends a group change and returns its index. The change is in
// force at once and final when the index is committed. It fails with a
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

// mayChange allows one change at a time. The first entry of the term comes
// first, as otherwise two leaders could change the same group in two ways and
// get majorities that don't overlap.
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

// changed returns the group after a change.
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
		return Group{}, fmt.Errorf("%w: no room for server %q", ErrInvalidChange, s.ID)
	}
	s.Voter = false
	group.Servers = append(group.Servers, s)
	return group, nil
}

func (n *Node) withVoter(group Group, id ServerID) (Group, error) {
	if group.Voters() >= MaxVoters {
		return Group{}, fmt.Errorf("%w: %d voters", ErrInvalidChange, group.Voters())
	}
	// A voter that doesn't know that it belongs to the group gives no vote.
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

// checkReachable refuses a group whose majority the leader doesn't hear: the
// change could neither be committed nor undone.
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

// updatePeers follows a change of the leader's group. A new server is sent the
// change itself, so that its rejection shows at once what it lacks.
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
