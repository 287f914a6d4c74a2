package link

import (
	"context"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
)

const (
	// dialTimeout bounds the opening of a connection, which takes a round trip of
	// a few milliseconds.
	dialTimeout = 250 * time.Millisecond
	// pauseLeast and pauseMost bound the wait before another attempt to connect;
	// it doubles while attempts fail.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Keep opens a connection, serves it, and opens it again, until ctx ends. The
// connection is closed when serve returns, and when ctx ends.
func KeepConnected(ctx context.Context, address string, serve func(context.Context, *Conn)) error {
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		c, err := Dial(ctx, address, dialTimeout)
		if err == nil {
			retryDelay = minRetryDelay
			stop := context.AfterFunc(ctx, c.Close)
			serve(ctx, c)
			stop()
			c.Close()
			c.Wait()
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
	return nil
}

// Ping keeps a connection alive until ctx or the connection ends.
func Ping(ctx context.Context, c *Conn, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		c.Send(&mesh.Ping{})
		select {
		case <-ctx.Done():
			return
		case <-c.Closed():
			return
		case <-ticker.C:
		}
	}
}
