// Package cli implements the commands of cicadapulley: they parse flags, call
// the other packages and print the result.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/client/internal/exit"
	"github.com/cicadapulley/cicadapulley/client/internal/load"
	"github.com/cicadapulley/cicadapulley/client/internal/operator"
	"github.com/cicadapulley/cicadapulley/client/internal/output"
)

// Streams are the standard streams of an invocation.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
	// Progress enables progress messages on Err, for terminals.
	Progress bool
}

// app is one invocation of the command line.
type app struct {
	streams Streams
	flags   flags
	// control, if set by a test, replaces the client of the control VMs.
	control rpc.Operator
}

// Run runs one command and returns its exit code. env returns the value of an
// environment variable.
func Run(ctx context.Context, args []string, env func(string) string, s Streams) exit.Code {
	return (&app{streams: s}).execute(ctx, args, env)
}

func (a *app) execute(ctx context.Context, args []string, env func(string) string) exit.Code {
	root := a.rootCommand(env)
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exit.OK
	}
	_, _ = fmt.Fprintln(a.streams.Err, "cicadapulley:", err) // nowhere else to report it
	var coded *exit.Error
	if !errors.As(err, &coded) {
		// Errors returned through runE have an exit code. The others count as usage
		// errors: cobra's, for a wrong flag, argument or command name, and load's.
		return exit.Usage
	}
	return coded.Code
}

func (a *app) rootCommand(env func(string) string) *cobra.Command {
	root := &cobra.Command{
		Use:           "cicadapulley",
		Short:         "Operate cicadapulley and submit work to it",
		Long:          "cicadapulley shows and changes the state of a dispatcher and submits work to it.\n\n" + exit.Help,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetIn(a.streams.In)
	root.SetOut(a.streams.Out)
	root.SetErr(a.streams.Err)
	a.flags.register(root.PersistentFlags(), env)
	root.AddCommand(
		a.statusCommand(), a.endpointsCommand(), a.jobsCommand(), a.jobCommand(), a.callCommand(), a.drainCommand(), a.configCommand(),
		a.ticketCommand(), a.groupCommand(), a.timelineCommand(), a.explainCommand(), a.versionCommand(), load.NewCommand(),
	)
	return root
}

// runE adapts f to cobra's RunE: it validates the global flags first and adds an
// exit code to errors that have none.
func (a *app) runE(f func(ctx context.Context, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if err := a.flags.validate(); err != nil {
			return exit.Errorf(exit.Usage, "%w", err)
		}
		err := f(cmd.Context(), args)
		if err == nil {
			return nil
		}
		return exit.Errorf(exit.CodeOf(err), "%w", err)
	}
}

// parentCommand returns a command that only groups subcommands. Without a
// subcommand, or with an unknown one, it returns a usage error.
func parentCommand(use, short string, children ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return exit.Errorf(exit.Usage, "%s: a subcommand is required; see %s --help", cmd.CommandPath(), cmd.CommandPath())
			}
			return exit.Errorf(exit.Usage, "%s: unknown command %q", cmd.CommandPath(), args[0])
		},
	}
	cmd.AddCommand(children...)
	return cmd
}

// queryRunE adapts a query of the control VMs that takes no arguments. It is
// limited to the global timeout.
func (a *app) queryRunE(query func(ctx context.Context, client *operator.Client) error) func(*cobra.Command, []string) error {
	return a.runE(func(ctx context.Context, _ []string) error {
		ctx, cancel := a.withTimeout(ctx)
		defer cancel()
		client, err := a.operatorClient()
		if err != nil {
			return err
		}
		return query(ctx, client)
	})
}

// print writes a result in the format of --output.
func (a *app) print(v output.Printable) error {
	return output.Write(a.streams.Out, a.flags.output, v)
}

// progress writes a progress message if these are enabled.
func (a *app) progress(line string) {
	if a.streams.Progress {
		_, _ = fmt.Fprintln(a.streams.Err, output.Clean(line)) // a lost progress message does no harm
	}
}

// warn writes a warning to the error stream, apart from the result.
func (a *app) warn(format string, args ...any) {
	_, _ = fmt.Fprintf(a.streams.Err, "warning: "+format+"\n", args...) // nowhere else to report it
}
