// Command cicadapulley is the command line for operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"golang.org/x/term"

	"github.com/cicadapulley/cicadapulley/client/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], os.Getenv, cli.Streams{
		In:       os.Stdin,
		Out:      os.Stdout,
		Err:      os.Stderr,
		Progress: term.IsTerminal(int(os.Stderr.Fd())),
	})
	stop()
	os.Exit(int(code))
}
