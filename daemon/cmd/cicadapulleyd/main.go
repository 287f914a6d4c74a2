// Command cicadapulleyd is the daemon. Each role is a subcommand.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newRoot().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "cicadapulleyd:", err)
		os.Exit(1)
	}
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "cicadapulleyd",
		Short:         "Dispatcher for sub-second tasks",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newControl(), newEntry(), newAgent(), newDev(), newCheck(), newStorage())
	return root
}
