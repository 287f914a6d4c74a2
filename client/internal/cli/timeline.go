package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/cicadapulley/cicadapulley/client/internal/connect"
	"github.com/cicadapulley/cicadapulley/client/internal/exit"
	"github.com/cicadapulley/cicadapulley/client/internal/output"
	"github.com/cicadapulley/cicadapulley/client/internal/timeline"
)

// defaultEventLimit bounds the events of a timeline; an HTML page with more is
// slow to open.
const defaultEventLimit = 5000

// timelineFlags are the flags of the timeline command.
type timelineFlags struct {
	job, caller string
	ticket      uint64
	since       time.Duration
	format      string
	ops         []string
	limit       int
}

func (a *app) timelineCommand() *cobra.Command {
	var f timelineFlags
	cmd := &cobra.Command{
		Use:   "timeline --job ID | --ticket NUMBER | --since DURATION",
		Short: "Show the events of all processes in one order",
		Long: "timeline reads the events of every member and orders them by their hybrid logical\n" +
			"clocks. It lists the processes that it could not reach. Control VMs are not members:\n" +
			"give the URLs of their operations pages with --ops.\n\n" + exit.Help,
		Example: "  cicadapulley timeline --job j1 --caller shop\n" +
			"  cicadapulley timeline --ticket 42 --ops http://10.0.0.1:7001,http://10.0.0.2:7001\n" +
			"  cicadapulley timeline --since 5m --format html > timeline.html",
		Args: cobra.NoArgs,
		RunE: a.runE(func(ctx context.Context, _ []string) error { return a.showTimeline(ctx, f) }),
	}
	cmd.Flags().StringVar(&f.job, "job", "", "events of a job")
	cmd.Flags().StringVar(&f.caller, "caller", "", "the job's caller, if several use its id")
	cmd.Flags().Uint64Var(&f.ticket, "ticket", 0, "events of a ticket")
	cmd.Flags().DurationVar(&f.since, "since", 0, "events of this period before now, such as 5m")
	cmd.Flags().StringVar(&f.format, "format", "text", "text, json or html")
	cmd.Flags().StringSliceVar(&f.ops, "ops", nil, "URLs of additional operations pages")
	cmd.Flags().IntVar(&f.limit, "limit", defaultEventLimit, "the number of newest events to show; 0 shows all")
	return cmd
}

func (f timelineFlags) validate() error {
	switch {
	case f.job == "" && f.ticket == 0 && f.since == 0:
		return exit.Errorf(exit.Usage, "one of --job, --ticket and --since is required")
	case f.caller != "" && f.job == "":
		return exit.Errorf(exit.Usage, "--caller requires --job")
	case f.since < 0 || f.limit < 0:
		return exit.Errorf(exit.Usage, "--since and --limit must not be negative")
	case f.format != "text" && f.format != "json" && f.format != "html":
		return exit.Errorf(exit.Usage, "--format: %q is not one of text, json, html", f.format)
	}
	return nil
}

func (f timelineFlags) filter(now time.Time) timeline.Filter {
	filter := timeline.Filter{Job: f.job, Caller: f.caller, Ticket: f.ticket}
	if f.since > 0 {
		filter.Since = timeline.ClockAt(now.Add(-f.since))
	}
	return filter
}

func (f timelineFlags) title() string {
	title := "Timeline"
	if f.job != "" {
		title += " of job " + f.job
	}
	if f.ticket > 0 {
		title += fmt.Sprintf(" of ticket %d", f.ticket)
	}
	if f.since > 0 {
		title += " of the last " + f.since.String()
	}
	return title
}

func (a *app) showTimeline(ctx context.Context, f timelineFlags) error {
	if err := f.validate(); err != nil {
		return err
	}
	httpClient, err := connect.NewClient(a.flags.tls)
	if err != nil {
		return exit.Errorf(exit.Usage, "%w", err)
	}
	sources, missing, err := a.timelineSources(ctx, f.ops)
	if err != nil {
		return err
	}
	a.progress(fmt.Sprintf("reading the events of %d processes", len(sources)))
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	t := timeline.Fetch(ctx, httpClient, sources, f.filter(time.Now()))
	t.Missing = append(t.Missing, missing...)
	t.Limit(f.limit)
	for _, m := range t.Missing {
		a.warn("could not reach %s: %s", output.Clean(m.Process), output.Clean(m.Error))
	}
	if len(t.Processes) == 0 {
		return exit.Errorf(exit.Unreachable, "no process answered")
	}
	return a.writeTimeline(t, f)
}

// timelineSources returns the operations pages of all members and those given by
// --ops. If the control VMs don't answer but --ops is given, control is returned
// as missing instead of an error.
func (a *app) timelineSources(ctx context.Context, opsURLs []string) ([]timeline.Source, []timeline.Missing, error) {
	var sources []timeline.Source
	for _, url := range opsURLs {
		sources = append(sources, timeline.Source{Process: url, URL: url})
	}
	client, err := a.operatorClient()
	if err != nil && len(sources) > 0 && len(a.flags.control) == 0 {
		return sources, nil, nil
	}
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil && len(sources) > 0 {
		missing := timeline.Missing{Process: "control", Error: "could not list the members: " + err.Error()}
		return sources, []timeline.Missing{missing}, nil
	}
	if err != nil {
		return nil, nil, err
	}
	for _, m := range status.Members {
		sources = append(sources, timeline.Source{Process: m.Member.GetId(), URL: m.Member.GetOps()})
	}
	return sources, nil, nil
}

func (a *app) writeTimeline(t *timeline.Timeline, f timelineFlags) error {
	switch {
	case f.format == "html":
		return t.WriteHTML(a.streams.Out, f.title())
	case f.format == "json" || a.flags.output == output.JSON:
		return t.WriteJSON(a.streams.Out)
	}
	return output.Write(a.streams.Out, output.Table, t)
}
