package relay_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/runtable"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/coordinator"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/follow"
	"github.com/cicadapulley/cicadapulley/daemon/gateway"
	"github.com/cicadapulley/cicadapulley/daemon/link"
	"github.com/cicadapulley/cicadapulley/daemon/relay"
	"github.com/cicadapulley/cicadapulley/daemon/runner"
)

// network holds bytes back between VMs. Only connections to control VMs pass through it.
type network struct {
	// blocked reports whether bytes from one VM to another are held back; nil for none.
	blocked atomic.Pointer[func(from, to string) bool]
}

func (n *network) set(blocked func(from, to string) bool) { n.blocked.Store(&blocked) }

func (n *network) heal() { n.blocked.Store(nil) }

// cut holds back everything between two groups of VMs, which are told apart by belongs.
func (n *network) cut(belongs func(vm string) bool) {
	n.set(func(from, to string) bool { return belongs(from) != belongs(to) })
}

// forward accepts connections for the control VM vm. The first message names their sender:
// the entry, if an entry relays an agent.
func (n *network) forward(ctx context.Context, l net.Listener, vm, target string) {
	defer context.AfterFunc(ctx, func() { l.Close() })()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			var first bytes.Buffer
			m, err := mesh.Read(io.TeeReader(c, &first), mesh.MaxMessageBytes, nil)
			hello, ok := m.(*mesh.Hello)
			if err != nil || !ok {
				return
			}
			sender := hello.VM
			if hello.RelayedBy != "" {
				sender = hello.RelayedBy
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			defer context.AfterFunc(ctx, func() { c.Close(); server.Close() })()
			go n.pump(ctx, c, server, vm, sender)
			n.pump(ctx, server, io.MultiReader(&first, c), sender, vm)
			server.Close()
		}()
	}
}

// pump copies bytes and waits while they are held back. The end of a connection is held
// back like its bytes.
func (n *network) pump(ctx context.Context, to net.Conn, from io.Reader, fromVM, toVM string) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		for blocked := n.blocked.Load(); ctx.Err() == nil && blocked != nil && (*blocked)(fromVM, toVM); blocked = n.blocked.Load() {
			time.Sleep(2 * time.Millisecond)
		}
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

// process is an entry or an agent.
type process struct {
	log  *events.Log
	stop func()
	// gateway is set for entries, endpoint for agents.
	gateway  *gateway.Service
	endpoint *endpoint
}

type system struct {
	*testing.T
	network
	ctx      context.Context
	running  sync.WaitGroup
	controls []*process
	entries  []*process
	agents   []*process
	seeds    []string
}

const runTime = 20 * time.Millisecond

func newSystem(t *testing.T, entries, agents, relays int) *system {
	ctx, stop := context.WithCancel(context.Background())
	s := &system{T: t, ctx: ctx}
	t.Cleanup(func() {
		s.heal()
		stop()
		s.running.Wait()
	})
	const controls = 3
	var proxies []net.Listener
	for range controls {
		l := s.listen()
		proxies = append(proxies, l)
		s.seeds = append(s.seeds, l.Addr().String())
	}
	var managers []*coordinator.Manager
	for i, proxy := range proxies {
		p := s.newProcess(fmt.Sprintf("control-%d", i))
		listener := s.listen()
		s.running.Go(func() { s.forward(ctx, proxy, p.log.Process(), listener.Addr().String()) })
		m := coordinator.NewManager(coordinator.Options{
			VM: p.log.Process(), Address: s.seeds[i], Listen: func() (net.Listener, error) { return listener, nil }, DataDir: t.TempDir(),
			Bootstrap: true, Founders: s.seeds, Voters: controls, KeepFinal: time.Minute, Relays: relays, Log: p.log,
		})
		managers = append(managers, m)
		s.controls = append(s.controls, p)
		s.running.Go(func() { _ = m.Run(ctx) })
	}
	for i := range entries {
		s.entries = append(s.entries, s.startEntry(fmt.Sprintf("entry-%d", i)))
	}
	for i := range agents {
		s.agents = append(s.agents, s.startAgent(fmt.Sprintf("agent-%d", i)))
	}
	configuration := &work.Configuration{
		Version: 1, Pools: []string{"desk"}, Document: []byte(`{}`),
		Queues: []work.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "desk", Timeout: time.Second, Stretch: 1.6, Target: time.Second}},
	}
	s.eventually("a configuration is confirmed", func() bool {
		return slices.ContainsFunc(managers, func(m *coordinator.Manager) bool { return m.Configure(ctx, configuration) == nil })
	})
	s.eventually("all endpoints have joined", func() bool { return s.count(s.controls, events.EndpointJoined) >= uint64(agents) })
	time.Sleep(1500 * time.Millisecond) // the first term's leases have expired, and all connections have lasted
	return s
}

