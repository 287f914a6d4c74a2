package load

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"
)

// Report is the result of one run. Ratios are response time over ideal response
// time.
type Report struct {
	Name            string    `json:"name"`
	Profile         string    `json:"profile"`
	LoadFactor      float64   `json:"factor"`
	Faults          []string  `json:"faults,omitempty"`
	Seed            uint64    `json:"seed"`
	DurationSeconds float64   `json:"seconds"`
	WarmupSeconds   float64   `json:"warmup_seconds"`
	Started         time.Time `json:"started"`
	// LoadAvg is the machine's load average after the run, Pressure the fraction
	// of the run in which some thread of the machine waited for a processor.
	LoadAvg  string  `json:"machine_load"`
	Pressure float64 `json:"machine_cpu_pressure"`

	// Requests, Complete and Failed count requests after the warm-up; Sent and
	// Tasks also include the warm-up.
	Requests int `json:"requests"`
	Sent     int `json:"sent"`
	Tasks    int `json:"tasks"`
	Complete int `json:"complete"`
	Failed   int `json:"failed"`
	// Offered and Goodput are relative to the capacity of all slots.
	Offered float64 `json:"offered"`
	Goodput float64 `json:"goodput"`

	Ratio       Quantiles `json:"ratio"`
	RatioByTask Quantiles `json:"ratio_by_task"`
	// Short covers single 50 ms tasks on endpoints of mean speed, ShortCalls
	// those in repeatable calls, ShortRecorded those in jobs and other calls.
	Short         Quantiles            `json:"ratio_50ms_mean_speed"`
	ShortCalls    Quantiles            `json:"ratio_50ms_mean_speed_calls"`
	ShortRecorded Quantiles            `json:"ratio_50ms_mean_speed_recorded"`
	Streams       map[string]Quantiles `json:"ratio_by_stream"`
	// CheckoutMS is the latency of quotes that a customer waits for.
	CheckoutMS Quantiles    `json:"checkout_ms"`
	RefusedMS  Quantiles    `json:"refused_ms"`
	Errors     []ErrorStats `json:"refusals"`
	// SendDelayMS is the delay of the load generator itself, from the intended to
	// the actual sending.
	SendDelayMS  Quantiles    `json:"tool_late_ms"`
	Verification Verification `json:"truth"`
	Messages     Messages     `json:"messages"`
}

const microsPerMilli = 1000

// summarize fills in the statistics of the samples.
func (r *Report) summarize(c *recorder) {
	r.Requests, r.Complete, r.Failed = c.requests, c.complete, c.failed
	r.Ratio = quantiles(c.all, ratioScale)
	r.RatioByTask = quantiles(c.byTask, ratioScale)
	r.Short = quantiles(c.short, ratioScale)
	r.ShortCalls = quantiles(c.shortCalls, ratioScale)
	r.ShortRecorded = quantiles(c.shortRecorded, ratioScale)
	r.CheckoutMS = quantiles(c.checkout, microsPerMilli)
	r.RefusedMS = quantiles(c.refused, microsPerMilli)
	r.SendDelayMS = quantiles(c.sendDelay, microsPerMilli)
	r.Streams = map[string]Quantiles{}
	for name, h := range c.streams {
		r.Streams[name] = quantiles(h, ratioScale)
	}
	for key, h := range c.errors {
		key.LatencyMS = quantiles(h, microsPerMilli)
		r.Errors = append(r.Errors, key)
	}
	slices.SortFunc(r.Errors, func(a, b ErrorStats) int { return int(b.LatencyMS.Count - a.LatencyMS.Count) })
}

// write writes the report to a file as JSON.
func (r *Report) write(name string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(name, append(data, '\n'), 0o644)
}

// readReport reads a report from a file.
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
