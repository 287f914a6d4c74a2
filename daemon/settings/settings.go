package settings

import (
	"fmt"
	"net"
	"strings"
	"time"
)

// Defaults of fields that are missing or zero in the settings file.
const (
	DefaultLeaseTTL        = 4 * time.Second
	DefaultDrainTimeout    = 30 * time.Second
	DefaultBalancerWait    = 2 * time.Second
	DefaultElectionTimeout = time.Second
	DefaultMaxBodyBytes    = 8 << 20
	DefaultMaxConnections  = 4096
	DefaultMaxDeadline     = 5 * time.Minute
	// DefaultRequestMemoryBytes serves one body of DefaultMaxBodyBytes while others wait.
	DefaultRequestMemoryBytes = 64 << 20
)

// Process holds the settings that are common to all roles.
type Process struct {
	// ID identifies the process; it stays the same across restarts.
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	Rack       string `json:"rack"`
	// Listen is the IP address and port at which other processes connect.
	Listen string `json:"listen"`
	// Advertise is the address given to other processes; empty means Listen.
	Advertise string `json:"advertise"`
	// Ops is the address of /metrics, /healthz, /readyz, /v1/events and
	// /v1/status. No operations server runs if it is empty.
	Ops      string `json:"ops"`
	LogLevel string `json:"log_level"`
	TLS      *TLS   `json:"tls"`
	// DrainMS is the time-out of a planned stop in milliseconds.
	DrainMS int64 `json:"drain_ms"`
	// RequestMemoryBytes bounds what the open requests of each listener hold.
	RequestMemoryBytes int64 `json:"request_memory_bytes"`
	// LinkQueueKiB bounds the bytes of requests that wait to be sent to one process.
	LinkQueueKiB int `json:"link_queue_kib"`
}

// LinkQueueBytes returns the bound for the bytes that wait to be sent to one process, 0 for the default.
func (p Process) LinkQueueBytes() int { return p.LinkQueueKiB << 10 }

// RequestMemory returns the memory for the open requests of each listener.
func (p Process) RequestMemory() int64 {
	if p.RequestMemoryBytes == 0 {
		return DefaultRequestMemoryBytes
	}
	return p.RequestMemoryBytes
}

// TLS names the files of mutual TLS.
type TLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	CAFile   string `json:"ca_file"`
}

// DrainTimeout returns the time-out of a planned stop.
func (p Process) DrainTimeout() time.Duration { return milliseconds(p.DrainMS, DefaultDrainTimeout) }

// Address returns the address that other processes use.
func (p Process) Address() string {
	if p.Advertise != "" {
		return p.Advertise
	}
	return p.Listen
}

// OpsURL returns the URL of the operations server, empty if there is none.
func (p Process) OpsURL() string {
	if p.Ops == "" || strings.Contains(p.Ops, "://") {
		return p.Ops
	}
	return "http://" + p.Ops
}

func milliseconds(ms int64, defaultValue time.Duration) time.Duration {
	if ms == 0 {
		return defaultValue
	}
	return time.Duration(ms) * time.Millisecond
}

func (p Process) validate(report func(path, message string)) {
	requireValue(report, "id", p.ID)
	requireValue(report, "data_centre", p.DataCentre)
	requireAddress(report, "listen", p.Listen)
	if p.Advertise != "" {
		requireAddress(report, "advertise", p.Advertise)
	}
	if p.Ops != "" {
		requireAddress(report, "ops", p.Ops)
	}
	switch p.LogLevel {
	case "", "debug", "info", "warn", "error":
	default:
		report("log_level", fmt.Sprintf("%q is none of debug, info, warn, error", p.LogLevel))
	}
	requireNotNegative(report, "drain_ms", p.DrainMS)
	requireNotNegative(report, "request_memory_bytes", p.RequestMemoryBytes)
	requireNotNegative(report, "link_queue_kib", int64(p.LinkQueueKiB))
	if p.TLS != nil {
		requireValue(report, "tls.cert_file", p.TLS.CertFile)
		requireValue(report, "tls.key_file", p.TLS.KeyFile)
		requireValue(report, "tls.ca_file", p.TLS.CAFile)
	}
}

func requireValue(report func(path, message string), path, value string) {
	if value == "" {
		report(path, "is required")
	}
}

func requireAddress(report func(path, message string), path, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		report(path, fmt.Sprintf("%q is not an IP address and port", value))
		return
	}
	if net.ParseIP(host) == nil {
		report(path, fmt.Sprintf("%q is not an IP address", host))
	}
}

func requireNotNegative(report func(path, message string), path string, value int64) {
	if value < 0 {
		report(path, "is negative")
	}
}

// Control holds the settings of a control VM.
type Control struct {
	Process
	// DataDir is the folder of the durable state.
	DataDir string `json:"data_dir"`
	// Bootstrap creates a new group with this VM as its only member if the
	// folder is empty. Further VMs join with `cicadapulley group add`.
	Bootstrap bool `json:"bootstrap"`
	// LeaseTTLMS is the length of members' leases in milliseconds.
	LeaseTTLMS int64 `json:"lease_ttl_ms"`
	// ElectionTimeoutMS is the shortest time without a leader before an
	// election, in milliseconds.
	ElectionTimeoutMS int64 `json:"election_timeout_ms"`
	// SnapshotEntries is the number of log entries between snapshots.
	SnapshotEntries uint64 `json:"snapshot_entries"`
	// SyncDelayMS is added to each sync, in milliseconds, to model slower disks
	// in experiments.
	SyncDelayMS int64 `json:"sync_delay_ms"`
}

