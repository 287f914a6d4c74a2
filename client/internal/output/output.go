// Package output writes the results of commands as tables or as JSON.
package output

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"unicode"
)

// Format is an output format.
type Format string

// Output formats.
const (
	Table Format = "table"
	JSON  Format = "json"
)

// Valid reports whether the format is known.
func (f Format) Valid() bool { return f == Table || f == JSON }

// Printable is a result that has a human-readable form.
type Printable interface {
	// Print writes the human-readable form.
	Print(w *Writer)
}

// Write writes a result in a format.
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

// Writer writes lines and tables. It keeps the first error.
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

// Table writes rows under headings, or (none) if there are no rows.
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

// Clean replaces control characters: names come from callers and could otherwise
// move a terminal's cursor. It returns a dash for an empty string, so that table
// cells are not empty.
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
