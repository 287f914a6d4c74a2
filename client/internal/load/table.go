package load

import (
	"fmt"
	"io"
	"slices"

	"github.com/spf13/cobra"
)

// newTableCommand returns the command "load table".
func newTableCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "table REPORT.json...",
		Short:   "Print reports as a Markdown table with medians over the runs of each name; counts are added up",
		Example: "  cicadapulley load table bench/*.json",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			groups, err := readGroups(args)
			if err != nil {
				return err
			}
			writeTable(cmd.OutOrStdout(), groups)
			return nil
		},
	}
}

// readGroups reads reports and groups them by name, in the order of files.
func readGroups(files []string) ([][]*Report, error) {
	var groups [][]*Report
	position := map[string]int{}
	for _, file := range files {
		r, err := readReport(file)
		if err != nil {
			return nil, err
		}
		i, found := position[r.Name]
		if !found {
			i = len(groups)
			position[r.Name] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], r)
	}
	return groups, nil
}

// column defines one column of the table.
type column struct {
	title  string
	format string
	value  func(*Report) float64
	// sum adds up the runs' values instead of taking the median.
	sum bool
}

var columns = []column{
	{"50 ms p50", "%.3f", func(r *Report) float64 { return r.Short.P50 }, false},
	{"calls", "%.3f", func(r *Report) float64 { return r.ShortCalls.P50 }, false},
	{"recorded", "%.3f", func(r *Report) float64 { return r.ShortRecorded.P50 }, false},
	{"all p50", "%.2f", func(r *Report) float64 { return r.Ratio.P50 }, false},
	{"p99", "%.2f", func(r *Report) float64 { return r.Ratio.P99 }, false},
	{"p99.9", "%.2f", func(r *Report) float64 { return r.Ratio.P999 }, false},
	{"p99 by task", "%.2f", func(r *Report) float64 { return r.RatioByTask.P99 }, false},
	{"checkout p50 ms", "%.1f", func(r *Report) float64 { return r.CheckoutMS.P50 }, false},
	{"checkout p99 ms", "%.1f", func(r *Report) float64 { return r.CheckoutMS.P99 }, false},
	{"goodput", "%.3f", func(r *Report) float64 { return r.Goodput }, false},
	{"refused p50 ms", "%.1f", func(r *Report) float64 { return r.RefusedMS.P50 }, false},
	{"wasted", "%.4f", func(r *Report) float64 { return r.Messages.WastedPerTask }, false},
	{"messages", "%.2f", func(r *Report) float64 { return r.Messages.PerTask }, false},
	{"refused", "%.0f", func(r *Report) float64 { return float64(r.RefusedMS.Count) }, true},
	{"failed", "%.0f", func(r *Report) float64 { return float64(r.Failed) }, true},
	{"findings", "%.0f", func(r *Report) float64 { return float64(r.Verification.Findings()) }, true},
}

func writeTable(w io.Writer, groups [][]*Report) {
	fmt.Fprint(w, "| run | runs |")
	for _, c := range columns {
		fmt.Fprintf(w, " %s |", c.title)
	}
	fmt.Fprint(w, " machine load, CPU pressure |\n|---|---|")
	for range columns {
		fmt.Fprint(w, "---|")
	}
	fmt.Fprintln(w, "---|")
	for _, group := range groups {
		fmt.Fprintf(w, "| %s | %d |", group[0].Name, len(group))
		for _, c := range columns {
			fmt.Fprintf(w, " "+c.format+" |", c.aggregate(group))
		}
		fmt.Fprintf(w, " %s |\n", machineLoad(group))
	}
}

func (c column) aggregate(group []*Report) float64 {
	var list []float64
	total := 0.0
	for _, r := range group {
		list = append(list, c.value(r))
		total += c.value(r)
	}
	if c.sum {
		return total
	}
	slices.Sort(list)
	return (list[(len(list)-1)/2] + list[len(list)/2]) / 2
}

// machineLoad lists the machine's load and CPU pressure in each run.
func machineLoad(group []*Report) string {
	text := ""
	for i, r := range group {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s %.2f", r.LoadAvg, r.Pressure)
	}
	return text
}
