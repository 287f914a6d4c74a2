package runner

import (
	"context"
	"io"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/runtable"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/link"
)

// bareSession is a session whose listings the test applies, with a scheduler at the other end of a connection.
type bareSession struct {
	testing.TB
	*session
	near, far *link.Conn
	scheduler *schedulerConn
	// stopAt names the event at which the first goroutine that emits it stops until resume is closed; stopped is
	// closed then.
	stopAt          atomic.Pointer[string]
	stopped, resume chan struct{}
}

// newBareSession begins a session at an endpoint that runs the given runs. With a leader, the scheduler is that.
func newBareSession(t testing.TB, owner runtable.Owner, runs ...work.Run) *bareSession {
	endpoint := newFakeEndpoint()
	for _, r := range runs {
		endpoint.running[r] = true
	}
	near, far := net.Pipe()
	b := &bareSession{TB: t, near: link.New(near), far: link.New(far), stopped: make(chan struct{}), resume: make(chan struct{})}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(io.Discard), zap.DebugLevel)
	logger := zap.New(zapcore.RegisterHooks(core, b.onEvent))
	service := New(Options{Endpoint: endpoint, MaxHold: time.Second, Log: events.NewLog("agent", logger, events.NewClock())})
	b.scheduler = &schedulerConn{owner: owner, conn: b.near}
	params := sessionParams{registration: Registration{Incarnation: someIncarnation}, fence: 7}
	if owner.VM == "" {
		params.leader = b.scheduler
	}
	b.session = newSession(service, params)
	b.session.ctx, b.session.end = context.WithCancelCause(t.Context())
	t.Cleanup(func() {
		b.session.end(nil)
		b.near.Close()
		b.far.Close()
	})
	assert.NilError(t, b.session.begin(b.session.ctx))
	return b
}

// onEvent stops the goroutine that emits the event of stopAt.
func (b *bareSession) onEvent(e zapcore.Entry) error {
	if name := b.stopAt.Load(); name != nil && *name == e.Message && b.stopAt.CompareAndSwap(name, nil) {
		close(b.stopped)
		<-b.resume
	}
	return nil
}

// overtake calls first until it emits an event, then second beside it, and lets first go on when second has returned or
// can't before first does.
func (b *bareSession) overtake(first func(), at events.ID, second func()) {
	name := at.Name()
	b.stopAt.Store(&name)
	firstDone, secondDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(firstDone)
		first()
	}()
	select {
	case <-b.stopped:
	case <-firstDone:
		b.Fatalf("no event %s", name)
	}
	go func() {
		defer close(secondDone)
		second()
	}()
	select {
	case <-secondDone:
	case <-time.After(200 * time.Millisecond):
	}
	close(b.resume)
	<-firstDone
	<-secondDone
}

// miss handles holds without an answer, the last of which makes the endpoint silent.
func (b *bareSession) miss(n int) {
	for range n {
		b.handleMissedHold(b.ctx, errSilent)
	}
}

// missesUntilSilent is the number of holds without an answer after which an endpoint counts as silent.
const missesUntilSilent = 2 * runtable.ConcurrentHolds

// listing returns the n-th listing, which has the ends of the first n runs, and the other runs.
func (b *bareSession) listing(n int, runs []work.Run) runtable.Listing {
	l := runtable.Listing{Verdict: runtable.Done, Clock: 2*time.Minute + time.Duration(n)*time.Millisecond, StartTimeMS: 1}
	for i, r := range runs {
		if i < n {
			l.Ends = append(l.Ends, runtable.End{Number: uint64(i) + 1, End: work.End{Run: r, Reason: work.Done}})
		} else {
			l.Running = append(l.Running, placement.ListedRun{Run: r})
		}
	}
	return l
}

// sent returns the messages that the session has sent since the last call.
func (b *bareSession) sent() []mesh.Message {
	b.Helper()
	b.near.Send(&mesh.Abandon{}) // a message that the session doesn't send
	var list []mesh.Message
	for {
		m, err := b.far.Receive(5 * time.Second)
		assert.NilError(b, err)
		if _, last := m.(*mesh.Abandon); last {
			return list
		}
		list = append(list, m)
	}
}

