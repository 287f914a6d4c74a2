package placement

import (
	"math"
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// arrivalPeriod is the time over which the arrival of work is averaged. Bursts
// last several seconds; a shorter average would follow single large jobs.
const arrivalPeriod = time.Second

// arrivals tells how much work arrives for each pool and priority, in core-seconds
// a second at nominal speed.
type arrivals struct {
	rates map[arrivalKey]float64
	at    time.Time
}

type arrivalKey struct {
	pool     string
	priority int
}

func newArrivals() arrivals { return arrivals{rates: map[arrivalKey]float64{}} }

// add notes the work of a new job.
func (a *arrivals) add(now time.Time, j *work.Job) {
	a.decay(now)
	a.rates[arrivalKey{j.Pool, j.Priority}] += workOf(j) / arrivalPeriod.Seconds()
}

func (a *arrivals) decay(now time.Time) {
	if !a.at.IsZero() && now.After(a.at) {
		share := math.Exp(-now.Sub(a.at).Seconds() / arrivalPeriod.Seconds())
		for k := range a.rates {
			a.rates[k] *= share
		}
	}
	a.at = now
}

// before returns the rate of work that is placed before that of a job.
func (a *arrivals) before(now time.Time, j *work.Job) float64 {
	a.decay(now)
	sum := 0.0
	for k, rate := range a.rates {
		if k.pool == j.Pool && k.priority < j.Priority {
			sum += rate
		}
	}
	return sum
}

// workOf returns a job's work in core-seconds at nominal speed.
func workOf(j *work.Job) float64 {
	sum := 0.0
	for _, s := range j.Steps {
		sum += float64(s.Tasks) * float64(s.Need.CPU) / 1000 * s.Estimate.Seconds()
	}
	return sum
}
