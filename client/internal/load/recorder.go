package load

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// ratioScale is the factor by which ratios are stored as integers.
	ratioScale = 1000
	// maxRatio and maxMicroseconds bound the values in histograms; digits is their
	// number of significant digits.
	maxRatio        = 1_000_000
	maxMicroseconds = int64(10 * time.Minute / time.Microsecond)
	digits          = 3
	// shortTaskMS is the work of the tasks that have a target of their own.
	shortTaskMS = 50
	// meanSpeedTolerance is the largest relative deviation of an endpoint's
	// speed from the mean for the endpoint to count as one of mean speed.
	meanSpeedTolerance = 0.02
)

// Quantiles summarize a distribution, in the unit of its values.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

func quantiles(h *hdrhistogram.Histogram, scale float64) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / scale }
	return Quantiles{
		Count: h.TotalCount(),
		P50:   at(50),
		P90:   at(90),
		P99:   at(99),
		P999:  at(99.9),
		Max:   float64(h.Max()) / scale,
	}
}

func newRatios() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRatio*ratioScale, digits) }
func newTimes() *hdrhistogram.Histogram  { return hdrhistogram.New(1, maxMicroseconds, digits) }

// recordValue records a value count times, clamped to the histogram's bounds.
func recordValue(h *hdrhistogram.Histogram, value float64, count int64) {
	clamped := min(max(int64(math.Round(value)), 1), h.HighestTrackableValue())
	_ = h.RecordValues(clamped, count) // clamped is within the bounds
}

// ErrorStats is the latency of the requests without a complete answer that ended
// with the same state, code and verdict.
type ErrorStats struct {
	State     State     `json:"state"`
	Code      string    `json:"code"`
	Verdict   string    `json:"verdict"`
	LatencyMS Quantiles `json:"latency_ms"`
}

// recorder aggregates the samples after the warm-up.
type recorder struct {
	profile *Profile
	// workers holds the behaviours of the workers without faults.
	workers map[string]Behaviour

	all, byTask                        *hdrhistogram.Histogram
	short, shortCalls                  *hdrhistogram.Histogram
	shortRecorded, checkout, sendDelay *hdrhistogram.Histogram
	refused                            *hdrhistogram.Histogram
	streams                            map[string]*hdrhistogram.Histogram
	errors                             map[ErrorStats]*hdrhistogram.Histogram
	requests, complete, failed         int
}

func newRecorder(p *Profile, workers map[string]Behaviour) *recorder {
	return &recorder{
		profile:       p,
		workers:       workers,
		all:           newRatios(),
		byTask:        newRatios(),
		short:         newRatios(),
		shortCalls:    newRatios(),
		shortRecorded: newRatios(),
		checkout:      newTimes(),
		sendDelay:     newTimes(),
		refused:       newTimes(),
		streams:       map[string]*hdrhistogram.Histogram{},
		errors:        map[ErrorStats]*hdrhistogram.Histogram{},
	}
}

func (c *recorder) add(s *Sample) {
	c.requests++
	recordValue(c.sendDelay, float64(s.SendDelay.Microseconds()), 1)
	if s.state != Complete {
		c.addError(s)
		return
	}
	c.complete++
	ratio := s.Response.Seconds() / s.Request.IdealSeconds(c.profile) * ratioScale
	recordValue(c.all, ratio, 1)
	recordValue(c.byTask, ratio, int64(len(s.Request.Tasks)))
	name := s.Request.Stream.Name
	if c.streams[name] == nil {
		c.streams[name] = newRatios()
	}
	recordValue(c.streams[name], ratio, 1)
	if s.Request.Stream.Checkout {
		recordValue(c.checkout, float64(s.Response.Microseconds()), 1)
	}
	if c.isShort(s) {
		c.addShort(s, ratio)
	}
}

// isShort reports whether a sample is a single 50 ms task that ran on an endpoint
// of mean speed.
func (c *recorder) isShort(s *Sample) bool {
	if len(s.Request.Tasks) != 1 || s.Request.Tasks[0].WorkMS != shortTaskMS {
		return false
	}
	mean := c.profile.MeanSpeed()
	return math.Abs(c.workers[s.Worker].Speed-mean) <= meanSpeedTolerance*mean
}

func (c *recorder) addShort(s *Sample, ratio float64) {
	recordValue(c.short, ratio, 1)
	if s.Request.Stream.Form == FormCall && !s.Request.Stream.AtMostOnce {
		recordValue(c.shortCalls, ratio, 1)
		return
	}
	recordValue(c.shortRecorded, ratio, 1)
}

func (c *recorder) addError(s *Sample) {
	if s.state != Refused {
		c.failed++
	}
	key := ErrorStats{State: s.state, Code: s.code, Verdict: s.verdict}
	if c.errors[key] == nil {
		c.errors[key] = newTimes()
	}
	micros := float64(s.Response.Microseconds())
	recordValue(c.errors[key], micros, 1)
	if s.state == Refused {
		recordValue(c.refused, micros, 1)
	}
}

// goodput returns the work of the complete answers that arrived between two times
// of the run, relative to the capacity.
func goodput(p *Profile, samples []*Sample, from, to time.Duration) float64 {
	work := 0.0
	for _, s := range samples {
		end := s.Request.SendOffset + s.Response
		if s.state == Complete && end >= from && end < to {
			work += s.Request.WorkSeconds()
		}
	}
	return work / (p.Capacity() * (to - from).Seconds())
}
