package link

import (
	"context"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
)

const (
	// dialTimeout bounds one attempt to connect. The round trip takes a few
	// milliseconds.
	dialTimeout = 250 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay before the next attempt to
	// connect, which doubles while attempts fail.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// KeepConnected dials address, calls serve with the connection, and dials again
// after serve has returned, until ctx ends. The connection is closed when serve
// returns and when ctx ends. queueBytes bounds the bytes that wait to be sent, 0 for the
// default. The returned error is always nil.
func KeepConnected(ctx context.Context, address string, queueBytes int, serve func(context.Context, *Conn)) error {
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		c, err := Dial(ctx, address, dialTimeout)
		if err == nil {
			retryDelay = minRetryDelay
			c.LimitQueue(queueBytes)
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

// Ping sends a Ping message at each interval in which the connection is quiet, until
// ctx or the connection ends. The peer's answer shows that it is alive; on a busy
// connection its other messages do.
func Ping(ctx context.Context, c *Conn, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if c.quiet(interval) {
			c.Send(&mesh.Ping{})
		}
		select {
		case <-ctx.Done():
			return
		case <-c.Closed():
			return
		case <-ticker.C:
		}
	}
}
