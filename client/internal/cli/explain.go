package cli

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cicadapulley/cicadapulley/client/internal/exit"
	"github.com/cicadapulley/cicadapulley/client/internal/timeline"
)

func (a *app) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain JOB [LOG...]",
		Short: "Show the history of a job from the logs",
		Long: "explain reads the structured logs of several processes, from files or from standard\n" +
			"input, and shows the events of one job in causal order, with the failures, elections\n" +
			"and restarts that may have affected it.\n\n" + exit.Help,
		Example: "  cicadapulley explain a8138702dd29df8c entry-*.log core-*.log side-*.log\n" +
			"  journalctl -u 'cicadapulley*' -o cat | cicadapulley explain a8138702dd29df8c",
		Args: cobra.MinimumNArgs(1),
		RunE: a.runE(func(_ context.Context, args []string) error { return a.explainJob(args[0], args[1:]) }),
	}
}

func (a *app) explainJob(job string, files []string) error {
	events, skipped, err := a.readLogs(files)
	if err != nil {
		return exit.Errorf(exit.Usage, "%w", err)
	}
	explanation := timeline.Explain(job, events)
	if len(explanation.Events) == 0 {
		return exit.Errorf(exit.Failure, "no event of job %s among %d events (%d other lines skipped)", job, len(events), skipped)
	}
	return a.print(explanation)
}

// readLogs reads the events of the files, or of standard input if files is empty.
func (a *app) readLogs(files []string) (events []timeline.Event, skipped int, err error) {
	if len(files) == 0 {
		return timeline.ReadLogs(a.streams.In)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, 0, err
		}
		list, skippedHere, err := timeline.ReadLogs(f)
		if err := errors.CombineErrors(err, f.Close()); err != nil {
			return nil, 0, errors.Wrap(err, name)
		}
		events = append(events, list...)
		skipped += skippedHere
	}
	return events, skipped, nil
}