func (s *system) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(s, err)
	return l
}

func (s *system) newProcess(vm string) *process {
	logger := zap.NewNop()
	if os.Getenv("CICADAPULLEY_TEST_LOG") != "" {
		logger = zap.Must(zap.NewDevelopment()).With(zap.String("vm", vm))
	}
	return &process{log: events.NewLog(vm, logger, events.NewClock())}
}

// run runs children until the process or the test stops.
func (s *system) run(p *process, children ...func(context.Context) error) {
	ctx, stop := context.WithCancel(s.ctx)
	p.stop = stop
	for _, child := range children {
		s.running.Go(func() { _ = child(ctx) })
	}
}

func (s *system) startEntry(vm string) *process {
	p := s.newProcess(vm)
	relays := relay.New(relay.Options{VM: vm, Limit: 16, Log: p.log})
	p.gateway = gateway.New(gateway.Options{VM: vm, Relay: relays.Relay, Log: p.log})
	f := follow.New(follow.Options{
		Hello: &mesh.Hello{Role: mesh.RoleEntry, VM: vm, Relays: 16}, Addresses: s.seeds, Serve: p.gateway.Serve, Standby: p.gateway.Standby, Log: p.log,
	})
	s.run(p, relays.Run, f.Run, p.gateway.Run)
	return p
}

func (s *system) startAgent(vm string) *process {
	p := s.newProcess(vm)
	p.endpoint = &endpoint{startedAt: time.Now(), running: map[work.Run]bool{}, starts: map[work.TaskID]int{}}
	listener := s.listen()
	var f *follow.Follower
	agent := runner.New(runner.Options{
		Endpoint: p.endpoint, MaxHold: time.Second, Listener: listener, DrainTimeout: time.Millisecond, Log: p.log,
		ServeRelayed: func(ctx context.Context, c *link.Conn, entry string) error { return f.ServeRelayed(ctx, c, entry) },
	})
	f = follow.New(follow.Options{
		Hello:     &mesh.Hello{Role: mesh.RoleAgent, VM: vm, Address: listener.Addr().String()},
		Addresses: s.seeds, Serve: agent.Serve, Standby: agent.Standby, Log: p.log,
	})
	agent.Register(runner.Registration{Incarnation: work.Incarnation{
		Instance: vm, StartTimeMS: 1, Pool: "desk", Capacity: work.Resources{CPU: 4000, MemoryMB: 100},
	}})
	s.run(p, agent.Run, f.Run)
	return p
}

func (s *system) eventually(what string, check func() bool) {
	s.Helper()
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if check() {
			return
		}
	}
	s.Fatalf("condition not met: %s", what)
}

func (s *system) count(processes []*process, id events.ID) uint64 {
	total := uint64(0)
	for _, p := range processes {
		total += p.log.Count(id)
	}
	return total
}

