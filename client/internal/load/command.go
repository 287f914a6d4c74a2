// Package load is a load generator for development systems. It sends work at
// planned times, measures response times relative to the ideal, and afterwards
// compares the answers with the starts that the endpoints counted.
//
// The load is open loop: send times are drawn before the run, and latency counts
// from the intended send time, so a stalled system cannot hide its latency.
// Latencies in reports are in milliseconds; ratios have no unit.
package load

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"
)

// maxRequests bounds the requests of a run.
const maxRequests = 200_000

// maxDuration bounds the period in which requests arrive.
const maxDuration = 10 * time.Minute

// flags are the options of a run.
type flags struct {
	name       string
	profile    string
	entries    []string
	loadFactor float64
	duration   time.Duration
	warmup     time.Duration
	seed       uint64
	resubmit   float64
	faults     []string
	steady     bool
	report     string
	plot       string
	samples    string
}

// NewCommand returns the command "load".
func NewCommand() *cobra.Command {
	var f flags
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Measure a development system under the load of a profile",
		Example: "  cicadapulley load --profile examples/profiles/dala.json --factor 0.7 \\\n" +
			"    --entry http://127.0.0.1:18200,http://127.0.0.1:18201 --faults fail=worker-4",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	fs := cmd.Flags()
	fs.StringVar(&f.name, "name", "", "name of the run in reports (default: profile and factor)")
	fs.StringVar(&f.profile, "profile", "", "profile file")
	fs.StringSliceVar(&f.entries, "entry", []string{"http://127.0.0.1:8080"}, "URLs at which entries serve callers, used in turn")
	fs.Float64Var(&f.loadFactor, "factor", 0.7, "offered work relative to the capacity of all slots")
	fs.DurationVar(&f.duration, "duration", 15*time.Second, "length of the period in which requests are sent")
	fs.DurationVar(&f.warmup, "warmup", 3*time.Second, "initial period that is left out of the statistics")
	fs.Uint64Var(&f.seed, "seed", 1, "seed of arrivals, sizes and kinds")
	fs.Float64Var(&f.resubmit, "resubmit", 0.1, "fraction of the jobs that are submitted again, once while they run and once after they end")
	fs.StringSliceVar(&f.faults, "faults", nil, "faults to inject after the warm-up: fail=WORKER, slow=WORKER (10 times slower), silent=WORKER")
	fs.BoolVar(&f.steady, "steady", false, "ignore the profile's bursts")
	fs.StringVar(&f.report, "report", "", "write the report to this JSON file")
	fs.StringVar(&f.plot, "plot", "", "write a plot of the response time distribution to this SVG file")
	fs.StringVar(&f.samples, "samples", "", "write each request as a JSON line to this file")
	_ = cmd.MarkFlagRequired("profile") // fails only for an unknown flag
	cmd.AddCommand(newTableCommand())
	return cmd
}

func (f *flags) validate() error {
	if f.duration <= f.warmup || f.duration > maxDuration {
		return fmt.Errorf("--duration: must be above --warmup and at most %s", maxDuration)
	}
	if f.loadFactor <= 0 || f.resubmit < 0 || f.resubmit > 1 || len(f.entries) == 0 {
		return fmt.Errorf("--factor must be above 0, --resubmit from 0 to 1, and --entry must not be empty")
	}
	return nil
}

func (f *flags) run(cmd *cobra.Command) error {
	if err := f.validate(); err != nil {
		return err
	}
	profile, err := ReadProfile(f.profile)
	if err != nil {
		return err
	}
	if f.steady {
		profile.Bursts = Bursts{}
	}
	if f.name == "" {
		f.name = fmt.Sprintf("%s at %g", profile.Name, f.loadFactor)
	}
	report, samples, err := f.measure(cmd.Context(), profile)
	if err != nil {
		return err
	}
	report.print(cmd.OutOrStdout())
	if err := f.save(report, profile, samples); err != nil {
		return err
	}
	if n := report.Verification.Findings(); n > 0 {
		return fmt.Errorf("verification failed: %d findings that must be zero", n)
	}
	return nil
}

func (f *flags) save(report *Report, p *Profile, samples []*Sample) error {
	if f.report != "" {
		if err := report.write(f.report); err != nil {
			return err
		}
	}
	if f.samples != "" {
		if err := writeSamples(f.samples, p, report.Started, samples); err != nil {
			return err
		}
	}
	if f.plot == "" {
		return nil
	}
	return writePlot(f.plot, report.Name, curves(p, samples))
}

// measure runs one measurement.
func (f *flags) measure(ctx context.Context, p *Profile) (*Report, []*Sample, error) {
	started := time.Now()
	plan, err := NewPlan(p, PlanOptions{
		LoadFactor:    f.loadFactor,
		Duration:      f.duration,
		Seed:          f.seed,
		RunID:         strconv.FormatInt(started.UnixMilli(), 36),
		MaxRequests:   maxRequests,
		ResubmitShare: f.resubmit,
	})
	if err != nil {
		return nil, nil, err
	}
	dev := &devClient{base: f.entries[0], warn: warn}
	injector, err := newFaultInjector(ctx, dev, f.faults)
	if err != nil {
		return nil, nil, err
	}
	report := f.newReport(p, plan, started)
	before, err := readCounters(ctx, dev)
	if err != nil {
		return nil, nil, err
	}
	machineBefore := readMachineStats()
	generator := &Generator{profile: p, client: newClient(f.entries, p.Service), injector: injector, warmup: f.warmup}
	samples := generator.Run(ctx, plan)
	report.Started = generator.started
	machineAfter := readMachineStats()
	report.LoadAvg, report.Pressure = machineAfter.loadAvg, machineAfter.cpuPressure(machineBefore)
	injector.undo(context.WithoutCancel(ctx))
	sleepUntil(ctx, time.Now().Add(settleDelay))
	err = report.finish(ctx, dev, before, p, injector, samples)
	return report, samples, err
}

func (f *flags) newReport(p *Profile, plan []*Request, started time.Time) *Report {
	r := &Report{
		Name:            f.name,
		Profile:         p.Name,
		LoadFactor:      f.loadFactor,
		Faults:          f.faults,
		Seed:            f.seed,
		DurationSeconds: f.duration.Seconds(),
		WarmupSeconds:   f.warmup.Seconds(),
		Started:         started,
		Sent:            len(plan),
	}
	work := 0.0
	for _, q := range plan {
		r.Tasks += len(q.Tasks)
		work += q.WorkSeconds()
	}
	r.Offered = work / (p.Capacity() * f.duration.Seconds())
	return r
}

// finish reads the counters, verifies the answers and completes the report.
func (r *Report) finish(ctx context.Context, dev *devClient, before counters, p *Profile, f *faultInjector, samples []*Sample) error {
	after, err := readCounters(ctx, dev)
	if err != nil {
		return err
	}
	r.Messages = after.since(before).perTask()
	if r.Verification, err = verify(ctx, dev, samples); err != nil {
		return err
	}
	warmup := time.Duration(r.WarmupSeconds * float64(time.Second))
	rec := newRecorder(p, f.original)
	for _, s := range samples {
		if s.Request.SendOffset >= warmup {
			rec.add(s)
		}
	}
	r.summarize(rec)
	r.Goodput = goodput(p, samples, warmup, time.Duration(r.DurationSeconds*float64(time.Second)))
	return nil
}

func warn(action string, err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", action, err)
	}
}
