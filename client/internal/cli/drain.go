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

// drainFlags are the flags of drain.
type drainFlags struct {
	undo, force, wait bool
	author            string
}

func (a *app) drainCommand() *cobra.Command {
	var f drainFlags
	cmd := &cobra.Command{
		Use:   "drain ENDPOINT",
		Short: "Give an endpoint no new work, or new work again",
		Long: "drain writes a ticket that sets the drain mark of an endpoint, with the number after\n" +
			"the highest in force, and tries again if another ticket takes that number first.\n\n" + exit.Help,
		Example: "  cicadapulley drain worker-2 --wait\n  cicadapulley drain worker-2 --undo",
		Args:    cobra.ExactArgs(1),
		RunE: a.runE(func(ctx context.Context, args []string) error {
			ctx, cancel := a.withTimeout(ctx)
			defer cancel()
			return a.setDrain(ctx, args[0], f)
		}),
	}
	cmd.Flags().BoolVar(&f.undo, "undo", false, "clear the mark")
	cmd.Flags().BoolVar(&f.force, "force", false, "set the mark of an endpoint that has not announced itself")
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

// checkEndpoint refuses a name that no agent has, as a mark for it would
// silently drain nothing.
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
	return exit.Errorf(exit.Failure, "no endpoint %q has announced itself; see cicadapulley endpoints, or use --force", endpoint)
}
