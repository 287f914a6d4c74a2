package operator

import (
	"fmt"
	"slices"

	"github.com/cicadapulley/cicadapulley/api/codec"
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/state"
)

// silentMS is the silence after which a control VM counts as unreachable, in
// milliseconds. Heartbeats are well under a second apart.
const silentMS = 2000

// Wrong lists what is wrong now, in words for people, most urgent first.
func Wrong(s *rpc.StatusResponse, c Config) []string {
	list := wrongGroup(s.Group)
	members := make([]state.Member, len(s.Members))
	for i, m := range s.Members {
		members[i] = codec.MemberFromRPC(m.Member)
	}
	list = append(list, wrongRoles(members)...)
	list = append(list, wrongKinds(members, c.Config)...)
	for i, m := range s.Members {
		list = append(list, wrongMember(m, members[i], s.ConfigRevision)...)
	}
	return append(list, drained(members, c.Config)...)
}

func wrongGroup(group []*rpc.ControlVM) []string {
	var list []string
	voters, heard := 0, 0
	for _, vm := range group {
		silent := vm.SilentMs > silentMS
		if silent {
			list = append(list, fmt.Sprintf("control VM %s (%s) has been silent for %d ms", vm.Id, vm.Address, vm.SilentMs))
		}
		if !vm.Voter {
			list = append(list, fmt.Sprintf("control VM %s (%s) has no vote yet; finish with group add", vm.Id, vm.Address))
			continue
		}
		voters++
		if !silent {
			heard++
		}
	}
	if voters < 3 {
		list = append(list, fmt.Sprintf("the group has %d voters; the loss of one stops acceptance (3 or 5 are advised)", voters))
	} else if spare := heard - (voters/2 + 1); spare < 1 {
		list = append(list, "no control VM may be lost now: a bare majority is reachable")
	}
	return list
}

func wrongRoles(members []state.Member) []string {
	var list []string
	for _, role := range []state.Role{state.RoleEntry, state.RoleAgent} {
		live := func(m state.Member) bool { return m.Role == role && m.State == state.MemberLive }
		if !slices.ContainsFunc(members, live) {
			list = append(list, fmt.Sprintf("no live process has the role %s", role))
		}
	}
	return list
}

// wrongKinds finds kinds that no endpoint can take work for.
func wrongKinds(members []state.Member, c state.Config) []string {
	var list []string
	for name, s := range c.Services {
		for _, k := range s.Kinds {
			serves := func(m state.Member) bool { return TakesWork(m, c) && m.CanServe(name, k.Name) }
			if !s.Removed && !slices.ContainsFunc(members, serves) {
				list = append(list, fmt.Sprintf("no endpoint takes work for kind %q of service %q", k.Name, name))
			}
		}
	}
	slices.Sort(list)
	return list
}

// TakesWork reports whether entries may send new work to a member.
func TakesWork(m state.Member, c state.Config) bool {
	return m.Role == state.RoleAgent && m.State == state.MemberLive && !c.Drains[m.ID].Drain
}

func wrongMember(s *rpc.MemberStatus, m state.Member, revision uint64) []string {
	if m.State == state.MemberExpired {
		return []string{fmt.Sprintf("%s %s let its lease lapse: it crashed or was cut off", m.Role, m.ID)}
	}
	if !m.Active() {
		return nil
	}
	var list []string
	if s.LeaseLeftMs <= 0 {
		list = append(list, fmt.Sprintf("%s %s has not renewed its lease", m.Role, m.ID))
	}
	if s.Revision < revision {
		list = append(list, fmt.Sprintf("%s %s is behind: revision %d of %d", m.Role, m.ID, s.Revision, revision))
	}
	if m.State == state.MemberDraining {
		list = append(list, fmt.Sprintf("%s %s is draining before a stop", m.Role, m.ID))
	}
	return list
}

func drained(members []state.Member, c state.Config) []string {
	var list []string
	for _, m := range members {
		if mark := c.Drains[m.ID]; mark.Drain && m.Active() {
			list = append(list, fmt.Sprintf("endpoint %s is drained by ticket %d", m.ID, mark.Ticket))
		}
	}
	return list
}
