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
	"github.com/cicadapulley/cicadapulley/core/runtable"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/follow"
	"github.com/cicadapulley/cicadapulley/daemon/internal/undisturbed"
	"github.com/cicadapulley/cicadapulley/daemon/link"
)

// fakeEndpoint is an endpoint whose answers the test controls.
type fakeEndpoint struct {
	startedAt time.Time
	// holdCalls counts the holds.
	holdCalls atomic.Int64
	// ignoreHold leaves the next hold unanswered, and ignoredUntil receives why its caller
	// stopped waiting.
	ignoreHold   atomic.Bool
	ignoredUntil chan error

	mu sync.Mutex
	// silent endpoints answer no calls.
	silent bool
	// dropStartAnswers executes starts without an answer; dropStarts does not even
	// execute them.
	dropStartAnswers, dropStarts bool
	running                      map[work.Run]bool
	ends                         []runtable.End
	stops                        []work.Run
	deadlines                    []time.Duration
	// lease is the time on its clock until which runs may go on, and lapses counts the times when
	// a call arrived after it. A lapse kills what runs.
	lease  time.Duration
	lapses int
}

func newFakeEndpoint() *fakeEndpoint {
	return &fakeEndpoint{startedAt: time.Now(), running: map[work.Run]bool{}, ignoredUntil: make(chan error, 1)}
}

func (f *fakeEndpoint) clock() time.Duration { return time.Since(f.startedAt) + time.Minute }

// extend extends the lease to a deadline, at most by a second. The caller holds mu.
func (f *fakeEndpoint) extend(deadline time.Duration) {
	clock := f.clock()
	if f.lease > 0 && clock > f.lease {
		f.lapses++
		f.lease = 0
	}
	if deadline > clock {
		f.lease = max(f.lease, min(deadline, clock+time.Second))
	}
}

// hasLease reports whether runs may go on.
func (f *fakeEndpoint) hasLease() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lease > f.clock()
}

// lapseCount returns how often the lease has lapsed.
func (f *fakeEndpoint) lapseCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lapses
}

var errSilent = errors.New("no answer")

func (f *fakeEndpoint) Start(ctx context.Context, _ string, q StartRequest) (runtable.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent || f.dropStarts {
		return runtable.Answer{}, errSilent
	}
	f.extend(q.Deadline)
	f.running[q.Run] = true
	if f.dropStartAnswers {
		return runtable.Answer{}, errSilent
	}
	return runtable.Answer{Verdict: runtable.Done, Clock: f.clock()}, nil
}

func (f *fakeEndpoint) Stop(_ context.Context, _ string, q StopRequest) (runtable.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent {
		return runtable.Answer{}, errSilent
	}
	f.stops = append(f.stops, q.Run)
	delete(f.running, q.Run)
	return runtable.Answer{Verdict: runtable.Done, Clock: f.clock()}, nil
}

// silence lets the endpoint answer no more calls.
func (f *fakeEndpoint) silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = true
}

// finish ends a run successfully.
func (f *fakeEndpoint) finish(r work.Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running, r)
	f.ends = append(f.ends, runtable.End{Number: 1, End: work.End{Run: r, Reason: work.Done}})
}

func (f *fakeEndpoint) Hold(ctx context.Context, _ string, q runtable.HoldRequest) (runtable.Listing, error) {
	f.holdCalls.Add(1)
	if f.ignoreHold.CompareAndSwap(true, false) {
		<-ctx.Done()
		f.ignoredUntil <- ctx.Err()
		return runtable.Listing{}, errSilent
	}
	time.Sleep(min(q.Wait, 20*time.Millisecond))
	f.mu.Lock()
	defer f.mu.Unlock()
	if q.Deadline > 0 {
		f.deadlines = append(f.deadlines, q.Deadline)
	}
	if f.silent {
		return runtable.Listing{}, errSilent
	}
	f.extend(q.Deadline)
	f.ends = slices.DeleteFunc(f.ends, func(e runtable.End) bool { return e.Number <= q.AckedUpTo })
	l := runtable.Listing{Verdict: runtable.Done, Clock: f.clock(), StartTimeMS: 1, Ends: slices.Clone(f.ends)}
	for r := range f.running {
		l.Running = append(l.Running, placement.ListedRun{Run: r})
	}
	return l, nil
}

