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
}

func (a *app) drainCommand() *cobra.Command {
	var f drainFlags
	cmd := &cobra.Command{
		Use:   "drain ENDPOINT",
		Short: "Stop or resume sending new work to an endpoint",
		Long: "drain applies a ticket that sets the drain mark of an endpoint. The ticket has the number\n" +
			"after the highest in force; if another ticket takes it first, drain retries with the next.\n\n" + exit.Help,
		Example: "  cicadapulley drain worker-2 --wait\n  cicadapulley drain worker-2 --undo",
		Args:    cobra.ExactArgs(1),
		RunE: a.runE(func(ctx context.Context, args []string) error {
			ctx, cancel := a.withTimeout(ctx)
			defer cancel()
			return a.setDrain(ctx, args[0], f)
		}),
	}
	cmd.Flags().BoolVar(&f.undo, "undo", false, "clear the drain mark")
	cmd.Flags().BoolVar(&f.force, "force", false, "set the mark even if the endpoint is not registered")
	cmd.Flags().BoolVar(&f.wait, "wait", false, "wait until the ticket is in force everywhere")
	cmd.Flags().StringVar(&f.author, "author", defaultAuthor(), "the ticket's author")
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
