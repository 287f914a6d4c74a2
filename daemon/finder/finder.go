// Package finder finds the leading control VM for entries and agents, from the
// addresses in the settings and those that control VMs name. Parent: the
// gateway or the runner, which calls it. It has no children and no goroutines.
// State: the known addresses.
package finder

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/daemon/link"
)

const (
	// dialTimeout bounds the opening of one connection, and welcomeTimeout the
	// wait for its first answer. Both are many round trips.
	dialTimeout    = 250 * time.Millisecond
	welcomeTimeout = 300 * time.Millisecond
	// pause is the wait after a round without a leader; elections take longer.
	pause = 50 * time.Millisecond
	// maxKnown bounds the remembered addresses.
	maxKnown = 16
)

// errNoLeader is returned by a control VM that doesn't lead.
var errNoLeader = errors.New("does not lead")

// Finder finds the leader. It is safe for concurrent use.
type Finder struct {
	mu sync.Mutex
	// known are addresses of control VMs, the likely leader first.
	known []string
}

// New returns a finder that starts from the given addresses.
func New(addresses []string) *Finder {
	return &Finder{known: slices.Clone(addresses)}
}

// Add makes more addresses known, as after a change of the settings.
func (f *Finder) Add(addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range addresses {
		if !slices.Contains(f.known, a) {
			f.known = append(f.known, a)
		}
	}
	if len(f.known) > maxKnown {
		f.known = f.known[len(f.known)-maxKnown:]
	}
}

func (f *Finder) prefer(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known = slices.DeleteFunc(f.known, func(a string) bool { return a == address })
	f.known = slices.Insert(f.known, 0, address)
}

func (f *Finder) list() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.known)
}

// Connect returns a connection to the leader and its welcome. It tries until
// ctx ends.
func (f *Finder) Connect(ctx context.Context, hello *mesh.Hello) (*link.Conn, *mesh.Welcome, error) {
	for {
		for _, address := range f.list() {
			c, w, err := f.follow(ctx, address, hello)
			if err == nil {
				return c, w, nil
			}
			if ctx.Err() != nil {
				return nil, nil, ctx.Err()
			}
		}
		select {
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		case <-time.After(pause):
		}
	}
}

// follow asks an address, and the leader that it names.
func (f *Finder) follow(ctx context.Context, address string, hello *mesh.Hello) (*link.Conn, *mesh.Welcome, error) {
	c, w, err := f.try(ctx, address, hello)
	if err == nil || w == nil || w.Leader == "" || w.Leader == address {
		return c, w, err
	}
	return f.try(ctx, w.Leader, hello)
}

func (f *Finder) try(ctx context.Context, address string, hello *mesh.Hello) (*link.Conn, *mesh.Welcome, error) {
	c, err := link.Dial(ctx, address, dialTimeout)
	if err != nil {
		return nil, nil, err
	}
	c.Send(hello)
	m, err := c.Receive(welcomeTimeout)
	if err != nil {
		c.Close()
		return nil, nil, err
	}
	w, ok := m.(*mesh.Welcome)
	if !ok {
		c.Close()
		return nil, nil, errors.Newf("%s answered hello with %T", address, m)
	}
	f.Add(w.Members)
	if !w.Leading {
		c.Close()
		return nil, w, errNoLeader
	}
	f.prefer(address)
	return c, w, nil
}
