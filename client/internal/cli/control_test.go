package cli

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/client/internal/exit"
	"github.com/cicadapulley/cicadapulley/core/state"
)

const ticket1 = `{"number":1,"author":"ana","limits":{"max_queued":5}}`

// Scripts must be able to distinguish a refused ticket from one that is in force
// and from one that never reached control.
func TestTicketExitCodes(t *testing.T) {
	c, address := startFakeControl(t)
	env := map[string]string{"CICADAPULLEY_CONTROL": address}
	for _, step := range []struct {
		ticket string
		code   exit.Code
		text   string
	}{
		{ticket1, exit.OK, "ticket 1, revision 1"},
		{ticket1, exit.OK, "applied before, revision 1"},
		{`{"number":1,"author":"bo","limits":{"max_queued":6}}`, exit.TicketRefused, `author "ana" already applied another ticket`},
		{`{"number":3,"author":"bo","limits":{"max_queued":6}}`, exit.OK, "ticket 3"},
		{`{"number":2,"author":"cy","limits":{"max_queued":7}}`, exit.TicketRefused, `limits has the newer ticket 3 of author "bo"`},
		{`{"number":4,"limit":{}}`, exit.Usage, "standard input:1: limit: unknown field"},
	} {
		got := run(t, env, step.ticket, "ticket", "apply", "-")
		assert.Equal(t, got.code, step.code, step.ticket+got.stderr)
		assert.Check(t, cmp.Contains(got.stdout+got.stderr, step.text))
	}
	assert.Equal(t, c.machine.Config().Limits.MaxQueued, int64(6))

	down := run(t, env, ticket1, "ticket", "apply", "-", "--control", "127.0.0.1:1", "--timeout", "50ms")
	assert.Equal(t, down.code, exit.Unreachable)
}

// A ticket whose answer is lost must be resent and be applied only once.
func TestTicketIsResentAfterALostAnswer(t *testing.T) {
	c, address := startFakeControl(t)
	c.answersToDrop = 2
	var view appliedView
	got := run(t, nil, ticket1, "ticket", "apply", "-", "--control", address, "--output", "json")
	assert.Equal(t, got.code, exit.OK, got.stderr)
	got.decodeJSON(t, &view)
	assert.DeepEqual(t, view, appliedView{Number: 1, Revision: 1, Repeated: true})
	assert.Equal(t, len(c.machine.Tickets()), 1)
}

// ticket wait must wait for the revision of the ticket, not for its number, and
// list the processes that are behind.
func TestTicketWaitNamesProcessesBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeControl()
		c.apply(state.Ticket{Number: 5, Limits: &state.Limits{}})
		c.apply(state.Ticket{Number: 9, Limits: &state.Limits{MaxQueued: 1}})
		c.behind = []string{"entry-2", "worker-7"}
		start := time.Now()
		got := c.run("ticket", "wait", "9", "--timeout", "5s", "--output", "json")
		assert.Equal(t, got.code, exit.NotInForce, got.stderr)
		assert.Assert(t, time.Since(start) < 6*time.Second, "in virtual time")
		var view appliedView
		got.decodeJSON(t, &view)
		assert.DeepEqual(t, view, appliedView{Number: 9, Revision: 2, Waited: true, Behind: c.behind})
		for _, w := range c.waitRequests {
			assert.Equal(t, w.Revision, uint64(2))
		}

		c.behind = nil
		assert.Equal(t, c.run("ticket", "wait", "9").code, exit.OK)
		assert.Equal(t, c.run("ticket", "wait", "8").code, exit.Failure)
	})
}

// A drain whose ticket number is taken by another operator's ticket must still
// set the mark, without undoing the other ticket.
func TestDrainTakesNextNumberAfterConflict(t *testing.T) {
	c, address := startFakeControl(t)
	c.status.Members = []*rpc.MemberStatus{{Member: &rpc.Member{Id: "worker-1", Role: string(state.RoleAgent)}}}
	c.racingTicket = &state.Ticket{Number: 1, Author: "bo", Drains: []state.DrainMark{{Endpoint: "worker-2", Drain: true}}}
	drain := func(args ...string) result {
		return run(t, nil, "", append([]string{"drain", "--control", address, "--author", "ana"}, args...)...)
	}

	got := drain("worker-1")
	assert.Equal(t, got.code, exit.OK, got.stderr)
	marks := c.machine.Config().Drains
	assert.Equal(t, marks["worker-1"].Ticket, uint64(2))
	assert.Assert(t, marks["worker-1"].Drain && marks["worker-2"].Drain)

	assert.Check(t, cmp.Contains(drain("worker-1").stdout, "unchanged since ticket 2"))
	assert.Equal(t, drain("worker-1", "--undo").code, exit.OK)
	assert.Assert(t, !c.machine.Config().Drains["worker-1"].Drain)
	assert.Equal(t, drain("wrker-1").code, exit.Failure)
}

