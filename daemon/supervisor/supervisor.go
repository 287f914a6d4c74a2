// Package supervisor runs the components of a daemon as a supervisor tree. A
// supervisor can be the child of another one, so the source folders, the
// supervisors and the escalation of failures form the same tree. A supervisor
// starts its children in order, restarts children that fail, escalates to its
// parent past a limit of restarts, and stops the children in reverse order.
package supervisor

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// Strategy determines which children restart when one fails.
type Strategy uint8

// Restart strategies.
const (
	// OneForOne restarts only the child that failed.
	OneForOne Strategy = iota
	// RestForOne restarts the child that failed and the children started after
	// it, which may depend on it.
	RestForOne
)

// Defaults for Options.
const (
	DefaultMaxRestarts   = 5
	DefaultRestartWindow = 30 * time.Second
	DefaultRestartDelay  = 100 * time.Millisecond
	DefaultStopTimeout   = 10 * time.Second
)

// Child is a component that a supervisor runs.
type Child struct {
	Name string
	// Run runs until ctx ends, then drains and returns nil. To return before
	// ctx ends is a failure, unless Once is set and the error is nil.
	Run func(ctx context.Context) error
	// Once allows Run to return nil before ctx ends.
	Once bool
	// StopTimeout limits the time of the drain; zero means the supervisor's
	// default.
	StopTimeout time.Duration
}

// Observer receives the events of a supervisor tree.
type Observer interface {
	// ChildFailed is called before a failed child restarts or the failure escalates.
	ChildFailed(path string, err error)
	// ChildPanicked is called in addition when the failure was a panic.
	ChildPanicked(path string, value any, stack string)
	// ChildStuck is called when a child has not returned within its StopTimeout.
	ChildStuck(path string)
}

// Options configure a supervisor.
type Options struct {
	Strategy      Strategy
	MaxRestarts   int
	RestartWindow time.Duration
	RestartDelay  time.Duration
	StopTimeout   time.Duration
	Observer      Observer
}

// ErrRestartLimit is wrapped by the error of Run when children failed more than
// MaxRestarts times within RestartWindow.
var ErrRestartLimit = errors.New("restart limit exceeded")

// errEarlyExit is the failure of a child that returned nil before it was
// stopped.
var errEarlyExit = errors.New("returned before it was stopped")

type fatalError struct{ error }

func (f fatalError) Unwrap() error { return f.error }

// Fatal marks an error that a restart of the child can't repair, such as a
// failed disk. The error escalates through every supervisor to the root.
func Fatal(err error) error { return fatalError{err} }

// IsFatal reports whether an error was marked by Fatal.
func IsFatal(err error) bool {
	var f fatalError
	return errors.As(err, &f)
}

// Supervisor runs children. Call New, then Add for each child, then Run once.
type Supervisor struct {
	path     string
	opts     Options
	children []*childState
	exits    chan exit
	// exitsClosed is closed when Run no longer receives from exits.
	exitsClosed chan struct{}
	restarts    []time.Time
	goroutines  conc.WaitGroup
	stuck       bool
}

type childState struct {
	Child
	cancel context.CancelFunc
	done   chan struct{}
}

// exit reports that a run of a child ended; done identifies the run.
type exit struct {
	child *childState
	done  chan struct{}
	err   error
}

// New returns a supervisor; path identifies it in events, such as "root/entry".
func New(path string, opts Options) *Supervisor {
	if opts.MaxRestarts == 0 {
		opts.MaxRestarts = DefaultMaxRestarts
	}
	if opts.RestartWindow == 0 {
		opts.RestartWindow = DefaultRestartWindow
	}
	if opts.RestartDelay == 0 {
		opts.RestartDelay = DefaultRestartDelay
	}
	if opts.StopTimeout == 0 {
		opts.StopTimeout = DefaultStopTimeout
	}
	return &Supervisor{path: path, opts: opts}
}

