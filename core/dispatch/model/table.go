package model

import (
	"fmt"
	"io"
)

const tableHeader = `| workload | strategy | load | faults | median | 99% | 99.9% | 50 ms median | 50 ms median, mean speed | 50 ms 99% | jobs median | jobs 99% | wasted/task | messages/task | refused | expired | failed | goodput |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|
`

// WriteHeader writes the header of a Markdown table of results.
func WriteHeader(w io.Writer) error {
	if _, err := io.WriteString(w, tableHeader); err != nil {
		return fmt.Errorf("write table header: %w", err)
	}
	return nil
}

// WriteRow writes one result as a row of the table.
func (r Result) WriteRow(w io.Writer) error {
	faults := "none"
	if r.Config.Faults {
		faults = "three"
	}
	_, err := fmt.Fprintf(w,
		"| %s | %s | %.1f | %s | %.2f | %.2f | %.2f | %.3f | %.3f | %.2f | %.2f | %.2f | %.3f | %.2f | %.1f%% | %.2f%% | %.3f%% | %.2f |\n",
		r.Config.Workload.Name, r.Config.Strategy, r.Config.Load, faults,
		r.Median, r.P99, r.P999, r.ShortMedian, r.ShortMedianMeanSpeed, r.ShortP99, r.JobMedian, r.JobP99,
		r.WastedPerTask, r.MessagesPerTask, 100*r.Refused, 100*r.Expired, 100*r.Failed, r.Goodput)
	if err != nil {
		return fmt.Errorf("write table row: %w", err)
	}
	return nil
}
