// Package timeline merges the events of many processes into one order by their
// hybrid logical clocks, and writes them as text, JSON or an HTML page. From logs it
// explains the course of one job.
package timeline

import (
	"cmp"
	"slices"
	"time"
)

// counterBits is the width of a clock's counter below its Unix milliseconds.
const counterBits = 16

// Clock is a hybrid logical clock: 48 bits of Unix milliseconds above 16 bits
// of counter. An event has a lower clock than the events that it causes.
type Clock uint64

// ClockAt returns the lowest clock value of a time.
func ClockAt(t time.Time) Clock { return Clock(uint64(max(0, t.UnixMilli())) << counterBits) }

// Time returns the clock's time, in whole milliseconds.
func (c Clock) Time() time.Time { return time.UnixMilli(int64(c >> counterBits)) }

// Counter orders the events of one millisecond.
func (c Clock) Counter() uint16 { return uint16(c) }

// Event is one event, as in the answer of a process's /v1/events.
type Event struct {
	Process string `json:"process"`
	Clock   Clock  `json:"clock"`
	// Time is the clock's time, for JSON readers that parse numbers as floating
	// point and lose the clock's last bits.
	Time   time.Time `json:"time"`
	ID     uint16    `json:"event"`
	Name   string    `json:"name"`
	Caller string    `json:"caller,omitempty"`
	Job    string    `json:"job,omitempty"`
	// Task is the task's index plus one.
	Task   int    `json:"task,omitempty"`
	Ticket uint64 `json:"ticket,omitempty"`
	Peer   string `json:"peer,omitempty"`
	Text   string `json:"text,omitempty"`
	Error  string `json:"error,omitempty"`
}

// Missing is a process whose events could not be read.
type Missing struct {
	Process string `json:"process"`
	URL     string `json:"url,omitempty"`
	Error   string `json:"error"`
}

// Timeline is the merged events of all processes that answered.
type Timeline struct {
	// Processes are the processes that answered, sorted by name.
	Processes []string  `json:"processes"`
	Missing   []Missing `json:"missing"`
	Events    []Event   `json:"events"`
	// Omitted is the number of older events that Limit removed.
	Omitted int `json:"omitted"`
}

// Merge orders the events of all processes by clock, then by process. The events
// of one process keep their order, as its clock never goes back. An event that was
// read twice, through two URLs of one process, is kept once.
func Merge(events []Event) []Event {
	merged := slices.Clone(events)
	slices.SortStableFunc(merged, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Clock, b.Clock), cmp.Compare(a.Process, b.Process))
	})
	for i := range merged {
		merged[i].Time = merged[i].Clock.Time().UTC()
	}
	return slices.Compact(merged)
}

// Limit keeps the newest n events; zero keeps all.
func (t *Timeline) Limit(n int) {
	if n <= 0 || len(t.Events) <= n {
		return
	}
	t.Omitted = len(t.Events) - n
	t.Events = t.Events[t.Omitted:]
}

// Start returns the time of the first event, zero if there is none.
func (t *Timeline) Start() time.Time {
	if len(t.Events) == 0 {
		return time.Time{}
	}
	return t.Events[0].Clock.Time()
}