// group add must promote the new VM: without its vote the group does not tolerate
// the loss of a VM. A removal repeated after a lost answer must not fail.
func TestGroupAddPromotesAndRemoveRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeControl()
		c.status.Group = []*rpc.ControlVM{{Id: "c1", Voter: true, Leader: true}}
		add := []string{"group", "add", "c2", "10.0.0.2:7000", "--output", "json"}

		slow := c.run(append(add, "--timeout", "100ms")...)
		assert.Equal(t, slow.code, exit.NotInForce, slow.stderr)
		var view groupView
		got := c.run(add...)
		assert.Equal(t, got.code, exit.OK, got.stderr)
		assert.Check(t, cmp.Contains(got.stderr, "has not caught up"))
		got.decodeJSON(t, &view)
		assert.DeepEqual(t, view.Control[1], controlView{ID: "c2", Address: "10.0.0.2:7000", Voter: true, MatchIndex: 1})

		moved := c.run("group", "add", "c2", "10.0.0.9:7000")
		assert.Equal(t, moved.code, exit.Failure)
		assert.Check(t, cmp.Contains(moved.stderr, "with the address 10.0.0.2:7000"))
		assert.Check(t, cmp.Contains(c.run("group", "remove", "c1").stderr, "stop it first"))
		for range 2 {
			assert.Equal(t, c.run("group", "remove", "c2").code, exit.OK)
		}
	})
}

// Operators rely on status to list every problem that it can detect.
func TestStatusListsEveryProblem(t *testing.T) {
	c, address := startFakeControl(t)
	c.apply(state.Ticket{Number: 1, Services: []state.Service{{Name: "shop", Kinds: []state.Kind{{Name: "quote"}, {Name: "hold"}}}},
		Drains: []state.DrainMark{{Endpoint: "worker-2", Drain: true}}})
	serves := func(kind string) []*rpc.ServedKind { return []*rpc.ServedKind{{Service: "shop", Kind: kind}} }
	agent := func(id, kind string, s state.MemberState) *rpc.Member {
		return &rpc.Member{Id: id, Role: string(state.RoleAgent), State: uint32(s), Serves: serves(kind)}
	}
	c.status.ConfigRevision = 1
	c.status.Group = []*rpc.ControlVM{{Id: "c1", Voter: true, Leader: true}, {Id: "c2", Voter: true, SilentMs: 9000}, {Id: "c3", Voter: true}, {Id: "c4"}}
	c.status.Members = []*rpc.MemberStatus{
		{Member: agent("worker-1", "quote", state.MemberLive), Revision: 0, LeaseLeftMs: 10},
		{Member: agent("worker-2", "hold", state.MemberLive), Revision: 1, LeaseLeftMs: -5},
		{Member: agent("worker-3", "hold", state.MemberExpired)},
		{Member: agent("worker-4", "hold", state.MemberLeft)},
	}
	var view statusView
	run(t, nil, "", "status", "--control", address, "--output", "json").decodeJSON(t, &view)
	assert.DeepEqual(t, view.Problems, []string{
		"control VM c2 () has been silent for 9000 ms",
		"control VM c4 () has no vote yet; finish with group add",
		"no control VM may be lost now: a bare majority is reachable",
		"no live process has the role entry",
		`no endpoint takes work for kind "hold" of service "shop"`,
		"agent worker-1 is behind: revision 0 of 1",
		"agent worker-2 has not renewed its lease",
		"agent worker-3 let its lease lapse: it crashed or was cut off",
		"endpoint worker-2 is drained by ticket 1",
	})
	assert.Equal(t, view.Members[1].Ticket, uint64(1))
	assert.Equal(t, view.Members[0].Ticket, uint64(0))
	assert.Equal(t, run(t, nil, "", "status", "--control", address).code, exit.OK)
}
