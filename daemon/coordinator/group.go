package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

const (
	// groupInterval is the pause between looks at the group.
	groupInterval = 100 * time.Millisecond
	// candidateLife is how long a request to join stands; it is repeated.
	candidateLife = 2 * time.Second
	// voterPatience is how long a voter may be silent before a caught-up
	// learner takes its place.
	voterPatience = 3 * time.Second
	// learnerPatience is how long a learner may be silent before it is dropped.
	learnerPatience = 10 * time.Second
)

// groupKeeper keeps the group at its size: it asks to join for a VM outside of
// it and, on the leader, takes in those that ask.
type groupKeeper struct {
	service *Service

	mu         sync.Mutex
	candidates map[raft.ServerID]candidate
}

type candidate struct {
	server raft.Server
	asked  time.Time
}

func newGroupKeeper(s *Service) *groupKeeper {
	return &groupKeeper{service: s, candidates: map[raft.ServerID]candidate{}}
}

// asked notes that a VM wants to join.
func (k *groupKeeper) asked(server raft.Server) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.candidates[server.ID] = candidate{server: server, asked: boottime.Now()}
}

// Run looks at the group until ctx ends.
func (k *groupKeeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(groupInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		status := k.service.driver.Status()
		if _, member := status.Group.Find(status.ID); !member {
			k.join(ctx, status)
		}
		if status.Role == raft.Leader {
			k.keep(status)
		}
		k.service.tellMembers(status.Role == raft.Leader)
	}
}

// join asks all known control VMs to be taken in.
func (k *groupKeeper) join(ctx context.Context, status raft.Status) {
	addresses := append([]string(nil), k.service.opts.Founders...)
	for _, s := range status.Group.Servers {
		addresses = append(addresses, s.Address)
	}
	for _, address := range addresses {
		if address == k.service.opts.Address {
			continue
		}
		c, err := k.service.peers.connect(ctx, address)
		if err != nil {
			continue // others may be reachable; the next look tries again
		}
		c.Send(&mesh.Join{Server: k.service.self})
	}
}

// keep proposes the next change of the group, if one is due.
func (k *groupKeeper) keep(status raft.Status) {
	change, due := nextChange(status, k.fresh(), k.service.opts.Voters, boottime.Now())
	if !due {
		return
	}
	if err := k.service.driver.ChangeGroup(change); err != nil {
		return // a change is under way, or the quorum is at risk; the next look tries again
	}
	k.service.opts.Log.Emit(events.Event{ID: events.GroupChangeProposed, Peer: change.Server.Address, Text: changeNames[change.Type]})
}

var changeNames = map[raft.ChangeType]string{raft.AddLearner: "add learner", raft.Promote: "promote", raft.Remove: "remove"}

// fresh returns the VMs that asked lately.
func (k *groupKeeper) fresh() []raft.Server {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := boottime.Now()
	var list []raft.Server
	for id, c := range k.candidates {
		if now.Sub(c.asked) > candidateLife {
			delete(k.candidates, id)
			continue
		}
		list = append(list, c.server)
	}
	return list
}

// nextChange decides on the next change of the group. A VM that lost its disk
// comes back under a new identity at its old address: it learns first, then the
// old identity goes, then it votes.
func nextChange(status raft.Status, asking []raft.Server, voters int, now time.Time) (raft.GroupChange, bool) {
	for _, s := range asking {
		if _, known := status.Group.Find(s.ID); !known && len(status.Group.Servers) < raft.MaxServers {
			return raft.GroupChange{Type: raft.AddLearner, Server: s}, true
		}
	}
	for _, s := range status.Servers {
		if !s.Server.Voter {
			if change, due := forLearner(status, s, voters, now); due {
				return change, true
			}
		}
	}
	return raft.GroupChange{}, false
}

func forLearner(status raft.Status, learner raft.ServerStatus, voters int, now time.Time) (raft.GroupChange, bool) {
	if now.Sub(learner.LastContact) > learnerPatience {
		return raft.GroupChange{Type: raft.Remove, Server: learner.Server}, true
	}
	const closeBehind = 64 // entries; the promotion itself checks more strictly
	if learner.Match == 0 || learner.Match+closeBehind < status.LastIndex || now.Sub(learner.LastContact) > electionTimeout {
		return raft.GroupChange{}, false
	}
	for _, s := range status.Servers {
		sameAddress := s.Server.Address == learner.Server.Address
		silent := status.Group.Voters() >= voters && now.Sub(s.LastContact) > voterPatience
		if s.Server.ID != learner.Server.ID && s.Server.ID != status.ID && s.Server.Voter && (sameAddress || silent) {
			return raft.GroupChange{Type: raft.Remove, Server: s.Server}, true
		}
	}
	if status.Group.Voters() < voters {
		return raft.GroupChange{Type: raft.Promote, Server: learner.Server}, true
	}
	return raft.GroupChange{}, false
}
