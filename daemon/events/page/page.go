// Package page renders the catalogue of events as docs/events.md. The generator
// writes the page and a test checks that it is up to date.
package page

import (
	"bytes"
	"fmt"

	"github.com/cicadapulley/cicadapulley/daemon/events"
)

const header = `# Events

Generated from ` + "`daemon/events/catalogue.go`" + ` by ` + "`make generate`" + `; edit the catalogue, not this page.

Every log line has the number of its event in the field ` + "`event`" + ` and its name in ` + "`msg`" + `. Numbers and names are
stable: alerts may refer to them. The metric ` + "`cicadapulley_events_total{event=\"NAME\"}`" + ` counts each event since the
start of the process, whatever the log level. The latest 16,384 events of a process are kept for
` + "`cicadapulley timeline`" + `, also whatever the log level.

| number | name | level | meaning and what to do |
|---|---|---|---|
`

// Render returns the page of a catalogue.
func Render(catalogue []events.Definition) []byte {
	var b bytes.Buffer
	b.WriteString(header)
	for _, d := range catalogue {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s |\n", d.ID, d.Name, d.Level, d.Help)
	}
	return b.Bytes()
}
