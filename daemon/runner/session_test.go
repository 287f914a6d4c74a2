package runner

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/follow"
	"github.com/cicadapulley/cicadapulley/daemon/link"
)

// fakeEndpoint answers as the test sets it.
type fakeEndpoint struct {
	began time.Time

	mu sync.Mutex
	// silent endpoints answer nothing.
	silent bool
	// mute endpoints carry out starts without an answer; deaf ones don't even.
	mute, deaf bool
	running    map[work.Run]bool
	stops      []work.Run
	deadlines  []time.Duration
}

func newFakeEndpoint() *fakeEndpoint {
	return &fakeEndpoint{began: time.Now(), running: map[work.Run]bool{}}
}

func (f *fakeEndpoint) clock() time.Duration { return time.Since(f.began) + time.Minute }

var errSilent = errors.New("no answer")

func (f *fakeEndpoint) Start(ctx context.Context, _ string, q Start) (Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent || f.deaf {
		return Answer{}, errSilent
	}
	f.running[q.Run] = true
	if f.mute {
		return Answer{}, errSilent
	}
	return Answer{Verdict: Done, Clock: f.clock()}, nil
}

func (f *fakeEndpoint) Stop(_ context.Context, _ string, q Stop) (Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent {
		return Answer{}, errSilent
	}
	f.stops = append(f.stops, q.Run)
	delete(f.running, q.Run)
	return Answer{Verdict: Done, Clock: f.clock()}, nil
}

func (f *fakeEndpoint) Hold(_ context.Context, _ string, q Hold) (Listing, error) {
	time.Sleep(min(q.Wait, 20*time.Millisecond))
	f.mu.Lock()
	defer f.mu.Unlock()
	if q.Deadline > 0 {
		f.deadlines = append(f.deadlines, q.Deadline)
	}
	if f.silent {
		return Listing{}, errSilent
	}
	l := Listing{Verdict: Done, Clock: f.clock(), Born: 1}
	for r := range f.running {
		l.Running = append(l.Running, placement.ListedRun{Run: r})
	}
	return l, nil
}

// bench is an agent with a fake endpoint and a leader that the test plays.
type bench struct {
	*testing.T
	endpoint *fakeEndpoint
	leader   *link.Conn
	news     chan mesh.Message
}

func newBench(t *testing.T) *bench {
	b := &bench{T: t, endpoint: newFakeEndpoint(), news: make(chan mesh.Message, 100)}
	log := events.NewLog("agent", zap.NewNop(), events.NewClock())
	s := New(Options{Endpoint: b.endpoint, MaxHold: time.Second, Log: log})
	s.Register(Registration{Instance: "i", Born: 1, Pool: "desk"})
	near, far := net.Pipe()
	agent := link.New(near)
	b.leader = link.New(far)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ctx, &follow.Leader{Conn: agent, Welcome: &mesh.Welcome{Leading: true, Term: 1, Session: 7}})
	}()
	go b.play()
	t.Cleanup(func() {
		cancel()
		agent.Close()
		b.leader.Close()
		<-done
	})
	_, joined := (<-b.news).(*mesh.Inventory)
	assert.Assert(t, joined)
	time.Sleep(50 * time.Millisecond) // the first pong grants the lease
	return b
}

// play answers pings as a leader does, and keeps the agent's news.
func (b *bench) play() {
	for {
		m, err := b.leader.Receive(5 * time.Second)
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *mesh.Ping:
			b.leader.Send(&mesh.Pong{Sequence: m.Sequence, Renewed: true})
		case *mesh.NewSession:
			b.leader.Send(&mesh.Welcome{Leading: true, Term: 1, Session: 8})
		default:
			b.news <- m
		}
	}
}

// report waits for a report that the check accepts.
func (b *bench) report(what string, check func(*mesh.Report) bool) {
	b.Helper()
	deadline := time.After(5 * time.Second)
	for {
		select {
		case m := <-b.news:
			if r, ok := m.(*mesh.Report); ok && check(r) {
				return
			}
		case <-deadline:
			b.Fatalf("no report: %s", what)
		}
	}
}

func (b *bench) start(r work.Run) {
	b.leader.Send(&mesh.Orders{Orders: []placement.Order{{Session: 7, Run: r, Spec: "x"}}})
}

var someRun = work.Run{Task: work.TaskID{Job: "a"}, Run: 3}

// TestSilentEndpointLapses guards against runs that nobody may start again because
// an agent goes on asking an endpoint that never answers: holds without an answer
// must not extend the time until which runs may go on.
func TestSilentEndpointLapses(t *testing.T) {
	b := newBench(t)
	b.start(someRun)
	time.Sleep(100 * time.Millisecond)
	b.endpoint.mu.Lock()
	b.endpoint.silent = true
	b.endpoint.mu.Unlock()
	b.report("unreachable", func(r *mesh.Report) bool { return r.Reach == mesh.Unreachable })
	b.report("lapsed", func(r *mesh.Report) bool { return r.Reach == mesh.Lapsed })
	b.endpoint.mu.Lock()
	defer b.endpoint.mu.Unlock()
	latest := time.Duration(0)
	for _, d := range b.endpoint.deadlines {
		latest = max(latest, d)
	}
	assert.Assert(t, b.endpoint.clock() > latest, "nothing may run when the agent says so")
}

// TestUnansweredStartThatRuns guards against work thrown away because only the
// answer to its start was lost.
func TestUnansweredStartThatRuns(t *testing.T) {
	b := newBench(t)
	b.endpoint.mu.Lock()
	b.endpoint.mute = true
	b.endpoint.mu.Unlock()
	b.start(someRun)
	time.Sleep(500 * time.Millisecond)
	b.endpoint.mu.Lock()
	defer b.endpoint.mu.Unlock()
	assert.Assert(t, b.endpoint.running[someRun])
	assert.Equal(t, len(b.endpoint.stops), 0)
}

// TestUnansweredStartIsStoppedFirst guards against a second run of a task whose
// unanswered start is carried out late: the agent reports it as refused only after
// a stop was answered.
func TestUnansweredStartIsStoppedFirst(t *testing.T) {
	b := newBench(t)
	b.endpoint.mu.Lock()
	b.endpoint.deaf = true
	b.endpoint.mu.Unlock()
	b.start(someRun)
	b.report("refused as unanswered", func(r *mesh.Report) bool {
		return len(r.Refused) == 1 && r.Refused[0].Why == placement.RefusedUnanswered
	})
	b.endpoint.mu.Lock()
	defer b.endpoint.mu.Unlock()
	assert.DeepEqual(t, b.endpoint.stops, []work.Run{someRun})
}

// TestVanishedRunIsReported guards against a task that waits for ever for a run
// that its endpoint doesn't know any more.
func TestVanishedRunIsReported(t *testing.T) {
	b := newBench(t)
	b.start(someRun)
	time.Sleep(100 * time.Millisecond)
	b.endpoint.mu.Lock()
	clear(b.endpoint.running)
	b.endpoint.mu.Unlock()
	b.report("vanished", func(r *mesh.Report) bool { return len(r.Vanished) == 1 && r.Vanished[0] == someRun })
}
