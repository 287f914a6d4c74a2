package operator

import (
	"fmt"
	"slices"

	"github.com/cicadapulley/cicadapulley/api/codec"
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/state"
)

// maxSilenceMS is the time since the last contact after which a control VM counts
// as unreachable, in milliseconds. Heartbeats are well under a second apart.
const maxSilenceMS = 2000

// Problems lists the current problems as readable messages, most urgent first.
func Problems(status *rpc.StatusResponse, config Config) []string {
	list := groupProblems(status.Group)
	members := make([]state.Member, len(status.Members))
	for i, m := range status.Members {
		members[i] = codec.MemberFromRPC(m.Member)
	}
	list = append(list, roleProblems(members)...)
	list = append(list, kindProblems(members, config.Config)...)
	for i, m := range status.Members {
		list = append(list, memberProblems(m, members[i], status.ConfigRevision)...)
	}
	return append(list, drainedEndpoints(members, config.Config)...)
}

func groupProblems(group []*rpc.ControlVM) []string {
	var list []string
	voters, reachable := 0, 0
	for _, vm := range group {
		silent := vm.SilentMs > maxSilenceMS
		if silent {
			list = append(list, fmt.Sprintf("control VM %s (%s) has been silent for %d ms", vm.Id, vm.Address, vm.SilentMs))
		}
		if !vm.Voter {
			list = append(list, fmt.Sprintf("control VM %s (%s) has no vote yet; finish with group add", vm.Id, vm.Address))
			continue
		}
		voters++
		if !silent {
			reachable++
		}
	}
	if voters < 3 {
		list = append(list, fmt.Sprintf("the group has %d voters; the loss of one stops acceptance (3 or 5 are advised)", voters))
	} else if spare := reachable - (voters/2 + 1); spare < 1 {
		list = append(list, "no control VM may be lost now: a bare majority is reachable")
	}
	return list
}

func roleProblems(members []state.Member) []string {
	var list []string
	for _, role := range []state.Role{state.RoleEntry, state.RoleAgent} {
		live := func(m state.Member) bool { return m.Role == role && m.State == state.MemberLive }
		if !slices.ContainsFunc(members, live) {
			list = append(list, fmt.Sprintf("no live process has the role %s", role))
		}
	}
	return list
}

// kindProblems lists the kinds that no endpoint can take work for.
func kindProblems(members []state.Member, config state.Config) []string {
	var list []string
	for name, s := range config.Services {
		for _, k := range s.Kinds {
			serves := func(m state.Member) bool { return TakesWork(m, config) && m.CanServe(name, k.Name) }
			if !s.Removed && !slices.ContainsFunc(members, serves) {
				list = append(list, fmt.Sprintf("no endpoint takes work for kind %q of service %q", k.Name, name))
			}
		}
	}
	slices.Sort(list)
	return list
}

// TakesWork reports whether entries may send new work to a member.
func TakesWork(m state.Member, config state.Config) bool {
	return m.Role == state.RoleAgent && m.State == state.MemberLive && !config.Drains[m.ID].Drain
}

func memberProblems(status *rpc.MemberStatus, m state.Member, revision uint64) []string {
	if m.State == state.MemberExpired {
		return []string{fmt.Sprintf("%s %s let its lease lapse: it crashed or was cut off", m.Role, m.ID)}
	}
	if !m.Active() {
		return nil
	}
	var list []string
	if status.LeaseLeftMs <= 0 {
		list = append(list, fmt.Sprintf("%s %s has not renewed its lease", m.Role, m.ID))
	}
	if status.Revision < revision {
		list = append(list, fmt.Sprintf("%s %s is behind: revision %d of %d", m.Role, m.ID, status.Revision, revision))
	}
	if m.State == state.MemberDraining {
		list = append(list, fmt.Sprintf("%s %s is draining before a stop", m.Role, m.ID))
	}
	return list
}

func drainedEndpoints(members []state.Member, config state.Config) []string {
	var list []string
	for _, m := range members {
		if mark := config.Drains[m.ID]; mark.Drain && m.Active() {
			list = append(list, fmt.Sprintf("endpoint %s is drained by ticket %d", m.ID, mark.Ticket))
		}
	}
	return list
}
