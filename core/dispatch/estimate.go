package dispatch

import (
	"math"
	"time"
)

const (
	// kindGain is the lowest weight of one observation of a kind's work.
	kindGain = 1.0 / 32
	// speedGain is the lowest weight of one observation of an endpoint's speed.
	speedGain = 1.0 / 16
	// maxLogRatio bounds one observation to a factor of 20 from the estimate.
	maxLogRatio = 3.0
	// failGain is the weight of one outcome in a kind's share of failures.
	failGain = 1.0 / 16
	// minWork is the least work in seconds that fairness charges for a task.
	minWork = 0.0005
)

// kind is what an entry knows of one kind of task over all endpoints.
type kind struct {
	service string
	name    string
	pools   []*pool
	// work is the expected run time in seconds at the fleet's mean speed.
	work float64
	// logWork is the mean of the logarithm of the work. Speeds are compared with
	// it, because the logarithm of the mean work is higher and would make all
	// endpoints look fast.
	logWork float64
	samples int
	// failures is the moving share of starts that failed.
	failures  float64
	successes int
	queued    int
	inFlight  int
}

func (k *kind) learned() bool { return k.samples > 0 }

// latestStart returns the time after which a task is not started, because not
// even half of its expected run time would be left until its deadline. It is
// zero without a deadline.
func (k *kind) latestStart(deadline time.Time) time.Time {
	if deadline.IsZero() || !k.learned() {
		return deadline
	}
	return deadline.Add(-time.Duration(k.work / 2 * float64(time.Second)))
}

// observe learns from a successful run on an endpoint with a known speed. The
// first observation replaces the declared value, which may be 10 times wrong.
func (k *kind) observe(run time.Duration, e *endpoint) {
	seconds := max(run.Seconds(), minWork)
	normal := seconds * math.Exp(e.logSpeed)
	if k.samples == 0 {
		k.work = normal
		k.logWork = math.Log(normal)
	}
	k.samples++
	gain := max(1/float64(k.samples), kindGain)
	low := k.work * math.Exp(-maxLogRatio)
	high := k.work * math.Exp(maxLogRatio)
	k.work += gain * (min(max(normal, low), high) - k.work)
	k.work = max(k.work, minWork)
	ratio := min(max(math.Log(normal)-k.logWork, -maxLogRatio), maxLogRatio)
	k.logWork += gain * ratio
	e.observeSpeed(k.logWork - math.Log(seconds))
}

// observeSpeed moves the endpoint's speed towards an observed logarithm of the
// ratio of the expected to the actual run time.
func (e *endpoint) observeSpeed(ratio float64) {
	ratio = min(max(ratio, -maxLogRatio), maxLogRatio)
	e.samples++
	gain := max(1/float64(e.samples+1), speedGain)
	e.logSpeed += gain * (ratio - e.logSpeed)
}

// centreInterval is the number of observations after which speeds are centred.
const centreInterval = 1024

// centre scales speeds so that their mean is 1, and the kinds' work to match.
// Only the quotient of work and speed is observed, so both could drift together.
func (s *Scheduler) centre() {
	s.observed++
	if s.observed%centreInterval != 0 {
		return
	}
	sum, slots := 0.0, 0.0
	for _, e := range s.endpointList {
		sum += float64(e.Slots) * math.Exp(e.logSpeed)
		slots += float64(e.Slots)
	}
	if sum == 0 {
		return
	}
	shift := math.Log(sum / slots)
	s.fastest = 0
	for _, e := range s.endpointList {
		e.logSpeed -= shift
		s.place(e)
	}
	for _, k := range s.kindList {
		if k.learned() {
			k.work = max(k.work*math.Exp(-shift), minWork)
			k.logWork -= shift
		}
	}
}

// expected returns the run time in seconds of a kind on an endpoint.
func expected(k *kind, e *endpoint) float64 {
	return k.work * math.Exp(-e.logSpeed)
}
