package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes bounds one log line. A history of twelve runs takes about 2 KB.
const maxLineBytes = 1 << 20

// countsPerMicro is the number of counter values of a clock per microsecond. The
// counter holds the microseconds so that lines of one millisecond keep their order.
const countsPerMicro = 1 << counterBits / 1000

// logLine is a line of a process's structured log.
type logLine struct {
	TS      time.Time `json:"ts"`
	Msg     string    `json:"msg"`
	Process string    `json:"process"`
	Event   uint16    `json:"event"`
	Caller  string    `json:"caller"`
	Job     string    `json:"job"`
	Task    *int      `json:"task"`
	Ticket  uint64    `json:"ticket"`
	Peer    string    `json:"peer"`
	Detail  string    `json:"detail"`
	Error   string    `json:"error"`
}

// ReadLogs reads events from the structured logs of one or more processes. It
// ignores text before the JSON object of a line, which log collectors add, and
// skips lines that are not events, whose number it returns.
func ReadLogs(r io.Reader) (events []Event, skipped int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for lines.Scan() {
		e, ok := parseLine(lines.Bytes())
		if !ok {
			skipped++
			continue
		}
		events = append(events, e)
	}
	return events, skipped, errors.Wrap(lines.Err(), "read log")
}

func parseLine(text []byte) (Event, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Event{}, false
	}
	var l logLine
	if err := json.Unmarshal(text[start:], &l); err != nil || l.Event == 0 || l.Process == "" {
		return Event{}, false
	}
	counter := l.TS.Nanosecond() / int(time.Microsecond) % 1000 * countsPerMicro
	e := Event{
		Process: l.Process, Clock: ClockAt(l.TS) + Clock(counter), Time: l.TS, ID: l.Event, Name: l.Msg,
		Caller: l.Caller, Job: l.Job, Ticket: l.Ticket, Peer: l.Peer, Text: l.Detail, Error: l.Error,
	}
	if l.Task != nil {
		e.Task = *l.Task + 1
	}
	return e, true
}
