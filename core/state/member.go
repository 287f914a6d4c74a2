package state

import "time"

// Role is the role of a process.
type Role string

// Roles of members.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Resources is an amount of a worker's resources.
type Resources struct {
	// MilliCPU is thousandths of a core.
	MilliCPU     int64
	MemoryMB     int64
	Accelerators int64
}

// Fits reports whether r is at most the capacity. A zero capacity is
// undeclared and fits everything.
func (r Resources) Fits(capacity Resources) bool {
	if capacity == (Resources{}) {
		return true
	}
	return r.MilliCPU <= capacity.MilliCPU &&
		r.MemoryMB <= capacity.MemoryMB &&
		r.Accelerators <= capacity.Accelerators
}

// ServedKind is a kind that an endpoint serves.
type ServedKind struct {
	Service string
	Kind    string
}

// MemberState is the state of a member.
type MemberState uint8

// Member states. Members that left or expired are kept as records, so that a
// takeover finds the agents that were registered when the job was accepted.
const (
	MemberLive MemberState = iota
	// MemberDraining gets no new work and finishes what it has.
	MemberDraining
	// MemberLeft stopped as planned.
	MemberLeft
	// MemberExpired did not renew its lease: it crashed or was disconnected.
	MemberExpired
)

var memberStateNames = [...]string{"live", "draining", "left", "expired"}

// String returns the state's name.
func (s MemberState) String() string { return memberStateNames[s] }

// Member is a registered process. A restart has the same ID and a higher
// incarnation.
type Member struct {
	ID      string
	Role    Role
	Address string
	// Ops is the URL of the operations page, empty if it has none.
	Ops         string
	Incarnation uint64
	DataCentre  string
	Rack        string
	Slots       int
	Connections int
	Resources   Resources
	Serves      []ServedKind
	State       MemberState
	// FirstIndex is the log index at which any incarnation of the ID was first
	// registered; RegisteredIndex is that of this incarnation.
	FirstIndex      uint64
	RegisteredIndex uint64
	// Ended and EndedIndex are the time and log index at which the member left or
	// expired.
	Ended      time.Time
	EndedIndex uint64
	// Revision is the log index of the last change.
	Revision uint64
}

// Active reports whether the member may still run tasks.
func (m Member) Active() bool {
	return m.State == MemberLive || m.State == MemberDraining
}

// MayHaveLostStarts reports whether the member may have started tasks of a job
// accepted at an index and has since lost its task table, by a restart or an end.
func (m Member) MayHaveLostStarts(acceptedIndex uint64) bool {
	if !m.Active() {
		return m.EndedIndex > acceptedIndex
	}
	restarted := m.FirstIndex < m.RegisteredIndex
	return restarted && m.RegisteredIndex > acceptedIndex
}

// CanServe reports whether the member's endpoint serves a kind.
func (m Member) CanServe(service, kind string) bool {
	for _, k := range m.Serves {
		if k.Service == service && k.Kind == kind {
			return true
		}
	}
	return false
}
