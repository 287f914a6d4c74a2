package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/daemon/link"
)

// MaxConnections bounds the connections of other processes. It stays below the VM's limit of
// file descriptors.
const MaxConnections = 2000

const (
	// clientTimeout is the time without a message after which the connection of an
	// entry or agent is closed. Package follow pings at least twice within it.
	clientTimeout = 800 * time.Millisecond
)

// serve accepts connections until ctx ends.
func (s *Service) serve(ctx context.Context) error {
	listener, err := s.opts.Listen()
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	return link.Serve(ctx, listener, link.ServeOptions{
		Name: "coordinator/server", MaxConnections: MaxConnections, Gate: s.opts.Gate, QueueBytes: s.opts.QueueBytes, Log: s.opts.Log,
	}, s.handle)
}

// handle serves one connection until it fails or ctx ends. It returns
// link.ErrUnexpected for a Hello of a role that it does not serve.
func (s *Service) handle(ctx context.Context, c *link.Conn, hello *mesh.Hello) error {
	switch {
	case hello.Role == mesh.RoleControl && hello.Server != nil:
		return s.servePeer(ctx, c, *hello.Server)
	case hello.Role == mesh.RoleEntry || hello.Role == mesh.RoleAgent:
		return s.serveClient(ctx, c, hello)
	}
	return errors.Wrapf(link.ErrUnexpected, "hello of role %d", hello.Role)
}

// servePeer receives the messages of another control VM until its connection
// fails.
func (s *Service) servePeer(ctx context.Context, c *link.Conn, from raft.Server) error {
	c.LimitMessages(mesh.MaxMessageBytes)
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		m, err := c.Receive(peerTimeout + peerPingInterval)
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *mesh.Ping:
			c.Send(&mesh.Pong{Sequence: m.Sequence})
		case *mesh.RaftMessages:
			s.driver.Receive(from.ID, from.Address, m.Messages)
		case *mesh.Join:
			if m.Leaving {
				if s.groupManager.recordLeaveRequest(from.ID) {
					c.Send(&mesh.Members{Addresses: s.members(), Leading: true})
				}
				continue
			}
			s.groupManager.recordJoinRequest(m.Server)
			if m.Server.ID == from.ID { // a forwarded request is not forwarded again
				requests.Go(func() {
					_ = s.catchPanic("join", func() { s.forwardJoin(ctx, m) }) // the VM repeats its request
				})
			}
		case *mesh.OperatorRequest:
			// In a goroutine, since a configuration waits for the log, whose messages
			// arrive on this connection.
			requests.Go(func() {
				_ = s.catchPanic("operator", func() { c.Send(s.answerOperator(ctx, m)) }) // the request is tried again
			})
		}
	}
}
