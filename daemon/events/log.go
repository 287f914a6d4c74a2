package events

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cicadapulley/cicadapulley/core/hlc"
	"github.com/cicadapulley/cicadapulley/core/job"
)

// BufferedEvents is the number of events that a process keeps for the timeline.
// An event takes about 200 bytes, so the buffer stays under 4 MB.
const BufferedEvents = 16384

// idLimit is greater than every event's number.
const idLimit = 1000

// Event is one occurrence of an event. Fields that do not apply are zero.
type Event struct {
	// Clock is the hybrid logical time, set by Emit.
	Clock uint64
	ID    ID
	Job   job.Key
	// Task is the task's index plus one.
	Task int
	// Ticket is the number of a ticket, or of the event's term, session or
	// configuration.
	Ticket uint64
	// Peer names the other process.
	Peer string
	// Text has details; the log field is named detail.
	Text string
	Err  error
}

// Log records the events of one process. It is safe for concurrent use.
type Log struct {
	process string
	logger  *zap.Logger
	clock   *hlc.Clock

	counts [idLimit]atomic.Uint64
	// linesPerSecond limits the log lines of each event; 0 means no limit.
	linesPerSecond int
	lineLimiters   [idLimit]lineLimiter
	requestCounts  requestCounts

	mu     sync.Mutex
	buffer []Event
	next   int
	full   bool
}

// NewLog returns a log; process is its name in the timeline.
func NewLog(process string, logger *zap.Logger, clock *hlc.Clock) *Log {
	return &Log{process: process, logger: logger, clock: clock, buffer: make([]Event, BufferedEvents)}
}

// Process returns the name of the process.
func (l *Log) Process() string { return l.process }

// Emit sets the clock of an event, records it for the timeline and writes it to
// the log.
func (l *Log) Emit(e Event) {
	e.Clock = l.Now()
	l.counts[e.ID].Add(1)
	l.record(e)
	checked := l.logger.Check(byID[e.ID].Level, e.ID.Name())
	if checked == nil {
		return
	}
	suppressed, allowed := l.allowLine(e.ID)
	if !allowed {
		return
	}
	zapFields := fields(e)
	if suppressed > 0 {
		zapFields = append(zapFields, zap.Uint64("left_out", suppressed))
	}
	checked.Write(zapFields...)
}

// SetLineLimit limits the log lines of each event, in lines per second. A line
// has the number of lines of its event that were suppressed before it. Call it
// before the first Emit.
func (l *Log) SetLineLimit(perSecond int) { l.linesPerSecond = perSecond }

// lineLimiter counts an event's lines in the current window of one second.
type lineLimiter struct {
	mu          sync.Mutex
	windowStart time.Time
	lines       int
	suppressed  uint64
}

// allowLine reports whether a line of the event may be written, and how many
// were suppressed before it.
func (l *Log) allowLine(id ID) (suppressed uint64, allowed bool) {
	if l.linesPerSecond == 0 {
		return 0, true
	}
	limiter := &l.lineLimiters[id]
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	if now := time.Now(); now.Sub(limiter.windowStart) >= time.Second {
		limiter.windowStart = now
		limiter.lines = 0
	}
	if limiter.lines >= l.linesPerSecond {
		limiter.suppressed++
		return 0, false
	}
	limiter.lines++
	suppressed, limiter.suppressed = limiter.suppressed, 0
	return suppressed, true
}

// Count returns how often an event has occurred since the process started.
func (l *Log) Count(id ID) uint64 { return l.counts[id].Load() }

func (l *Log) record(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buffer[l.next] = e
	l.next++
	if l.next == len(l.buffer) {
		l.next = 0
		l.full = true
	}
}

func fields(e Event) []zap.Field {
	zapFields := []zap.Field{zap.Uint16("event", uint16(e.ID))}
	if e.Job.ID != "" {
		zapFields = append(zapFields, zap.String("caller", e.Job.Caller), zap.String("job", e.Job.ID))
	}
	if e.Task > 0 {
		zapFields = append(zapFields, zap.Int("task", e.Task-1))
	}
	if e.Ticket > 0 {
		zapFields = append(zapFields, zap.Uint64("ticket", e.Ticket))
	}
	if e.Peer != "" {
		zapFields = append(zapFields, zap.String("peer", e.Peer))
	}
	if e.Text != "" {
		zapFields = append(zapFields, zap.String("detail", e.Text))
	}
	if e.Err != nil {
		zapFields = append(zapFields, zap.String("error", e.Err.Error()))
	}
	return zapFields
}

// Filter selects events for the timeline. Zero fields match every event.
type Filter struct {
	Job    job.Key
	Ticket uint64
	// Since is the lowest clock that matches.
	Since uint64
}

func (f Filter) matches(e Event) bool {
	if e.Clock < f.Since {
		return false
	}
	if f.Job.ID != "" && !f.matchesJob(e.Job) {
		return false
	}
	return f.Ticket == 0 || e.Ticket == f.Ticket
}

// matchesJob reports whether the job matches. An empty caller in the filter
// matches every caller.
func (f Filter) matchesJob(k job.Key) bool {
	return k.ID == f.Job.ID && (f.Job.Caller == "" || f.Job.Caller == k.Caller)
}

// Select returns the buffered events that match, oldest first.
func (l *Log) Select(f Filter) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Event
	if l.full {
		out = appendMatching(out, l.buffer[l.next:], f)
	}
	return appendMatching(out, l.buffer[:l.next], f)
}

func appendMatching(out, list []Event, f Filter) []Event {
	for _, e := range list {
		if f.matches(e) {
			out = append(out, e)
		}
	}
	return out
}
