package load

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"
)

// Report is the result of one run. Ratios are response time over ideal.
type Report struct {
	Name    string    `json:"name"`
	Profile string    `json:"profile"`
	Factor  float64   `json:"factor"`
	Faults  []string  `json:"faults,omitempty"`
	Seed    uint64    `json:"seed"`
	Seconds float64   `json:"seconds"`
	Warmup  float64   `json:"warmup_seconds"`
	Started time.Time `json:"started"`
	// LoadAvg is the machine's load average after the run, Pressure the part of
	// the run in which some thread of the machine waited for a processor.
	LoadAvg  string  `json:"machine_load"`
	Pressure float64 `json:"machine_cpu_pressure"`

	// Requests counts those after the warm-up, Sent and Tasks all.
	Requests int `json:"requests"`
	Sent     int `json:"sent"`
	Tasks    int `json:"tasks"`
	Complete int `json:"complete"`
	Failed   int `json:"failed"`
	// Offered and Goodput are relative to the capacity of all slots.
	Offered float64 `json:"offered"`
	Goodput float64 `json:"goodput"`

	Ratio       Quantiles            `json:"ratio"`
	RatioByTask Quantiles            `json:"ratio_by_task"`
	Short       Quantiles            `json:"ratio_50ms_mean_speed"`
	ShortCalls  Quantiles            `json:"ratio_50ms_mean_speed_calls"`
	ShortJobs   Quantiles            `json:"ratio_50ms_mean_speed_recorded"`
	Streams     map[string]Quantiles `json:"ratio_by_stream"`
	// CheckoutMS is the latency of quotes that a customer waits for.
	CheckoutMS Quantiles `json:"checkout_ms"`
	RefusedMS  Quantiles `json:"refused_ms"`
	Refusals   []Refusal `json:"refusals"`
	// LateMS is how long after the intended time the tool itself sent.
	LateMS   Quantiles `json:"tool_late_ms"`
	Truth    Truth     `json:"truth"`
	Messages Messages  `json:"messages"`
}

// millisUnit turns microseconds into milliseconds.
const millisUnit = 1000

// fill sets the figures of the samples.
func (r *Report) fill(c *recorder) {
	r.Requests, r.Complete, r.Failed = c.requests, c.complete, c.failed
	r.Ratio = quantiles(c.all, ratioUnit)
	r.RatioByTask = quantiles(c.byTask, ratioUnit)
	r.Short = quantiles(c.short, ratioUnit)
	r.ShortCalls = quantiles(c.shortCalls, ratioUnit)
	r.ShortJobs = quantiles(c.shortJobs, ratioUnit)
	r.CheckoutMS = quantiles(c.checkout, millisUnit)
	r.RefusedMS = quantiles(c.refused, millisUnit)
	r.LateMS = quantiles(c.late, millisUnit)
	r.Streams = map[string]Quantiles{}
	for name, h := range c.streams {
		r.Streams[name] = quantiles(h, ratioUnit)
	}
	for key, h := range c.refusals {
		key.Millis = quantiles(h, millisUnit)
		r.Refusals = append(r.Refusals, key)
	}
	slices.SortFunc(r.Refusals, func(a, b Refusal) int { return int(b.Millis.Count - a.Millis.Count) })
}

// write saves the report as JSON.
func (r *Report) write(name string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(name, append(data, '\n'), 0o644)
}

// readReport reads a saved report.
func readReport(name string) (*Report, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	r := &Report{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return r, nil
}
