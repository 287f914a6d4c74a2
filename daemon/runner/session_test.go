package runner

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
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
	// asked counts the holds.
	asked atomic.Int64

	mu sync.Mutex
	// silent endpoints answer nothing.
	silent bool
	// mute endpoints carry out starts without an answer; deaf ones don't even.
	mute, deaf bool
	running    map[work.Run]bool
	ends       []End
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

// finish ends a run well.
func (f *fakeEndpoint) finish(r work.Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running, r)
	f.ends = append(f.ends, End{Number: 1, End: work.End{Run: r, Reason: work.Done}})
}

func (f *fakeEndpoint) Hold(_ context.Context, _ string, q Hold) (Listing, error) {
	f.asked.Add(1)
	time.Sleep(min(q.Wait, 20*time.Millisecond))
	f.mu.Lock()
	defer f.mu.Unlock()
	if q.Deadline > 0 {
		f.deadlines = append(f.deadlines, q.Deadline)
	}
	if f.silent {
		return Listing{}, errSilent
	}
	f.ends = slices.DeleteFunc(f.ends, func(e End) bool { return e.Number <= q.Seen })
	l := Listing{Verdict: Done, Clock: f.clock(), Born: 1, Ends: slices.Clone(f.ends)}
	for r := range f.running {
		l.Running = append(l.Running, placement.ListedRun{Run: r})
	}
	return l, nil
}

// bench is an agent with a fake endpoint and a leader that the test plays.
type bench struct {
	*testing.T
	agent    *Service
	ctx      context.Context
	endpoint *fakeEndpoint
	*master
}

// master is who orders runs from the agent: a leader or an entry.
type master struct {
	conn *link.Conn
	news chan mesh.Message
}

func newBench(t *testing.T) *bench {
	b := newUnregisteredBench(t)
	b.agent.Register(Registration{Incarnation: someLife})
	b.master = b.lead(7)
	return b
}

// newUnregisteredBench returns an agent whose endpoint hasn't announced itself.
func newUnregisteredBench(t *testing.T) *bench {
	b := &bench{T: t, endpoint: newFakeEndpoint()}
	log := events.NewLog("agent", zap.NewNop(), events.NewClock())
	b.agent = New(Options{Endpoint: b.endpoint, MaxHold: time.Second, Log: log})
	ctx, cancel := context.WithCancel(context.Background())
	b.ctx = ctx
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = b.agent.Run(ctx)
	}()
	t.Cleanup(func() {
		b.endpoint.mu.Lock()
		clear(b.endpoint.running) // a stop waits for what runs
		b.endpoint.mu.Unlock()
		cancel()
		<-done
	})
	return b
}

// connect plays the far end of a connection that the agent serves.
func (b *bench) connect(serve func(near *link.Conn)) *master {
	near, far := net.Pipe()
	agent := link.New(near)
	m := &master{conn: link.New(far), news: make(chan mesh.Message, 100)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		serve(agent)
		agent.Close()
	}()
	go m.play()
	b.Cleanup(func() {
		m.conn.Close()
		agent.Close()
		<-done
	})
	return m
}

// lead lets a leader with a fencing token begin.
func (b *bench) lead(fence placement.SessionID) *master {
	b.Helper()
	m := b.connect(func(near *link.Conn) {
		_ = b.agent.Serve(b.ctx, &follow.Leader{Conn: near, Welcome: &mesh.Welcome{Leading: true, Term: 1, Session: fence}})
	})
	_, joined := (<-m.news).(*mesh.Inventory)
	assert.Assert(b, joined)
	time.Sleep(50 * time.Millisecond) // the first pong grants the lease
	return m
}

// enter lets an entry offer a session.
func (b *bench) enter(vm string, id placement.SessionID) *master {
	m := b.connect(func(near *link.Conn) { _ = b.agent.serveEntry(b.ctx, near, &mesh.Hello{Role: mesh.RoleEntry, VM: vm}) })
	m.conn.Send(&mesh.Welcome{Leading: true, Session: id})
	go link.Ping(b.ctx, m.conn, 100*time.Millisecond)
	return m
}

// play answers pings as a leader does, and keeps the agent's news.
func (m *master) play() {
	for {
		news, err := m.conn.Receive(5 * time.Second)
		if err != nil {
			return
		}
		switch n := news.(type) {
		case *mesh.Ping:
			m.conn.Send(&mesh.Pong{Sequence: n.Sequence, Renewed: true})
		case *mesh.Pong:
		case *mesh.NewSession:
			m.conn.Send(&mesh.Welcome{Leading: true, Term: 1, Session: 8})
		default:
			m.news <- news
		}
	}
}

// await waits for news of a type.
func await[T mesh.Message](b *bench, m *master) T {
	b.Helper()
	deadline := time.After(5 * time.Second)
	for {
		select {
		case news := <-m.news:
			if t, ok := news.(T); ok {
				return t
			}
		case <-deadline:
			b.Fatalf("no %T", *new(T))
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
	b.order(7, r)
}

// order orders a run of one core in a session.
func (m *master) order(session placement.SessionID, r work.Run) {
	m.conn.Send(&mesh.Orders{Orders: []placement.Order{{
		Session: session, Run: r, Spec: "x", Need: work.Resources{CPU: 1000}, BestEffort: true,
	}}})
}

var someLife = work.Incarnation{Instance: "i", StartTimeMS: 1, Pool: "desk", Capacity: work.Resources{CPU: 2000}}

var someRun = work.Run{Task: work.TaskID{Job: "a"}, Number: 3}

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
	b.report("unreachable", func(r *mesh.Report) bool { return r.Reachability == mesh.Unreachable })
	b.report("lapsed", func(r *mesh.Report) bool { return r.Reachability == mesh.LeaseExpired })
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
		return len(r.Refused) == 1 && r.Refused[0].Reason == placement.RefusedUnanswered
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
