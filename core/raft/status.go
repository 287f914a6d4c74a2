package raft

import "time"

// Status is the state of a server as shown to operators.
type Status struct {
	ID        ServerID
	Term      uint64
	Role      Role
	Leader    ServerID
	Commit    uint64
	Applied   uint64
	LastIndex uint64
	// Group is the group in force; it is final once GroupIndex is committed.
	Group      Group
	GroupIndex uint64
	// Servers is set only on the leader, in the order of Group.
	Servers []ServerStatus
}

// ServerStatus is the state of a server as seen by the leader.
type ServerStatus struct {
	Server Server
	// Match is the last index known to be synced on the server.
	Match uint64
	// LastContact is the time of the server's last reply; for the leader itself
	// it is the current time.
	LastContact time.Time `json:"LastHeard"`
}

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// IsLeader reports whether this server is the leader of its term. Reads also
// require LeaseValid.
func (n *Node) IsLeader() bool { return n.role == Leader }

// Leader returns the ID of the current leader, empty if unknown.
func (n *Node) Leader() ServerID { return n.leader }

// FirstIndex returns the index of the first entry that has not been compacted.
func (n *Node) FirstIndex() uint64 { return n.log.offset + 1 }

// Status returns the current state.
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
