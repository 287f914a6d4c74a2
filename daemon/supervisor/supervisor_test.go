package supervisor

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// recorder records the starts and stops of children and the calls of Observer.
type recorder struct {
	mu     sync.Mutex
	events []string
}

func (r *recorder) record(s string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, s)
}

func (r *recorder) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.events...)
}

func (r *recorder) ChildFailed(path string, _ error)           { r.record("failed " + path) }
func (r *recorder) ChildPanicked(path string, _ any, _ string) { r.record("panic " + path) }
func (r *recorder) ChildStuck(path string)                     { r.record("stuck " + path) }
func (r *recorder) healthyChild(name string) Child {
	return Child{Name: name, Run: func(ctx context.Context) error {
		r.record("start " + name)
		<-ctx.Done()
		r.record("stop " + name)
		return nil
	}}
}

// failingChild returns a child whose first runs fail after a second, by panic if
// withPanic is set.
func (r *recorder) failingChild(name string, times int, withPanic bool) Child {
	runs := 0
	return Child{Name: name, Run: func(ctx context.Context) error {
		runs++
		r.record("start " + name)
		if runs > times {
			<-ctx.Done()
			return nil
		}
		time.Sleep(time.Second)
		if withPanic {
			panic("broken")
		}
		return errors.New("broken")
	}}
}

func runFor(s *Supervisor, d time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return s.Run(ctx)
}

// TestOneForOneRestartsOnlyTheFailed guards against a failed child that stays
// down, and against a restart that also restarts healthy siblings.
func TestOneForOneRestartsOnlyTheFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{}
		s := New("root", Options{Observer: r})
		s.Add(r.healthyChild("a"))
		s.Add(r.failingChild("b", 1, true))
		assert.NilError(t, runFor(s, 10*time.Second))
		assert.DeepEqual(t, count(r.list()), map[string]int{
			"start a": 1, "stop a": 1, "start b": 2, "panic root/b": 1, "failed root/b": 1,
		})
	})
}

// TestRestForOneRestartsLaterChildren guards against a later child that keeps
// using the state of a failed one.
func TestRestForOneRestartsLaterChildren(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{}
		s := New("root", Options{Observer: r, Strategy: RestForOne})
		s.Add(r.healthyChild("a"))
		s.Add(r.failingChild("b", 1, false))
		s.Add(r.healthyChild("c"))
		assert.NilError(t, runFor(s, 10*time.Second))
		assert.DeepEqual(t, count(r.list()), map[string]int{
			"start a": 1, "stop a": 1, "start b": 2, "failed root/b": 1, "start c": 2, "stop c": 2,
		})
	})
}

func count(events []string) map[string]int {
	m := map[string]int{}
	for _, n := range events {
		m[n]++
	}
	return m
}

// TestEscalation guards against an endless restart loop, and against a fatal
// error that is retried.
func TestEscalation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{}
		s := New("root", Options{Observer: r, MaxRestarts: 3, RestartWindow: time.Minute})
		s.Add(r.failingChild("b", 100, false))
		err := runFor(s, time.Hour)
		assert.Assert(t, errors.Is(err, ErrRestartLimit))
		assert.Equal(t, count(r.list())["start b"], 4)

		s = New("root", Options{Observer: r})
		s.Add(Child{Name: "disk", Run: func(context.Context) error { return Fatal(errors.New("sync failed")) }})
		err = runFor(s, time.Hour)
		assert.Assert(t, IsFatal(err))
		assert.ErrorContains(t, err, "root/disk")
	})
}

// TestStopOrderAndBound guards against a stop in the wrong order, and against a
// stuck child that prevents the stop of the others.
func TestStopOrderAndBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{}
		release := make(chan struct{})
		s := New("root", Options{Observer: r, StopTimeout: time.Second})
		s.Add(r.healthyChild("a"))
		s.Add(Child{Name: "stuck", Run: func(ctx context.Context) error { <-release; return nil }})
		s.Add(r.healthyChild("c"))
		assert.NilError(t, runFor(s, time.Second))
		close(release)
		synctest.Wait()
		assert.DeepEqual(t, r.list()[2:], []string{"stop c", "stuck root/stuck", "stop a"})
	})
}

// TestSimultaneousFailures guards against a failure that is lost when several
// children fail at the same time: the child would stay down. The order in which
// the supervisor receives the failures is not fixed, so later children may
// restart more than once.
func TestSimultaneousFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{}
		names := []string{"a", "b", "c", "d"}
		s := New("root", Options{Observer: r, Strategy: RestForOne})
		for _, name := range names {
			s.Add(r.failingChild(name, 1, false))
		}
		ctx, cancel := context.WithCancel(context.Background())
		runErr := make(chan error, 1)
		go func() { runErr <- s.Run(ctx) }()
		time.Sleep(time.Minute)
		synctest.Wait()
		for i, name := range names {
			starts := count(r.list())["start "+name]
			assert.Assert(t, starts >= 2 && starts <= i+2, "%s started %d times", name, starts)
			select {
			case <-s.children[i].done:
				t.Errorf("child %s is down", name)
			default:
			}
		}
		cancel()
		assert.NilError(t, <-runErr)
	})
}
