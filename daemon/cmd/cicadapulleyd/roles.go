package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/cicadapulley/cicadapulley/daemon/app"
	"github.com/cicadapulley/cicadapulley/daemon/settings"
)

func newControl() *cobra.Command {
	return &cobra.Command{
		Use:     "control FILE",
		Short:   "Run a control VM, which holds the replicated state on disk",
		Example: "  cicadapulleyd control examples/dala/control-1.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var s settings.Control
			if err := settings.Load(args[0], &s); err != nil {
				return err
			}
			return app.RunControl(cmd.Context(), s)
		},
	}
}

func newEntry() *cobra.Command {
	return &cobra.Command{
		Use:     "entry FILE",
		Short:   "Run an entry, which takes jobs from callers behind the balancer",
		Example: "  cicadapulleyd entry examples/dala/entry-1.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var s settings.Entry
			if err := settings.Load(args[0], &s); err != nil {
				return err
			}
			return app.RunEntry(cmd.Context(), s)
		},
	}
}

func newAgent() *cobra.Command {
	return &cobra.Command{
		Use:     "agent FILE",
		Short:   "Run an agent, which runs tasks on the endpoint beside it",
		Example: "  cicadapulleyd agent examples/dala/agent-1.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var s settings.Agent
			if err := settings.Load(args[0], &s); err != nil {
				return err
			}
			return app.RunAgent(cmd.Context(), s)
		},
	}
}

func newCheck() *cobra.Command {
	var role string
	cmd := &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a settings file without starting a process",
		Example: "  cicadapulleyd check --role entry examples/dala/entry-1.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := settings.Check(role, args[0]); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", args[0])
			return nil
		},
	}
	cmd.Flags().StringVar(&role, "role", "", "control, entry or agent (default: detected from the fields of the file)")
	return cmd
}
