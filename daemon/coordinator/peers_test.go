package coordinator

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/daemon/control/consensus"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/link"
)

// slowListener accepts connections that deliver at most bytesPerSecond; 0 means no limit.
type slowListener struct {
	net.Listener
	bytesPerSecond int
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return slowConn{c, l.bytesPerSecond}, err
}

type slowConn struct {
	net.Conn
	bytesPerSecond int
}

func (c slowConn) Read(p []byte) (int, error) {
	if c.bytesPerSecond == 0 {
		return c.Conn.Read(p)
	}
	const interval = 10 * time.Millisecond
	time.Sleep(interval)
	return c.Conn.Read(p[:min(len(p), c.bytesPerSecond/int(time.Second/interval))])
}

// sendToPeer sends Raft messages as a control VM does, again after each lost connection, to a peer that answers pings
// and reads at most bytesPerSecond. It returns what the peer receives within 10 s, up to as many messages.
func sendToPeer(t *testing.T, bytesPerSecond int, messages []raft.Message) (received []raft.Message) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	log := events.NewLog("control-1", testLogger(), events.NewClock())
	arrived := make(chan raft.Message, 10*len(messages))
	lost := make(chan struct{}, 100)
	served := make(chan error, 1)
	go func() {
		served <- link.Serve(ctx, slowListener{listener, bytesPerSecond}, link.ServeOptions{Name: "peer", MaxConnections: 10, Log: log}, func(_ context.Context, c *link.Conn, _ *mesh.Hello) error {
			defer func() { lost <- struct{}{} }()
			c.LimitMessages(mesh.MaxMessageBytes)
			for {
				m, err := c.Receive(5 * time.Second)
				if err != nil {
					return err
				}
				switch m := m.(type) {
				case *mesh.Ping:
					c.Send(&mesh.Pong{Sequence: m.Sequence})
				case *mesh.RaftMessages:
					for _, a := range m.Messages {
						arrived <- a
					}
				}
			}
		})
	}()
	transport := newPeerTransport(raft.Server{ID: "a", Address: "127.0.0.1:1"}, "control-1", 0, log)
	ended := make(chan error, 1)
	go func() { ended <- transport.Run(ctx) }()
	defer func() {
		cancel()
		assert.NilError(t, <-ended)
		assert.NilError(t, <-served)
	}()
	send := func() { assert.NilError(t, transport.Send(ctx, listener.Addr().String(), messages)) }
	send()
	timeout := time.After(10 * time.Second)
	for len(received) < len(messages) {
		select {
		case m := <-arrived:
			received = append(received, m)
		case <-lost:
			send()
		case <-timeout:
			return received
		}
	}
	return received
}

// TestManyAppendsReachAPeer guards against a control VM that catches up slowly and misses heartbeats meanwhile: all
// appends that a leader sends without an answer went into one message of 256 MiB, which can't be encoded, so that
// the connection was closed.
func TestManyAppendsReachAPeer(t *testing.T) {
	data := make([]byte, consensus.MaxBytesPerMessage)
	messages := make([]raft.Message, consensus.MaxInflight)
	for i := range messages {
		messages[i] = raft.Message{Type: raft.MsgAppend, Entries: []raft.Entry{{Index: uint64(i) + 1, Data: data}}}
	}
	for i, m := range sendToPeer(t, 0, messages) {
		assert.Equal(t, m.Entries[0].Index, uint64(i)+1)
		assert.Equal(t, len(m.Entries[0].Data), len(data))
		messages = messages[1:]
	}
	assert.Equal(t, len(messages), 0, "appends that have not arrived")
}

// TestSnapshotsReachAPeer guards against a control VM that never catches up, as after the loss of its disk: a snapshot
// is one message, so it can't be sent if it is larger than mesh.MaxMessageBytes, or if it takes longer than the time
// after which a connection without answers to pings counts as dead. Leaders bound what they accept by neither.
func TestSnapshotsReachAPeer(t *testing.T) {
	for name, c := range map[string]struct{ bytes, bytesPerSecond int }{
		"20,000 open jobs with specs of 4,000 bytes": {bytes: 80_000_000},
		"126,450 final jobs at 20 MB/s":              {bytes: 18_700_000, bytesPerSecond: 20_000_000},
	} {
		t.Run(name, func(t *testing.T) {
			snapshot := &raft.Snapshot{Index: 7, Data: make([]byte, c.bytes)}
			received := sendToPeer(t, c.bytesPerSecond, []raft.Message{{Type: raft.MsgSnapshot, Snapshot: snapshot}})
			assert.Equal(t, len(received), 1, "the snapshot has not arrived")
		})
	}
}
