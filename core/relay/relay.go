// Package relay decides which entry relays which agent to the leader while the agent has
// no connection of its own. It reads no clock and sends nothing.
package relay

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// DefaultLimit is the number of agents that one entry relays.
	DefaultLimit = 16
	// reconnectTime is how long an agent without a connection gets no relay. After a restart
	// or a reset it reconnects in that time.
	reconnectTime = 100 * time.Millisecond
	// SuspectTimeout is the time without a message after which an agent's connection counts no
	// longer, although it is still open. The agent has then given up a leader that it doesn't
	// hear, which it does after 350 ms, and accepts a relay.
	SuspectTimeout = 400 * time.Millisecond
	// attemptTimeout is how long a relay may take to lead to a connection.
	attemptTimeout = 400 * time.Millisecond
	// minDelay and maxDelay bound the delay before the next attempt once each entry has
	// failed, which doubles. The VM is then probably down.
	minDelay = 400 * time.Millisecond
	maxDelay = 5 * time.Second
	// unusedTimeout is the age from which a connection counts that the agent has not used for
	// a session. An agent that hears nothing closes it within 1 s and opens another, so that
	// it would otherwise seem connected although only its messages arrive.
	unusedTimeout = 1200 * time.Millisecond
	// steadyTime is how long a connection lasts before earlier failures are forgotten. Without
	// it a relay that ends again and again would be tried without a delay.
	steadyTime = 5 * time.Second
)

// Limit returns the number of agents that an entry relays for a setting: 0 means
// DefaultLimit, and a negative setting none.
func Limit(setting int) int {
	if setting < 0 {
		return 0
	}
	return cmp.Or(setting, DefaultLimit)
}

// ConnectionID identifies a connection of an agent to the leader.
type ConnectionID uint64

// Entry is an entry that is connected to the leader.
type Entry struct {
	VM string
	// Limit is the number of agents that it relays at once.
	Limit int
}

// Order tells an entry to relay an agent.
type Order struct {
	Entry string
	// VM and Address are those of the agent.
	VM, Address string
}

// Planner decides for one term of a leader. Its cost follows the changes and the agents
// without a connection, not the number of agents.
type Planner struct {
	agents map[string]*agent
	// waiting are the enrolled agents without a connection.
	waiting map[string]*agent
	// relayed maps the open relayed connections to their entries.
	relayed map[ConnectionID]string
}

// agent is an agent that is enrolled or has a connection.
type agent struct {
	vm, address string
	enrolled    bool
	connections map[ConnectionID]connection
	// since is when a waiting agent began to be without a connection.
	since time.Time
	// entry is the entry that has been told to relay the agent, empty for none, and
	// attemptedAt when.
	entry       string
	attemptedAt time.Time
	// failed maps entries whose relay has failed or ended to the time of that, and failedAt
	// is the latest of these times.
	failed   map[string]time.Time
	failedAt time.Time
	// delay is the latest delay after all entries have failed, and retryAt its end.
	delay   time.Duration
	retryAt time.Time
}

type connection struct {
	openedAt time.Time
	// entry is the one that relays the connection, empty for a direct one.
	entry string
	// used is set once the agent has used the connection for a session.
	used bool
	// silent is set while nothing has arrived for SuspectTimeout.
	silent bool
}

// counts reports whether the agent is reached through the connection. A relayed one has
// shown that messages arrive in both directions, since the agent has answered the entry.
func (c connection) counts(now time.Time) bool {
	return !c.silent && (c.used || c.entry != "" || now.Sub(c.openedAt) >= unusedTimeout)
}

// New returns a planner without agents.
func New() *Planner {
	return &Planner{agents: map[string]*agent{}, waiting: map[string]*agent{}, relayed: map[ConnectionID]string{}}
}

// Enrol adds an agent that is to be reached, or changes its address.
func (p *Planner) Enrol(now time.Time, vm, address string) {
	a := p.agent(vm)
	a.address = address
	if !a.enrolled {
		a.enrolled = true
		a.since = now
	}
	p.update(now, a)
}

// Remove removes an agent from the enrolled ones. It is no longer relayed.
func (p *Planner) Remove(vm string) {
	a := p.agents[vm]
	if a == nil {
		return
	}
	a.enrolled = false
	a.forget()
	delete(p.waiting, vm)
	p.drop(a)
}

// Opened records a connection of an agent. entry is the one that relays it, empty for a
// direct connection.
func (p *Planner) Opened(now time.Time, vm string, id ConnectionID, entry string) {
	a := p.agent(vm)
	a.connections[id] = connection{openedAt: now, entry: entry}
	if entry != "" {
		p.relayed[id] = entry
	}
	p.update(now, a)
}

// Used records that an agent has begun a session on a connection.
func (p *Planner) Used(now time.Time, vm string, id ConnectionID) {
	a := p.agents[vm]
	if a == nil {
		return
	}
	c, ok := a.connections[id]
	if !ok || c.used {
		return
	}
	c.used = true
	a.connections[id] = c
	p.update(now, a)
}

// SetSilent records that nothing has arrived on a connection for SuspectTimeout, or that
// something has again. An agent whose connections are all silent gets a relay at once: it does not
// reconnect in a moment, as after a restart.
func (p *Planner) SetSilent(now time.Time, vm string, id ConnectionID, silent bool) {
	a := p.agents[vm]
	if a == nil {
		return
	}
	c, ok := a.connections[id]
	if !ok {
		return
	}
	connected := a.connected(now)
	c.silent = silent
	a.connections[id] = c
	if connected && !a.connected(now) {
		a.since = now.Add(-reconnectTime)
	}
	p.update(now, a)
}

