package coordinator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

const (
	// groupInterval is the time between checks of the group.
	groupInterval = 100 * time.Millisecond
	// joinRequestTTL is how long a request to join stays valid. A VM outside the
	// group repeats its request at each check.
	joinRequestTTL = 2 * time.Second
	// voterTimeout is the time without contact after which a caught-up learner
	// replaces a voter.
	voterTimeout = 3 * time.Second
	// rejoinTimeout is the time without a leader after which a member requests to join,
	// since it may have been replaced while it was down, and rejoinInterval the time
	// between its requests.
	rejoinTimeout  = 2 * time.Second
	rejoinInterval = time.Second
	// learnerTimeout is the time without contact after which a learner is removed.
	learnerTimeout = 10 * time.Second
)

// groupManager keeps the group at its target size. On a VM outside the group it
// sends requests to join; on the leader it adds, promotes and removes servers.
type groupManager struct {
	service *Service

	mu           sync.Mutex
	joinRequests map[raft.ServerID]joinRequest
}

type joinRequest struct {
	server     raft.Server
	receivedAt time.Time
}

func newGroupManager(s *Service) *groupManager {
	return &groupManager{service: s, joinRequests: map[raft.ServerID]joinRequest{}}
}

// recordJoinRequest records a VM's request to join.
func (g *groupManager) recordJoinRequest(server raft.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.joinRequests[server.ID] = joinRequest{server: server, receivedAt: boottime.Now()}
}

// forwardJoin passes a VM's request to join on to the leader, if another VM leads. A VM
// with an empty disk knows the VMs in its settings only, and none of them may lead.
func (s *Service) forwardJoin(ctx context.Context, m *mesh.Join) {
	leader := s.leaderAddress()
	if leader == "" || leader == s.opts.Address {
		return
	}
	c, err := s.peers.connect(ctx, leader)
	if err != nil {
		return // the VM repeats its request
	}
	c.Send(m)
}

// Run checks the group periodically until ctx ends.
func (g *groupManager) Run(ctx context.Context) error {
	ticker := time.NewTicker(groupInterval)
	defer ticker.Stop()
	rejoinAt := boottime.Now().Add(rejoinTimeout)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		status := g.service.driver.Status()
		now := boottime.Now()
		if status.Leader != "" {
			rejoinAt = now.Add(rejoinTimeout)
		}
		if _, member := status.Group.Find(status.ID); !member || !now.Before(rejoinAt) {
			g.requestJoin(ctx, status)
			rejoinAt = now.Add(rejoinInterval)
		}
		if status.Role == raft.Leader {
			g.proposeChange(status)
		}
		g.service.sendMembers(status.Role == raft.Leader)
	}
}

// requestJoin sends a request to join to all known control VMs.
func (g *groupManager) requestJoin(ctx context.Context, status raft.Status) {
	addresses := append([]string(nil), g.service.opts.Founders...)
	for _, s := range status.Group.Servers {
		addresses = append(addresses, s.Address)
	}
	for _, address := range addresses {
		if address == g.service.opts.Address {
			continue
		}
		c, err := g.service.peers.connect(ctx, address)
		if err != nil {
			continue // others may be reachable; the next check tries again
		}
		c.Send(&mesh.Join{Server: g.service.self})
	}
}

// proposeChange proposes the next change of the group, if one is due.
func (g *groupManager) proposeChange(status raft.Status) {
	change, due := nextChange(status, g.currentJoinRequests(), g.service.opts.Voters, boottime.Now())
	if !due {
		return
	}
	if err := g.service.driver.ChangeGroup(change); err != nil {
		return // a change is in progress, or the quorum is at risk; the next check tries again
	}
	g.service.opts.Log.Emit(events.Event{ID: events.GroupChangeProposed, Peer: change.Server.Address, Text: changeNames[change.Type]})
}

var changeNames = map[raft.ChangeType]string{raft.AddLearner: "add learner", raft.Promote: "promote", raft.Remove: "remove"}

// currentJoinRequests returns the servers whose request to join has not expired,
// and removes expired requests.
func (g *groupManager) currentJoinRequests() []raft.Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	var list []raft.Server
	for id, request := range g.joinRequests {
		if now.Sub(request.receivedAt) > joinRequestTTL {
			delete(g.joinRequests, id)
			continue
		}
		list = append(list, request.server)
	}
	return list
}

// nextChange returns the next change of the group, if one is due. A VM that lost
// its disk returns with a new identity at its old address: the new identity is
// added as a learner, then it is promoted, then the old one is removed. In the other
// order, the loss of another disk between the two could leave a group of which a
// majority is gone, while the removed voter still has its disk.
func nextChange(status raft.Status, joining []raft.Server, voters int, now time.Time) (raft.GroupChange, bool) {
	for _, s := range joining {
		if _, known := status.Group.Find(s.ID); !known && len(status.Group.Servers) < raft.MaxServers {
			return raft.GroupChange{Type: raft.AddLearner, Server: s}, true
		}
	}
	if status.Group.Voters() > voters {
		for _, s := range status.Servers {
			if s.Server.Voter && replaceable(status, s, now) {
				return raft.GroupChange{Type: raft.Remove, Server: s.Server}, true
			}
		}
	}
	for _, s := range status.Servers {
		if !s.Server.Voter {
			if change, due := learnerChange(status, s, voters, now); due {
				return change, true
			}
		}
	}
	return raft.GroupChange{}, false
}

// replaceable reports whether a voter is to be replaced: another server has its address,
// or it has been silent for too long.
func replaceable(status raft.Status, voter raft.ServerStatus, now time.Time) bool {
	if voter.Server.ID == status.ID {
		return false
	}
	sameAddress := slices.ContainsFunc(status.Group.Servers, func(s raft.Server) bool {
		return s.ID != voter.Server.ID && s.Address == voter.Server.Address
	})
	return sameAddress && now.Sub(voter.LastContact) > electionTimeout || now.Sub(voter.LastContact) > voterTimeout
}

// learnerChange returns the change that is due for a learner: its removal, or its
// promotion if a voter is missing or to be replaced.
func learnerChange(status raft.Status, learner raft.ServerStatus, voters int, now time.Time) (raft.GroupChange, bool) {
	if now.Sub(learner.LastContact) > learnerTimeout {
		return raft.GroupChange{Type: raft.Remove, Server: learner.Server}, true
	}
	const maxLag = 64 // entries; the promotion itself has a stricter check
	if learner.Match == 0 || learner.Match+maxLag < status.LastIndex || now.Sub(learner.LastContact) > electionTimeout {
		return raft.GroupChange{}, false
	}
	replaces := slices.ContainsFunc(status.Servers, func(s raft.ServerStatus) bool { return s.Server.Voter && replaceable(status, s, now) })
	if status.Group.Voters() < voters || status.Group.Voters() == voters && replaces {
		return raft.GroupChange{Type: raft.Promote, Server: learner.Server}, true
	}
	return raft.GroupChange{}, false
}
