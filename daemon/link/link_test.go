package link

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/daemon/internal/undisturbed"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// pair returns both ends of a connection on loopback.
func pair(t testing.TB) (near, far *Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	near, err = Dial(context.Background(), l.Addr().String(), time.Second)
	assert.NilError(t, err)
	accepted, err := l.Accept()
	assert.NilError(t, err)
	far = New(accepted)
	t.Cleanup(func() {
		near.Close()
		far.Close()
		near.Wait()
		far.Wait()
	})
	return near, far
}

// pingedPair returns the far end of a connection whose near end sends pings and calls
// received for each message.
func pingedPair(t testing.TB, interval time.Duration, received func(near *Conn)) *Conn {
	near, far := pair(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go Ping(ctx, near, interval)
	go func() {
		for {
			if _, err := near.Receive(time.Minute); err != nil {
				return
			}
			received(near)
		}
	}()
	return far
}

// countPings answers the pings of a connection, sends a message at each busy interval
// (0 for none), and returns the number of pings within d.
func countPings(t testing.TB, far *Conn, busy, d time.Duration) int {
	stop := time.After(d)
	if busy > 0 {
		ticker := time.NewTicker(busy)
		defer ticker.Stop()
		done := make(chan struct{})
		defer close(done)
		go func() {
			for {
				select {
				case <-done:
					return
				case <-ticker.C:
					far.Send(&mesh.Acknowledge{})
				}
			}
		}()
	}
	pings := 0
	for {
		select {
		case <-stop:
			return pings
		default:
		}
		m, err := far.Receive(time.Second)
		assert.NilError(t, err)
		if _, ok := m.(*mesh.Ping); ok {
			pings++
			far.Send(&mesh.Pong{})
		}
	}
}

// TestIdleConnectionsArePinged guards against a live connection that its peer takes for
// lost: an idle one needs a ping in each interval, not in every other (incident
// inc-d68e: agents that were 0.8 s without a message lost their sessions).
func TestIdleConnectionsArePinged(t *testing.T) {
	const interval, intervals = 50 * time.Millisecond, 20
	undisturbed.Check(t, interval/5, nil, func(t testing.TB) {
		far := pingedPair(t, interval, func(*Conn) {})
		assert.Assert(t, countPings(t, far, 0, intervals*interval) >= intervals*3/4)
	})
}

// TestBusyConnectionsSaveAnswers guards against pings on connections whose messages show
// that both ends are alive: at hundreds of agents pings were most of a leader's messages.
func TestBusyConnectionsSaveAnswers(t *testing.T) {
	const interval, intervals = 50 * time.Millisecond, 20
	undisturbed.Check(t, interval/5, nil, func(t testing.TB) {
		far := pingedPair(t, interval, func(near *Conn) { near.Send(&mesh.Report{}) })
		assert.Assert(t, countPings(t, far, interval/10, intervals*interval) <= intervals/4)
	})
}

// TestQueueIsBoundedByBytes guards against a connection that keeps many large messages for a peer that
// reads nothing, and against one that is closed because a single message is larger than the bound.
func TestQueueIsBoundedByBytes(t *testing.T) {
	const limit, size = 1 << 20, 64 << 10
	near, far := pair(t)
	near.LimitQueue(limit)
	message := func(bytes int) *mesh.Response { return &mesh.Response{Detail: string(make([]byte, bytes))} }
	near.Send(message(8 * limit))
	near.Send(&mesh.Pong{})
	for _, want := range []int{8 * limit, 0} {
		m, err := far.Receive(time.Second)
		assert.NilError(t, err)
		if r, ok := m.(*mesh.Response); ok {
			assert.Equal(t, len(r.Detail), want)
		}
	}
	const kernel = 16 << 20 // what the kernel may take of a connection on loopback
	for range (kernel + 2*limit) / size {
		near.Send(message(size))
		near.mu.Lock()
		queued := near.queuedBytes
		near.mu.Unlock()
		assert.Assert(t, queued <= limit+2*size, "%d bytes", queued)
		select {
		case <-near.Closed():
			return
		default:
		}
	}
	t.Fatal("the connection is still open")
}

// TestQueueIsBounded guards against a connection that keeps more and more messages for
// a peer that reads nothing.
func TestQueueIsBounded(t *testing.T) {
	near, _ := pair(t)
	for range 100 * maxQueuedMessages {
		near.Send(&mesh.Abandon{})
		select {
		case <-near.Closed():
			return
		default:
		}
	}
	t.Fatal("the connection is still open")
}
