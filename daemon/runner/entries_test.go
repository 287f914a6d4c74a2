package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/lease"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/runtable"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/follow"
	"github.com/cicadapulley/cicadapulley/daemon/link"
)

func runOf(id work.JobID, n uint64) work.Run { return work.Run{Task: work.TaskID{Job: id}, Number: n} }

// awaitRunning reports whether the endpoint runs r, or starts it within 0.5 s.
func (f *fixture) awaitRunning(r work.Run) bool {
	for range 100 {
		f.endpoint.mu.Lock()
		running := f.endpoint.running[r]
		f.endpoint.mu.Unlock()
		if running {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

// TestEntriesPlaceWithoutLeader guards against endpoints that are idle while there
// is no leader, and against entries that use each other's capacity.
func TestEntriesPlaceWithoutLeader(t *testing.T) {
	undisturbedFixture(t, func(t testing.TB, f *fixture) {
		f.orderRun(someRun)
		assert.Assert(t, f.awaitRunning(someRun))
		first := f.connectEntry("entry-1", 1)
		select {
		case m := <-first.messages:
			t.Fatalf("an entry joined while there is a leader: %T", m)
		case <-time.After(300 * time.Millisecond):
		}
		f.conn.Close()
		inventory := awaitMessage[*mesh.Inventory](f, first)
		assert.Equal(t, len(inventory.Running), 1, "the last leader's run may belong to a job of the entry")
		assert.Equal(t, inventory.Endpoint.Fence, placement.SessionID(7))
		assert.Equal(t, inventory.Endpoint.UsedByOthers, work.Resources{CPU: 1000})
		first.order(1, runOf("b", 11))
		assert.Assert(t, f.awaitRunning(runOf("b", 11)))

		second := f.connectEntry("entry-2", 2)
		inventory = awaitMessage[*mesh.Inventory](f, second)
		assert.Equal(t, len(inventory.Running), 1, "the other entry's run must not be listed")
		assert.Equal(t, inventory.Endpoint.UsedByOthers, work.Resources{CPU: 2000})
		second.order(2, runOf("c", 12))
		report := awaitMessage[*mesh.Report](f, second)
		assert.Equal(t, len(report.Refused), 1)
		assert.Equal(t, report.Refused[0].Reason, placement.RefusedCapacity)
	})
}

// TestRunsOfLostLeaderAreStopped guards against runs of a lost leader that continue
// because entries renew the endpoint's lease: after lease.ExpiresAfter the leader
// assumes that they have ended and may have started them elsewhere.
func TestRunsOfLostLeaderAreStopped(t *testing.T) {
	undisturbedFixture(t, func(t testing.TB, f *fixture) {
		f.orderRun(someRun)
		assert.Assert(t, f.awaitRunning(someRun))
		f.conn.Close()
		lostAt := time.Now()
		entry := f.connectEntry("entry-1", 1)
		awaitMessage[*mesh.Inventory](f, entry)
		entry.order(1, runOf("b", 11))
		assert.Assert(t, f.awaitRunning(runOf("b", 11)))
		for f.awaitRunning(someRun) {
			if time.Since(lostAt) > lease.ExpiresAfter {
				t.Fatal("the lost leader's run continues")
			}
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(time.Until(lostAt.Add(2 * lease.ExpiresAfter)))
		f.endpoint.mu.Lock()
		defer f.endpoint.mu.Unlock()
		latest := f.endpoint.deadlines[len(f.endpoint.deadlines)-1]
		assert.Assert(t, f.endpoint.running[runOf("b", 11)] && latest > f.endpoint.clock(), "the entry's run must continue")
	})
}

// TestLeaderTakesOverFromEntries guards against a second run of a task after a leader
// is elected: the leader must see the runs that entries started, and the entries must
// be notified that it has taken over.
func TestLeaderTakesOverFromEntries(t *testing.T) {
	undisturbedFixture(t, func(t testing.TB, f *fixture) {
		f.conn.Close()
		entry := f.connectEntry("entry-1", 1)
		awaitMessage[*mesh.Inventory](f, entry)
		entry.order(1, runOf("b", 11))
		assert.Assert(t, f.awaitRunning(runOf("b", 11)))
		leader := f.connect(func(near *link.Conn) {
			_ = f.agent.Serve(f.ctx, &follow.Leader{Conn: near, Welcome: &mesh.Welcome{Leading: true, Term: 2, Session: 20}})
		})
		inventory := awaitMessage[*mesh.Inventory](f, leader)
		assert.Equal(t, len(inventory.Running), 1)
		assert.Equal(t, inventory.Endpoint.LastRun, uint64(11))
		assert.Equal(t, awaitMessage[*mesh.SessionEnded](f, entry).Session, placement.SessionID(1))
		entry.order(1, runOf("c", 12))
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, !f.awaitRunning(runOf("c", 12)), "the entry's session has ended")
	})
}

// TestEndsLostWithLeaderAreReported guards against work that is repeated because a
// leader acknowledged its end and was lost before it could answer the entry.
func TestEndsLostWithLeaderAreReported(t *testing.T) {
	undisturbedFixture(t, func(t testing.TB, f *fixture) {
		f.orderRun(someRun)
		assert.Assert(t, f.awaitRunning(someRun))
		f.endpoint.finish(someRun)
		report := awaitMessage[*mesh.Report](f, f.fakeScheduler)
		assert.Equal(t, len(report.Ends), 1)
		f.fakeScheduler.conn.Send(&mesh.Acknowledge{Session: 7, UpTo: report.Ends[0].Number})
		f.conn.Close()
		entry := f.connectEntry("entry-1", 1)
		inventory := awaitMessage[*mesh.Inventory](f, entry)
		assert.Equal(t, len(inventory.Ends), 1)
		assert.Equal(t, inventory.Ends[0].End, work.End{Run: someRun, Reason: work.Done})
	})
}

// TestUnrecordedEndsAreBounded guards against ends that an endpoint does not list
// because its list is full of ends of stored jobs, which only a leader may record.
func TestUnrecordedEndsAreBounded(t *testing.T) {
	undisturbedFixture(t, func(t testing.TB, f *fixture) {
		f.conn.Close()
		entry := f.connectEntry("entry-1", 1)
		awaitMessage[*mesh.Inventory](f, entry)
		f.endpoint.mu.Lock()
		for n := range uint64(runtable.MaxUnacked) {
			f.endpoint.ends = append(f.endpoint.ends, runtable.End{Number: n + 1, End: work.End{Run: runOf("stored", n+1), Reason: work.Done}})
		}
		f.endpoint.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		entry.order(1, runOf("b", 9999))
		for {
			if r := awaitMessage[*mesh.Report](f, entry); len(r.Refused) > 0 {
				assert.Equal(t, r.Refused[0].Reason, placement.RefusedCapacity)
				return
			}
		}
	})
}

// TestRestartedAgentUsesRecordedIncarnation guards against runs whose lease expires
// because a restarted agent waits for its endpoint's next announcement, and against
// an agent that keeps sending holds for an incarnation that has ended.
func TestRestartedAgentUsesRecordedIncarnation(t *testing.T) {
	f := newUnregisteredFixture(t)
	other := someIncarnation
	other.StartTimeMS = 99
	leader := f.connect(func(near *link.Conn) {
		_ = f.agent.Serve(f.ctx, &follow.Leader{Conn: near, Welcome: &mesh.Welcome{Leading: true, Term: 2, Session: 20, Incarnation: &someIncarnation}})
	})
	assert.Equal(t, awaitMessage[*mesh.Inventory](f, leader).Endpoint.Instance, "i@1")

	f = newUnregisteredFixture(t)
	leader = f.connect(func(near *link.Conn) {
		_ = f.agent.Serve(f.ctx, &follow.Leader{Conn: near, Welcome: &mesh.Welcome{Leading: true, Term: 2, Session: 20, Incarnation: &other}})
	})
	select {
	case m := <-leader.messages:
		t.Fatalf("an ended incarnation is reported: %T", m)
	case <-time.After(300 * time.Millisecond):
	}
	assert.Assert(t, f.endpoint.holdCalls.Load() <= 2, "%d holds", f.endpoint.holdCalls.Load())
	f.agent.Register(Registration{Incarnation: someIncarnation})
	assert.Equal(t, awaitMessage[*mesh.Inventory](f, leader).Endpoint.Instance, "i@1")
}

// TestRestartedAgentRemembersDraining guards against an endpoint that had announced its
// end and gets work again after its agent has restarted.
func TestRestartedAgentRemembersDraining(t *testing.T) {
	f := newFixture(t)
	f.agent.Leave(someIncarnation.Instance)
	for report := awaitMessage[*mesh.Report](f, f.fakeScheduler); !report.EndpointDraining; {
		report = awaitMessage[*mesh.Report](f, f.fakeScheduler)
	}
	restarted := newUnregisteredFixture(t)
	leader := restarted.connect(func(near *link.Conn) {
		_ = restarted.agent.Serve(restarted.ctx, &follow.Leader{Conn: near, Welcome: &mesh.Welcome{
			Leading: true, Term: 2, Session: 20, Incarnation: &someIncarnation, EndpointDraining: true,
		}})
	})
	inventory := awaitMessage[*mesh.Inventory](restarted, leader)
	assert.Assert(t, inventory.Endpoint.Draining && inventory.EndpointDraining)
}

// TestUnrecordedEndsLetTheLeaseLapse guards against a task of a stored job that starts again after its
// end (review/7): entries renewed the lease of an endpoint after the leader was lost, so that an end
// that no leader had recorded stayed valid, while the leader took the run for lapsed after
// lease.ExpiresAfter and started it elsewhere.
func TestUnrecordedEndsLetTheLeaseLapse(t *testing.T) {
	for name, endsLater := range map[string]bool{"the run ends before an entry joins": false, "the run ends beside a run of an entry": true} {
		t.Run(name, func(t *testing.T) {
			undisturbedFixture(t, func(t testing.TB, f *fixture) {
				f.orderStored(7, someRun)
				assert.Assert(t, f.awaitRunning(someRun))
				if !endsLater {
					f.endpoint.finish(someRun)
					awaitMessage[*mesh.Report](f, f.fakeScheduler)
				}
				f.conn.Close()
				lostAt := time.Now()
				entry := f.connectEntry("entry-1", 1)
				awaitMessage[*mesh.Inventory](f, entry)
				entry.order(1, runOf("b", 11))
				if endsLater {
					assert.Assert(t, f.awaitRunning(runOf("b", 11)))
					f.endpoint.finish(someRun)
				} else {
					report := awaitMessage[*mesh.Report](f, entry)
					assert.Equal(t, len(report.Refused), 1, "the run would end with the lease")
					assert.Equal(t, report.Refused[0].Reason, placement.RefusedCapacity)
				}
				for f.endpoint.lapseCount() == 0 {
					time.Sleep(5 * time.Millisecond)
					if time.Since(lostAt) > lease.ExpiresAfter+100*time.Millisecond {
						t.Fatal("the lease goes on although the leader takes the run for lapsed")
					}
				}
				for n := uint64(12); ; n++ {
					entry.order(1, runOf("c", n))
					if f.awaitRunning(runOf("c", n)) {
						break
					}
					assert.Assert(t, time.Since(lostAt) < 2*lease.ExpiresAfter, "entries can't use the endpoint after the lapse")
				}
				time.Sleep(2 * lease.Grant)
				assert.Equal(t, f.endpoint.lapseCount(), 1, "one lapse settles the end")
			})
		})
	}
}

// TestBestEffortEndsDontLetTheLeaseLapse guards against runs of entries that end with the lease because an end
// of a best-effort job, which needs no record, is taken for one of a stored job by the next session of the agent.
func TestBestEffortEndsDontLetTheLeaseLapse(t *testing.T) {
	undisturbedFixture(t, func(t testing.TB, f *fixture) {
		f.orderRun(someRun)
		assert.Assert(t, f.awaitRunning(someRun))
		f.endpoint.finish(someRun)
		awaitMessage[*mesh.Report](f, f.fakeScheduler)
		leader := f.connectLeader(20)
		leader.conn.Close() // without an acknowledgement
		entry := f.connectEntry("entry-1", 1)
		awaitMessage[*mesh.Inventory](f, entry)
		entry.order(1, runOf("b", 11))
		assert.Assert(t, f.awaitRunning(runOf("b", 11)), "the end needs no record")
		time.Sleep(2 * lease.Grant)
		assert.Equal(t, f.endpoint.lapseCount(), 0)
	})
}
