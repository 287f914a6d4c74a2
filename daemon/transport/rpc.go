package transport

import (
	"context"
	"net/http"
	"strings"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/daemon/ingress"
)

const (
	// answerCopies counts the encoded forms of an answer in relation to its size; JSON has a third
	// more than the bytes that it encodes.
	answerCopies = 3
	// receivedCopies counts an answer of another process, its decoded form and what the process
	// makes of it.
	receivedCopies = 3
)

// Buffered counts the bodies of other processes' requests, of up to limit bytes, and their decoded
// forms.
func Buffered(limit int, next http.Handler) http.Handler {
	return ingress.Buffered(limit, func(r *http.Request, body []byte) int {
		return rpc.DecodedBytes(r.URL.Path, strings.HasPrefix(r.Header.Get("Content-Type"), "application/json"), body)
	}, next)
}

// CountAnswers makes a server of methods count the memory of its answers. A client whose answer
// finds none gets an error, as after a lost answer: the request may have had an effect.
func CountAnswers() twirp.ServerOption {
	return twirp.WithServerInterceptors(func(next twirp.Method) twirp.Method {
		return func(ctx context.Context, request any) (any, error) {
			answer, err := next(ctx, request)
			if err != nil {
				return nil, err
			}
			if m, ok := answer.(proto.Message); ok {
				size := proto.Size(m)
				if err := ingress.FromContext(ctx).Answer(answerCopies*size, size); err != nil {
					return nil, twirp.Unavailable.Error(err.Error())
				}
			}
			return answer, nil
		}
	})
}

// countingTransport counts the answers of other processes as memory of the request for which they
// are received, if the context has one.
type countingTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil || resp.ContentLength <= 0 {
		return resp, err
	}
	if err := ingress.FromContext(r.Context()).Add(receivedCopies * resp.ContentLength); err != nil {
		_ = resp.Body.Close() // the rest is not read
		return nil, err
	}
	return resp, nil
}
