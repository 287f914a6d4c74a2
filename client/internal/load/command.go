// Package load sends work to a development system at set times, measures how
// long the answers take against the ideal, and compares the answers with the
// starts at the endpoints afterwards.
//
// The load is open loop: requests are sent at times that were drawn before the
// run, and latency counts from the intended time, so a stalled system can't
// hide its latency. Times in reports are milliseconds, ratios have no unit.
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

// maxDuration bounds the arrivals of a run.
const maxDuration = 10 * time.Minute

// flags are the options of a run.
type flags struct {
	name     string
	profile  string
	entries  []string
	factor   float64
	duration time.Duration
	warmup   time.Duration
	seed     uint64
	resubmit float64
	faults   []string
	steady   bool
	report   string
	plot     string
	samples  string
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
	o := cmd.Flags()
	o.StringVar(&f.name, "name", "", "name of the run in reports (default: profile and factor)")
	o.StringVar(&f.profile, "profile", "", "profile file")
	o.StringSliceVar(&f.entries, "entry", []string{"http://127.0.0.1:8080"}, "callers' addresses; requests go to them in turn")
	o.Float64Var(&f.factor, "factor", 0.7, "offered work relative to the capacity of all slots")
	o.DurationVar(&f.duration, "duration", 15*time.Second, "time of arrivals")
	o.DurationVar(&f.warmup, "warmup", 3*time.Second, "time at the start that is not in the figures")
	o.Uint64Var(&f.seed, "seed", 1, "seed of arrivals, sizes and kinds")
	o.Float64Var(&f.resubmit, "resubmit", 0.1, "part of the jobs that are submitted again, while they run and after their end")
	o.StringSliceVar(&f.faults, "faults", nil, "after the warm-up: fail=WORKER, slow=WORKER (10 times slower), silent=WORKER")
	o.BoolVar(&f.steady, "steady", false, "leave the profile's bursts out")
	o.StringVar(&f.report, "report", "", "write the report to this JSON file")
	o.StringVar(&f.plot, "plot", "", "write the distribution to this SVG file")
	o.StringVar(&f.samples, "samples", "", "write each request to this file of JSON lines")
	_ = cmd.MarkFlagRequired("profile") // fails only for an unknown flag
	cmd.AddCommand(newTable())
	return cmd
}

func (f *flags) check() error {
	if f.duration <= f.warmup || f.duration > maxDuration {
		return fmt.Errorf("--duration: must be above --warmup and at most %s", maxDuration)
	}
	if f.factor <= 0 || f.resubmit < 0 || f.resubmit > 1 || len(f.entries) == 0 {
		return fmt.Errorf("--factor, --resubmit and --entry must be sensible")
	}
	return nil
}

func (f *flags) run(cmd *cobra.Command) error {
	if err := f.check(); err != nil {
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
		f.name = fmt.Sprintf("%s at %g", profile.Name, f.factor)
	}
	report, samples, err := f.measure(cmd.Context(), profile)
	if err != nil {
		return err
	}
	report.print(cmd.OutOrStdout())
	if err := f.save(report, profile, samples); err != nil {
		return err
	}
	if n := report.Truth.Faults(); n > 0 {
		return fmt.Errorf("%d findings that must be zero", n)
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

// measure makes one run.
func (f *flags) measure(ctx context.Context, p *Profile) (*Report, []*Sample, error) {
	started := time.Now()
	plan, err := NewPlan(p, PlanOptions{
		Factor:        f.factor,
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
	faults, err := newFaults(ctx, dev, f.faults)
	if err != nil {
		return nil, nil, err
	}
	report := f.newReport(p, plan, started)
	before, err := readCounters(ctx, dev)
	if err != nil {
		return nil, nil, err
	}
	idle := readMachine()
	run := &Run{profile: p, client: newClient(f.entries, p.Service), faults: faults, warmup: f.warmup}
	samples := run.Do(ctx, plan)
	report.Started = run.started
	busy := readMachine()
	report.LoadAvg, report.Pressure = busy.load, busy.pressure(idle)
	faults.undo(context.WithoutCancel(ctx))
	sleepUntil(ctx, time.Now().Add(settle))
	err = report.conclude(ctx, dev, before, p, faults, samples)
	return report, samples, err
}

func (f *flags) newReport(p *Profile, plan []*Request, started time.Time) *Report {
	r := &Report{
		Name:    f.name,
		Profile: p.Name,
		Factor:  f.factor,
		Faults:  f.faults,
		Seed:    f.seed,
		Seconds: f.duration.Seconds(),
		Warmup:  f.warmup.Seconds(),
		Started: started,
		Sent:    len(plan),
	}
	work := 0.0
	for _, q := range plan {
		r.Tasks += len(q.Tasks)
		work += q.Work()
	}
	r.Offered = work / (p.Capacity() * f.duration.Seconds())
	return r
}

// conclude reads the truth and the counters and fills the report.
func (r *Report) conclude(ctx context.Context, dev *devClient, before counters, p *Profile, f *faults, samples []*Sample) error {
	after, err := readCounters(ctx, dev)
	if err != nil {
		return err
	}
	r.Messages = after.since(before).messages()
	if r.Truth, err = verify(ctx, dev, samples); err != nil {
		return err
	}
	warmup := time.Duration(r.Warmup * float64(time.Second))
	rec := newRecorder(p, f.before)
	for _, s := range samples {
		if s.Request.At >= warmup {
			rec.add(s)
		}
	}
	r.fill(rec)
	r.Goodput = goodput(p, samples, warmup, time.Duration(r.Seconds*float64(time.Second)))
	return nil
}

func warn(action string, err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", action, err)
	}
}
