package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/ingress"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
)

const (
	// helloTimeout bounds the wait for the first message of a connection.
	helloTimeout = time.Second
	// maxHelloBytes bounds the first message of a connection.
	maxHelloBytes = 64 << 10
	// maxMessageBytes bounds the later messages, unless handle sets another limit.
	// The largest is an endpoint's inventory.
	maxMessageBytes = 8 << 20
)

// ErrUnexpected is returned for a message of a type or role that the receiver does
// not handle.
var ErrUnexpected = errors.New("unexpected message")

// ServeOptions configure Serve.
type ServeOptions struct {
	// Name is the path of the server in the supervisor tree, for its events.
	Name string
	// MaxConnections bounds the open connections; further ones are closed at once.
	MaxConnections int
	// Gate bounds the memory for messages, and closes connections without a Hello in favour
	// of new ones; nil for none.
	Gate *ingress.Gate
	// QueueBytes bounds the bytes that wait to be sent on a connection; 0 for the default.
	QueueBytes int
	Log        *events.Log
}

// Serve accepts connections until ctx ends. Each connection has its own goroutine,
// which reads Hello and then calls handle. The connection is closed when handle
// returns.
func Serve(ctx context.Context, l net.Listener, o ServeOptions, handle func(context.Context, *Conn, *mesh.Hello) error) error {
	var conns sync.WaitGroup
	defer conns.Wait()
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	if o.Gate != nil {
		l = o.Gate.Listener(l)
	}
	slots := make(chan struct{}, o.MaxConnections)
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		select {
		case slots <- struct{}{}:
		default:
			o.Log.Emit(events.Event{ID: events.ConnectionRefused, Peer: c.RemoteAddr().String(), Text: "too many connections"})
			_ = c.Close() // the peer tries again
			continue
		}
		conns.Go(func() {
			defer func() { <-slots }()
			_ = supervisor.CatchPanic(o.Log, o.Name+"/"+c.RemoteAddr().String(), func() error { // handle logs its errors
				return serveConn(ctx, c, o.QueueBytes, handle)
			})
		})
	}
}

// serveConn serves one connection until it fails or ctx ends.
func serveConn(ctx context.Context, nc net.Conn, queueBytes int, handle func(context.Context, *Conn, *mesh.Hello) error) error {
	c := New(nc)
	c.LimitQueue(queueBytes)
	defer c.Wait()
	defer c.Close()
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	c.memory = ingress.BeginMessages(nc)
	c.LimitMessages(maxHelloBytes)
	first, err := c.Receive(helloTimeout)
	if err != nil {
		return err
	}
	hello, ok := first.(*mesh.Hello)
	if !ok {
		return errors.Wrapf(ErrUnexpected, "first message is %T", first)
	}
	c.memory.Established()
	c.LimitMessages(maxMessageBytes)
	return handle(ctx, c, hello)
}
