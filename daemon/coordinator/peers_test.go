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

// TestManyAppendsReachAPeer guards against a control VM that catches up slowly and misses heartbeats meanwhile: all
// appends that a leader sends without an answer went into one message of 256 MiB, which can't be encoded, so that
// the connection was closed.
func TestManyAppendsReachAPeer(t *testing.T) {
	const appends, appendBytes = consensus.MaxInflight, consensus.MaxBytesPerMessage
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	log := events.NewLog("control-1", testLogger(), events.NewClock())
	received := make(chan int, appends)
	served := make(chan error, 1)
	go func() {
		served <- link.Serve(ctx, listener, link.ServeOptions{Name: "peer", MaxConnections: 1, Log: log}, func(_ context.Context, c *link.Conn, _ *mesh.Hello) error {
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
						received <- len(a.Entries[0].Data)
					}
				}
			}
		})
	}()
	transport := newPeerTransport(raft.Server{ID: "a", Address: "127.0.0.1:1"}, "control-1", 0, log)
	ended := make(chan error, 1)
	go func() { ended <- transport.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
		assert.NilError(t, <-served)
	})
	data := make([]byte, appendBytes)
	messages := make([]raft.Message, appends)
	for i := range messages {
		messages[i] = raft.Message{Type: raft.MsgAppend, Entries: []raft.Entry{{Index: uint64(i) + 1, Data: data}}}
	}
	assert.NilError(t, transport.Send(ctx, listener.Addr().String(), messages))
	for n := range appends {
		select {
		case bytes := <-received:
			assert.Equal(t, bytes, appendBytes)
		case <-time.After(10 * time.Second):
			t.Fatalf("%d of %d appends have arrived", n, appends)
		}
	}
}
