package harness

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/callers"
	"github.com/cicadapulley/cicadapulley/api/codec"
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/core/verdict"
	"github.com/cicadapulley/cicadapulley/daemon/dev/standin"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/membership"
	"github.com/cicadapulley/cicadapulley/daemon/transport"
)

// steadyLoad submits jobs and calls to all entries that a load balancer would use,
// until ctx ends. Every request must succeed.
func (s *scenario) steadyLoad(ctx context.Context) *sync.WaitGroup {
	var work sync.WaitGroup
	work.Go(func() {
		for i := 0; sleepContext(ctx, 70*time.Millisecond); i++ {
			work.Go(func() { s.mustServe(i) })
		}
	})
	return &work
}

// mustServe submits one job and makes one call at an entry that the load balancer
// still uses. The job must succeed, and the call too unless the balancer has stopped
// using the entry by its end.
func (s *scenario) mustServe(i int) {
	entry := EntryID(i % s.cluster.size.Entries)
	if !s.inBalancer(entry) {
		entry = EntryID((i + 1) % s.cluster.size.Entries)
	}
	id := fmt.Sprintf("load-%d", i)
	t := &TrackedJob{Key: s.caller.Key(id), Tasks: sleepJob("a", id, 3, 100, 0).Tasks, Deadline: 8 * time.Second}
	s.checker.Track(t)
	reply, err := s.caller.Submit(s.ctx, entry, callers.Submission{
		ID: id, Caller: "a", Service: ServiceName, DeadlineMS: 8000, Tasks: t.Tasks}, true)
	if err != nil || !reply.Final() || reply.Answer.State != "complete" {
		s.checker.AddViolation("I7", "job %s at %s: %+v, %v", t.Key, entry, reply, err)
	}
	call, err := s.caller.Call(s.ctx, entry, KindQuote, id, echoTask(KindQuote, 30, id).Payload, 4*time.Second)
	if (err != nil || call.Status != http.StatusOK) && s.inBalancer(entry) {
		s.checker.AddViolation("I7", "call %s at %s: %+v, %v", t.Key, entry, call, err)
	}
}

// inBalancer reports whether the load balancer sends callers to an entry. A stopping
// entry gets requests for half of BalancerWait, so that the last one arrives within it.
func (s *scenario) inBalancer(id string) bool {
	incarnation := s.cluster.Process(id).Current()
	if incarnation == nil || incarnation.Ended() {
		return false
	}
	if incarnation.stopRequestedAt.IsZero() {
		return incarnation.Entry.Ready()
	}
	return time.Since(incarnation.stopRequestedAt) < BalancerWait/2
}

// TestPlannedStop guards against a planned stop of any role that fails a
// request (I7) or sends new work to an endpoint that is stopping (I6).
func TestPlannedStop(t *testing.T) {
	for _, role := range []string{"entry", "agent", "leader", "follower"} {
		t.Run(role, func(t *testing.T) {
			runScenario(t, func(s *scenario) { s.plannedStop(role) })
		})
	}
}

func (s *scenario) plannedStop(role string) {
	ctx, stop := context.WithCancel(s.ctx)
	load := s.steadyLoad(ctx)
	time.Sleep(time.Second)
	leader := s.leader()
	id := map[string]string{"entry": EntryID(0), "agent": AgentID(0), "leader": leader, "follower": s.otherControls(leader)[0]}[role]
	p := s.cluster.Process(id)
	incarnation := p.Stop()
	<-incarnation.ended
	assert.NilError(s, incarnation.Err())
	if role == "agent" {
		s.checkNoStarts(id, incarnation.stopRequestedAt.Add(drainBound))
	}
	p.Clear()
	time.Sleep(2 * time.Second)
	assert.NilError(s, p.Start())
	time.Sleep(2 * time.Second)
	stop()
	load.Wait()
	assert.Equal(s, s.cluster.CountEvents(events.ChildStuck), uint64(0))
}

// checkNoStarts checks that an endpoint got no new work after a time.
func (s *scenario) checkNoStarts(endpoint string, from time.Time) {
	for _, start := range s.cluster.Starts.All() {
		if start.Endpoint == endpoint && start.At.After(from) {
			s.checker.AddViolation("I6", "%s started %s %s after the bound", endpoint, start.Key.Job, start.At.Sub(from))
		}
	}
}

// TestDrainMark guards against new work for an endpoint that is drained by a ticket
// (I6), also when the entry is cut off from control.
func TestDrainMark(t *testing.T) {
	for name, cut := range map[string]bool{"connected": false, "entry cut off": true} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(s *scenario) { s.drainMark(cut) })
		})
	}
}

