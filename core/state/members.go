package state

import "time"

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
	n.FirstIndex = index
	if known {
		n.FirstIndex = old.FirstIndex
	}
	n.RegisteredIndex = index
	n.Revision = index
	m.recordChange(memberObject, n.ID, index)
	m.members[n.ID] = n
	m.touch(index)
	m.pruneMembers(now)
	return Result{Registered: true}
}

func (m *Machine) endMember(index uint64, now time.Time, c *EndMember) Result {
	member, ok := m.members[c.ID]
	if !ok || member.Incarnation != c.Incarnation || !member.Active() {
		return Result{}
	}
	member.State = c.State
	member.Ended = now
	member.EndedIndex = index
	member.Revision = index
	m.recordChange(memberObject, c.ID, index)
	m.members[c.ID] = member
	m.touch(index)
	m.pruneMembers(now)
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

// Members lists all members that are recorded.
func (m *Machine) Members() []Member {
	list := make([]Member, 0, len(m.members))
	for _, member := range m.members {
		list = append(list, member)
	}
	return list
}
