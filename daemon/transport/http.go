package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// Limits of connections between processes.
const (
	// DialTimeout is the time-out for establishing a connection.
	DialTimeout = 2 * time.Second
	// PingAfter is how long a connection may receive nothing before a ping is
	// sent.
	PingAfter = 500 * time.Millisecond
	// PingTimeout is how long a ping may stay unanswered. An unresponsive
	// connection is closed after PingAfter plus PingTimeout, about a second.
	PingTimeout = 500 * time.Millisecond
	// IdleTimeout is how long a connection without calls stays open.
	IdleTimeout = 90 * time.Second
	// MaxStreams is the limit of calls in progress on one connection of a server.
	MaxStreams = 4096
	// HeaderTimeout is the time-out for reading a request's headers.
	HeaderTimeout = 5 * time.Second
	// maxHeaderBytes bounds the header of a request, which is kept until it is complete.
	maxHeaderBytes = 16 << 10
	// frameBytes bounds the frames that a connection receives; each keeps a buffer of the largest.
	frameBytes = 16 << 10
	// windowBytes bounds what a server keeps unread of all streams of a connection. It is above the
	// kernel's buffer, so that it doesn't slow a snapshot down.
	windowBytes = 256 << 10
	// answerWindowBytes bounds what a client keeps unread of an answer.
	answerWindowBytes = 64 << 10
)

// ClientOptions configures a client.
type ClientOptions struct {
	Network Network
	// TLS is nil for unencrypted HTTP/2.
	TLS *tls.Config
	// QueueBytes bounds the bytes of requests that wait to be sent to one process, beside the
	// largest request; 0 for the default.
	QueueBytes int
}

// NewClient returns a client for calls between processes: HTTP/2 with one
// connection for each address, which is pinged while nothing is received.
func NewClient(o ClientOptions) *http.Client {
	t := &http.Transport{
		DialContext:     dialFunc(o.Network),
		TLSClientConfig: o.TLS,
		IdleConnTimeout: IdleTimeout,
		Protocols:       new(http.Protocols),
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: PingAfter,
			PingTimeout:     PingTimeout,

			MaxReceiveBufferPerStream: answerWindowBytes,
		},
	}
	if o.TLS == nil {
		t.Protocols.SetUnencryptedHTTP2(true)
	} else {
		t.Protocols.SetHTTP2(true)
	}
	if o.QueueBytes == 0 {
		o.QueueBytes = defaultQueueBytes
	}
	return &http.Client{Transport: &queueTransport{countingTransport: countingTransport{t}, limit: int64(o.QueueBytes), queues: map[string]queue{}}}
}

// NewEndpointClient returns an agent's client for its endpoint: HTTP/1.1 with a
// limited number of connections.
func NewEndpointClient(n Network, connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialFunc(n),
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     IdleTimeout,
	}}
}

func dialFunc(n Network) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, DialTimeout)
		defer cancel()
		return n.Dial(ctx, address)
	}
}

// NewServer returns a server for HTTP/1.1 and HTTP/2, without encryption if cfg
// is nil.
func NewServer(h http.Handler, cfg *tls.Config) *http.Server {
	s := &http.Server{
		Handler:           h,
		TLSConfig:         cfg,
		ReadHeaderTimeout: HeaderTimeout,
		IdleTimeout:       IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         new(http.Protocols),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: MaxStreams, MaxReadFrameSize: frameBytes, MaxReceiveBufferPerConnection: windowBytes,
		},
	}
	s.Protocols.SetHTTP1(true)
	if cfg == nil {
		s.Protocols.SetUnencryptedHTTP2(true)
	} else {
		s.Protocols.SetHTTP2(true)
	}
	return s
}

// Serve runs a server on a listener until ctx is done. It then waits at most
// shutdownTimeout for requests in progress, and closes the connections that are
// left.
func Serve(ctx context.Context, s *http.Server, l net.Listener, shutdownTimeout time.Duration) error {
	served := make(chan error, 1)
	go func() { served <- serve(s, l) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	err := s.Shutdown(shutdownCtx)
	if err != nil {
		return s.Close()
	}
	return nil
}

func serve(s *http.Server, l net.Listener) error {
	if s.TLSConfig != nil {
		return s.ServeTLS(l, "", "")
	}
	return s.Serve(l)
}
