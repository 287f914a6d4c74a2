package dev

import (
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/daemon/control"
)

// leaderView is the leading control VM with its view of the group.
type leaderView struct {
	service *control.Replica
	status  raft.Status
}

// membership reports whether a control VM is a member of the group, and whether it
// is a voter.
func (l *leaderView) membership(id raft.ServerID) (member, voter bool) {
	for _, server := range l.status.Group.Servers {
		if server.ID == id {
			return true, server.Voter
		}
	}
	return false, false
}
