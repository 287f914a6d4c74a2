package raft

import "slices"

// Find returns the server with the given ID.
func (g Group) Find(id ServerID) (Server, bool) {
	for _, s := range g.Servers {
		if s.ID == id {
			return s, true
		}
	}
	return Server{}, false
}

// IsVoter reports whether id is a voter of the group.
func (g Group) IsVoter(id ServerID) bool {
	s, ok := g.Find(id)
	return ok && s.Voter
}

// Voters returns the number of voters.
func (g Group) Voters() int {
	count := 0
	for _, s := range g.Servers {
		if s.Voter {
			count++
		}
	}
	return count
}

// Majority returns the number of voters that form a majority.
func (g Group) Majority() int { return g.Voters()/2 + 1 }

// Clone returns a deep copy.
func (g Group) Clone() Group { return Group{Servers: slices.Clone(g.Servers)} }

// indexedGroup is a group and the log index from which on it is in force.
type indexedGroup struct {
	index uint64
	group Group
}

// groupHistory keeps the groups of the uncompacted log, oldest first, so that
// a truncated change can be rolled back. It is never empty.
type groupHistory struct {
	items []indexedGroup
}

func newGroupHistory(index uint64, base Group) groupHistory {
	return groupHistory{items: []indexedGroup{{index: index, group: base.Clone()}}}
}

func (h *groupHistory) latest() indexedGroup { return h.items[len(h.items)-1] }

func (h *groupHistory) add(index uint64, g Group) {
	h.items = append(h.items, indexedGroup{index: index, group: g.Clone()})
}

// truncate removes the groups of the entries from index on.
func (h *groupHistory) truncate(index uint64) {
	for len(h.items) > 1 && h.latest().index >= index {
		h.items = h.items[:len(h.items)-1]
	}
}

// at returns the group in force at index.
func (h *groupHistory) at(index uint64) Group {
	for i := len(h.items) - 1; i > 0; i-- {
		if h.items[i].index <= index {
			return h.items[i].group
		}
	}
	return h.items[0].group
}

// compact removes the groups that are not in force at index or later.
func (h *groupHistory) compact(index uint64) {
	for len(h.items) > 1 && h.items[1].index <= index {
		h.items = h.items[1:]
	}
}