// fixture is an agent with a fake endpoint and a leader that the test controls.
type fixture struct {
	testing.TB
	agent    *Service
	ctx      context.Context
	endpoint *fakeEndpoint
	*fakeScheduler
}

// fakeScheduler is a leader or an entry that orders runs from the agent.
type fakeScheduler struct {
	conn     *link.Conn
	messages chan mesh.Message
	// renewsNothing is set for a scheduler that answers pings without renewing the lease,
	// as a leader that may have been replaced does.
	renewsNothing bool
	// slowdown is what its answers to pings have as the endpoint's slowdown.
	slowdown atomic.Int64
	// pings counts the agent's pings.
	pings atomic.Int64
}

func newFixture(t testing.TB) *fixture {
	f := newUnregisteredFixture(t)
	f.agent.Register(Registration{Incarnation: someIncarnation})
	f.fakeScheduler = f.connectLeader(7)
	return f
}

// newUnregisteredFixture returns an agent whose endpoint has not announced itself.
func newUnregisteredFixture(t testing.TB) *fixture {
	f := &fixture{TB: t, endpoint: newFakeEndpoint()}
	log := events.NewLog("agent", zap.NewNop(), events.NewClock())
	f.agent = New(Options{Endpoint: f.endpoint, MaxHold: time.Second, DataCentre: "east", Log: log})
	ctx, cancel := context.WithCancel(context.Background())
	f.ctx = ctx
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.agent.Run(ctx)
	}()
	t.Cleanup(func() {
		f.endpoint.mu.Lock()
		clear(f.endpoint.running) // the agent's shutdown waits for its runs
		f.endpoint.mu.Unlock()
		cancel()
		<-done
	})
	return f
}

// connect returns a scheduler at the other end of a connection that serve handles
// for the agent.
func (f *fixture) connect(serve func(near *link.Conn)) *fakeScheduler {
	near, far := net.Pipe()
	s := &fakeScheduler{conn: link.New(far), messages: make(chan mesh.Message, 100)}
	f.start(s, near, serve)
	return s
}

// start lets serve handle the agent's end of a scheduler's connection.
func (f *fixture) start(s *fakeScheduler, near net.Conn, serve func(near *link.Conn)) {
	agent := link.New(near)
	done := make(chan struct{})
	go func() {
		defer close(done)
		serve(agent)
		agent.Close()
	}()
	go s.serve()
	f.Cleanup(func() {
		s.conn.Close()
		agent.Close()
		<-done
	})
}

// connectLeader connects a leader that issues a fencing token.
func (f *fixture) connectLeader(fence placement.SessionID) *fakeScheduler {
	f.Helper()
	s := f.connect(func(near *link.Conn) {
		_ = f.agent.Serve(f.ctx, &follow.Leader{Conn: near, Welcome: &mesh.Welcome{Leading: true, Term: 1, Session: fence}})
	})
	select {
	case m := <-s.messages:
		_, joined := m.(*mesh.Inventory)
		assert.Assert(f, joined, "%T", m)
	case <-time.After(5 * time.Second):
		f.Fatalf("no inventory") // the agent may have lost the connection before
	}
	time.Sleep(50 * time.Millisecond) // the first pong grants the lease
	for deadline := time.Now().Add(5 * time.Second); !f.endpoint.hasLease(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.Fatalf("the endpoint has no lease")
		}
	}
	return s
}

