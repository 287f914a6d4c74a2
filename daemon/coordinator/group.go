package coordinator

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
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
	// leaveRequestTTL is how long a request to leave stays valid. A VM that has stopped
	// counts as silent afterwards.
	leaveRequestTTL = voterTimeout
)

// groupManager keeps the group at its target size. On a VM outside the group it
// sends requests to join, on one that stops as planned requests to leave; on the leader
// it adds, promotes and removes servers.
type groupManager struct {
	service *Service
	// leaving is set once this VM stops as planned, and left is closed once it may stop.
	leaving atomic.Bool
	left    chan struct{}

	mu           sync.Mutex
	joinRequests map[raft.ServerID]joinRequest
	// leaveRequests has when each VM that stops as planned last requested to leave.
	leaveRequests map[raft.ServerID]time.Time
}

type joinRequest struct {
	server     raft.Server
	receivedAt time.Time
}

func newGroupManager(s *Service) *groupManager {
	return &groupManager{service: s, left: make(chan struct{}), joinRequests: map[raft.ServerID]joinRequest{}, leaveRequests: map[raft.ServerID]time.Time{}}
}

// recordJoinRequest records a VM's request to join.
func (g *groupManager) recordJoinRequest(server raft.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.leaveRequests, server.ID) // it has started again
	g.joinRequests[server.ID] = joinRequest{server: server, receivedAt: boottime.Now()}
}

// recordLeaveRequest records a VM's request to leave. It reports whether this VM leads a group
// without it, so that it may stop.
func (g *groupManager) recordLeaveRequest(id raft.ServerID) (left bool) {
	g.mu.Lock()
	delete(g.joinRequests, id)
	g.leaveRequests[id] = boottime.Now()
	g.mu.Unlock()
	status := g.service.driver.Status()
	_, member := status.Group.Find(id)
	return g.service.driver.Leading() && !member && status.GroupIndex <= status.Commit
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
		switch _, member := status.Group.Find(status.ID); {
		case g.leaving.Load():
			g.requestLeave(ctx, status)
		case !member || !now.Before(rejoinAt):
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

// leave asks the leader to replace this VM by a learner, and waits for it, but no longer than
// timeout. A voter that stopped without that would leave the group without one to spare
// until it is replaced for its silence, although its successor is there.
func (g *groupManager) leave(timeout time.Duration) {
	g.leaving.Store(true)
	outcome := "has left the group or has no successor"
	select {
	case <-g.left:
	case <-time.After(timeout):
		outcome = "is still in the group after " + timeout.String()
	}
	g.service.opts.Log.Emit(events.Event{ID: events.GroupLeft, Text: outcome})
}

// requestLeave sends the leader a request to leave, or passes the leadership on. It closes
// g.left once no learner could replace this VM.
func (g *groupManager) requestLeave(ctx context.Context, status raft.Status) {
	if status.Role == raft.Leader {
		g.service.driver.TransferLeadership() // until then the next check tries again
	} else if leader := g.service.leaderAddress(); leader != "" {
		if c, err := g.service.peers.connect(ctx, leader); err == nil {
			c.Send(&mesh.Join{Server: g.service.self, Leaving: true})
		}
	}
	// A successor that has been promoted already makes one voter more than usual.
	successor := status.Group.Voters() > g.service.opts.Voters ||
		slices.ContainsFunc(status.Group.Servers, func(s raft.Server) bool { return !s.Voter && s.ID != status.ID })
	if !status.Group.IsVoter(status.ID) || !successor {
		g.closeLeft()
	}
}

// receiveMembers handles a leader's answer to a request to leave.
func (g *groupManager) receiveMembers(m *mesh.Members) {
	if m.Leading && !slices.Contains(m.Addresses, g.service.opts.Address) {
		g.closeLeft()
	}
}

// closeLeft records that this VM may stop.
func (g *groupManager) closeLeft() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.left:
	default:
		close(g.left)
	}
}

