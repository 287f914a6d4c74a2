package transport

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connKey is the key of a server's connection in the context of its requests.
type connKey struct{}

// KeepConns keeps the connections of a server for TimeSinceData.
func KeepConns(srv *http.Server) {
	next := srv.ConnContext
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
}

// TimeSinceData returns how long ago the last data of a request's connection arrived at
// this machine, 0 if that is not known. A process that was suspended, or did not run for
// another reason, reads a request later than it arrived. The time does not count
// suspension of the whole machine.
func TimeSinceData(ctx context.Context) time.Duration {
	c, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || infoErr != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}