// connectEntry connects an entry that offers a session.
func (f *fixture) connectEntry(vm string, id placement.SessionID) *fakeScheduler {
	s := f.connect(func(near *link.Conn) { _ = f.agent.serveEntry(f.ctx, near, &mesh.Hello{Role: mesh.RoleEntry, VM: vm}) })
	s.conn.Send(&mesh.Welcome{Leading: true, Session: id})
	go link.Ping(f.ctx, s.conn, 100*time.Millisecond)
	return s
}

// serve answers pings as a leader does, and queues the agent's other messages.
func (s *fakeScheduler) serve() {
	for {
		message, err := s.conn.Receive(5 * time.Second)
		if err != nil {
			return
		}
		switch m := message.(type) {
		case *mesh.Ping:
			s.pings.Add(1)
			s.conn.Send(&mesh.Pong{Sequence: m.Sequence, Renewed: !s.renewsNothing, Slowdown: int(s.slowdown.Swap(0))})
		case *mesh.Pong:
		case *mesh.NewSession:
			s.conn.Send(&mesh.Welcome{Leading: true, Term: 1, Session: 8})
		default:
			s.messages <- message
		}
	}
}

// awaitMessage waits for a message of type T.
func awaitMessage[T mesh.Message](f *fixture, s *fakeScheduler) T {
	f.Helper()
	deadline := time.After(5 * time.Second)
	for {
		select {
		case message := <-s.messages:
			if t, ok := message.(T); ok {
				return t
			}
		case <-deadline:
			f.Fatalf("no %T", *new(T))
		}
	}
}

// awaitReport waits for a report that check accepts.
func (f *fixture) awaitReport(name string, check func(*mesh.Report) bool) {
	f.Helper()
	deadline := time.After(5 * time.Second)
	for {
		select {
		case m := <-f.messages:
			if r, ok := m.(*mesh.Report); ok && check(r) {
				return
			}
		case <-deadline:
			f.Fatalf("no report: %s", name)
		}
	}
}

func (f *fixture) orderRun(r work.Run) {
	f.order(7, r)
}

// order orders a run of a best-effort job, of one core, in a session.
func (s *fakeScheduler) order(session placement.SessionID, r work.Run) {
	s.orderOf(session, r, true)
}

// orderStored orders a run of a stored job.
func (s *fakeScheduler) orderStored(session placement.SessionID, r work.Run) {
	s.orderOf(session, r, false)
}

func (s *fakeScheduler) orderOf(session placement.SessionID, r work.Run, bestEffort bool) {
	s.conn.Send(&mesh.Orders{Orders: []placement.Order{{
		Session: session, Run: r, Spec: "x", Need: work.Resources{CPU: 1000}, BestEffort: bestEffort,
	}}})
}

var someIncarnation = work.Incarnation{Instance: "i", StartTimeMS: 1, Pool: "desk", Capacity: work.Resources{CPU: 2000}}

// undisturbedFixture runs a check on a fixture of its own, and again if it fails after the process has stood still
// for longer than a part of the time-outs of leaders (350 ms), entries and calls (130 ms).
func undisturbedFixture(t *testing.T, check func(t testing.TB, f *fixture)) {
	t.Helper()
	undisturbed.Check(t, 40*time.Millisecond, nil, func(t testing.TB) { check(t, newFixture(t)) })
}

var someRun = work.Run{Task: work.TaskID{Job: "a"}, Number: 3}

// TestLeaseOfSilentEndpointExpires guards against runs that may never be started
// elsewhere because the agent keeps sending holds to an endpoint that does not
// answer: unanswered holds must not extend the time until which runs may continue.
func TestLeaseOfSilentEndpointExpires(t *testing.T) {
	undisturbedFixture(t, func(t testing.TB, f *fixture) {
		f.orderRun(someRun)
		time.Sleep(100 * time.Millisecond)
		f.endpoint.silence()
		f.awaitReport("unreachable", func(r *mesh.Report) bool { return r.Reachability == mesh.Unreachable })
		f.awaitReport("lease expired", func(r *mesh.Report) bool { return r.Reachability == mesh.LeaseExpired })
		f.endpoint.mu.Lock()
		defer f.endpoint.mu.Unlock()
		latest := time.Duration(0)
		for _, d := range f.endpoint.deadlines {
			latest = max(latest, d)
		}
		assert.Assert(t, f.endpoint.clock() > latest, "nothing may run once the agent reports an expired lease")
	})
}