// Validate implements strictjson.Validator.
func (c *Control) Validate(report func(path, message string)) {
	c.validate(report)
	requireValue(report, "data_dir", c.DataDir)
	requireNotNegative(report, "lease_ttl_ms", c.LeaseTTLMS)
	requireNotNegative(report, "election_timeout_ms", c.ElectionTimeoutMS)
	requireNotNegative(report, "sync_delay_ms", c.SyncDelayMS)
	if c.LeaseTTLMS > 0 && c.LeaseTTL() < 2*c.ElectionTimeout() {
		report("lease_ttl_ms", "must be at least twice election_timeout_ms, or leases lapse during elections")
	}
}

// LeaseTTL returns the length of members' leases.
func (c Control) LeaseTTL() time.Duration { return milliseconds(c.LeaseTTLMS, DefaultLeaseTTL) }

// ElectionTimeout returns the shortest time without a leader before an election.
func (c Control) ElectionTimeout() time.Duration {
	return milliseconds(c.ElectionTimeoutMS, DefaultElectionTimeout)
}

// Entry holds the settings of an entry VM.
type Entry struct {
	Process
	// Control lists the addresses of the control VMs.
	Control []string `json:"control"`
	// Callers is the address of the callers' HTTP interface.
	Callers string `json:"callers"`
	// BalancerWaitMS is how long the load balancer takes to notice that the
	// entry is not ready, in milliseconds.
	BalancerWaitMS int64 `json:"balancer_wait_ms"`
	MaxBodyBytes   int64 `json:"max_body_bytes"`
	MaxConnections int   `json:"max_connections"`
	// MaxDeadlineMS is the longest deadline that a caller may request, in
	// milliseconds.
	MaxDeadlineMS int64 `json:"max_deadline_ms"`
	// Dispatch is the strategy by which endpoints are chosen; it is set in
	// experiments only.
	Dispatch string `json:"dispatch"`
}

// Validate implements strictjson.Validator.
func (e *Entry) Validate(report func(path, message string)) {
	e.validate(report)
	requireAddresses(report, "control", e.Control)
	requireAddress(report, "callers", e.Callers)
	requireNotNegative(report, "balancer_wait_ms", e.BalancerWaitMS)
	requireNotNegative(report, "max_body_bytes", e.MaxBodyBytes)
	requireNotNegative(report, "max_connections", int64(e.MaxConnections))
	requireNotNegative(report, "max_deadline_ms", e.MaxDeadlineMS)
	switch e.Dispatch {
	case "", "grants", "two_choices", "random":
	default:
		report("dispatch", fmt.Sprintf("%q is none of grants, two_choices, random", e.Dispatch))
	}
}

func requireAddresses(report func(path, message string), path string, list []string) {
	if len(list) == 0 {
		report(path, "is required")
	}
	for i, a := range list {
		requireAddress(report, fmt.Sprintf("%s[%d]", path, i), a)
	}
}

// BalancerWait returns how long the load balancer takes to notice that the
// entry is not ready.
func (e Entry) BalancerWait() time.Duration {
	return milliseconds(e.BalancerWaitMS, DefaultBalancerWait)
}

// BodyLimit returns the largest request body in bytes.
func (e Entry) BodyLimit() int64 {
	if e.MaxBodyBytes == 0 {
		return DefaultMaxBodyBytes
	}
	return e.MaxBodyBytes
}

// ConnectionLimit returns the largest number of callers' connections.
func (e Entry) ConnectionLimit() int {
	if e.MaxConnections == 0 {
		return DefaultMaxConnections
	}
	return e.MaxConnections
}

// DeadlineLimit returns the longest deadline that a caller may request.
func (e Entry) DeadlineLimit() time.Duration {
	return milliseconds(e.MaxDeadlineMS, DefaultMaxDeadline)
}

// ServedKind names a kind that the endpoint answers.
type ServedKind struct {
	Service string `json:"service"`
	Kind    string `json:"kind"`
}

// Agent holds the settings of an agent.
type Agent struct {
	Process
	Control []string `json:"control"`
	// Endpoint is the URL to which payloads are posted.
	Endpoint     string       `json:"endpoint"`
	Serves       []ServedKind `json:"serves"`
	Slots        int          `json:"slots"`
	Connections  int          `json:"connections"`
	MilliCPU     int64        `json:"milli_cpu"`
	MemoryMB     int64        `json:"memory_mb"`
	Accelerators int64        `json:"accelerators"`
}

// Validate implements strictjson.Validator.
func (a *Agent) Validate(report func(path, message string)) {
	a.validate(report)
	requireAddresses(report, "control", a.Control)
	requireValue(report, "endpoint", a.Endpoint)
	if len(a.Serves) == 0 {
		report("serves", "is required")
	}
	for i, k := range a.Serves {
		requireValue(report, fmt.Sprintf("serves[%d].service", i), k.Service)
		requireValue(report, fmt.Sprintf("serves[%d].kind", i), k.Kind)
	}
	if a.Slots < 1 {
		report("slots", "must be at least 1")
	}
	if a.Connections < a.Slots {
		report("connections", "must be at least slots")
	}
	requireNotNegative(report, "milli_cpu", a.MilliCPU)
	requireNotNegative(report, "memory_mb", a.MemoryMB)
	requireNotNegative(report, "accelerators", a.Accelerators)
}