// proposeChange proposes the next change of the group, if one is due.
func (g *groupManager) proposeChange(status raft.Status) {
	change, due := nextChange(status, g.currentRequests(), g.service.opts.Voters, boottime.Now())
	if !due {
		return
	}
	if err := g.service.driver.ChangeGroup(change); err != nil {
		return // a change is in progress, or the quorum is at risk; the next check tries again
	}
	g.service.opts.Log.Emit(events.Event{ID: events.GroupChangeProposed, Peer: change.Server.Address, Text: changeNames[change.Type]})
}

var changeNames = map[raft.ChangeType]string{raft.AddLearner: "add learner", raft.Promote: "promote", raft.Remove: "remove"}

// groupRequests are the requests of VMs that have not expired.
type groupRequests struct {
	joining []raft.Server
	leaving []raft.ServerID
}

// currentRequests returns the requests that have not expired, and removes expired ones.
func (g *groupManager) currentRequests() groupRequests {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	maps.DeleteFunc(g.joinRequests, func(_ raft.ServerID, r joinRequest) bool { return now.Sub(r.receivedAt) > joinRequestTTL })
	maps.DeleteFunc(g.leaveRequests, func(_ raft.ServerID, receivedAt time.Time) bool { return now.Sub(receivedAt) > leaveRequestTTL })
	requests := groupRequests{leaving: slices.Collect(maps.Keys(g.leaveRequests))}
	for _, r := range g.joinRequests {
		requests.joining = append(requests.joining, r.server)
	}
	return requests
}

// nextChange returns the next change of the group, if one is due. A VM that lost
// its disk returns with a new identity at its old address: the new identity is
// added as a learner, then it is promoted, then the old one is removed. In the other
// order, the loss of another disk between the two could leave a group of which a
// majority is gone, while the removed voter still has its disk. A VM that stops as
// planned is replaced in the same order, as soon as a learner has caught up.
func nextChange(status raft.Status, requests groupRequests, voters int, now time.Time) (raft.GroupChange, bool) {
	replaceable := func(s raft.ServerStatus) bool {
		return s.Server.Voter && (slices.Contains(requests.leaving, s.Server.ID) || lost(status, s, now))
	}
	for _, s := range requests.joining {
		if _, known := status.Group.Find(s.ID); !known && len(status.Group.Servers) < raft.MaxServers {
			return raft.GroupChange{Type: raft.AddLearner, Server: s}, true
		}
	}
	if status.Group.Voters() > voters {
		for _, s := range status.Servers {
			if s.Server.ID != status.ID && replaceable(s) {
				return raft.GroupChange{Type: raft.Remove, Server: s.Server}, true
			}
		}
	}
	vacant := status.Group.Voters() < voters || status.Group.Voters() == voters && slices.ContainsFunc(status.Servers, replaceable)
	for _, s := range status.Servers {
		if !s.Server.Voter {
			promotable := vacant && !slices.Contains(requests.leaving, s.Server.ID)
			if change, due := learnerChange(status, s, promotable, now); due {
				return change, true
			}
		}
	}
	return raft.GroupChange{}, false
}

// lost reports whether a voter counts as lost: another server has its address, or it has
// been silent for too long.
func lost(status raft.Status, voter raft.ServerStatus, now time.Time) bool {
	if voter.Server.ID == status.ID {
		return false
	}
	sameAddress := slices.ContainsFunc(status.Group.Servers, func(s raft.Server) bool {
		return s.ID != voter.Server.ID && s.Address == voter.Server.Address
	})
	return sameAddress && now.Sub(voter.LastContact) > electionTimeout || now.Sub(voter.LastContact) > voterTimeout
}

// learnerChange returns the change that is due for a learner: its removal, or its
// promotion if it is promotable and has caught up.
func learnerChange(status raft.Status, learner raft.ServerStatus, promotable bool, now time.Time) (raft.GroupChange, bool) {
	if now.Sub(learner.LastContact) > learnerTimeout {
		return raft.GroupChange{Type: raft.Remove, Server: learner.Server}, true
	}
	const maxLag = 64 // entries; the promotion itself has a stricter check
	if !promotable || learner.Match == 0 || learner.Match+maxLag < status.LastIndex || now.Sub(learner.LastContact) > electionTimeout {
		return raft.GroupChange{}, false
	}
	return raft.GroupChange{Type: raft.Promote, Server: learner.Server}, true
}
