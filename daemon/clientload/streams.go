package clientload

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// streamTime bounds how long the streams of a connection send.
const streamTime = 5 * time.Second

// streamWindow is the part of an answer that a client takes on each stream.
const streamWindow = 16

// Streams sends requests on HTTP/2 streams of one connection, whose answers are never read. A
// request with a body stops short of its end. It returns when all have sent what they could; the
// streams stay open until the connection is closed.
func Streams(c net.Conn, count int, method, path string, contentType string, body []byte) error {
	var dialled atomic.Bool
	t := &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if dialled.Swap(true) {
				return nil, net.ErrClosed
			}
			return c, nil
		},
		MaxConnsPerHost: 1,
		Protocols:       new(http.Protocols),
		HTTP2:           &http.HTTP2Config{MaxReceiveBufferPerStream: streamWindow, StrictMaxConcurrentRequests: true},
	}
	t.Protocols.SetUnencryptedHTTP2(true)
	if err := c.SetDeadline(time.Time{}); err != nil {
		return err
	}
	var sending sync.WaitGroup
	for range count {
		sending.Add(1)
		sent := sync.OnceFunc(sending.Done)
		time.AfterFunc(streamTime, sent)
		var content io.Reader
		if body != nil {
			content = &shortBody{rest: bytes.NewReader(body), sent: sent}
		}
		r, err := http.NewRequest(method, "http://shop.example"+path, content)
		if err != nil {
			return err
		}
		r.Header.Set("Content-Type", contentType)
		if body != nil {
			r.ContentLength = int64(len(body)) + 1
		}
		go func() {
			defer sent()
			_, _ = t.RoundTrip(r) // the body of the answer stays unread
		}()
	}
	sending.Wait()
	return nil
}

// shortBody is a body that stops short of its end.
type shortBody struct {
	rest io.Reader
	sent func()
	once sync.Once
	// closed ends the wait for the rest, which never comes.
	closed chan struct{}
}

func (b *shortBody) open() { b.once.Do(func() { b.closed = make(chan struct{}) }) }

// Read implements io.Reader.
func (b *shortBody) Read(p []byte) (int, error) {
	b.open()
	n, err := b.rest.Read(p)
	if err == nil {
		return n, nil
	}
	b.sent()
	<-b.closed
	return 0, io.ErrUnexpectedEOF
}

// Close implements io.Closer.
func (b *shortBody) Close() error {
	b.open()
	close(b.closed)
	return nil
}