func (s *scenario) drainMark(cut bool) {
	ctx, stop := context.WithTimeout(s.ctx, 9*time.Second)
	defer stop()
	var load sync.WaitGroup
	load.Go(func() {
		for i := 0; sleepContext(ctx, 20*time.Millisecond); i++ {
			load.Go(func() {
				// Calls may be refused without control; the test checks only where they start.
				_, _ = s.caller.Call(s.ctx, EntryID(0), KindQuote, fmt.Sprint(i), echoTask(KindQuote, 40, "x").Payload, time.Second)
			})
		}
	})
	time.Sleep(time.Second)
	for i := range s.cluster.size.Controls {
		if cut {
			s.cluster.Cut(EntryID(0), ControlID(i))
		}
	}
	o := s.cluster.Operator("operator")
	defer o.Close()
	resp, err := o.ApplyTicket(ctx, &rpc.ApplyTicketRequest{Ticket: &rpc.Ticket{
		Number: 2, Author: "o", Drains: []*rpc.DrainMark{{Endpoint: AgentID(0), Drain: true}},
	}})
	assert.NilError(s, err)
	assert.Equal(s, state.TicketStatus(resp.Status), state.TicketApplied)
	acked := time.Now()
	load.Wait()
	s.checkNoStarts(AgentID(0), acked.Add(drainBound))
}

// countingAgent is an agent that counts requests. Its tasks run until the test closes
// cancelled.
type countingAgent struct {
	mu        sync.Mutex
	messages  int
	runs      int
	jobs      map[string]bool
	cancelled chan struct{}
}

// Run implements rpc.Agent.
func (a *countingAgent) Run(ctx context.Context, _ *rpc.RunRequest) (*rpc.RunResponse, error) {
	a.mu.Lock()
	a.runs++
	a.mu.Unlock()
	select {
	case <-a.cancelled:
	case <-ctx.Done():
	}
	return &rpc.RunResponse{Result: codec.ResultToRPC(job.TaskResult{State: job.TaskCancelled, Verdict: verdict.MayHaveRun})}, nil
}

// Fate implements rpc.Agent.
func (a *countingAgent) Fate(context.Context, *rpc.FateRequest) (*rpc.FateResponse, error) {
	return &rpc.FateResponse{}, nil
}

// Cancel implements rpc.Agent.
func (a *countingAgent) Cancel(_ context.Context, q *rpc.CancelRequest) (*rpc.CancelResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.messages++
	for _, j := range q.Jobs {
		a.jobs[j.Job.Id] = true
	}
	return &rpc.CancelResponse{}, nil
}

// TestCancelWave guards against one message for each job when many jobs are
// cancelled at once.
func TestCancelWave(t *testing.T) {
	const jobs = 100
	runScenario(t, func(s *scenario) {
		for i := range s.cluster.size.Agents {
			s.cluster.Process(AgentID(i)).Kill()
		}
		a := &countingAgent{jobs: map[string]bool{}, cancelled: make(chan struct{})}
		stop := s.serveAgent(a, jobs)
		defer stop()
		for i := range jobs {
			s.submitOneTask(fmt.Sprint(i))
		}
		time.Sleep(200 * time.Millisecond)
		var wave sync.WaitGroup
		for i := range jobs {
			wave.Go(func() { _, _ = s.caller.Cancel(s.ctx, EntryID(0), fmt.Sprint(i)) })
		}
		time.Sleep(200 * time.Millisecond)
		close(a.cancelled)
		wave.Wait()
		a.mu.Lock()
		defer a.mu.Unlock()
		// A job whose task is still queued at the entry needs no message.
		assert.Assert(s, a.runs > jobs/2)
		assert.Equal(s, len(a.jobs), a.runs)
		assert.Assert(s, a.messages <= 2, "%d messages for one wave of cancels", a.messages)
	})
}

// submitOneTask submits a job of one task without waiting for its start.
func (s *scenario) submitOneTask(id string) {
	sub := sleepJob("a", id, 1, 1, 30*time.Second)
	reply, err := s.caller.Submit(s.ctx, EntryID(0), sub, false)
	assert.NilError(s, err)
	assert.Equal(s, reply.Status, http.StatusAccepted)
}

// serveAgent registers a stand-in agent and returns after the leases of the killed
// agents have expired.
func (s *scenario) serveAgent(a *countingAgent, slots int) (stop func()) {
	const id = "counting"
	n := s.cluster.Host(id)
	l, err := n.Listen(s.ctx, address(id))
	assert.NilError(s, err)
	ctx, cancel := context.WithCancel(s.ctx)
	client, h := s.cluster.controlClient(n)
	m := membership.New(client, s.cluster.newLog(id), state.Member{
		ID: id, Role: state.RoleAgent, Address: address(id), Slots: slots,
		Serves: []state.ServedKind{{Service: ServiceName, Kind: standin.KindSleep}},
	}, nil)
	var running sync.WaitGroup
	running.Go(func() { _ = m.Run(ctx) })
	running.Go(func() { s.serve(ctx, l, rpc.NewAgentServer(a)) })
	time.Sleep(8 * time.Second)
	return func() {
		cancel()
		running.Wait()
		h.CloseIdleConnections()
	}
}

func (s *scenario) serve(ctx context.Context, l net.Listener, h http.Handler) {
	_ = transport.Serve(ctx, transport.NewServer(h, nil), l, time.Second)
}
