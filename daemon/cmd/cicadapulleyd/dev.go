package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/cicadapulley/cicadapulley/daemon/app"
	"github.com/cicadapulley/cicadapulley/daemon/dev"
)

// devFlags are the flags of the development system.
type devFlags struct {
	listen   []string
	data     string
	controls int
	workers  int
	speeds   []float64
	slots    int
	link     time.Duration
	sync     time.Duration
	lease    time.Duration
	dispatch string
	kinds    []string
	logLevel string
}

// defaultSpeeds differ, like the speeds of machines bought over several years.
var defaultSpeeds = []float64{1, 0.7, 1.4}

func newDev() *cobra.Command {
	var f devFlags
	cmd := &cobra.Command{
		Use:     "dev",
		Short:   "Run all roles and stand-in endpoints in one process",
		Example: "  cicadapulleyd dev --listen 127.0.0.1:8080 --data ./data",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&f.listen, "listen", []string{"127.0.0.1:8080"}, "callers' address, one for each entry")
	flags.StringVar(&f.data, "data", "", "data folder")
	flags.IntVar(&f.controls, "controls", 1, "number of control VMs: 1, 3 or 5")
	flags.IntVar(&f.workers, "workers", len(defaultSpeeds), "number of workers; --speeds is repeated as needed")
	flags.Float64SliceVar(&f.speeds, "speeds", defaultSpeeds, "speeds of the workers' endpoints")
	flags.IntVar(&f.slots, "slots", 8, "slots of each worker")
	flags.DurationVar(&f.link, "link", 0, "one-way delay between processes")
	flags.DurationVar(&f.sync, "sync", 0, "time added to each disk sync")
	flags.DurationVar(&f.lease, "lease", 0, "length of leases (default 4s)")
	flags.StringVar(&f.dispatch, "dispatch", "", "strategy to choose endpoints: grants, two_choices or random")
	flags.StringSliceVar(&f.kinds, "kinds", nil, "additional repeatable kinds of the service demo that behave like sleep")
	flags.StringVar(&f.logLevel, "log-level", "warn", "debug, info, warn or error")
	_ = cmd.MarkFlagRequired("data") // fails only for an unknown flag
	return cmd
}

func (f *devFlags) run(cmd *cobra.Command) error {
	if f.controls != 1 && f.controls != 3 && f.controls != 5 {
		return fmt.Errorf("--controls: %d is none of 1, 3, 5", f.controls)
	}
	if f.workers < 1 || f.slots < 1 || len(f.speeds) == 0 {
		return fmt.Errorf("--workers and --slots must be at least 1, and --speeds must not be empty")
	}
	logger, err := app.NewLogger(f.logLevel)
	if err != nil {
		return fmt.Errorf("--log-level: %w", err)
	}
	system, err := dev.New(cmd.Context(), dev.Options{
		Listen:    f.listen,
		Data:      f.data,
		Controls:  f.controls,
		Speeds:    f.workerSpeeds(),
		Slots:     f.slots,
		LinkDelay: f.link,
		SyncDelay: f.sync,
		LeaseTTL:  f.lease,
		Dispatch:  f.dispatch,
		Kinds:     f.kinds,
		Logger:    logger,
		Ready:     cmd.OutOrStdout(),
	})
	if err != nil {
		return err
	}
	return system.Run(cmd.Context())
}

// workerSpeeds returns one speed for each worker, repeating the given speeds as
// needed.
func (f *devFlags) workerSpeeds() []float64 {
	list := make([]float64, f.workers)
	for i := range list {
		list[i] = f.speeds[i%len(f.speeds)]
	}
	return list
}
