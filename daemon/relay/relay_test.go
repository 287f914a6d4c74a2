package relay

import (
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// side is an agent or a control VM, whose connections the test plays.
type side struct {
	*testing.T
	*net.TCPListener
}

func newSide(t *testing.T) side {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return side{T: t, TCPListener: l}
}

func (s side) address() string { return s.Addr().String() }

// accept returns the next connection, nil if none comes soon.
func (s side) accept() net.Conn {
	s.Helper()
	assert.NilError(s, s.SetDeadline(time.Now().Add(500*time.Millisecond)))
	c, err := s.Accept()
	if err != nil {
		return nil
	}
	s.Cleanup(func() { _ = c.Close() })
	assert.NilError(s, c.SetDeadline(time.Now().Add(10*time.Second)))
	return c
}

// greeted accepts a relay at an agent and checks its first message.
func (s side) greeted() net.Conn {
	s.Helper()
	c := s.accept()
	assert.Assert(s, c != nil, "no relay")
	m, err := mesh.Read(c, mesh.MaxMessageBytes, nil)
	assert.NilError(s, err)
	assert.DeepEqual(s, m, &mesh.Hello{Role: mesh.RoleRelay, VM: "entry-1"})
	return c
}

func assertEnded(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection is still open")
}

func startService(t *testing.T, limit int) *Service {
	s := New(Options{VM: "entry-1", Limit: limit, Log: events.NewLog("entry-1", zap.NewNop(), events.NewClock())})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return s
}

// TestBytesAreCopied guards against a relay that changes the bytes, or that leaves one side
// open when the other has ended.
func TestBytesAreCopied(t *testing.T) {
	agent, control := newSide(t), newSide(t)
	s := startService(t, 16)
	s.Relay(&mesh.Relay{VM: "agent-1", Address: agent.address()}, control.address())
	a, c := agent.greeted(), control.accept()
	sent := make([]byte, 1<<20)
	for i := range sent {
		sent[i] = byte(i * i >> 7)
	}
	for _, ends := range [][2]net.Conn{{a, c}, {c, a}} {
		go func() { _, _ = ends[0].Write(sent) }()
		received := make([]byte, len(sent))
		_, err := io.ReadFull(ends[1], received)
		assert.NilError(t, err)
		assert.Assert(t, string(received) == string(sent))
	}
	_ = c.Close()
	assertEnded(t, a)
}

// TestLimitAndRepetition guards against an entry that relays more than its limit, or the same
// agent twice, and against one that keeps an agent at a leader of the past.
func TestLimitAndRepetition(t *testing.T) {
	agent, other, control, next := newSide(t), newSide(t), newSide(t), newSide(t)
	s := startService(t, 1)
	order := &mesh.Relay{VM: "agent-1", Address: agent.address()}
	s.Relay(order, control.address())
	a, c := agent.greeted(), control.accept()
	s.Relay(order, control.address())
	s.Relay(&mesh.Relay{VM: "agent-2", Address: other.address()}, control.address())
	assert.Assert(t, agent.accept() == nil && other.accept() == nil)
	s.Relay(order, next.address())
	assertEnded(t, a)
	assertEnded(t, c)
	agent.greeted()
	assert.Assert(t, next.accept() != nil)

	none := startService(t, 0)
	none.Relay(order, control.address())
	assert.Assert(t, agent.accept() == nil, "relays are off")
}

// TestSilentSides guards against relays that stay open although both sides have given them up,
// and against the end of one on which only one side sends.
func TestSilentSides(t *testing.T) {
	agent, control := newSide(t), newSide(t)
	startService(t, 1).Relay(&mesh.Relay{VM: "agent-1", Address: agent.address()}, control.address())
	a, c := agent.greeted(), control.accept()
	for range 5 {
		time.Sleep(idleTimeout / 4)
		_, err := a.Write([]byte{1})
		assert.NilError(t, err)
	}
	begun := time.Now()
	_, err := io.ReadFull(c, make([]byte, 5))
	assert.NilError(t, err)
	assertEnded(t, c)
	assertEnded(t, a)
	assert.Assert(t, time.Since(begun) > idleTimeout/2)
}
