package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// print writes the report as tables of text.
func (r *Report) print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s: profile %s, factor %g, %g s, seed %d, faults %v, machine load %s, CPU pressure %.2f\n",
		r.Name, r.Profile, r.LoadFactor, r.DurationSeconds, r.Seed, r.Faults, r.LoadAvg, r.Pressure)
	fmt.Fprintf(w, "requests %d (after %g s of warm-up), complete %d, failed %d; sent %d, tasks %d; offered %.2f, goodput %.3f of capacity\n\n",
		r.Requests, r.WarmupSeconds, r.Complete, r.Failed, r.Sent, r.Tasks, r.Offered, r.Goodput)
	fmt.Fprintln(w, "response over ideal\tcount\tp50\tp90\tp99\tp99.9\tmax")
	printRow(w, "all requests", r.Ratio)
	printRow(w, "all, by task", r.RatioByTask)
	printRow(w, "50 ms, mean speed", r.Short)
	printRow(w, "  repeatable calls", r.ShortCalls)
	printRow(w, "  jobs and holds", r.ShortRecorded)
	for _, name := range slices.Sorted(maps.Keys(r.Streams)) {
		printRow(w, "stream "+name, r.Streams[name])
	}
	fmt.Fprintln(w, "\nlatency, ms\tcount\tp50\tp90\tp99\tp99.9\tmax")
	printRow(w, "checkout", r.CheckoutMS)
	printRow(w, "refusals", r.RefusedMS)
	for _, f := range r.Errors {
		printRow(w, fmt.Sprintf("  %s %s (%s)", f.State, f.Code, f.Verdict), f.LatencyMS)
	}
	printRow(w, "sent late by the tool", r.SendDelayMS)
	r.printVerification(w)
	_ = w.Flush() // a failed write only loses console output
}

func printRow(w io.Writer, name string, q Quantiles) {
	if q.Count == 0 {
		return
	}
	fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n", name, q.Count, q.P50, q.P90, q.P99, q.P999, q.Max)
}

func (r *Report) printVerification(w io.Writer) {
	v := r.Verification
	fmt.Fprintf(w, "\nmust be zero\tfalse not_run %d\tstarted twice %d\tnever started %d\tpartial answers %d\tresubmissions with another end %d\n",
		v.FalseNotRun, v.StartedTwice, v.NeverStarted, v.Partial, v.MismatchedResubmissions)
	fmt.Fprintf(w, "checked\tnot_run of tasks %d\tresubmissions %d\tfurther starts of repeatable calls %d\n", v.NotRunChecked, v.Resubmissions, v.RepeatedCalls)
	for _, line := range v.Mismatches {
		fmt.Fprintf(w, "  %s\n", line)
	}
	m := r.Messages
	fmt.Fprintf(w, "\nmessages a task\tall %.3f\twasted %.4f\t(%.0f starts)\n", m.PerTask, m.WastedPerTask, m.Tasks)
	printCounts(w, "all", m.ByMethod)
	printCounts(w, "wasted", m.WastedByCause)
}

func printCounts(w io.Writer, title string, list map[string]float64) {
	for _, name := range slices.Sorted(maps.Keys(list)) {
		if list[name] > 0 {
			fmt.Fprintf(w, "  %s\t%s\t%.4f\n", title, name, list[name])
		}
	}
}