// Closed records the end of a connection.
func (p *Planner) Closed(now time.Time, vm string, id ConnectionID) {
	a := p.agents[vm]
	if a == nil {
		return
	}
	c, ok := a.connections[id]
	if !ok {
		return
	}
	connected := a.connected(now)
	delete(a.connections, id)
	delete(p.relayed, id)
	if c.counts(now) && now.Sub(c.openedAt) >= steadyTime {
		a.forget()
	}
	if connected && !a.connected(now) {
		a.since = now
	}
	if c.entry != "" {
		a.fail(now, c.entry)
	}
	p.update(now, a)
	p.drop(a)
}

// Waiting reports whether any enrolled agent has no connection.
func (p *Planner) Waiting() bool { return len(p.waiting) > 0 }

// Relayed returns the number of relayed connections.
func (p *Planner) Relayed() int { return len(p.relayed) }

// Plan returns the relays that are due. Those agents come first that have been without a
// connection for longest.
func (p *Planner) Plan(now time.Time, entries []Entry) []Order {
	list := make([]*agent, 0, len(p.waiting))
	for _, a := range p.waiting {
		if a.connected(now) { // a connection has become old enough to count
			p.update(now, a)
			continue
		}
		a.endAttempt(now, entries)
		a.delayRetry(entries)
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *agent) int { return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.vm, b.vm)) })
	free, room := p.free(entries)
	var orders []Order
	for _, a := range list {
		if room <= 0 {
			break
		}
		if a.entry != "" || now.Sub(a.since) < reconnectTime {
			continue
		}
		entry := a.choose(now, entries, free)
		if entry == "" {
			continue
		}
		a.entry = entry
		a.attemptedAt = now
		free[entry]--
		room--
		orders = append(orders, Order{Entry: entry, VM: a.vm, Address: a.address})
	}
	return orders
}

// free returns how many more agents each entry, and all entries, may relay.
func (p *Planner) free(entries []Entry) (free map[string]int, room int) {
	free = make(map[string]int, len(entries))
	for _, e := range entries {
		free[e.VM] = e.Limit
	}
	for _, entry := range p.relayed {
		free[entry]--
	}
	for _, a := range p.waiting {
		if a.entry != "" {
			free[a.entry]--
		}
	}
	for _, e := range entries {
		room += max(free[e.VM], 0)
	}
	return free, room
}

// agent returns an agent, which it adds if it is not known.
func (p *Planner) agent(vm string) *agent {
	a := p.agents[vm]
	if a == nil {
		a = &agent{vm: vm, connections: map[ConnectionID]connection{}, failed: map[string]time.Time{}}
		p.agents[vm] = a
	}
	return a
}

// update adds an agent to the waiting ones or removes it from them.
func (p *Planner) update(now time.Time, a *agent) {
	if a.enrolled && !a.connected(now) {
		p.waiting[a.vm] = a
		return
	}
	a.entry = ""
	delete(p.waiting, a.vm)
}

// drop removes an agent that is neither enrolled nor connected.
func (p *Planner) drop(a *agent) {
	if !a.enrolled && len(a.connections) == 0 {
		delete(p.agents, a.vm)
	}
}

func (a *agent) connected(now time.Time) bool {
	for _, c := range a.connections {
		if c.counts(now) {
			return true
		}
	}
	return false
}

// forget drops what is known of failed relays.
func (a *agent) forget() {
	a.entry = ""
	clear(a.failed)
	a.failedAt = time.Time{}
	a.delay = 0
	a.retryAt = time.Time{}
}

// endAttempt ends an attempt that has not led to a connection in time, or whose entry is
// no longer connected.
func (a *agent) endAttempt(now time.Time, entries []Entry) {
	if a.entry == "" {
		return
	}
	gone := !slices.ContainsFunc(entries, func(e Entry) bool { return e.VM == a.entry })
	if !gone && now.Sub(a.attemptedAt) < attemptTimeout {
		return
	}
	a.fail(now, a.entry)
	a.entry = ""
}

// fail records that the relay through an entry has failed or ended.
func (a *agent) fail(now time.Time, entry string) {
	a.failed[entry] = now
	a.failedAt = now
}

// delayRetry begins the delay after the latest failure, if all entries have failed.
func (a *agent) delayRetry(entries []Entry) {
	if a.failedAt.IsZero() || a.failedAt.Before(a.retryAt) || slices.ContainsFunc(entries, func(e Entry) bool { return !a.hasFailed(e.VM) }) {
		return
	}
	a.delay = min(max(2*a.delay, minDelay), maxDelay)
	a.retryAt = a.failedAt.Add(a.delay)
}

func (a *agent) hasFailed(entry string) bool {
	_, failed := a.failed[entry]
	return failed
}

// choose returns the entry for the next attempt, empty for none: the one with the most
// room of those that have not failed, or else, after the delay, the one whose failure is
// the longest ago.
func (a *agent) choose(now time.Time, entries []Entry, free map[string]int) string {
	best := ""
	for _, e := range entries {
		if free[e.VM] <= 0 || a.hasFailed(e.VM) && now.Before(a.retryAt) {
			continue
		}
		if best == "" || a.prefers(e.VM, best, free) {
			best = e.VM
		}
	}
	return best
}

func (a *agent) prefers(entry, other string, free map[string]int) bool {
	// The time of a failure is zero for an entry without one.
	order := cmp.Or(a.failed[entry].Compare(a.failed[other]), cmp.Compare(free[other], free[entry]))
	if order == 0 {
		order = cmp.Or(cmp.Compare(a.rank(entry), a.rank(other)), cmp.Compare(entry, other))
	}
	return order < 0
}

// rank orders entries differently for each agent, so that leaders which follow each other
// don't all begin with the same entry.
func (a *agent) rank(entry string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a.vm + " " + entry)) // never fails
	return h.Sum64()
}
