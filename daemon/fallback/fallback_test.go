package fallback

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/link"
	"github.com/cicadapulley/cicadapulley/daemon/scheduler"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeAgent joins every session that it is offered and passes on the orders that it
// receives.
type fakeAgent struct {
	address string
	orders  chan placement.Order
	conns   chan *link.Conn
}

const fakeFence placement.SessionID = 77

func newFakeAgent(t *testing.T) *fakeAgent {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	a := &fakeAgent{address: l.Addr().String(), orders: make(chan placement.Order, 100), conns: make(chan *link.Conn, 10)}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = link.Serve(ctx, l, link.ServeOptions{Name: "agent", MaxConnections: 4, Log: testLog()}, a.serve)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return a
}

func (a *fakeAgent) serve(_ context.Context, c *link.Conn, _ *mesh.Hello) error {
	a.conns <- c
	for {
		m, err := c.Receive(5 * time.Second)
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *mesh.Ping:
			c.Send(&mesh.Pong{})
		case *mesh.Welcome:
			c.Send(&mesh.Inventory{Endpoint: placement.Endpoint{
				Session: m.Session, Fence: fakeFence, Pool: "desk", DataCentre: "east", Capacity: work.Resources{CPU: 2000, MemoryMB: 100}, Slowdown: 1300,
			}})
		case *mesh.Orders:
			for _, o := range m.Orders {
				a.orders <- o
			}
		}
	}
}

// reportEnd reports the end of an ordered run.
func (a *fakeAgent) reportEnd(c *link.Conn, o placement.Order) {
	c.Send(&mesh.Report{Session: o.Session, Ends: []mesh.NumberedEnd{{Number: 1, End: work.End{Run: o.Run, Reason: work.Done}}}})
}

func testLog() *events.Log { return events.NewLog("entry", zap.NewNop(), events.NewClock()) }