// TestRunWithUnansweredStartContinues guards against a run that is stopped although
// only the answer to its start was lost.
func TestRunWithUnansweredStartContinues(t *testing.T) {
	undisturbedFixture(t, func(t testing.TB, f *fixture) {
		f.endpoint.mu.Lock()
		f.endpoint.dropStartAnswers = true
		f.endpoint.mu.Unlock()
		f.orderRun(someRun)
		time.Sleep(500 * time.Millisecond)
		f.endpoint.mu.Lock()
		defer f.endpoint.mu.Unlock()
		assert.Assert(t, f.endpoint.running[someRun])
		assert.Equal(t, len(f.endpoint.stops), 0)
	})
}

// TestUnansweredStartIsStoppedBeforeRefusal guards against a second run of a task
// whose unanswered start is executed late: the agent reports the start as refused
// only after a stop has been answered.
func TestUnansweredStartIsStoppedBeforeRefusal(t *testing.T) {
	undisturbedFixture(t, func(t testing.TB, f *fixture) {
		f.endpoint.mu.Lock()
		f.endpoint.dropStarts = true
		f.endpoint.mu.Unlock()
		f.orderRun(someRun)
		f.awaitReport("refused as unanswered", func(r *mesh.Report) bool {
			return len(r.Refused) == 1 && r.Refused[0].Reason == placement.RefusedUnanswered
		})
		f.endpoint.mu.Lock()
		defer f.endpoint.mu.Unlock()
		assert.DeepEqual(t, f.endpoint.stops, []work.Run{someRun})
	})
}

// TestOvertakenHoldIsRepeated guards against ends that become known late because a hold
// that the endpoint left unanswered keeps its place until its time-out, although the
// endpoint has answered another one since.
func TestOvertakenHoldIsRepeated(t *testing.T) {
	undisturbedFixture(t, func(t testing.TB, f *fixture) {
		f.orderRun(someRun)
		assert.Assert(t, f.awaitRunning(someRun))
		f.endpoint.ignoreHold.Store(true)
		for f.endpoint.ignoreHold.Load() {
			time.Sleep(time.Millisecond)
		}
		f.endpoint.finish(someRun)
		assert.Assert(t, errors.Is(<-f.endpoint.ignoredUntil, context.Canceled))
	})
}

// TestVanishedRunIsReported guards against a task that waits indefinitely for a run
// that its endpoint no longer lists.
func TestVanishedRunIsReported(t *testing.T) {
	undisturbedFixture(t, func(t testing.TB, f *fixture) {
		f.orderRun(someRun)
		time.Sleep(100 * time.Millisecond)
		f.endpoint.mu.Lock()
		clear(f.endpoint.running)
		f.endpoint.mu.Unlock()
		f.awaitReport("vanished", func(r *mesh.Report) bool { return len(r.Vanished) == 1 && r.Vanished[0] == someRun })
	})
}

// connectNextLeader connects a leader of the next term, which takes over from the
// first.
func (f *fixture) connectNextLeader(session placement.SessionID) *fakeScheduler {
	return f.connect(f.serveNextLeader(session))
}

func (f *fixture) serveNextLeader(session placement.SessionID) func(near *link.Conn) {
	return func(near *link.Conn) {
		_ = f.agent.Serve(f.ctx, &follow.Leader{Conn: near, Welcome: &mesh.Welcome{Leading: true, Term: 2, Session: session}})
	}
}

