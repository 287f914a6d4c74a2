package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// slowdownOf returns the slowdown that the planner of a control VM has for a session.
func (c *cluster) slowdownOf(i int, id placement.SessionID) int {
	slowdown := 0
	c.managers[i].readPlanner(func(p *placement.Planner, _ time.Time) { slowdown = p.Slowdown(id) })
	return slowdown
}

// pingFor sends pings until one is answered with a slowdown, and returns that.
func (p *peerConn) pingFor(session placement.SessionID) int {
	p.Helper()
	slowdown := 0
	for sequence := uint64(1); slowdown == 0; sequence++ {
		p.Send(&mesh.Ping{Sequence: sequence, Session: session})
		pong := await[*mesh.Pong](p)
		assert.Equal(p, pong.Sequence, sequence)
		slowdown = pong.Slowdown
		time.Sleep(5 * time.Millisecond)
	}
	return slowdown
}

// TestSlowdownOutlivesTheLeader guards against a leader that doesn't tell agents what it learns,
// repeats what an agent has, or starts without what the agents report of an earlier leader.
func TestSlowdownOutlivesTheLeader(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.leader()
	c.configure(leader, 1)
	agent, m := c.joinAgent(leader)
	c.storeJob(leader, someJob)
	start := await[*mesh.Orders](agent).Orders[0]
	agent.Send(&mesh.Report{Session: m.Endpoint.Session, Ends: []mesh.NumberedEnd{{Number: 1, End: work.End{Run: start.Run, Reason: work.Done}}}})
	learned := agent.pingFor(m.Endpoint.Session)
	assert.Equal(t, learned, c.slowdownOf(leader, m.Endpoint.Session))
	agent.Send(&mesh.Ping{Sequence: 1000, Session: m.Endpoint.Session})
	assert.Equal(t, await[*mesh.Pong](agent).Slowdown, 0, "the agent has the slowdown")

	c.cancels[leader]()
	next := c.nextLeader(leader)
	agent = c.dial(next, someAgent)
	m = inventory(await[*mesh.Welcome](agent).Session)
	m.Endpoint.Slowdown = learned
	agent.Send(m)
	c.eventually("the next leader's planner has the slowdown", func() bool { return c.slowdownOf(next, m.Endpoint.Session) == learned })
}
