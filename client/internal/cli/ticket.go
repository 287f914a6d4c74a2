package cli

import (
	"context"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/cicadapulley/cicadapulley/client/internal/exit"
	"github.com/cicadapulley/cicadapulley/client/internal/operator"
	"github.com/cicadapulley/cicadapulley/client/internal/ticketfile"
	"github.com/cicadapulley/cicadapulley/core/state"
)

func (a *app) ticketCommand() *cobra.Command {
	return parentCommand("ticket", "Apply, show, compare and wait for tickets",
		a.ticketApplyCommand(), a.ticketListCommand(), a.ticketShowCommand(), a.ticketDiffCommand(), a.ticketWaitCommand())
}

func (a *app) ticketApplyCommand() *cobra.Command {
	wait := false
	cmd := &cobra.Command{
		Use:   "apply FILE|-",
		Short: "Apply a ticket and print its revision",
		Long: "apply sends a ticket, and resends it as long as answers are lost; the same ticket is\n" +
			"applied once. If another ticket takes precedence, nothing changes (exit code 5).\n\n" + exit.Help,
		Example: "  cicadapulley ticket apply change-42.json --wait",
		Args:    cobra.ExactArgs(1),
		RunE: a.runE(func(ctx context.Context, args []string) error {
			ctx, cancel := a.withTimeout(ctx)
			defer cancel()
			return a.applyTicket(ctx, args[0], wait)
		}),
	}
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until the ticket is in force everywhere")
	return cmd
}

func (a *app) applyTicket(ctx context.Context, file string, wait bool) error {
	t, err := a.readTicket(file)
	if err != nil {
		return err
	}
	client, err := a.operatorClient()
	if err != nil {
		return err
	}
	result, err := client.Apply(ctx, t)
	if err != nil {
		return err
	}
	view := &appliedView{Number: result.Number, Revision: result.Revision, Repeated: result.Repeated}
	return a.waitAndPrint(ctx, client, view, wait)
}

func (a *app) readTicket(file string) (state.Ticket, error) {
	data, err := a.readInput(file)
	if err != nil {
		return state.Ticket{}, err
	}
	t, err := ticketfile.Parse(inputName(file), data)
	if err != nil {
		return state.Ticket{}, exit.Errorf(exit.Usage, "%w", err)
	}
	return t, nil
}

// waitAndPrint prints a committed ticket. If wait is set, it first waits until
// the ticket is in force in every active process.
func (a *app) waitAndPrint(ctx context.Context, client *operator.Client, v *appliedView, wait bool) error {
	var err error
	if wait {
		v.Waited = true
		v.Behind, err = client.Wait(ctx, v.Revision)
		v.InForce = err == nil
	}
	if printErr := a.print(v); printErr != nil {
		return printErr
	}
	return err
}

func (a *app) ticketListCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the retained tickets in the order in which they were applied",
		Example: "  cicadapulley ticket list",
		Args:    cobra.NoArgs,
		RunE: a.queryRunE(func(ctx context.Context, client *operator.Client) error {
			tickets, err := client.Tickets(ctx)
			if err != nil {
				return err
			}
			return a.print(newTicketsView(tickets))
		}),
	}
}

func (a *app) ticketShowCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "show NUMBER",
		Short:   "Print a retained ticket as a ticket file",
		Example: "  cicadapulley ticket show 42 > change-42.json",
		Args:    cobra.ExactArgs(1),
		RunE: a.runE(func(ctx context.Context, args []string) error {
			ctx, cancel := a.withTimeout(ctx)
			defer cancel()
			_, t, err := a.fetchTicket(ctx, args[0])
			if err != nil {
				return err
			}
			data, err := ticketfile.Encode(t.Ticket)
			if err != nil {
				return err
			}
			_, err = a.streams.Out.Write(data)
			return err
		}),
	}
}

// fetchTicket reads the ticket with the number in arg.
func (a *app) fetchTicket(ctx context.Context, arg string) (*operator.Client, state.AppliedTicket, error) {
	number, err := strconv.ParseUint(arg, 10, 64)
	if err != nil || number == 0 {
		return nil, state.AppliedTicket{}, exit.Errorf(exit.Usage, "ticket: %q is not a positive number", arg)
	}
	client, err := a.operatorClient()
	if err != nil {
		return nil, state.AppliedTicket{}, err
	}
	t, err := client.Ticket(ctx, number)
	return client, t, err
}

func (a *app) ticketDiffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE|-",
		Short: "Compare a ticket with the configuration in force",
		Long: "diff prints what a ticket would change, and warns if it would be refused. It changes\n" +
			"nothing, and its exit code is 0 whether there are differences or not.",
		Example: "  cicadapulley ticket diff change-42.json",
		Args:    cobra.ExactArgs(1),
		RunE: a.runE(func(ctx context.Context, args []string) error {
			ctx, cancel := a.withTimeout(ctx)
			defer cancel()
			return a.diffTicket(ctx, args[0])
		}),
	}
}

func (a *app) diffTicket(ctx context.Context, file string) error {
	t, err := a.readTicket(file)
	if err != nil {
		return err
	}
	client, err := a.operatorClient()
	if err != nil {
		return err
	}
	config, err := client.Config(ctx)
	if err != nil {
		return err
	}
	return a.print(newDiffView(t, ticketfile.Diff(config.Config, t)))
}

func (a *app) ticketWaitCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "wait NUMBER",
		Short: "Wait until a ticket is in force in every active process",
		Long: "wait returns when every active process runs the configuration of the ticket or a newer\n" +
			"one. On a timeout (exit code 6) it lists the processes that are behind.\n\n" + exit.Help,
		Example: "  cicadapulley ticket wait 42 --timeout 4s",
		Args:    cobra.ExactArgs(1),
		RunE: a.runE(func(ctx context.Context, args []string) error {
			ctx, cancel := a.withTimeout(ctx)
			defer cancel()
			client, t, err := a.fetchTicket(ctx, args[0])
			if err != nil {
				return err
			}
			view := &appliedView{Number: t.Ticket.Number, Revision: t.Revision}
			return a.waitAndPrint(ctx, client, view, true)
		}),
	}
}
