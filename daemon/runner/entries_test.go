package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/lease"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/follow"
	"github.com/cicadapulley/cicadapulley/daemon/link"
)

func runOf(id work.JobID, n uint64) work.Run { return work.Run{Task: work.TaskID{Job: id}, Number: n} }

// runs tells whether the endpoint runs r, and waits a moment for it.
func (b *bench) runs(r work.Run) bool {
	for range 100 {
		b.endpoint.mu.Lock()
		running := b.endpoint.running[r]
		b.endpoint.mu.Unlock()
		if running {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

// TestEntriesPlaceWithoutLeader guards against endpoints that stand idle while
// there is no leader, and against entries that start into each other's room.
func TestEntriesPlaceWithoutLeader(t *testing.T) {
	b := newBench(t)
	b.start(someRun)
	assert.Assert(t, b.runs(someRun))
	first := b.enter("entry-1", 1)
	select {
	case m := <-first.news:
		t.Fatalf("an entry joins beside the leader: %T", m)
	case <-time.After(300 * time.Millisecond):
	}
	b.conn.Close()
	inventory := await[*mesh.Inventory](b, first)
	assert.Equal(t, len(inventory.Running), 1, "the last leader's run may be the entry's job")
	assert.Equal(t, inventory.Endpoint.Fence, placement.SessionID(7))
	assert.Equal(t, inventory.Endpoint.UsedByOthers, work.Resources{CPU: 1000})
	first.order(1, runOf("b", 11))
	assert.Assert(t, b.runs(runOf("b", 11)))

	second := b.enter("entry-2", 2)
	inventory = await[*mesh.Inventory](b, second)
	assert.Equal(t, len(inventory.Running), 1, "the other entry's run is none of its business")
	assert.Equal(t, inventory.Endpoint.UsedByOthers, work.Resources{CPU: 2000})
	second.order(2, runOf("c", 12))
	report := await[*mesh.Report](b, second)
	assert.Equal(t, len(report.Refused), 1)
	assert.Equal(t, report.Refused[0].Reason, placement.RefusedCapacity)
}

// TestLeaderlessRunsAreStopped guards against runs of a lost leader that go on
// because entries renew the endpoint's lease: the leader counts them as gone after
// a time and may have started them elsewhere.
func TestLeaderlessRunsAreStopped(t *testing.T) {
	b := newBench(t)
	b.start(someRun)
	assert.Assert(t, b.runs(someRun))
	b.conn.Close()
	lost := time.Now()
	entry := b.enter("entry-1", 1)
	await[*mesh.Inventory](b, entry)
	entry.order(1, runOf("b", 11))
	assert.Assert(t, b.runs(runOf("b", 11)))
	for b.runs(someRun) {
		if time.Since(lost) > lease.ExpiresAfter {
			t.Fatal("the lost leader's run goes on")
		}
	}
	time.Sleep(time.Until(lost.Add(2 * lease.ExpiresAfter)))
	b.endpoint.mu.Lock()
	defer b.endpoint.mu.Unlock()
	latest := b.endpoint.deadlines[len(b.endpoint.deadlines)-1]
	assert.Assert(t, b.endpoint.running[runOf("b", 11)] && latest > b.endpoint.clock(), "the entry's run goes on")
}

// TestLeaderTakesOverFromEntries guards against a second run of a task after a
// leader is found: it must see what entries started, and they must know that it has.
func TestLeaderTakesOverFromEntries(t *testing.T) {
	b := newBench(t)
	b.conn.Close()
	entry := b.enter("entry-1", 1)
	await[*mesh.Inventory](b, entry)
	entry.order(1, runOf("b", 11))
	assert.Assert(t, b.runs(runOf("b", 11)))
	leader := b.connect(func(near *link.Conn) {
		_ = b.agent.Serve(b.ctx, &follow.Leader{Conn: near, Welcome: &mesh.Welcome{Leading: true, Term: 2, Session: 20}})
	})
	inventory := await[*mesh.Inventory](b, leader)
	assert.Equal(t, len(inventory.Running), 1)
	assert.Equal(t, inventory.Endpoint.LastRun, uint64(11))
	assert.Equal(t, await[*mesh.SessionEnded](b, entry).Session, placement.SessionID(1))
	entry.order(1, runOf("c", 12))
	time.Sleep(100 * time.Millisecond)
	assert.Assert(t, !b.runs(runOf("c", 12)), "the entry's session is over")
}

// TestEndsLostWithTheLeaderAreTold guards against work that is done again because
// its end was acknowledged by a leader that was lost before it could tell.
func TestEndsLostWithTheLeaderAreTold(t *testing.T) {
	b := newBench(t)
	b.start(someRun)
	assert.Assert(t, b.runs(someRun))
	b.endpoint.finish(someRun)
	report := await[*mesh.Report](b, b.master)
	assert.Equal(t, len(report.Ends), 1)
	b.master.conn.Send(&mesh.Acknowledge{Session: 7, UpTo: report.Ends[0].Number})
	b.conn.Close()
	entry := b.enter("entry-1", 1)
	inventory := await[*mesh.Inventory](b, entry)
	assert.Equal(t, len(inventory.Ends), 1)
	assert.Equal(t, inventory.Ends[0].End, work.End{Run: someRun, Reason: work.Done})
}

// TestUnrecordedEndsAreBounded guards against ends that an endpoint doesn't list any
// more because those of stored jobs, which only a leader may record, come first.
func TestUnrecordedEndsAreBounded(t *testing.T) {
	b := newBench(t)
	b.conn.Close()
	entry := b.enter("entry-1", 1)
	await[*mesh.Inventory](b, entry)
	b.endpoint.mu.Lock()
	for n := range uint64(maxUnacked) {
		b.endpoint.ends = append(b.endpoint.ends, End{Number: n + 1, End: work.End{Run: runOf("stored", n+1), Reason: work.Done}})
	}
	b.endpoint.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	entry.order(1, runOf("b", 9999))
	for {
		if r := await[*mesh.Report](b, entry); len(r.Refused) > 0 {
			assert.Equal(t, r.Refused[0].Reason, placement.RefusedCapacity)
			return
		}
	}
}

// TestRestartedAgentRecallsItsEndpoint guards against runs that lapse because a
// restarted agent waits for its endpoint's next announcement, and against an agent
// that goes on asking for a life that is over.
func TestRestartedAgentRecallsItsEndpoint(t *testing.T) {
	b := newUnregisteredBench(t)
	other := someLife
	other.StartTimeMS = 99
	leader := b.connect(func(near *link.Conn) {
		_ = b.agent.Serve(b.ctx, &follow.Leader{Conn: near, Welcome: &mesh.Welcome{Leading: true, Term: 2, Session: 20, Incarnation: &someLife}})
	})
	assert.Equal(t, await[*mesh.Inventory](b, leader).Endpoint.Instance, "i@1")

	b = newUnregisteredBench(t)
	leader = b.connect(func(near *link.Conn) {
		_ = b.agent.Serve(b.ctx, &follow.Leader{Conn: near, Welcome: &mesh.Welcome{Leading: true, Term: 2, Session: 20, Incarnation: &other}})
	})
	select {
	case m := <-leader.news:
		t.Fatalf("another life is reported: %T", m)
	case <-time.After(300 * time.Millisecond):
	}
	assert.Assert(t, b.endpoint.asked.Load() <= 2, "asked %d times", b.endpoint.asked.Load())
	b.agent.Register(Registration{Incarnation: someLife})
	assert.Equal(t, await[*mesh.Inventory](b, leader).Endpoint.Instance, "i@1")
}
