package supervisor

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// Guard runs fn and turns a panic into an error, after telling the observer.
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

// Group supervises children that come and go, such as one for each peer. A
// child that fails is restarted after a delay until it is stopped. Its methods
// are safe for concurrent use.
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

// Start adds a child; a child of the same name must have been stopped.
func (g *Group) Start(ctx context.Context, name string, run func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancels[name] = cancel
	g.children.Go(func() { g.superviseChild(ctx, g.path+"/"+name, run) })
}

// keep runs a child again until its context ends.
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
		select {
		case <-ctx.Done():
		case <-time.After(DefaultRestartDelay):
		}
	}
}

// Stop ends a child; it does not wait for it.
func (g *Group) Stop(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if cancel, ok := g.cancels[name]; ok {
		cancel()
		delete(g.cancels, name)
	}
}

// StopAll ends all children and waits for them.
func (g *Group) StopAll() {
	g.mu.Lock()
	for name, cancel := range g.cancels {
		cancel()
		delete(g.cancels, name)
	}
	g.mu.Unlock()
	g.children.Wait()
}
