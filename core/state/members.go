package state

import (
	"cmp"
	"slices"
	"time"
)

func (m *Machine) register(index uint64, now time.Time, member Member) Result {
	old, known := m.members[member.ID]
	if known && member.Incarnation < old.Incarnation {
		return Result{}
	}
	if known && member.Incarnation == old.Incarnation && !old.Active() {
		// An ended incarnation is refused: its jobs may run elsewhere by now.
		return Result{}
	}
	if known && member.Incarnation == old.Incarnation {
		return Result{Registered: true}
	}
	member.State = MemberLive
	member.Ended = time.Time{}
	member.EndedIndex = 0
	member.FirstIndex = index
	if known {
		member.FirstIndex = old.FirstIndex
	}
	if known && !old.Active() {
		m.ended = slices.DeleteFunc(m.ended, func(id string) bool { return id == member.ID })
	}
	member.RegisteredIndex = index
	member.Revision = index
	m.recordChange(memberObject, member.ID, index)
	m.members[member.ID] = member
	m.setConfigRevision(index)
	m.pruneMembers(index, now)
	return Result{Registered: true}
}

func (m *Machine) endMember(index uint64, now time.Time, c *EndMember) Result {
	member, ok := m.members[c.ID]
	if !ok || member.Incarnation != c.Incarnation || !member.Active() {
		return Result{}
	}
	if c.State != MemberLeft && c.State != MemberExpired {
		return Result{}
	}
	member.State = c.State
	member.Ended = now
	member.EndedIndex = index
	member.Revision = index
	m.recordChange(memberObject, c.ID, index)
	m.members[c.ID] = member
	m.ended = append(m.ended, c.ID)
	m.setConfigRevision(index)
	m.pruneMembers(index, now)
	return Result{Ended: true}
}

func (m *Machine) drainMember(index uint64, c *DrainMember) Result {
	member, ok := m.members[c.ID]
	if !ok || member.Incarnation != c.Incarnation || member.State != MemberLive {
		return Result{}
	}
	member.State = MemberDraining
	member.Revision = index
	m.recordChange(memberObject, c.ID, index)
	m.members[c.ID] = member
	m.setConfigRevision(index)
	return Result{Ended: true}
}

// Member returns the member with an ID.
func (m *Machine) Member(id string) (Member, bool) {
	member, ok := m.members[id]
	return member, ok
}

// Members lists all recorded members in order of their IDs.
func (m *Machine) Members() []Member {
	list := make([]Member, 0, len(m.members))
	for _, member := range m.members {
		list = append(list, member)
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
