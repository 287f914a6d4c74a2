package coordinator

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/link"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
)

const (
	// helloTimeout bounds the wait for the first message of a connection.
	helloTimeout = time.Second
	// clientSilence is the time without a message after which an entry or agent
	// counts as unreachable. Both ping four times as often.
	clientSilence = 800 * time.Millisecond
	// maxConnections bounds the connections, below the descriptors of the VM.
	maxConnections = 2000
)

// serve accepts connections until ctx ends; each has a goroutine of its own.
func (s *Service) serve(ctx context.Context) error {
	var conns sync.WaitGroup
	defer conns.Wait()
	stop := context.AfterFunc(ctx, func() { _ = s.opts.Listener.Close() })
	defer stop()
	slots := make(chan struct{}, maxConnections)
	for {
		c, err := s.opts.Listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		select {
		case slots <- struct{}{}:
		default:
			s.opts.Log.Emit(events.Event{ID: events.ConnectionRefused, Peer: c.RemoteAddr().String(), Text: "too many connections"})
			_ = c.Close()
			continue
		}
		conns.Go(func() {
			defer func() { <-slots }()
			_ = supervisor.Guard(s.opts.Log, "coordinator/server/"+c.RemoteAddr().String(), func() error {
				return s.handle(ctx, c)
			})
		})
	}
}

// handle serves one connection until it fails or ctx ends.
func (s *Service) handle(ctx context.Context, nc net.Conn) error {
	c := link.New(nc)
	defer c.Wait()
	defer c.Close()
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	first, err := c.Receive(helloTimeout)
	if err != nil {
		return err
	}
	hello, ok := first.(*mesh.Hello)
	if !ok {
		return errors.Newf("first message is %T", first)
	}
	switch {
	case hello.Role == mesh.RoleControl && hello.Server != nil:
		return s.servePeer(c, *hello.Server)
	case hello.Role == mesh.RoleEntry || hello.Role == mesh.RoleAgent:
		return s.serveClient(ctx, c, hello)
	}
	return errors.Newf("hello of role %d is not valid", hello.Role)
}

// servePeer receives the log's messages from another control VM.
func (s *Service) servePeer(c *link.Conn, from raft.Server) error {
	for {
		m, err := c.Receive(peerSilence + peerPing)
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *mesh.Ping:
			c.Send(&mesh.Pong{Sequence: m.Sequence})
		case *mesh.Agreement:
			s.driver.Receive(from.ID, from.Address, m.Messages)
		case *mesh.Join:
			s.group.asked(m.Server)
		}
	}
}
