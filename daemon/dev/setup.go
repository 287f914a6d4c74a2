package dev

import (
	"context"
	"fmt"
	"time"

	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/daemon/dev/standin"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/settings"
)

// serviceName is the service that a development system starts with.
const serviceName = "demo"

// setupRetryDelay is the wait between attempts of a set-up step.
const setupRetryDelay = 20 * time.Millisecond

func (s *System) servedKinds() []settings.ServedKind {
	var list []settings.ServedKind
	for _, k := range s.demoService().Kinds {
		list = append(list, settings.ServedKind{Service: serviceName, Kind: k.Name})
	}
	return list
}

func (s *System) demoService() state.Service {
	service := state.Service{
		Name: serviceName,
		Kinds: []state.Kind{
			{Name: standin.KindSleep, Repeatable: true},
			{Name: standin.KindFail},
			{Name: standin.KindHold},
		},
	}
	for _, name := range s.opts.Kinds {
		service.Kinds = append(service.Kinds, state.Kind{Name: name, Repeatable: true})
	}
	return service
}

// setUp forms the group of control VMs, applies the initial configuration, waits
// until a job would be accepted, and reports that the system is ready.
func (s *System) setUp(ctx context.Context) error {
	steps := []func(context.Context) bool{s.formGroup, s.proposeConfig, s.allReady}
	for _, step := range steps {
		for !step(ctx) {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(setupRetryDelay):
			}
		}
	}
	s.eventLog("dev").Emit(events.Event{ID: events.ProcessReady})
	_, err := fmt.Fprintf(s.opts.Ready, "ready %s\n", s.urls[0])
	return err
}

// leader returns the leading control VM, or nil if there is none.
func (s *System) leader() *leaderView {
	for _, c := range s.controls {
		if c.Replica().Leading() {
			return &leaderView{service: c.Replica(), status: c.Replica().Status()}
		}
	}
	return nil
}

// formGroup adds or promotes one control VM per call, until all are voters.
func (s *System) formGroup(context.Context) bool {
	leader := s.leader()
	if leader == nil {
		return false
	}
	for i, c := range s.controls {
		id := c.Replica().Status().ID
		server := raft.Server{ID: id, Address: address(controlID(i))}
		change := raft.GroupChange{Type: raft.AddLearner, Server: server}
		if member, voter := leader.membership(id); voter {
			continue
		} else if member {
			change.Type = raft.Promote
		}
		// A change is refused while another is pending or the VM catches up;
		// the next call tries again.
		_ = leader.service.ChangeGroup(change)
		return false
	}
	return true
}

// proposeConfig proposes the service with which a new system starts.
func (s *System) proposeConfig(ctx context.Context) bool {
	leader := s.leader()
	if leader == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	ticket := state.Ticket{Author: "dev", Services: []state.Service{s.demoService()}}
	_, err := leader.service.Propose(ctx, state.Command{ApplyTicket: &state.ApplyTicket{Ticket: ticket}})
	return err == nil
}

// allReady reports whether every entry has the service's configuration and all
// agents.
func (s *System) allReady(context.Context) bool {
	for _, e := range s.entries {
		replica := e.Members().Replica()
		if !e.Ready() || len(replica.Config.Services) == 0 || len(e.Status().Endpoints) < len(s.agents) {
			return false
		}
	}
	return true
}
