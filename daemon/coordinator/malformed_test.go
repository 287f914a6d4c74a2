package coordinator

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/link"
)

// peerConn is a connection to a control VM whose other end the test plays.
type peerConn struct {
	testing.TB
	*link.Conn
}

func (c *cluster) dial(i int, hello *mesh.Hello) *peerConn {
	c.Helper()
	conn, err := link.Dial(context.Background(), c.addresses[i], time.Second)
	assert.NilError(c, err)
	c.Cleanup(conn.Close)
	conn.Send(hello)
	return &peerConn{TB: c.TB, Conn: conn}
}

// await returns the next message of type M.
func await[M mesh.Message](p *peerConn) M {
	p.Helper()
	var wanted M
	const timeout = 15 * time.Second
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		m, err := p.Receive(5 * time.Second)
		assert.NilError(p, err)
		if wanted, ok := m.(M); ok {
			return wanted
		}
	}
	p.Fatalf("no %T within %s", wanted, timeout)
	return wanted
}

// assertServing checks that the leader still serves, and that no component has ended
// by a panic.
func (c *cluster) assertServing(i int, version uint64) {
	c.Helper()
	c.configure(i, version)
	assert.Equal(c, len(c.exits), 0, "a manager has returned")
	for _, m := range c.managers {
		assert.Equal(c, m.opts.Log.Count(events.ChildPanicked), uint64(0), "a panic in %s", m.opts.VM)
	}
}

const someJob = work.JobID("5c0e7a21d94b36f8")

// storeJob submits a job that is recorded in the ledger.
func (c *cluster) storeJob(i int, id work.JobID) {
	c.Helper()
	entry := c.dial(i, &mesh.Hello{Role: mesh.RoleEntry, VM: "entry-1"})
	entry.Send(&mesh.Request{Sequence: 1, Operation: mesh.Submit, Host: "h", Path: "/q/" + string(id), Job: &work.Job{
		Steps: []work.Step{{Tasks: 1, Need: work.Resources{CPU: 1000}, Estimate: time.Second}},
	}})
	assert.Equal(c, await[*mesh.Response](entry).Outcome, mesh.Accepted)
}

func inventory(session placement.SessionID) *mesh.Inventory {
	return &mesh.Inventory{
		Endpoint: placement.Endpoint{
			Session: session, Instance: "i@1", Pool: "desk", Labels: []string{"a"}, Capacity: work.Resources{CPU: 4000, MemoryMB: 100},
		},
		Incarnation: work.Incarnation{Instance: "i", StartTimeMS: 1, Pool: "desk", Capacity: work.Resources{CPU: 4000, MemoryMB: 100}},
	}
}

// TestRunsOutOfRangeEndNoProcess guards against an agent whose reports name tasks that
// no job can have: a negative index reached a slice of the replicated ledger, so that
// every control VM ended, and ended again on replaying its log.
func TestRunsOutOfRangeEndNoProcess(t *testing.T) {
	c := newCluster(t, 3)
	c.configure(c.leader(), 1)
	c.withStableLeader(func(t testing.TB, leader int) {
		agent, _ := c.joinAgent(leader)
		defer agent.Close()
		c.storeJob(leader, someJob)
		agent.Send(&mesh.NewSession{})
		m := inventory(agent.awaitSession())
		m.Running = []placement.ListedRun{
			{Run: work.Run{Task: work.TaskID{Job: someJob, Step: -1}, Number: 1}},
			{Run: work.Run{Task: work.TaskID{Job: someJob, Index: -7}, Number: 2}},
		}
		agent.Send(m)
		agent.Send(&mesh.Report{Session: m.Endpoint.Session, Ends: []mesh.NumberedEnd{
			{Number: 1, End: work.End{Run: work.Run{Task: work.TaskID{Job: someJob, Step: -1}, Number: 3}, Reason: work.Done}},
			{Number: 2, End: work.End{Run: work.Run{Task: work.TaskID{Job: someJob, Index: -1}, Number: 4}, Reason: work.Failed}},
			{Number: 3, End: work.End{Run: work.Run{Task: work.TaskID{Job: someJob, Step: 1 << 40}, Number: 5}, Reason: work.Done}},
		}})
		assert.Equal(t, await[*mesh.Acknowledge](agent).UpTo, uint64(3), "the ends are recorded, and ignored")
	})
	c.assertServing(c.leader(), 2)
}

// TestOddAnnouncementsAreRefused guards against names, addresses and capacities that
// would be recorded and sent on to all entries.
func TestOddAnnouncementsAreRefused(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.leader()
	c.configure(leader, 1)
	for _, hello := range []*mesh.Hello{
		{Role: mesh.RoleAgent, VM: "side-1", Address: "127.0.0.1:99999"},
		{Role: mesh.RoleAgent, VM: "side-1", Address: "elsewhere"},
		{Role: mesh.RoleAgent, VM: "", Address: "127.0.0.1:7000"},
		{Role: mesh.RoleAgent, VM: string(bytes.Repeat([]byte("v"), 5000)), Address: "127.0.0.1:7000"},
	} {
		_, err := c.dial(leader, hello).Receive(5 * time.Second)
		assert.Assert(t, err != nil, "%.40v", hello)
	}
	agent := c.dial(leader, &mesh.Hello{Role: mesh.RoleAgent, VM: "side-1", Address: "127.0.0.1:7000"})
	m := inventory(agent.awaitSession())
	m.Incarnation.Capacity.CPU = 1 << 62
	agent.Send(m)
	_, err := agent.Receive(5 * time.Second)
	for err == nil {
		_, err = agent.Receive(5 * time.Second)
	}
	assert.Equal(t, len(c.managers[leader].service.Load().machine.EnrolledVMs()), 0)
	c.assertServing(leader, 2)
}

// TestBytesThatAreNoMessageEndTheirConnection guards against a control VM that ends, or
// allocates without bound, because of bytes from a process that speaks another
// protocol or is damaged.
func TestBytesThatAreNoMessageEndTheirConnection(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.leader()
	oversize := binary.BigEndian.AppendUint32(nil, 1<<31-1)
	nested := append(binary.BigEndian.AppendUint32(nil, 20_000), 1)
	nested = append(nested, bytes.Repeat([]byte{0x81}, 20_000)...) // arrays of one element
	for name, data := range map[string][]byte{
		"another protocol": []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
		"oversize":         append(oversize, 1, 2, 3),
		"deeply nested":    nested,
		"unknown kind":     {0, 0, 0, 1, 99, 0xa0},
		"not a Hello":      {0, 0, 0, 1, 4, 0xa0},
	} {
		conn, err := net.Dial("tcp", c.addresses[leader])
		assert.NilError(t, err, name)
		_, err = conn.Write(data)
		assert.NilError(t, err, name)
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err = conn.Read(make([]byte, 1))
		assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%s: the connection is still open", name)
		_ = conn.Close()
	}
	c.assertServing(leader, 1)
}
