// Package harness runs the daemons' own services on a network in memory, for
// failure tests inside a synctest bubble. It starts, kills, restarts, cuts off
// and stops processes; it models nothing of them. Parent: a test. Children:
// the lives of processes and stand-in endpoints, one goroutine each. State:
// the disks, which outlive the processes, and what the endpoints saw.
package harness

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cicadapulley/cicadapulley/api/controlclient"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/memnet"
	"github.com/cicadapulley/cicadapulley/daemon/settings"
	"github.com/cicadapulley/cicadapulley/daemon/transport"
)

const (
	// LinkDelay is the one-way delay between processes, as at the users' sites.
	LinkDelay = 500 * time.Microsecond
	// DrainBound bounds a planned stop.
	DrainTimeout = 20 * time.Second
	// BalancerWait is how long callers may still go to an entry that stops.
	BalancerWait = 200 * time.Millisecond
)

// Size is the number of processes of each role.
type Size struct {
	Controls, Entries, Agents, Slots int
	// SnapshotEntries is the number of log entries between snapshots.
	SnapshotEntries uint64
	// SyncDelay is the time that each sync takes. It must be zero if snapshots are saved:
	// the store holds a mutex over a sync, and virtual time stands still while
	// the snapshot's goroutine waits for it.
	SyncDelay time.Duration
}

// Cluster is a set of processes on one network.
type Cluster struct {
	size        Size
	net         *memnet.Network
	endpointNet *memnet.Network
	Endpoints   map[string]*Endpoint
	Starts      *Starts

	mu    sync.Mutex
	procs map[string]*Process
	logs  []*events.Log
	hosts []string
}

// New returns a cluster whose processes are not started.
func New(s Size) *Cluster {
	c := &Cluster{
		size:        s,
		net:         memnet.New(LinkDelay),
		endpointNet: memnet.New(0),
		Endpoints:   map[string]*Endpoint{},
		Starts:      newStarts(),
		procs:       map[string]*Process{},
	}
	for i := range s.Controls {
		c.add(&Process{ID: ControlID(i), role: roleControl, bootstrap: i == 0, disk: NewDisk()})
	}
	for i := range s.Agents {
		c.add(&Process{ID: AgentID(i), role: roleAgent})
	}
	for i := range s.Entries {
		c.add(&Process{ID: EntryID(i), role: roleEntry})
	}
	return c
}

func (c *Cluster) add(p *Process) {
	p.cluster = c
	c.procs[p.ID] = p
	c.hosts = append(c.hosts, p.ID)
}

// ControlID, AgentID and EntryID name the processes.
func ControlID(i int) string { return fmt.Sprintf("control-%d", i+1) }

// AgentID names an agent.
func AgentID(i int) string { return fmt.Sprintf("agent-%d", i+1) }

// EntryID names an entry.
func EntryID(i int) string { return fmt.Sprintf("entry-%d", i+1) }

// address is where a process listens for other processes.
func address(id string) string { return id + ":1" }

// callersAddress is where an entry listens for callers.
func callersAddress(id string) string { return id + ":2" }

// Process returns a process by its id.
func (c *Cluster) Process(id string) *Process { return c.procs[id] }

// Host adds a host that is no process, such as a caller's machine.
func (c *Cluster) Host(name string) transport.Network {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Contains(c.hosts, name) {
		c.hosts = append(c.hosts, name)
	}
	return c.net.Host(name)
}

// controlAddresses lists all control VMs.
func (c *Cluster) controlAddresses() []string {
	list := make([]string, c.size.Controls)
	for i := range list {
		list[i] = address(ControlID(i))
	}
	return list
}

func (c *Cluster) controlClient(n transport.Network) (*controlclient.Client, *http.Client) {
	h := transport.NewClient(transport.ClientOptions{Network: n})
	return controlclient.New(h, "http", c.controlAddresses()), h
}

// newLog returns the events of one life of a process.
func (c *Cluster) newLog(name string) *events.Log {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := events.NewLog(name, zap.NewNop(), events.NewClock())
	c.logs = append(c.logs, l)
	return l
}

// Count returns how often an event occurred in all processes.
func (c *Cluster) CountEvents(id events.ID) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := uint64(0)
	for _, l := range c.logs {
		n += l.Count(id)
	}
	return n
}

// Find prints the occurrences of one event.
func (c *Cluster) FormatEvents(id events.ID) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b strings.Builder
	for _, l := range c.logs {
		for _, e := range l.Select(events.Filter{}) {
			if e.ID == id {
				fmt.Fprintf(&b, "  %s %s %s %s err=%v\n", formatClock(e.Clock), l.Process(), e.Job, e.Text, e.Err)
			}
		}
	}
	return b.String()
}

// timedEvent is an event and its process.
type timedEvent struct {
	process string
	events.Event
}

// Timeline prints what all processes recorded of a job; a zero key selects
// the events that concern no job.
func (c *Cluster) Timeline(k job.Key) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []timedEvent
	for _, l := range c.logs {
		for _, e := range l.Select(events.Filter{Job: k}) {
			if k.ID == "" && e.Job.ID != "" {
				continue
			}
			list = append(list, timedEvent{l.Process(), e})
		}
	}
	slices.SortStableFunc(list, func(a, b timedEvent) int { return int(int64(a.Clock) - int64(b.Clock)) })
	var b strings.Builder
	for _, e := range list {
		fmt.Fprintf(&b, "  %s %-12s %s task=%d peer=%s %s err=%v\n",
			formatClock(e.Clock), e.process, e.ID.Name(), e.Task-1, e.Peer, e.Text, e.Err)
	}
	return b.String()
}

// Saw reports whether any process emitted an event about a job.
func (c *Cluster) HasEvent(id events.ID, k job.Key) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.logs {
		for _, e := range l.Select(events.Filter{Job: k}) {
			if e.ID == id {
				return true
			}
		}
	}
	return false
}

// Cut makes two hosts unreachable to each other, in silence.
func (c *Cluster) Cut(a, b string) { c.net.Cut(a, b) }

// Heal lets new connections of two hosts work again.
func (c *Cluster) Heal(a, b string) { c.net.Heal(a, b) }

// Silence makes the open connections of two hosts carry nothing any more.
func (c *Cluster) Silence(a, b string) { c.net.Silence(a, b) }

// others lists all hosts but one.
func (c *Cluster) otherHosts(id string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, h := range c.hosts {
		if h != id {
			list = append(list, h)
		}
	}
	return list
}

// Freeze cuts a process off from every other host.
func (c *Cluster) Isolate(id string) {
	for _, h := range c.otherHosts(id) {
		c.net.Cut(id, h)
	}
}

// Thaw ends a freeze.
func (c *Cluster) Reconnect(id string) {
	for _, h := range c.otherHosts(id) {
		c.net.Heal(id, h)
	}
}

// Close kills everything and waits until the goroutines of all lives have ended.
func (c *Cluster) Close() {
	for _, p := range c.procs {
		p.Kill()
	}
	for _, e := range c.Endpoints {
		e.stop()
	}
	for _, h := range c.otherHosts("") {
		c.net.Kill(h)
	}
	for _, p := range c.procs {
		p.wait()
	}
	// Goroutines of a dead entry may wait for the deadline of a task.
	time.Sleep(settings.DefaultMaxDeadline + time.Minute)
}