func storedRuns(n int) []work.Run {
	var runs []work.Run
	for i := range n {
		runs = append(runs, runOf("stored", uint64(i)+1))
	}
	return runs
}

// TestEndsAreReportedInOrder guards against a task that runs again after its end: the reports of two holds that were
// answered at the same time left in the other order, so that the leader acknowledged the later end, and the endpoint
// dropped both, before it had received the earlier one; a leader that was lost right then never recorded it.
func TestEndsAreReportedInOrder(t *testing.T) {
	runs := storedRuns(3)
	b := newBareSession(t, runtable.Owner{}, runs...)
	b.miss(missesUntilSilent)
	b.overtake(
		func() { b.applyListing(b.ctx, 1, b.listing(1, runs)) }, events.EndpointAnswers,
		func() { b.applyListing(b.ctx, 2, b.listing(2, runs)) },
	)
	var reported []uint64
	for _, m := range b.sent() {
		if r, ok := m.(*mesh.Report); ok {
			for _, e := range r.Ends {
				reported = append(reported, e.Number)
			}
		}
	}
	assert.DeepEqual(t, reported, []uint64{1, 2})
}

// TestReachabilityIsReportedInOrder guards against an endpoint that gets no more tasks although it answers: the report
// that it was unreachable left after the report that it answered again.
func TestReachabilityIsReportedInOrder(t *testing.T) {
	b := newBareSession(t, runtable.Owner{})
	b.miss(missesUntilSilent - 1)
	b.overtake(
		func() { b.miss(1) }, events.EndpointSilent,
		func() { b.applyListing(b.ctx, 1, b.listing(0, nil)) },
	)
	var reported []mesh.Reachability
	for _, m := range b.sent() {
		if r, ok := m.(*mesh.Report); ok {
			reported = append(reported, r.Reachability)
		}
	}
	assert.DeepEqual(t, reported, []mesh.Reachability{mesh.Unreachable, mesh.Reachable})
}

// TestInventoryPrecedesReports guards against a run that an entry takes to go on after its end: the end was listed
// while the entry joined the session, after its inventory had been made and before it was sent, and the report of
// the end reached the entry before the inventory, or was not sent to it.
func TestInventoryPrecedesReports(t *testing.T) {
	runs := storedRuns(1)
	b := newBareSession(t, runtable.Owner{VM: "entry-1", Period: 1}, runs...)
	b.scheduler.setOffer(1)
	joined, applied := make(chan struct{}), make(chan struct{})
	b.scheduler.mu.Lock() // the entry joins up to the use of its offer
	go func() {
		defer close(joined)
		b.updateParticipants(serviceState{entries: []*schedulerConn{b.scheduler}})
	}()
	time.Sleep(200 * time.Millisecond)
	b.session.mu.Lock() // from there no further than to the making of its inventory
	b.scheduler.mu.Unlock()
	for deadline := time.Now().Add(5 * time.Second); ; {
		b.scheduler.mu.Lock()
		if b.scheduler.offeredSession == 0 {
			break
		}
		b.scheduler.mu.Unlock()
		assert.Assert(t, time.Now().Before(deadline), "the offer is not used")
	}
	b.session.mu.Unlock() // and then until it takes messages from the entry
	for deadline := time.Now().Add(200 * time.Millisecond); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if b.session.mu.TryLock() {
			takesPart := len(b.participants) > 0
			b.session.mu.Unlock()
			if takesPart {
				break
			}
		}
	}
	go func() {
		defer close(applied)
		b.applyListing(b.ctx, 1, b.listing(1, runs))
	}()
	select {
	case <-applied:
	case <-time.After(200 * time.Millisecond):
	}
	b.scheduler.mu.Unlock()
	<-joined
	<-applied
	goesOn := false
	for _, m := range b.sent() {
		switch m := m.(type) {
		case *mesh.Inventory:
			goesOn = slices.ContainsFunc(m.Running, func(r placement.ListedRun) bool { return r.Run == runs[0] })
		case *mesh.Report:
			goesOn = goesOn && !slices.ContainsFunc(m.Ends, func(e mesh.NumberedEnd) bool { return e.End.Run == runs[0] })
		}
	}
	assert.Assert(t, !goesOn, "the inventory has the run, and no report of its end follows")
}
