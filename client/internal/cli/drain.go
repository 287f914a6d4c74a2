package cli

import (
	"context"
	"os"
	"os/user"

	"github.com/spf13/cobra"

	"github.com/cicadapulley/cicadapulley/client/internal/exit"
	"github.com/cicadapulley/cicadapulley/client/internal/operator"
	"github.com/cicadapulley/cicadapulley/core/state"
)

// drainFlags are the flags of the drain command.
type drainFlags struct {
	undo, force, wait bool
	author            string
	// dataCentre is the data centre to drain instead of an endpoint.
	dataCentre string
}

func (a *app) drainCommand() *cobra.Command {
	var f drainFlags
	cmd := &cobra.Command{
		Use:   "drain ENDPOINT | drain --data-centre NAME",
		Short: "Stop or resume sending new work to an endpoint or a data centre",
		Long: "drain applies a ticket that sets the drain mark of an endpoint. The ticket has the number\n" +
			"after the highest in force; if another ticket takes it first, drain retries with the next.\n\n" +
			"With --data-centre it orders that no tasks start on the endpoints of a data centre of the platform.\n" +
			"--control then has the addresses of the control VMs' operations pages. The order is durable and\n" +
			"announced once the command ends with code 0.\n\n" + exit.Help,
		Example: "  cicadapulley drain worker-2 --wait\n  cicadapulley drain worker-2 --undo\n" +
			"  cicadapulley drain --data-centre west --control 10.0.0.1:9464,10.0.0.2:9464",
		Args: cobra.MaximumNArgs(1),
		RunE: a.runE(func(ctx context.Context, args []string) error {
			ctx, cancel := a.withTimeout(ctx)
			defer cancel()
			if (len(args) == 1) == (f.dataCentre != "") {
				return exit.Errorf(exit.Usage, "drain: either an endpoint or --data-centre is required")
			}
			if f.dataCentre != "" {
				return a.setDataCentreDrain(ctx, f.dataCentre, !f.undo)
			}
			return a.setDrain(ctx, args[0], f)
		}),
	}
	cmd.Flags().BoolVar(&f.undo, "undo", false, "clear the drain mark, or withdraw the drain of the data centre")
	cmd.Flags().BoolVar(&f.force, "force", false, "set the mark even if the endpoint is not registered")
	cmd.Flags().BoolVar(&f.wait, "wait", false, "wait until the ticket is in force everywhere")
	cmd.Flags().StringVar(&f.author, "author", defaultAuthor(), "the ticket's author")
	cmd.Flags().StringVar(&f.dataCentre, "data-centre", "", "data centre to drain instead of an endpoint")
	for _, other := range []string{"force", "wait", "author"} {
		cmd.MarkFlagsMutuallyExclusive("data-centre", other)
	}
	a.addJSONFlag(cmd)
	return cmd
}

func defaultAuthor() string {
	name := "operator"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	if host, err := os.Hostname(); err == nil {
		name += "@" + host
	}
	return name
}

func (a *app) setDrain(ctx context.Context, endpoint string, f drainFlags) error {
	client, err := a.operatorClient()
	if err != nil {
		return err
	}
	if !f.undo && !f.force {
		if err := checkEndpointExists(ctx, client, endpoint); err != nil {
			return err
		}
	}
	result, changed, err := client.SetDrain(ctx, f.author, endpoint, !f.undo)
	if err != nil {
		return err
	}
	view := &appliedView{Number: result.Number, Revision: result.Revision, Unchanged: !changed}
	return a.waitAndPrint(ctx, client, view, f.wait)
}

// checkEndpointExists returns an error for a name that no agent has registered:
// a drain mark for it would be accepted and have no effect.
func checkEndpointExists(ctx context.Context, client *operator.Client, endpoint string) error {
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	for _, m := range status.Members {
		if m.Member.GetId() == endpoint && m.Member.GetRole() == string(state.RoleAgent) {
			return nil
		}
	}
	return exit.Errorf(exit.Failure, "endpoint %q is not registered; list the endpoints with cicadapulley endpoints, or use --force", endpoint)
}