// fixture is a Placer with one agent.
type fixture struct {
	*testing.T
	agent  *fakeAgent
	placer *Placer
	// findLeader ends the Placer's Run, as when a leader is found.
	findLeader context.CancelFunc
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{T: t, agent: newFakeAgent(t)}
	f.placer = New(Options{
		VM: "entry-1", Term: 3, LeaderLostAt: boottime.Now(),
		Routes: work.NewRoutes(&work.Configuration{Queues: []work.Queue{{
			Name: "q", Host: "h", Prefix: "/q/", Pool: "desk", MaxAttempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond,
		}}}),
		Agents:  []ledger.Agent{{VM: "side-1", Address: f.agent.address}},
		Metrics: scheduler.NewMetrics(), Log: testLog(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	f.findLeader = cancel
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.placer.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

// submitResult is what Submit returned.
type submitResult struct {
	response *mesh.Response
	prior    placement.PriorState
}

// submit submits a job of two tasks.
func (f *fixture) submit(ctx context.Context, path string, startTimeout time.Duration, prior placement.PriorState) chan submitResult {
	got := make(chan submitResult, 1)
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	go func() {
		defer cancel()
		r, newPrior := f.placer.Submit(ctx, startCtx, &mesh.Request{
			Operation: mesh.Submit, Host: "h", Path: path, PriorState: prior,
			Job: &work.Job{BestEffort: true, Steps: []work.Step{{Tasks: 2, Need: work.Resources{CPU: 1000, MemoryMB: 10}, Estimate: 100 * time.Millisecond}}},
		})
		got <- submitResult{r, newPrior}
	}()
	return got
}

const jobPath = "/q/00000000000000a1"

// TestDrainWithoutLeader guards against an entry that starts tasks in a drained data centre,
// or lets the callers wait there, and against one that doesn't use the data centre after the
// withdrawal.
func TestDrainWithoutLeader(t *testing.T) {
	f := newFixture(t)
	f.placer.SetDrained(work.DataCentreDrains{Revision: 4, DataCentres: []string{"east"}})
	f.placer.SetDrained(work.DataCentreDrains{Revision: 3})
	conn := <-f.agent.conns
	for !f.placer.ReachesEndpoints() {
		time.Sleep(time.Millisecond)
	}
	r := (<-f.submit(context.Background(), jobPath, time.Second, placement.PriorState{})).response
	assert.Assert(t, r.Outcome.NotRun() && r.RetryAfterMS > 0, "%+v", r)
	assert.Equal(t, len(f.agent.orders), 0)
	f.placer.SetDrained(work.DataCentreDrains{Revision: 5})
	got := f.submit(context.Background(), jobPath, time.Second, placement.PriorState{})
	for range 2 {
		f.agent.reportEnd(conn, <-f.agent.orders)
	}
	assert.Equal(t, (<-got).response.State, work.Completed)
}

// TestDrainAnswersWaitingCallers guards against a caller that waits until its own time limit
// because its job was accepted just before the drain, and against one whose job runs and is
// refused.
func TestDrainAnswersWaitingCallers(t *testing.T) {
	f := newFixture(t)
	running := f.submit(context.Background(), jobPath, time.Second, placement.PriorState{})
	conn := <-f.agent.conns
	orders := []placement.Order{<-f.agent.orders, <-f.agent.orders}
	const otherPath = "/q/00000000000000a2"
	waiting := f.submit(context.Background(), otherPath, 5*time.Second, placement.PriorState{})
	for !f.has("00000000000000a2") {
		time.Sleep(time.Millisecond)
	}
	f.placer.SetDrained(work.DataCentreDrains{Revision: 4, DataCentres: []string{"east"}})
	r := (<-waiting).response
	assert.Assert(t, r.Outcome == mesh.Overloaded && r.RetryAfterMS > 0, "%+v", r)
	for _, o := range orders {
		f.agent.reportEnd(conn, o)
	}
	assert.Equal(t, (<-running).response.State, work.Completed)
}

// has reports whether a request waits for a job whose id ends like this.
func (f *fixture) has(end string) bool {
	f.placer.mu.Lock()
	defer f.placer.mu.Unlock()
	for _, r := range f.placer.open {
		if strings.HasSuffix(string(r.id), end) {
			return true
		}
	}
	return false
}

// TestJobCompletesWithoutLeader guards against an entry that can't place a job on
// its own.
func TestJobCompletesWithoutLeader(t *testing.T) {
	f := newFixture(t)
	got := f.submit(context.Background(), jobPath, time.Second, placement.PriorState{})
	conn := <-f.agent.conns
	for range 2 {
		f.agent.reportEnd(conn, <-f.agent.orders)
	}
	r := (<-got).response
	assert.Equal(t, r.Outcome, mesh.Found)
	assert.Equal(t, r.State, work.Completed)
}

// TestPlacerStartsWithReportedSlowdowns guards against an entry without a leader that places jobs as if all
// endpoints had one speed, although the agents report what a leader has learned.
func TestPlacerStartsWithReportedSlowdowns(t *testing.T) {
	f := newFixture(t)
	slowdown := 0
	for deadline := time.Now().Add(5 * time.Second); slowdown == 0 && time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		f.placer.ReadPlanner(func(p *placement.Planner, _ time.Time) { slowdown = p.Slowdown(1) })
	}
	assert.Equal(t, slowdown, 1300)
}

// TestOpenJobsAreHandedOver guards against a leader that runs a task again because the
// entry did not report that it had started or completed it.
func TestOpenJobsAreHandedOver(t *testing.T) {
	f := newFixture(t)
	got := f.submit(context.Background(), jobPath, time.Second, placement.PriorState{})
	conn := <-f.agent.conns
	first := <-f.agent.orders
	f.agent.reportEnd(conn, first)
	<-f.agent.orders
	time.Sleep(50 * time.Millisecond)
	f.findLeader()
	result := <-got
	assert.Assert(t, result.response == nil)
	assert.Assert(t, result.prior.MayHaveRun())
	assert.DeepEqual(t, result.prior.Done, []work.TaskID{first.Run.Task})
	assert.Equal(t, len(result.prior.Unconfirmed), 1)
	assert.Equal(t, result.prior.Unconfirmed[0].VM, "side-1")
	assert.Equal(t, result.prior.Unconfirmed[0].Fence, fakeFence)
}

// TestUnstartedJobEndsWithNoLeader guards against a caller that waits until its
// deadline for a job that cannot be started, and against a false report that the job
// has not run when an earlier leader may have started it.
func TestUnstartedJobEndsWithNoLeader(t *testing.T) {
	f := newFixture(t)
	first := f.submit(context.Background(), jobPath, time.Second, placement.PriorState{})
	<-f.agent.orders
	r := <-f.submit(context.Background(), "/q/00000000000000a2", 100*time.Millisecond, placement.PriorState{})
	assert.Equal(t, r.response.Outcome, mesh.NoLeader)
	assert.Assert(t, !r.prior.MayHaveRun())
	r = <-f.submit(context.Background(), "/q/00000000000000a3", 100*time.Millisecond, placement.PriorState{SentToLeader: true})
	assert.Assert(t, r.prior.MayHaveRun())
	r = <-f.submit(context.Background(), "/unknown/", 100*time.Millisecond, placement.PriorState{})
	assert.Equal(t, r.response.Outcome, mesh.NoLeader, "a newer configuration may have the queue")
	f.findLeader()
	<-first
}

// TestJobStopsWhenCallerLeaves guards against runs that continue after their caller
// has left.
func TestJobStopsWhenCallerLeaves(t *testing.T) {
	f := newFixture(t)
	ctx, cancel := context.WithCancel(context.Background())
	got := f.submit(ctx, jobPath, time.Second, placement.PriorState{})
	<-f.agent.orders
	<-f.agent.orders
	cancel()
	assert.Equal(t, (<-got).response.Outcome, mesh.Uncertain)
	for range 2 {
		assert.Assert(t, (<-f.agent.orders).Stop)
	}
}

// TestEntriesSpreadOverAgents guards against an entry that opens more connections
// than maxAgents, and against entries of a large system that all use the same agents.
func TestEntriesSpreadOverAgents(t *testing.T) {
	agents := make([]ledger.Agent, 1500)
	for i := range agents {
		agents[i].VM = fmt.Sprintf("side-%d", i)
	}
	used := map[string]bool{}
	for entry := range 20 {
		chosen := chooseAgents(fmt.Sprintf("entry-%d", entry), agents)
		assert.Equal(t, len(chosen), maxAgents)
		for _, a := range chosen {
			used[a.VM] = true
		}
	}
	assert.Assert(t, len(used) > 900, "20 entries use %d of 1500 agents", len(used))
	assert.Equal(t, len(chooseAgents("entry", agents[:50])), 50)
}

// TestPlacerAppliesShares guards against shares that don't reach the planner of an entry
// without a leader, at its start and with a later configuration.
func TestPlacerAppliesShares(t *testing.T) {
	p := New(Options{
		VM: "entry-1", LeaderLostAt: boottime.Now(), Metrics: scheduler.NewMetrics(), Log: testLog(),
		Routes: work.NewRoutes(&work.Configuration{Queues: []work.Queue{{Name: "q", Pool: "desk"}}}),
		Shares: scheduler.NewShares(map[string]int{"q": 20, "r": 20}, testLog()),
	})
	shares := func() (n int) {
		p.ReadPlanner(func(planner *placement.Planner, now time.Time) { n = len(planner.ShareUses(now)) })
		return n
	}
	assert.Equal(t, shares(), 1)
	p.SetRoutes(work.NewRoutes(&work.Configuration{Version: 2, Queues: []work.Queue{{Name: "q", Pool: "desk"}, {Name: "r", Pool: "desk"}}}))
	assert.Equal(t, shares(), 2)
}

// TestPlacerDetectsInterference guards against an option that doesn't reach the planner
// of an entry without a leader.
func TestPlacerDetectsInterference(t *testing.T) {
	for _, on := range []bool{false, true} {
		p := New(Options{VM: "entry-1", LeaderLostAt: boottime.Now(), Metrics: scheduler.NewMetrics(), DetectInterference: on, Log: testLog()})
		p.ReadPlanner(func(planner *placement.Planner, _ time.Time) { assert.Equal(t, planner.DetectsInterference(), on) })
	}
}