// keepBusy submits jobs through an entry until the test ends.
func (s *system) keepBusy(entry *process) {
	const lanes = 4
	for lane := range lanes {
		s.running.Go(func() {
			for n := 0; s.ctx.Err() == nil; n++ {
				ctx, cancel := context.WithTimeout(s.ctx, 2*time.Second)
				entry.gateway.Do(ctx, &mesh.Request{Operation: mesh.Submit, Host: "h", Path: fmt.Sprintf("/q/%016x", lane<<32+n), Job: &work.Job{
					BestEffort: true, Steps: []work.Step{{Tasks: 1, Need: work.Resources{CPU: 1000}, Estimate: runTime}},
				}})
				cancel()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
}

// awaitStart returns the time until an agent's endpoint starts another task.
func (s *system) awaitStart(a *process) time.Duration {
	s.Helper()
	begun := time.Now()
	before := a.endpoint.count.Load()
	s.eventually("the endpoint starts a task", func() bool { return a.endpoint.count.Load() > before })
	return time.Since(begun)
}

// checkStarts checks that no endpoint has started a task twice.
func (s *system) checkStarts() {
	s.Helper()
	starts := map[work.TaskID]int{}
	for _, a := range s.agents {
		a.endpoint.mu.Lock()
		for task, n := range a.endpoint.starts {
			starts[task] += n
		}
		a.endpoint.mu.Unlock()
	}
	for task, n := range starts {
		assert.Equal(s, n, 1, "starts of %v", task)
	}
}

// endpoint is an endpoint whose tasks end after runTime. A call with an older fence is
// refused, and runs end with the lease.
type endpoint struct {
	startedAt time.Time
	// count counts the starts.
	count atomic.Int64

	mu      sync.Mutex
	fence   placement.SessionID
	lease   time.Duration
	running map[work.Run]bool
	ends    []runtable.End
	lastEnd uint64
	starts  map[work.TaskID]int
}

func (e *endpoint) clock() time.Duration { return time.Since(e.startedAt) + time.Minute }

// admit refuses a fenced call, ends the runs whose lease has expired, and extends the
// lease. The caller holds mu.
func (e *endpoint) admit(fence placement.SessionID, deadline time.Duration) runtable.Verdict {
	if fence < e.fence {
		return runtable.Fenced
	}
	e.fence = fence
	if e.clock() > e.lease {
		clear(e.running)
	}
	e.lease = max(e.lease, deadline)
	return runtable.Done
}

func (e *endpoint) Start(_ context.Context, _ string, q runner.StartRequest) (runtable.Answer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := runtable.Answer{Verdict: e.admit(q.Fence, q.Deadline), Clock: e.clock()}
	if a.Verdict != runtable.Done || e.running[q.Run] {
		return a, nil
	}
	e.running[q.Run] = true
	e.starts[q.Run.Task]++
	e.count.Add(1)
	time.AfterFunc(runTime, func() { e.finish(q.Run) })
	return a, nil
}

func (e *endpoint) finish(r work.Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[r] && e.clock() <= e.lease {
		e.lastEnd++
		e.ends = append(e.ends, runtable.End{Number: e.lastEnd, End: work.End{Run: r, Reason: work.Done}})
	}
	delete(e.running, r)
}

func (e *endpoint) Stop(_ context.Context, _ string, q runner.StopRequest) (runtable.Answer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, q.Run)
	return runtable.Answer{Verdict: e.admit(q.Fence, 0), Clock: e.clock()}, nil
}

func (e *endpoint) Hold(_ context.Context, _ string, q runtable.HoldRequest) (runtable.Listing, error) {
	time.Sleep(min(q.Wait, 10*time.Millisecond))
	e.mu.Lock()
	defer e.mu.Unlock()
	l := runtable.Listing{Verdict: e.admit(q.Fence, q.Deadline), Clock: e.clock(), StartTimeMS: 1}
	e.ends = slices.DeleteFunc(e.ends, func(end runtable.End) bool { return end.Number <= q.AckedUpTo })
	l.Ends = slices.Clone(e.ends)
	for r := range e.running {
		l.Running = append(l.Running, placement.ListedRun{Run: r})
	}
	return l, nil
}
