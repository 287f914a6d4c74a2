package load

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/spf13/cobra"
)

// Main runs a command line that has this command alone, until the rest of the
// command line calls NewCommand.
func Main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	root := &cobra.Command{Use: "cicadapulley", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(NewCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "cicadapulley:", err)
		os.Exit(1)
	}
}
