// Package controlclient calls the control VMs. It finds the leader, follows
// redirects and retries calls until the context ends; all calls are idempotent.
// A twirp invalid_argument error is returned at once.
package controlclient

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/cicadapulley/cicadapulley/api/rpc"
)

// Bounds of the search for the leader.
const (
	// retryDelay is the wait after each round of failed or redirected calls. An
	// election takes several hundred milliseconds.
	retryDelay = 50 * time.Millisecond
	// callTimeout bounds one call to one control VM, without the time that the
	// server may hold the call.
	callTimeout = 2 * time.Second
)

// NoLeaderError is returned when the context ended before a leader answered. If
// MaybeApplied is set, a control VM may have applied the request.
type NoLeaderError struct {
	Last         error
	MaybeApplied bool
}

// Error implements error.
func (e *NoLeaderError) Error() string { return fmt.Sprintf("no control leader answered: %v", e.Last) }

// Unwrap returns the last failure.
func (e *NoLeaderError) Unwrap() error { return e.Last }

// server holds the RPC clients of one control VM.
type server struct {
	address  string
	control  rpc.Control
	operator rpc.Operator
}

// Client calls the leader of the control VMs. It is safe for concurrent use.
type Client struct {
	http   *http.Client
	scheme string

	mu      sync.Mutex
	servers map[string]*server
	order   []string
	leader  string
}

// New returns a client of the control VMs at addresses. scheme is "http" or
// "https".
func New(h *http.Client, scheme string, addresses []string) *Client {
	c := &Client{http: h, scheme: scheme, servers: map[string]*server{}, order: addresses}
	for _, a := range addresses {
		c.server(a)
	}
	return c
}

// server returns the RPC clients of an address. The caller must not hold mu.
func (c *Client) server(address string) *server {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.servers[address]; ok {
		return s
	}
	url := c.scheme + "://" + address
	s := &server{
		address:  address,
		control:  rpc.NewControlProtobufClient(url, c.http),
		operator: rpc.NewOperatorProtobufClient(url, c.http),
	}
	c.servers[address] = s
	return s
}

// candidate returns the address to try: the last known leader, otherwise the next
// control VM in order.
func (c *Client) candidate(attempt int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	return c.order[attempt%len(c.order)]
}

func (c *Client) setLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

// redirectable is a response that may redirect to the leader instead of answering.
type redirectable interface {
	GetNotLeader() *rpc.NotLeader
}

// do calls the leader until it answers or ctx ends. wait is how long the
// server may hold the call.
func do[Req any, Resp redirectable](ctx context.Context, c *Client, wait time.Duration, req Req,
	call func(*server, context.Context, Req) (Resp, error)) (Resp, error) {
	var zero Resp
	failure := &NoLeaderError{Last: errors.New("no control VM was called")}
	for attempt := 0; ; attempt++ {
		s := c.server(c.candidate(attempt))
		resp, err := callServer(ctx, wait, s, req, call)
		if err == nil && resp.GetNotLeader() == nil {
			c.setLeader(s.address)
			return resp, nil
		}
		if isInvalidArgument(err) {
			return zero, err
		}
		if err == nil {
			failure.Last = fmt.Errorf("%s is not the leader", s.address)
			c.setLeader(resp.GetNotLeader().Address)
		} else {
			failure.Last = err
			failure.MaybeApplied = true
			c.setLeader("")
		}
		if !waitForRetry(ctx, attempt, len(c.order)) {
			return zero, failure
		}
	}
}

// isInvalidArgument reports whether the leader rejected the request as invalid. A
// retry would be rejected too.
func isInvalidArgument(err error) bool {
	var t twirp.Error
	return errors.As(err, &t) && t.Code() == twirp.InvalidArgument
}

func callServer[Req any, Resp redirectable](ctx context.Context, wait time.Duration, s *server, req Req,
	call func(*server, context.Context, Req) (Resp, error)) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	return call(s, ctx, req)
}

// waitForRetry waits after each full round over the servers. It reports whether
// ctx has not ended.
func waitForRetry(ctx context.Context, attempt, servers int) bool {
	if ctx.Err() != nil {
		return false
	}
	if (attempt+1)%servers != 0 {
		return true
	}
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
