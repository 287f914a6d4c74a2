// Command table compares dispatch strategies in the queue model and prints the
// results as a Markdown table.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cicadapulley/cicadapulley/core/dispatch"
	"github.com/cicadapulley/cicadapulley/core/dispatch/model"
)

// scenario is a load, with or without faults.
type scenario struct {
	load   float64
	faults bool
}

var scenarios = []scenario{{0.7, false}, {0.7, true}, {2, false}, {4, false}}

var strategies = []dispatch.Strategy{dispatch.Random, dispatch.TwoChoices, dispatch.LateBinding, dispatch.Grants}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	base := model.Config{Slots: 8, Latency: 500 * time.Microsecond, Warmup: 20 * time.Second}
	flag.IntVar(&base.Endpoints, "endpoints", 11, "number of endpoints")
	flag.IntVar(&base.Entries, "entries", 3, "number of entries")
	flag.Float64Var(&base.Spread, "spread", 4, "ratio of the fastest to the slowest endpoint")
	flag.DurationVar(&base.Length, "length", 300*time.Second, "measured virtual time")
	flag.Uint64Var(&base.Seed, "seed", 1, "seed of workload and choices")
	selected := flag.String("strategy", "", "comma-separated strategies; all if empty")
	maxLoad := flag.Float64("maxload", 4, "highest load of the scenarios to run")
	workloads := flag.String("workloads", "dala,hsinchu", "comma-separated workloads")
	flag.Parse()
	if err := model.WriteHeader(os.Stdout); err != nil {
		return err
	}
	for _, name := range strings.Split(*workloads, ",") {
		workload, err := model.WorkloadNamed(name)
		if err != nil {
			return err
		}
		base.Workload = workload
		if err := writeRows(base, strings.Split(*selected, ","), *maxLoad); err != nil {
			return err
		}
	}
	return nil
}

// writeRows runs the selected strategies of a workload in all scenarios up to a
// load, several at a time, and prints one row for each.
func writeRows(base model.Config, selected []string, maxLoad float64) error {
	var configs []model.Config
	for _, sc := range scenarios {
		for _, st := range strategies {
			if sc.load > maxLoad || (selected[0] != "" && !slices.Contains(selected, st.String())) {
				continue
			}
			c := base
			c.Load = sc.load
			c.Faults = sc.faults
			c.Strategy = st
			configs = append(configs, c)
		}
	}
	results := make([]model.Result, len(configs))
	var group sync.WaitGroup
	semaphore := make(chan struct{}, max(1, runtime.NumCPU()/2))
	for i, c := range configs {
		group.Go(func() {
			semaphore <- struct{}{}
			results[i] = model.Run(c)
			<-semaphore
		})
	}
	group.Wait()
	for _, r := range results {
		if err := r.WriteRow(os.Stdout); err != nil {
			return err
		}
	}
	return nil
}
