package fallback

import (
	"context"
	"fmt"
	"net"
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

// fakeAgent joins every session that is offered, and keeps the orders.
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
				Session: m.Session, Fence: fakeFence, Pool: "desk", Capacity: work.Resources{CPU: 2000, MemoryMB: 100},
			}})
		case *mesh.Orders:
			for _, o := range m.Orders {
				a.orders <- o
			}
		}
	}
}

// end reports the end of an ordered run.
func (a *fakeAgent) end(c *link.Conn, o placement.Order) {
	c.Send(&mesh.Report{Session: o.Session, Ends: []mesh.NumberedEnd{{Number: 1, End: work.End{Run: o.Run, Reason: work.Done}}}})
}

func testLog() *events.Log { return events.NewLog("entry", zap.NewNop(), events.NewClock()) }

// scene is a Placer with one agent.
type scene struct {
	*testing.T
	agent  *fakeAgent
	placer *Placer
	// lead lets a leader be found.
	lead context.CancelFunc
}

func newScene(t *testing.T) *scene {
	s := &scene{T: t, agent: newFakeAgent(t)}
	s.placer = New(Options{
		VM: "entry-1", Term: 3, Lost: boottime.Now(),
		Routes: work.NewRoutes(&work.Configuration{Queues: []work.Queue{{
			Name: "q", Host: "h", Prefix: "/q/", Pool: "desk", MaxAttempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond,
		}}}),
		Agents:  []ledger.Agent{{VM: "side-1", Address: s.agent.address}},
		Metrics: scheduler.NewMetrics(), Log: testLog(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	s.lead = cancel
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.placer.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s
}

// outcome is what became of a submission.
type outcome struct {
	response *mesh.Response
	earlier  placement.PriorState
}

// submit submits a job of two tasks.
func (s *scene) submit(ctx context.Context, path string, useful time.Duration, earlier placement.PriorState) chan outcome {
	got := make(chan outcome, 1)
	bounded, cancel := context.WithTimeout(ctx, useful)
	go func() {
		defer cancel()
		r, e := s.placer.Submit(ctx, bounded, &mesh.Request{
			Operation: mesh.Submit, Host: "h", Path: path, PriorState: earlier,
			Job: &work.Job{BestEffort: true, Steps: []work.Step{{Tasks: 2, Need: work.Resources{CPU: 1000, MemoryMB: 10}, Estimate: 100 * time.Millisecond}}},
		})
		got <- outcome{r, e}
	}()
	return got
}

const somePath = "/q/00000000000000a1"

// TestJobIsServedWithoutLeader guards against an entry that can't place a job on
// its own.
func TestJobIsServedWithoutLeader(t *testing.T) {
	s := newScene(t)
	got := s.submit(context.Background(), somePath, time.Second, placement.PriorState{})
	conn := <-s.agent.conns
	for range 2 {
		s.agent.end(conn, <-s.agent.orders)
	}
	r := (<-got).response
	assert.Equal(t, r.Outcome, mesh.Found)
	assert.Equal(t, r.State, work.Completed)
}

// TestLeaderLearnsOfOpenJobs guards against a second run of a task by a leader that
// doesn't know what an entry started, and against done work that is thrown away.
func TestLeaderLearnsOfOpenJobs(t *testing.T) {
	s := newScene(t)
	got := s.submit(context.Background(), somePath, time.Second, placement.PriorState{})
	conn := <-s.agent.conns
	first := <-s.agent.orders
	s.agent.end(conn, first)
	<-s.agent.orders
	time.Sleep(50 * time.Millisecond)
	s.lead()
	moved := <-got
	assert.Assert(t, moved.response == nil)
	assert.Assert(t, moved.earlier.MayHaveRun())
	assert.DeepEqual(t, moved.earlier.Done, []work.TaskID{first.Run.Task})
	assert.Equal(t, len(moved.earlier.Unconfirmed), 1)
	assert.Equal(t, moved.earlier.Unconfirmed[0].VM, "side-1")
	assert.Equal(t, moved.earlier.Unconfirmed[0].Fence, fakeFence)
}

// TestUnstartedJobIsGivenUp guards against a caller who waits until the end of its
// time for a job that nobody can start, and against an untrue word that it hasn't
// run: an earlier leader may have started it.
func TestUnstartedJobIsGivenUp(t *testing.T) {
	s := newScene(t)
	busy := s.submit(context.Background(), somePath, time.Second, placement.PriorState{})
	<-s.agent.orders
	r := <-s.submit(context.Background(), "/q/00000000000000a2", 100*time.Millisecond, placement.PriorState{})
	assert.Equal(t, r.response.Outcome, mesh.NoLeader)
	assert.Assert(t, !r.earlier.MayHaveRun())
	r = <-s.submit(context.Background(), "/q/00000000000000a3", 100*time.Millisecond, placement.PriorState{SentToLeader: true})
	assert.Assert(t, r.earlier.MayHaveRun())
	r = <-s.submit(context.Background(), "/unknown/", 100*time.Millisecond, placement.PriorState{})
	assert.Equal(t, r.response.Outcome, mesh.NoLeader, "a newer configuration may have the queue")
	s.lead()
	<-busy
}

// TestJobOfACallerThatLeftIsStopped guards against work for nobody.
func TestJobOfACallerThatLeftIsStopped(t *testing.T) {
	s := newScene(t)
	ctx, leave := context.WithCancel(context.Background())
	got := s.submit(ctx, somePath, time.Second, placement.PriorState{})
	<-s.agent.orders
	<-s.agent.orders
	leave()
	assert.Equal(t, (<-got).response.Outcome, mesh.Uncertain)
	for range 2 {
		assert.Assert(t, (<-s.agent.orders).Stop)
	}
}

// TestEntriesSpreadOverAgents guards against an entry that opens more connections
// than it can keep, and against entries of a large system that all use the same
// agents.
func TestEntriesSpreadOverAgents(t *testing.T) {
	agents := make([]ledger.Agent, 1500)
	for i := range agents {
		agents[i].VM = fmt.Sprintf("side-%d", i)
	}
	used := map[string]bool{}
	for entry := range 20 {
		chosen := subset(fmt.Sprintf("entry-%d", entry), agents)
		assert.Equal(t, len(chosen), maxAgents)
		for _, a := range chosen {
			used[a.VM] = true
		}
	}
	assert.Assert(t, len(used) > 900, "20 entries use %d of 1500 agents", len(used))
	assert.Equal(t, len(subset("entry", agents[:50])), 50)
}
