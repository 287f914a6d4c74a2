package timeline

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cicadapulley/cicadapulley/client/internal/output"
)

// timeLayout shows milliseconds, the resolution of the clocks.
const timeLayout = "15:04:05.000"

// WriteJSON writes the timeline as one JSON object.
func (t *Timeline) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(t)
}

// Print implements output.Printable: one line per event. Missing processes are left
// for the caller to report, as its reader may see only the standard error.
func (t *Timeline) Print(w *output.Writer) {
	if len(t.Events) > 0 {
		w.Linef("first event at %s", t.Start().UTC().Format(time.RFC3339Nano))
	}
	rows := make([][]string, len(t.Events))
	for i, e := range t.Events {
		rows[i] = []string{e.Clock.Time().UTC().Format(timeLayout), t.offset(e), e.Process, e.Name, e.subject(), e.Peer, e.detail()}
	}
	w.Table([]string{"TIME", "MS", "PROCESS", "EVENT", "ABOUT", "PEER", "DETAIL"}, rows)
	if t.Omitted > 0 {
		w.Linef("%d older events are left out (--limit)", t.Omitted)
	}
}

// offset returns the milliseconds since the first event.
func (t *Timeline) offset(e Event) string {
	return fmt.Sprintf("+%d", e.Clock.Time().Sub(t.Start()).Milliseconds())
}

// subject returns the job, task or ticket that an event is about.
func (e Event) subject() string {
	var parts []string
	if e.Job != "" {
		parts = append(parts, e.Caller+"/"+e.Job)
	}
	if e.Task > 0 {
		parts = append(parts, fmt.Sprintf("task %d", e.Task-1))
	}
	if e.Ticket > 0 {
		parts = append(parts, fmt.Sprintf("ticket %d", e.Ticket))
	}
	return strings.Join(parts, " ")
}

func (e Event) detail() string {
	if e.Error == "" {
		return e.Text
	}
	return strings.TrimSpace(e.Text + " error: " + e.Error)
}
