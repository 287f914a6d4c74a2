package events

import (
	"strings"
	"sync"
	"sync/atomic"
)

// methodPrefix is the prefix of the paths of calls between processes. Other
// paths contain ids from callers and are not counted, which bounds the number
// of counters.
const methodPrefix = "/twirp/"

// requestCounts counts requests by method.
type requestCounts struct {
	byMethod sync.Map // string to *atomic.Uint64
}

// CountRequest counts a request from another process by its URL path. Each
// request has one answer, so an exchange is two messages.
func (l *Log) CountRequest(path string) {
	method, ok := strings.CutPrefix(path, methodPrefix)
	if !ok {
		return
	}
	counter, found := l.requestCounts.byMethod.Load(method)
	if !found {
		counter, _ = l.requestCounts.byMethod.LoadOrStore(method, new(atomic.Uint64))
	}
	counter.(*atomic.Uint64).Add(1)
}

// EachRequestCount calls fn with each method and its number of requests.
func (l *Log) EachRequestCount(fn func(method string, requests uint64)) {
	l.requestCounts.byMethod.Range(func(method, n any) bool {
		fn(method.(string), n.(*atomic.Uint64).Load())
		return true
	})
}