// Add appends a child; children start in the order in which they were added.
func (s *Supervisor) Add(c Child) {
	if c.StopTimeout == 0 {
		c.StopTimeout = s.opts.StopTimeout
	}
	s.children = append(s.children, &childState{Child: c})
}

// Run starts the children and supervises them until ctx ends or a failure
// escalates, and then stops them. It returns nil when ctx has ended.
func (s *Supervisor) Run(ctx context.Context) error {
	s.exits = make(chan exit)
	s.exitsClosed = make(chan struct{})
	base := context.WithoutCancel(ctx)
	for _, c := range s.children {
		s.start(base, c)
	}
	err := s.supervise(ctx, base)
	close(s.exitsClosed)
	s.stopFrom(0)
	if !s.stuck {
		s.goroutines.Wait()
	}
	return err
}

func (s *Supervisor) supervise(ctx, base context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-s.exits:
			if e.done != e.child.done {
				continue // an earlier run, which the supervisor stopped
			}
			if err := s.handleExit(ctx, base, e); err != nil {
				return err
			}
		}
	}
}

// handleExit restarts children after a failure, or returns the error that
// escalates.
func (s *Supervisor) handleExit(ctx, base context.Context, e exit) error {
	if e.err == nil && e.child.Once {
		return nil
	}
	err := e.err
	if err == nil {
		err = errEarlyExit
	}
	path := s.path + "/" + e.child.Name
	s.observeFailure(path, err)
	if IsFatal(err) {
		return errors.Wrapf(err, "%s", path)
	}
	if s.limitReached(time.Now()) {
		return errors.Wrapf(errors.CombineErrors(ErrRestartLimit, err), "%s", path)
	}
	return s.restart(ctx, base, e.child)
}

func (s *Supervisor) observeFailure(path string, err error) {
	if s.opts.Observer == nil {
		return
	}
	s.opts.Observer.ChildFailed(path, err)
}

// limitReached records a restart and reports whether there were more than
// MaxRestarts within RestartWindow.
func (s *Supervisor) limitReached(now time.Time) bool {
	s.restarts = append(s.restarts, now)
	cutoff := now.Add(-s.opts.RestartWindow)
	s.restarts = slices.DeleteFunc(s.restarts, func(t time.Time) bool { return t.Before(cutoff) })
	return len(s.restarts) > s.opts.MaxRestarts
}

func (s *Supervisor) restart(ctx, base context.Context, failed *childState) error {
	first := slices.Index(s.children, failed)
	last := first
	if s.opts.Strategy == RestForOne {
		last = len(s.children) - 1
		s.stopFrom(first + 1)
	}
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(s.opts.RestartDelay):
	}
	for _, c := range s.children[first : last+1] {
		s.start(base, c)
	}
	return nil
}

func (s *Supervisor) start(base context.Context, c *childState) {
	ctx, cancel := context.WithCancel(base)
	done := make(chan struct{})
	c.cancel = cancel
	c.done = done
	s.goroutines.Go(func() {
		defer cancel()
		err := s.runChild(ctx, c)
		close(done)
		select {
		case s.exits <- exit{child: c, done: done, err: err}:
		case <-s.exitsClosed:
		}
	})
}

func (s *Supervisor) runChild(ctx context.Context, c *childState) error {
	return CatchPanic(s.opts.Observer, s.path+"/"+c.Name, func() error { return c.Run(ctx) })
}

// stopFrom stops the children from an index on, in reverse order, and waits up
// to StopTimeout for each.
func (s *Supervisor) stopFrom(index int) {
	for i := len(s.children) - 1; i >= index; i-- {
		s.stop(s.children[i])
	}
}

func (s *Supervisor) stop(c *childState) {
	if c.done == nil {
		return
	}
	c.cancel()
	timer := time.NewTimer(c.StopTimeout)
	defer timer.Stop()
	select {
	case <-c.done:
	case <-timer.C:
		s.stuck = true
		if s.opts.Observer != nil {
			s.opts.Observer.ChildStuck(s.path + "/" + c.Name)
		}
	}
}
