package supervisor

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// CatchPanic runs fn and turns a panic into an error, after it has reported the
// panic to the observer. o may be nil. path is the child's path in the report.
func CatchPanic(o Observer, path string, fn func() error) error {
	var err error
	caught := panics.Try(func() { err = fn() })
	if caught == nil {
		return err
	}
	if o != nil {
		o.ChildPanicked(path, caught.Value, string(caught.Stack))
	}
	return errors.Wrap(caught.AsError(), "panic")
}

// Group supervises children that are started and stopped at run time, such as
// one for each peer. A child that fails is restarted after DefaultRestartDelay,
// until it is stopped. Its methods are safe for concurrent use.
type Group struct {
	path     string
	observer Observer

	mu       sync.Mutex
	cancels  map[string]context.CancelFunc
	children conc.WaitGroup
}

// NewGroup returns an empty group.
func NewGroup(path string, o Observer) *Group {
	return &Group{path: path, observer: o, cancels: map[string]context.CancelFunc{}}
}

// Start adds a child and runs it. A child of the same name must have been
// stopped.
func (g *Group) Start(ctx context.Context, name string, run func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancels[name] = cancel
	g.children.Go(func() { g.superviseChild(ctx, g.path+"/"+name, run) })
}

// superviseChild runs a child, and again each time it ends, until ctx ends.
func (g *Group) superviseChild(ctx context.Context, path string, run func(ctx context.Context) error) {
	for ctx.Err() == nil {
		err := CatchPanic(g.observer, path, func() error { return run(ctx) })
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			err = errEarlyExit
		}
		if g.observer != nil {
			g.observer.ChildFailed(path, err)
		}
		Sleep(ctx, DefaultRestartDelay)
	}
}

// Sleep waits for d, or until ctx ends, as between the attempts of a child.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Stop ends a child's context; it does not wait for the child to return.
func (g *Group) Stop(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if cancel, ok := g.cancels[name]; ok {
		cancel()
		delete(g.cancels, name)
	}
}

// StopAll ends the contexts of all children and waits until they have returned.
func (g *Group) StopAll() {
	g.mu.Lock()
	for name, cancel := range g.cancels {
		cancel()
		delete(g.cancels, name)
	}
	g.mu.Unlock()
	g.children.Wait()
}
