package events

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/core/invariant"
)

// ChildFailed implements supervisor.Observer.
func (l *Log) ChildFailed(path string, err error) {
	var v *invariant.Violation
	if errors.As(err, &v) {
		l.Emit(Event{ID: InvariantViolated, Text: path, Err: v})
	}
	l.Emit(Event{ID: ChildFailed, Text: path, Err: err})
}

// ChildPanicked implements supervisor.Observer.
func (l *Log) ChildPanicked(path string, value any, stack string) {
	l.Emit(Event{ID: ChildPanicked, Text: fmt.Sprintf("%s: %v\n%s", path, value, stack)})
}

// ChildStuck implements supervisor.Observer.
func (l *Log) ChildStuck(path string) {
	l.Emit(Event{ID: ChildStuck, Text: path})
}
