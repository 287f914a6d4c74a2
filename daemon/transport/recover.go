package transport

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/cicadapulley/cicadapulley/core/invariant"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// Recover emits an event when a handler panics. The request gets no answer: its
// connection or stream is reset, so that the client can't use the result of a
// faulty handler. Recover also counts the requests of other processes by method.
func Recover(log *events.Log, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if value != http.ErrAbortHandler {
				reportPanic(log, r, value)
			}
			panic(http.ErrAbortHandler)
		}()
		log.CountRequest(r.URL.Path)
		next.ServeHTTP(w, r)
	})
}

func reportPanic(log *events.Log, r *http.Request, value any) {
	if v, ok := value.(*invariant.Violation); ok {
		log.Emit(events.Event{ID: events.InvariantViolated, Text: r.URL.Path, Err: v})
	}
	log.Emit(events.Event{
		ID:   events.HandlerPanicked,
		Text: fmt.Sprintf("%s: %v\n%s", r.URL.Path, value, debug.Stack()),
	})
}
