package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/leaderless"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/fallback"
	"github.com/cicadapulley/cicadapulley/daemon/follow"
	"github.com/cicadapulley/cicadapulley/daemon/link"
)

// newConn returns a connection to a control VM and the other end of it.
func newConn(t *testing.T) (entry, control *link.Conn) {
	a, b := net.Pipe()
	entry, control = link.New(a), link.New(b)
	t.Cleanup(func() {
		entry.Close()
		control.Close()
		entry.Wait()
		control.Wait()
	})
	return entry, control
}

func welcome(term, version uint64, prefix string, agents ...ledger.Agent) *mesh.Welcome {
	return &mesh.Welcome{Leading: true, Term: term, Version: version, Agents: agents, Queues: []work.Queue{{Name: "q", Host: "h", Prefix: prefix, Pool: "desk"}}}
}

func newService() *Service {
	return New(Options{VM: "entry-1", Log: events.NewLog("entry-1", zap.NewNop(), events.NewClock())})
}

func (s *Service) mayPlace(t *testing.T) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, ok := s.awaitLeaderLoss(ctx)
	return ok
}

// TestEntryFetchesAVersionThatNoLeaderSent guards against an entry that runs jobs of a
// dropped route, or can't place any, because the leader that confirmed the change was
// lost before it had sent the configuration to this entry.
func TestEntryFetchesAVersionThatNoLeaderSent(t *testing.T) {
	s := newService()
	lost := &leader{}
	s.setLeader(lost, nil)
	s.applyWelcome(lost, welcome(1, 5, "/a/"))
	s.setLeader(nil, lost)
	time.Sleep(leaderless.PlacementDelay)
	assert.Assert(t, s.mayPlace(t))
	entry, control := newConn(t)
	s.Standby(entry, &mesh.Pong{ConfigurationVersion: 6})
	assert.Assert(t, !s.mayPlace(t), "a newer version is known")
	m, err := control.Receive(time.Second)
	assert.NilError(t, err)
	_, requested := m.(*mesh.NewSession)
	assert.Assert(t, requested, "the entry sent %T", m)
	fetched := welcome(0, 6, "/b/")
	fetched.Leading = false
	s.Standby(entry, fetched)
	assert.Assert(t, s.mayPlace(t))
	queue, _ := s.view.Routes().Match("h", "/b/")
	assert.Assert(t, queue != nil)
}

// TestDrainsOfAnyControlVMAreUsed guards against an entry that places tasks in a drained data
// centre: with drains from before it lost the leader, with a change that a control VM which
// doesn't lead sends later, or after older drains of one that is behind.
func TestDrainsOfAnyControlVMAreUsed(t *testing.T) {
	s := newService()
	lost := &leader{}
	s.setLeader(lost, nil)
	s.applyWelcome(lost, welcome(1, 5, "/a/"))
	s.setLeader(nil, lost)
	entry, _ := newConn(t)
	s.Standby(entry, &mesh.Drains{State: work.DataCentreDrains{Revision: 4, DataCentres: []string{"east"}}})
	s.Standby(entry, &mesh.Drains{State: work.DataCentreDrains{Revision: 3}})
	time.Sleep(leaderless.PlacementDelay)
	opts, ok := s.awaitLeaderLoss(t.Context())
	assert.Assert(t, ok && opts.Drains.Contains("east"))
	p := fallback.New(opts)
	s.setLocal(p)
	assert.Assert(t, p.Drained("east"))
	s.Standby(entry, &mesh.Drains{State: work.DataCentreDrains{Revision: 6, DataCentres: []string{"west"}}})
	assert.Assert(t, !p.Drained("east") && p.Drained("west"))
}

// TestReplacedConnectionChangesNothing guards against an entry whose agents or
// configuration are set back by a message that arrives on the connection to a replaced
// leader.
func TestReplacedConnectionChangesNothing(t *testing.T) {
	s := newService()
	first, second := &leader{}, &leader{}
	s.setLeader(first, nil)
	s.applyWelcome(first, welcome(1, 5, "/a/"))
	s.setLeader(second, nil)
	s.applyWelcome(second, welcome(1, 5, "/a/", ledger.Agent{VM: "side-1"}))
	s.applyWelcome(first, welcome(1, 5, "/a/"))
	assert.Equal(t, len(s.view.Agents()), 1)
}

