package harness

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

func quotaTicket(number uint64, author string, weight int64, callers ...string) *rpc.Ticket {
	t := &rpc.Ticket{Number: number, Author: author}
	for _, c := range callers {
		t.Quotas = append(t.Quotas, &rpc.Quota{Caller: c, Weight: weight})
	}
	return t
}

// TestTicketRules guards against tickets that are applied twice, in part, or
// in the wrong order, also after the leader that applied them was killed.
func TestTicketRules(t *testing.T) {
	runScenario(t, func(s *scenario) {
		o := s.cluster.Operator("operator")
		defer o.Close()
		apply := func(t *rpc.Ticket, want state.TicketStatus) *rpc.ApplyTicketResponse {
			resp, err := o.ApplyTicket(s.ctx, &rpc.ApplyTicketRequest{Ticket: t})
			assert.NilError(s, err)
			assert.Equal(s, state.TicketStatus(resp.Status), want, "%v: %v", t, resp)
			return resp
		}
		first := apply(quotaTicket(5, "ann", 1, "x"), state.TicketApplied)
		s.kill(s.leader())
		again := apply(quotaTicket(5, "ann", 1, "x"), state.TicketRepeated)
		assert.Equal(s, again.Revision, first.Revision)
		lost := apply(quotaTicket(5, "bob", 2, "x"), state.TicketConflict)
		assert.Equal(s, lost.WinnerAuthor, "ann")
		stale := apply(quotaTicket(4, "bob", 2, "y", "x"), state.TicketStale)
		assert.Equal(s, stale.Winner, uint64(5))
		config, err := o.GetConfig(s.ctx, &rpc.GetConfigRequest{})
		assert.NilError(s, err)
		assert.Equal(s, len(config.Quotas), 1, "a refused ticket was applied in part")
		assert.Equal(s, config.Quotas[0].Weight, int64(1))
	})
}

// TestManyMissedChanges guards against a restarted process that serves an old
// configuration, or needs more than one exchange for hundreds of changes.
func TestManyMissedChanges(t *testing.T) {
	for _, id := range []string{EntryID(0), AgentID(0)} {
		t.Run(id, func(t *testing.T) {
			runScenario(t, func(s *scenario) { s.missChanges(id) })
		})
	}
}

func (s *scenario) missChanges(id string) {
	o := s.cluster.Operator("operator")
	defer o.Close()
	p := s.cluster.Process(id)
	p.Kill()
	const last = 400
	for i := uint64(2); i <= last; i++ {
		_, err := o.ApplyTicket(s.ctx, &rpc.ApplyTicketRequest{Ticket: quotaTicket(i, "o", 1, fmt.Sprint(i%90))})
		assert.NilError(s, err)
	}
	assert.NilError(s, p.Start())
	incarnation := p.Current()
	for incarnation.Members().Replica().Revision == 0 {
		assert.Assert(s, sleepContext(s.ctx, time.Millisecond))
	}
	assert.Equal(s, incarnation.Members().Replica().HighestTicket(), uint64(last))
	assert.Equal(s, incarnation.log.Count(events.ConfigApplied), uint64(1))
	resp, err := o.WaitTicket(s.ctx, &rpc.WaitTicketRequest{Revision: incarnation.Members().Replica().Revision, MaxWaitMs: 4000})
	assert.NilError(s, err)
	assert.Assert(s, resp.InForce, "behind: %v", resp.Behind)
}
