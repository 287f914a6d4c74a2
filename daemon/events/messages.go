package events

import (
	"strings"
	"sync"
	"sync/atomic"
)

// methodPrefix starts the paths of calls between processes. Other paths hold
// ids of callers and are not counted, which bounds the number of counters.
const methodPrefix = "/twirp/"

// messageCounts counts requests by method.
type messageCounts struct {
	byMethod sync.Map // string to *atomic.Uint64
}

// Received counts a request from another process by its URL path. Each request
// has one answer, so an exchange is two messages.
func (l *Log) Received(path string) {
	method, ok := strings.CutPrefix(path, methodPrefix)
	if !ok {
		return
	}
	n, known := l.received.byMethod.Load(method)
	if !known {
		n, _ = l.received.byMethod.LoadOrStore(method, new(atomic.Uint64))
	}
	n.(*atomic.Uint64).Add(1)
}

// EachReceived calls fn with each method and its count of requests.
func (l *Log) EachReceived(fn func(method string, requests uint64)) {
	l.received.byMethod.Range(func(method, n any) bool {
		fn(method.(string), n.(*atomic.Uint64).Load())
		return true
	})
}
