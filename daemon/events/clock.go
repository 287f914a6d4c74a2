package events

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/hlc"
)

// maxAhead bounds how far a peer's clock may be ahead. A process with a wrong
// clock would otherwise move the time line of all others.
const maxClockSkew = time.Minute

// NewClock returns a hybrid logical clock on the system's time.
func NewClock() *hlc.Clock { return hlc.NewClock(maxClockSkew) }

// Now returns a timestamp for a message.
func (l *Log) Now() uint64 { return uint64(l.clock.Now(time.Now())) }

// Observe takes note of the timestamp of a received message; zero is none.
func (l *Log) Observe(remote uint64) {
	if remote == 0 {
		return
	}
	if err := l.clock.Observe(time.Now(), hlc.Timestamp(remote)); err != nil {
		l.Emit(Event{ID: ClockRefused, Err: err})
	}
}
