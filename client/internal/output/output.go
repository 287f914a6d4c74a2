// Package output writes what commands answer, as a table or as JSON.
package output

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"unicode"
)

// Format is the form of an answer.
type Format string

// Formats.
const (
	Table Format = "table"
	JSON  Format = "json"
)

// Valid reports whether the format is known.
func (f Format) Valid() bool { return f == Table || f == JSON }

// Printable is an answer with a form for people.
type Printable interface {
	// Print writes the answer for people.
	Print(w *Writer)
}

// Write writes an answer in a format.
func Write(w io.Writer, f Format, v Printable) error {
	if f == JSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	p := &Writer{out: w}
	v.Print(p)
	return p.err
}

// Writer writes lines and tables. The first error is kept.
type Writer struct {
	out io.Writer
	err error
}

// Linef writes one line.
func (w *Writer) Linef(format string, args ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.out, format+"\n", args...)
	}
}

// Table writes rows under headings; an empty table says so.
func (w *Writer) Table(headings []string, rows [][]string) {
	if len(rows) == 0 {
		w.Linef("(none)")
		return
	}
	t := tabwriter.NewWriter(w.out, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{headings}, rows...) {
		cells := make([]string, len(row))
		for i, c := range row {
			cells[i] = Clean(c)
		}
		_, _ = fmt.Fprintln(t, strings.TrimRight(strings.Join(cells, "\t"), "\t")) // reported by Flush
	}
	if err := t.Flush(); w.err == nil {
		w.err = err
	}
}

// Clean replaces control characters, as names come from callers and could
// move a terminal's cursor. An empty cell is a dash.
func Clean(s string) string {
	if s == "" {
		return "-"
	}
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return '?'
		}
		return r
	}, s)
}