// TestJobGivenUpAfterAStart guards against a caller who is told that a job has not run although this
// entry has ordered the start of a task: the agent is lost before it has answered, and the job is given
// up once the run's lease has expired, since its result would come too late.
func TestJobGivenUpAfterAStart(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	serveCtx, cutOff := context.WithCancel(context.Background())
	served := make(chan struct{})
	ordered := make(chan struct{})
	go func() {
		defer close(served)
		_ = link.Serve(serveCtx, listener, link.ServeOptions{Name: "agent", MaxConnections: 4, Log: newService().opts.Log}, func(_ context.Context, c *link.Conn, _ *mesh.Hello) error {
			for {
				m, err := c.Receive(5 * time.Second)
				if err != nil {
					return err
				}
				switch m := m.(type) {
				case *mesh.Welcome:
					c.Send(&mesh.Inventory{Endpoint: placement.Endpoint{Session: m.Session, Pool: "pool", Capacity: work.Resources{CPU: 1}}})
				case *mesh.Orders:
					close(ordered)
					return nil
				}
			}
		})
	}()
	s := newService()
	lost := &leader{}
	s.setLeader(lost, nil)
	w := welcome(1, 5, "/q/", ledger.Agent{VM: "side-1", Address: listener.Addr().String()})
	w.Queues[0].Pool, w.Queues[0].MaxAttempts, w.Queues[0].Stretch = "pool", 2, 2
	s.applyWelcome(lost, w)
	s.setLeader(nil, lost)
	runCtx, stop := context.WithCancel(context.Background())
	ran := make(chan error)
	go func() { ran <- s.Run(runCtx) }()
	t.Cleanup(func() {
		cutOff()
		stop()
		<-served
		<-ran
	})
	answered := make(chan *mesh.Response, 1)
	go func() {
		answered <- s.Do(t.Context(), &mesh.Request{Operation: mesh.Submit, Host: "h", Path: "/q/00000000000000a1", Job: &work.Job{
			BestEffort: true, Steps: []work.Step{{Tasks: 1, Need: work.Resources{CPU: 1}, Estimate: 300 * time.Millisecond}},
		}})
	}()
	<-ordered
	cutOff()
	r := <-answered
	assert.Equal(t, r.Outcome, mesh.GivenUp, "%+v", r)
}

// TestGivenUpJobIsAnsweredAtOnce guards against a caller who waits until its own time limit for a job that the leader has
// given up: the entry took the answer for that of a VM that doesn't lead and sent the request again, the leader
// accepted it as one that may have run and gave it up again, and so on.
func TestGivenUpJobIsAnsweredAtOnce(t *testing.T) {
	s := newService()
	ctx, cancel := context.WithCancel(t.Context())
	entry, control := newConn(t)
	ended := make(chan error)
	go func() { ended <- s.Serve(ctx, &follow.Leader{Conn: entry, Welcome: welcome(1, 5, "/q/")}) }()
	answered := make(chan *mesh.Response, 1)
	go func() {
		answered <- s.Do(t.Context(), &mesh.Request{Operation: mesh.Submit, Host: "h", Path: "/q/00000000000000a1", Job: &work.Job{BestEffort: true}})
	}()
	m, err := control.Receive(5 * time.Second)
	assert.NilError(t, err)
	control.Send(&mesh.Response{Sequence: m.(*mesh.Request).Sequence, Outcome: mesh.GivenUp, Detail: "the job would complete too late"})
	r := <-answered
	assert.Equal(t, r.Outcome, mesh.GivenUp)
	assert.Assert(t, !r.Outcome.NotRun())
	assert.Equal(t, r.Detail, "the job would complete too late")
	cancel()
	<-ended
}

// TestRefusalAfterALostLeader guards against a caller who is told that a job has not run although an earlier
// leader may have started it: that leader is lost, or loses its term, before it has answered, and the next one
// refuses the job.
func TestRefusalAfterALostLeader(t *testing.T) {
	for name, answerFirst := range map[string]func(c *link.Conn, q *mesh.Request){
		"connection lost": func(c *link.Conn, _ *mesh.Request) { c.Close() },
		"uncertain": func(c *link.Conn, q *mesh.Request) {
			c.Send(&mesh.Response{Sequence: q.Sequence, Outcome: mesh.Uncertain})
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newService()
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 2)
			serve := func(term uint64) *link.Conn {
				entry, control := newConn(t)
				go func() { ended <- s.Serve(ctx, &follow.Leader{Conn: entry, Welcome: welcome(term, 5, "/q/")}) }()
				return control
			}
			receive := func(c *link.Conn) *mesh.Request {
				m, err := c.Receive(5 * time.Second)
				assert.NilError(t, err)
				return m.(*mesh.Request)
			}
			first := serve(1)
			answered := make(chan *mesh.Response, 1)
			go func() {
				answered <- s.Do(t.Context(), &mesh.Request{Operation: mesh.Submit, Host: "h", Path: "/q/00000000000000a1", Job: &work.Job{
					BestEffort: true, Steps: []work.Step{{Tasks: 1, Need: work.Resources{CPU: 1}, Estimate: time.Second}},
				}})
			}()
			answerFirst(first, receive(first))
			second := serve(2)
			q := receive(second)
			assert.Assert(t, q.PriorState.SentToLeader)
			second.Send(&mesh.Response{Sequence: q.Sequence, Outcome: mesh.Overloaded, RetryAfterMS: 1000})
			assert.Equal(t, (<-answered).Outcome, mesh.Uncertain)
			assert.Equal(t, s.opts.Log.Count(events.RefusalWithheld), uint64(1))
			cancel()
			<-ended
			<-ended
		})
	}
}
