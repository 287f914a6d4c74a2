package raft

import "time"

// Status is a server's view for operators.
type Status struct {
	ID        ServerID
	Term      uint64
	Role      Role
	Leader    ServerID
	Commit    uint64
	Applied   uint64
	LastIndex uint64
	// Group is in force; it is final once GroupIndex is committed.
	Group      Group
	GroupIndex uint64
	// Servers is filled on the leader, in the group's order.
	Servers []ServerStatus
}

// ServerStatus is the leader's view of a server.
type ServerStatus struct {
	Server Server
	// Match is the last entry known to be synced there.
	Match uint64
	// LastHeard is the time of its last message; the leader's is now.
	LastContact time.Time `json:"LastHeard"`
}

// Term returns the present term.
func (n *Node) Term() uint64 { return n.term }

// IsLeader tells whether this server leads its term. Reads also need LeaseValid.
func (n *Node) IsLeader() bool { return n.role == Leader }

// Leader returns the known leader's id, empty if unknown.
func (n *Node) Leader() ServerID { return n.leader }

// Status returns the present state.
func (n *Node) Status() Status {
	latest := n.groups.latest()
	return Status{
		ID:         n.id,
		Term:       n.term,
		Role:       n.role,
		Leader:     n.leader,
		Commit:     n.log.commit,
		Applied:    n.log.applied,
		LastIndex:  n.log.last(),
		Group:      latest.group.Clone(),
		GroupIndex: latest.index,
		Servers:    n.serverStatus(latest.group),
	}
}

func (n *Node) serverStatus(group Group) []ServerStatus {
	if n.role != Leader {
		return nil
	}
	list := make([]ServerStatus, 0, len(group.Servers))
	for _, s := range group.Servers {
		status := ServerStatus{Server: s, Match: n.log.stable, LastContact: n.now}
		if p := n.leaderState.peers[s.ID]; p != nil {
			status.Match, status.LastContact = p.match, p.lastContact
		}
		list = append(list, status)
	}
	return list
}