// TestNewSessionKeepsEarlierDeadlines guards against a second run of a task: an agent
// whose endpoint goes silent just after a new session began, and before the leader has
// renewed the lease, must not report the lease as expired while the runs of the session
// before may go on.
func TestNewSessionKeepsEarlierDeadlines(t *testing.T) {
	undisturbedFixture(t, func(t testing.TB, f *fixture) {
		f.orderRun(someRun)
		assert.Assert(t, f.awaitRunning(someRun))
		near, far := net.Pipe()
		leader := &fakeScheduler{conn: link.New(far), messages: make(chan mesh.Message, 100), renewsNothing: true}
		f.start(leader, near, f.serveNextLeader(20))
		awaitMessage[*mesh.Inventory](f, leader)
		f.endpoint.silence()
		for awaitMessage[*mesh.Report](f, leader).Reachability != mesh.LeaseExpired {
		}
		f.endpoint.mu.Lock()
		defer f.endpoint.mu.Unlock()
		assert.Assert(t, f.endpoint.clock() > slices.Max(f.endpoint.deadlines), "runs may go on until their deadline")
	})
}

// sendSlowdown sends a slowdown with the next answer to a ping, and waits until the agent
// has sent a ping after that.
func (f *fixture) sendSlowdown(s *fakeScheduler, thousandths int64) {
	f.Helper()
	s.slowdown.Store(thousandths)
	for range 2 {
		pings := s.pings.Load()
		for deadline := time.Now().Add(5 * time.Second); s.pings.Load() == pings; time.Sleep(5 * time.Millisecond) {
			assert.Assert(f, time.Now().Before(deadline), "no ping")
		}
	}
}

// TestSlowdownOutlivesTheLeader guards against an agent that forgets, with its leader, what the
// leader has learned of its endpoint, or that lets an entry replace it.
func TestSlowdownOutlivesTheLeader(t *testing.T) {
	f := newFixture(t)
	f.sendSlowdown(f.fakeScheduler, 1300)
	f.sendSlowdown(f.fakeScheduler, 1400)
	f.conn.Close()
	entry := f.connectEntry("entry-1", 1)
	assert.Equal(t, awaitMessage[*mesh.Inventory](f, entry).Endpoint.Slowdown, 1400)
	f.sendSlowdown(entry, 700)
	leader := f.connectNextLeader(20)
	assert.Equal(t, awaitMessage[*mesh.Inventory](f, leader).Endpoint.Slowdown, 1400)
}

// TestSilentEndpointsListPossibleRuns guards against a new leader that waits for the
// inventory of an endpoint that doesn't answer, and holds all jobs of the earlier
// leader meanwhile.
func TestSilentEndpointsListPossibleRuns(t *testing.T) {
	undisturbedFixture(t, func(t testing.TB, f *fixture) {
		f.orderRun(someRun)
		assert.Assert(t, f.awaitRunning(someRun))
		f.endpoint.silence()
		f.conn.Close()
		leader := f.connectNextLeader(20)
		possible := awaitMessage[*mesh.PossibleRuns](f, leader)
		assert.Equal(t, possible.Session, placement.SessionID(20))
		assert.DeepEqual(t, possible.Runs, []work.Run{someRun})
	})
}

// TestLapsedEndpointsListNoRuns guards against a new leader that waits for an agent
// without a registered endpoint, which begins no session.
func TestLapsedEndpointsListNoRuns(t *testing.T) {
	undisturbedFixture(t, func(t testing.TB, f *fixture) {
		f.orderRun(someRun)
		assert.Assert(t, f.awaitRunning(someRun))
		f.endpoint.silence()
		for {
			if r := awaitMessage[*mesh.Report](f, f.fakeScheduler); r.Reachability == mesh.LeaseExpired {
				break
			}
		}
		time.Sleep(5 * holdRetryDelay)
		leader := f.connectNextLeader(20)
		possible := awaitMessage[*mesh.PossibleRuns](f, leader)
		assert.Equal(t, possible.Session, placement.SessionID(20))
		assert.Equal(t, len(possible.Runs), 0)
	})
}
