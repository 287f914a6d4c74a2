// Package harness runs the services of the daemons on an in-memory network, for
// failure tests inside a synctest bubble. It starts, kills, restarts, isolates
// and stops processes, which run their real code. Parent: a test. Children:
// the incarnations of processes and stand-in endpoints, one goroutine each. State:
// the disks, which outlive the processes, and the starts at the endpoints.
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
	// LinkDelay is the one-way delay between processes, the same as in production.
	LinkDelay = 500 * time.Microsecond
	// DrainTimeout bounds a planned stop.
	DrainTimeout = 20 * time.Second
	// BalancerWait is how long the load balancer may still send callers to an
	// entry that is stopping.
	BalancerWait = 200 * time.Millisecond
)

// Size holds the number of processes of each role and their settings.
type Size struct {
	Controls, Entries, Agents, Slots int
	// SnapshotEntries is the number of log entries between snapshots.
	SnapshotEntries uint64
	// SyncDelay is the duration of each sync. It must be zero if snapshots are saved:
	// the store holds a mutex during a sync, and virtual time does not advance
	// while the snapshot's goroutine waits for it.
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

// New returns a cluster. Its processes are not started.
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

// ControlID returns the ID of a control VM.
func ControlID(i int) string { return fmt.Sprintf("control-%d", i+1) }

// AgentID returns the ID of an agent.
func AgentID(i int) string { return fmt.Sprintf("agent-%d", i+1) }

// EntryID returns the ID of an entry.
func EntryID(i int) string { return fmt.Sprintf("entry-%d", i+1) }

// address returns the address at which a process listens for other processes.
func address(id string) string { return id + ":1" }

// callersAddress returns the address at which an entry listens for callers.
func callersAddress(id string) string { return id + ":2" }

// Process returns a process by its ID.
func (c *Cluster) Process(id string) *Process { return c.procs[id] }

// Host adds a host without a process, such as a caller's machine.
func (c *Cluster) Host(name string) transport.Network {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Contains(c.hosts, name) {
		c.hosts = append(c.hosts, name)
	}
	return c.net.Host(name)
}

// controlAddresses returns the addresses of all control VMs.
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

// newLog returns the event log of one incarnation of a process.
func (c *Cluster) newLog(name string) *events.Log {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := events.NewLog(name, zap.NewNop(), events.NewClock())
	c.logs = append(c.logs, l)
	return l
}

// CountEvents returns how often an event occurred in all processes.
func (c *Cluster) CountEvents(id events.ID) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := uint64(0)
	for _, l := range c.logs {
		n += l.Count(id)
	}
	return n
}

// FormatEvents returns a line for each occurrence of an event.
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

// timedEvent is an event and the process that recorded it.
type timedEvent struct {
	process string
	events.Event
}

// Timeline returns the events of all processes about a job, a line each. A zero
// key selects the events without a job.
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

// HasEvent reports whether any process emitted an event about a job.
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

// Cut drops all traffic between two hosts without an error, on open connections
// also after Heal.
func (c *Cluster) Cut(a, b string) { c.net.Cut(a, b) }

// Heal lets two hosts open new connections to each other again.
func (c *Cluster) Heal(a, b string) { c.net.Heal(a, b) }

// Silence drops all traffic on the open connections of two hosts. New connections work.
func (c *Cluster) Silence(a, b string) { c.net.Silence(a, b) }

// otherHosts returns all hosts except one.
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

// Isolate cuts a process off from every other host.
func (c *Cluster) Isolate(id string) {
	for _, h := range c.otherHosts(id) {
		c.net.Cut(id, h)
	}
}

// Reconnect ends an isolation.
func (c *Cluster) Reconnect(id string) {
	for _, h := range c.otherHosts(id) {
		c.net.Heal(id, h)
	}
}

// Close kills all processes and endpoints and waits for the goroutines of all incarnations.
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
	// Goroutines of a killed entry may wait for the deadline of a task.
	time.Sleep(settings.DefaultMaxDeadline + time.Minute)
}
