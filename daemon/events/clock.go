package events

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/hlc"
)

// maxClockSkew is how far a peer's clock may be ahead. Without this limit, a
// process with a wrong clock would advance the timestamps of all others.
const maxClockSkew = time.Minute

// NewClock returns a hybrid logical clock based on the system time.
func NewClock() *hlc.Clock { return hlc.NewClock(maxClockSkew) }

// Now returns a timestamp for a message.
func (l *Log) Now() uint64 { return uint64(l.clock.Now(time.Now())) }

// Observe advances the clock to the timestamp of a received message; zero means
// that the message has none.
func (l *Log) Observe(remote uint64) {
	if remote == 0 {
		return
	}
	if err := l.clock.Observe(time.Now(), hlc.Timestamp(remote)); err != nil {
		l.Emit(Event{ID: ClockRefused, Err: err})
	}
}
