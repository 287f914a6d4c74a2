// Package cli is the commands of cicadapulley: they read flags, call the other
// packages and write the answer.
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

// Streams are the input and outputs of a run.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
	// Progress writes the steps of long work to Err, for a terminal.
	Progress bool
}

// app is one run of the command line.
type app struct {
	streams Streams
	flags   flags
	// control replaces the control VMs in tests.
	control rpc.Operator
}

// Run runs one command and returns its exit code. env reads the environment.
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
		// Commands give their failures a code, so this one is cobra's, about
		// flags, arguments or the command's name.
		return exit.Usage
	}
	return coded.Code
}

func (a *app) rootCommand(env func(string) string) *cobra.Command {
	root := &cobra.Command{
		Use:           "cicadapulley",
		Short:         "Operate cicadapulley and call it",
		Long:          "cicadapulley shows and changes the state of a dispatcher and submits work to it.\n\n" + exit.Help,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetIn(a.streams.In)
	root.SetOut(a.streams.Out)
	root.SetErr(a.streams.Err)
	a.flags.register(root.PersistentFlags(), env)
	root.AddCommand(
		a.statusCommand(), a.endpointsCommand(), a.jobsCommand(), a.jobCommand(), a.callCommand(), a.drainCommand(),
		a.ticketCommand(), a.groupCommand(), a.timelineCommand(), a.explainCommand(), a.versionCommand(), load.NewCommand(),
	)
	return root
}

// run adapts a command: it checks the global flags, bounds the time and gives
// failures a code.
func (a *app) runE(f func(ctx context.Context, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if err := a.flags.validate(); err != nil {
			return exit.Errorf(exit.Usage, "%w", err)
		}
		err := f(cmd.Context(), args)
		if err == nil {
			return nil
		}
		return exit.Errorf(exit.Of(err), "%w", err)
	}
}

// parent is a command that only groups others. Without a name or with an
// unknown one it is used wrongly.
func parentCommand(use, short string, children ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return exit.Errorf(exit.Usage, "%s: a command is required; see %s --help", cmd.CommandPath(), cmd.CommandPath())
			}
			return exit.Errorf(exit.Usage, "%s: unknown command %q", cmd.CommandPath(), args[0])
		},
	}
	cmd.AddCommand(children...)
	return cmd
}

// query adapts a command without arguments that asks control, within the bound
// of time.
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

// print writes an answer in the chosen format.
func (a *app) print(v output.Printable) error {
	return output.Write(a.streams.Out, a.flags.output, v)
}

// progress writes a step of long work for a person who watches.
func (a *app) progress(line string) {
	if a.streams.Progress {
		_, _ = fmt.Fprintln(a.streams.Err, output.Clean(line)) // progress may be lost
	}
}

// warn writes what the reader of an answer should know beside it.
func (a *app) warn(format string, args ...any) {
	_, _ = fmt.Fprintf(a.streams.Err, "warning: "+format+"\n", args...) // nowhere else to report it
}
