package coordinator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/link"
)

var someAgent = &mesh.Hello{Role: mesh.RoleAgent, VM: "side-1", Address: "127.0.0.1:7000"}

// joinAgent connects an agent that keeps its connection alive, and lets its endpoint join.
func (c *cluster) joinAgent(i int) (*peerConn, *mesh.Inventory) {
	c.Helper()
	log := c.managers[i].opts.Log
	joined := log.Count(events.EndpointJoined)
	agent := c.dial(i, someAgent)
	go link.Ping(c.Context(), agent.Conn, 100*time.Millisecond)
	m := inventory(agent.awaitSession())
	agent.Send(m)
	c.eventually("the endpoint has joined", func() bool { return log.Count(events.EndpointJoined) > joined })
	return agent, m
}

// awaitSession waits until the control VM leads and begins a session of the agent. Its term, which the
// session needs, begins some time after its election.
func (p *peerConn) awaitSession() placement.SessionID {
	p.Helper()
	for {
		if w := await[*mesh.Welcome](p); w.Leading {
			return w.Session
		}
	}
}

// TestDrainingIsRecorded guards against an endpoint that is about to end and is in use
// again after its agent, or the leader, has restarted.
func TestDrainingIsRecorded(t *testing.T) {
	c := newCluster(t, 3)
	c.configure(c.leader(), 1)
	recorded := func(i int) bool {
		w := await[*mesh.Welcome](c.dial(i, someAgent))
		return w.Incarnation != nil && w.Incarnation.Instance == "i" && w.EndpointDraining
	}
	leader := -1
	c.withStableLeader(func(_ testing.TB, stable int) {
		leader = stable
		agent, m := c.joinAgent(leader)
		defer agent.Close()
		agent.Send(&mesh.Report{Session: m.Endpoint.Session, Draining: true, EndpointDraining: true})
		c.eventually("the leader has recorded it", func() bool { return recorded(leader) })
	})
	c.cancels[leader]()
	c.nextLeader(leader)
	c.withStableLeader(func(_ testing.TB, next int) {
		c.eventually("the next leader has the record", func() bool { return recorded(next) })
	})
}

// TestAgentThatReturnsDuringItsRemovalStaysEnrolled guards against a task that runs at two
// endpoints after a change of the leader: an agent comes back after its removal has been
// decided and before it is committed, and the next leader does not wait for its runs.
func TestAgentThatReturnsDuringItsRemovalStaysEnrolled(t *testing.T) {
	c := newCluster(t, 3)
	c.configure(c.leader(), 1)
	c.withStableLeader(func(t testing.TB, leader int) {
		service := c.managers[leader].service.Load()
		agent, _ := c.joinAgent(leader)
		agent.Close()
		var absent []ledger.Enrolment
		var decidedIn *term
		c.eventually("the agent is found to be absent", func() bool {
			service.mu.Lock()
			defer service.mu.Unlock()
			if service.term == nil || service.connected(someAgent.VM) {
				return false
			}
			leaseExpired := now().Add(time.Minute)
			service.term.Tick(leaseExpired)
			decidedIn = service.term
			absent = service.absent(decidedIn, leaseExpired)
			return true
		})
		assert.Equal(t, len(absent), 1)
		again, _ := c.joinAgent(leader)
		defer again.Close()
		service.removeAbsent(t.Context(), decidedIn, absent)
		assert.DeepEqual(t, service.machine.EnrolledVMs(), []string{someAgent.VM})
		// Entries that connect, or receive the next configuration, await and use it as well.
		entry := c.dial(leader, &mesh.Hello{Role: mesh.RoleEntry, VM: "entry-1"})
		defer entry.Close()
		agents := await[*mesh.Welcome](entry).Agents
		assert.Equal(t, len(agents), 1)
		assert.Equal(t, agents[0].VM, someAgent.VM)
	})
}

// TestAcknowledgementsFollowRecords guards against the acknowledgement of an end that is
// not recorded yet: an acknowledgement covers all earlier ends, and the endpoint forgets
// them. Reports that need no record must not overtake those that do.
func TestAcknowledgementsFollowRecords(t *testing.T) {
	c := newCluster(t, 3)
	c.configure(c.leader(), 1)
	const rounds = 50
	completed, jobs := 0, uint64(0)
	test := t
	c.withStableLeader(func(t testing.TB, leader int) {
		agent, m := c.joinAgent(leader)
		defer agent.Close()
		service := c.managers[leader].service.Load()
		for n := uint64(0); completed < rounds; n++ {
			jobs++
			id := work.JobID(fmt.Sprintf("%016x", jobs))
			c.storeJob(leader, id)
			stored := work.Run{Task: work.TaskID{Job: id}, Number: 1000 + jobs}
			agent.Send(&mesh.Ping{Session: m.Endpoint.Session, Sequence: n})
			agent.Send(&mesh.Report{Session: m.Endpoint.Session, Ends: []mesh.NumberedEnd{{Number: 2*n + 1, End: work.End{Run: stored, Reason: work.Done}}}})
			agent.Send(&mesh.Report{Session: m.Endpoint.Session, Ends: []mesh.NumberedEnd{
				{Number: 2*n + 2, End: work.End{Run: work.Run{Task: work.TaskID{Job: "other"}, Number: 1}, Reason: work.Stopped}, BestEffort: true},
			}})
			for acknowledged := uint64(0); acknowledged < 2*n+2; {
				acknowledged = await[*mesh.Acknowledge](agent).UpTo
				if acknowledged <= 2*n {
					continue
				}
				state := work.Pending
				service.driver.Local(func() { state = service.machine.Job(id).State })
				if state != work.Completed { // counts whatever happens to the leadership
					test.Errorf("end %d is acknowledged while the job is %v", acknowledged, state)
				}
			}
			completed++
		}
	})
}

// TestRemovalOfAnEarlierTermIsDropped guards against a task that runs at two endpoints
// after a change of the leader: a VM that leads again after another one proposes a removal
// that it decided in its earlier term, while the agent, whose enrolment is the same, has
// runs again.
func TestRemovalOfAnEarlierTermIsDropped(t *testing.T) {
	c := newCluster(t, 1)
	leader := c.leader()
	c.configure(leader, 1)
	service := c.managers[leader].service.Load()
	c.joinAgent(leader)
	service.mu.Lock()
	earlier := &term{number: service.term.number - 1}
	service.mu.Unlock()
	var enrolment ledger.Enrolment
	service.driver.Local(func() { enrolment = service.machine.Enrolment(someAgent.VM) })
	service.removeAbsent(t.Context(), earlier, []ledger.Enrolment{enrolment})
	service.driver.Local(func() { assert.DeepEqual(t, service.machine.EnrolledVMs(), []string{someAgent.VM}) })
}
