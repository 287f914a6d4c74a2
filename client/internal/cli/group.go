package cli

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/cicadapulley/cicadapulley/client/internal/exit"
	"github.com/cicadapulley/cicadapulley/client/internal/operator"
	"github.com/cicadapulley/cicadapulley/client/internal/output"
)

func (a *app) groupCommand() *cobra.Command {
	return parentCommand("group", "List, add or remove control VMs", a.groupListCommand(), a.groupAddCommand(), a.groupRemoveCommand())
}

// groupView is the group of control VMs.
type groupView struct {
	Control []controlView `json:"control"`
}

// Print implements output.Printable.
func (v *groupView) Print(w *output.Writer) {
	rows := make([][]string, len(v.Control))
	for i, vm := range v.Control {
		rows[i] = []string{vm.ID, vm.Address, vm.role()}
	}
	w.Table([]string{"ID", "ADDRESS", "ROLE"}, rows)
}

func (a *app) groupListCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the control VMs",
		Example: "  cicadapulley group list",
		Args:    cobra.NoArgs,
		RunE: a.queryRunE(func(ctx context.Context, client *operator.Client) error {
			return a.printGroup(ctx, client)
		}),
	}
}

func (a *app) printGroup(ctx context.Context, client *operator.Client) error {
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	view := &groupView{Control: []controlView{}}
	for _, vm := range status.Group {
		view.Control = append(view.Control, controlView{vm.Id, vm.Address, vm.Voter, vm.Leader, vm.MatchIndex, vm.SilentMs})
	}
	return a.print(view)
}

func (a *app) groupAddCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "add ID ADDRESS",
		Short: "Add a control VM and promote it to a voter",
		Long: "add adds a new control VM to the group, first as a learner without a vote, and promotes\n" +
			"it to a voter once it has caught up. ID is the identity of its data folder, which the VM\n" +
			"logs when it starts. An interrupted add can be run again. The default timeout is 2m.\n\n" + exit.Help,
		Example: "  cicadapulley group add 3f9c2a7e41d0b865 10.0.0.3:7000",
		Args:    cobra.ExactArgs(2),
		RunE: a.runE(func(ctx context.Context, args []string) error {
			return a.changeGroup(ctx, func(ctx context.Context, c *operator.Client) error { return c.AddVM(ctx, args[0], args[1]) })
		}),
	}
}

func (a *app) groupRemoveCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "remove ID",
		Short: "Remove a control VM",
		Long: "remove removes a control VM from the group. The leader can't remove itself: stop it\n" +
			"first, so that another VM is elected. The default timeout is 2m.\n\n" + exit.Help,
		Example: "  cicadapulley group remove 3f9c2a7e41d0b865",
		Args:    cobra.ExactArgs(1),
		RunE: a.runE(func(ctx context.Context, args []string) error {
			return a.changeGroup(ctx, func(ctx context.Context, c *operator.Client) error { return c.RemoveVM(ctx, args[0]) })
		}),
	}
}

func (a *app) changeGroup(ctx context.Context, change func(context.Context, *operator.Client) error) error {
	ctx, cancel := context.WithTimeout(ctx, a.flags.timeoutOr(defaultGroupTimeout))
	defer cancel()
	client, err := a.operatorClient()
	if err != nil {
		return err
	}
	if err := change(ctx, client); err != nil {
		return err
	}
	return a.printGroup(ctx, client)
}
