package state

import (
	"cmp"
	"slices"
	"time"
)

func (m *Machine) register(index uint64, now time.Time, n Member) Result {
	old, known := m.members[n.ID]
	if known && n.Incarnation < old.Incarnation {
		return Result{}
	}
	if known && n.Incarnation == old.Incarnation && !old.Active() {
		// An ended incarnation never returns: work may have moved elsewhere.
		return Result{}
	}
	if known && n.Incarnation == old.Incarnation {
		return Result{Registered: true}
	}
	n.State = MemberLive
	n.Ended = time.Time{}
	n.EndedIndex = 0
	n.FirstIndex = index
	if known {
		n.FirstIndex = old.FirstIndex
	}
	if known && !old.Active() {
		m.ended = slices.DeleteFunc(m.ended, func(id string) bool { return id == n.ID })
	}
	n.RegisteredIndex = index
	n.Revision = index
	m.recordChange(memberObject, n.ID, index)
	m.members[n.ID] = n
	m.touch(index)
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
	m.touch(index)
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
	m.touch(index)
	return Result{Ended: true}
}

// Member returns the member with an id.
func (m *Machine) Member(id string) (Member, bool) {
	member, ok := m.members[id]
	return member, ok
}

// Members lists all members that are recorded, in order of their ids.
func (m *Machine) Members() []Member {
	list := make([]Member, 0, len(m.members))
	for _, member := range m.members {
		list = append(list, member)
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
