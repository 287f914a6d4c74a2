package harness

import (
	"context"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/verdict"
	"github.com/cicadapulley/cicadapulley/daemon/dev/standin"
	"github.com/cicadapulley/cicadapulley/daemon/settings"
	"github.com/cicadapulley/cicadapulley/daemon/transport"
)

// TestEntryWithExpiredLease guards against starts for an entry whose lease has
// expired on its own clock. The other entry is down, so no takeover fences it.
func TestEntryWithExpiredLease(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.kill(EntryID(1))
		j := s.startJob(EntryID(0), sleepJob("a", "1", 400, 300, 20*time.Second))
		cut := time.Now()
		for i := range s.cluster.size.Controls {
			s.cluster.Cut(EntryID(0), ControlID(i))
		}
		time.Sleep(9 * time.Second)
		for _, start := range s.cluster.Starts.OfJob(j.Key) {
			late := start.At.Sub(cut) - settings.DefaultLeaseTTL
			assert.Assert(s, late < 2*LinkDelay, "task %d started %s after the lease", start.Key.Task, late)
		}
	})
}

// TestFencedOwner guards against a start by a delayed request of an owner whose job
// was taken over in the meantime.
func TestFencedOwner(t *testing.T) {
	runScenario(t, func(s *scenario) {
		h := transport.NewClient(transport.ClientOptions{Network: s.cluster.Host("probe")})
		defer h.CloseIdleConnections()
		agent := rpc.NewAgentProtobufClient("http://"+address(AgentID(0)), h)
		key := &rpc.JobKey{Caller: "a", Id: "1"}
		_, err := agent.Fate(s.ctx, &rpc.FateRequest{Tasks: []*rpc.TaskRef{{Job: key}}, Epoch: 2, TimeoutMs: 1000})
		assert.NilError(s, err)
		resp, err := agent.Run(s.ctx, &rpc.RunRequest{
			Job: key, Task: 1, Epoch: 1, Attempt: 1, Service: ServiceName,
			Kind: standin.KindSleep, Payload: []byte(`{"ms":1}`), TimeoutMs: 1000,
		})
		assert.NilError(s, err)
		assert.Equal(s, resp.Refusal.GetCode(), string(verdict.CodeFenced))
		assert.Equal(s, len(s.cluster.Starts.All()), 0)
	})
}

// TestIsolatedOwner guards against an isolated entry whose job was taken over and
// that answers differently from the record.
func TestIsolatedOwner(t *testing.T) {
	runScenario(t, func(s *scenario) {
		j := s.startJob(EntryID(0), sleepJob("a", "1", 2, 9000, 12*time.Second))
		s.cluster.Isolate(EntryID(0))
		s.cluster.Heal(EntryID(0), s.caller.host)
		s.caller.Close() // it gets no answer on the open connection
		answered := make(chan *Reply, 1)
		go func() { answered <- s.submit(EntryID(0), j, true) }()
		time.Sleep(16 * time.Second)
		assert.Equal(s, s.submit(EntryID(1), j, true).Answer.State, "complete")
		s.cluster.Reconnect(EntryID(0))
		late := <-answered
		assert.Equal(s, late.Answer.State, "complete")
	})
}

// TestPowerLoss guards against a ticket that is acknowledged before it is synced on a
// majority of disks: all control VMs lose power right after the answer.
func TestPowerLoss(t *testing.T) {
	size := smallSize
	size.SyncDelay = 20 * time.Millisecond
	runCluster(t, size, func(t *testing.T, ctx context.Context, c *Cluster) {
		r := rand.New(rand.NewPCG(1, 1))
		o := c.Operator("operator")
		defer o.Close()
		for number := uint64(2); number < 8; number++ {
			_, err := o.ApplyTicket(ctx, &rpc.ApplyTicketRequest{Ticket: quotaTicket(number, "o", 1, "x")})
			assert.NilError(t, err)
			for i := range size.Controls {
				c.Process(ControlID(i)).Kill()
			}
			for i := range size.Controls {
				p := c.Process(ControlID(i))
				p.PowerLoss(r)
				assert.NilError(t, p.Start())
			}
			resp, err := o.GetTicket(ctx, &rpc.GetTicketRequest{Number: number})
			assert.NilError(t, err)
			assert.Assert(t, resp.Found, "ticket %d is lost", number)
		}
	})
}

// TestRemovedKind guards against a call that ran and is refused with not_run when it
// is repeated after its kind was removed.
func TestRemovedKind(t *testing.T) {
	runScenario(t, func(s *scenario) {
		hold := func() *Reply {
			reply, err := s.caller.Call(s.ctx, EntryID(0), standin.KindHold, "1", echoTask(standin.KindHold, 5, "x").Payload, time.Second)
			assert.NilError(s, err)
			return reply
		}
		assert.Equal(s, hold().Status, http.StatusOK)
		o := s.cluster.Operator("operator")
		defer o.Close()
		_, err := o.ApplyTicket(s.ctx, &rpc.ApplyTicketRequest{Ticket: &rpc.Ticket{
			Number: 2, Author: "o", Services: []*rpc.ServiceConfig{{Name: ServiceName, Removed: true}},
		}})
		assert.NilError(s, err)
		time.Sleep(inForceBound)
		again := hold()
		assert.Equal(s, again.Status, http.StatusOK, "%+v", again.Refusal)
	})
}
