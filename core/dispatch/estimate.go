package dispatch

import (
	"math"
	"time"
)

const (
	// minWorkGain is the lowest weight of one observation of a kind's work.
	minWorkGain = 1.0 / 32
	// minSpeedGain is the lowest weight of one observation of an endpoint's speed.
	minSpeedGain = 1.0 / 16
	// maxLogRatio limits one observation to a factor of 20 from the estimate.
	maxLogRatio = 3.0
	// failureShareGain is the weight of one outcome in a kind's failure share.
	failureShareGain = 1.0 / 16
	// minWork is the least work in seconds that a flow is charged for a task.
	minWork = 0.0005
)

// kind is an entry's state of one kind of task over all endpoints.
type kind struct {
	service string
	name    string
	pools   []*pool
	// work is the expected run time in seconds at the fleet's mean speed.
	work float64
	// meanLogWork is the mean of the logarithm of the work. Speeds are computed
	// from it, because the logarithm of the mean work is higher and would make
	// all endpoints look fast.
	meanLogWork float64
	samples     int
	// failureShare is the moving average of the share of starts that failed.
	failureShare float64
	successes    int
	queued       int
	inFlight     int
}

func (k *kind) hasSamples() bool { return k.samples > 0 }

// latestStart returns the time after which a task is not started, because less
// than half of its expected run time is left until its deadline. It is zero
// without a deadline.
func (k *kind) latestStart(deadline time.Time) time.Time {
	if deadline.IsZero() || !k.hasSamples() {
		return deadline
	}
	return deadline.Add(-time.Duration(k.work / 2 * float64(time.Second)))
}

// observeRun updates the estimates of the kind's work and of the endpoint's
// speed from a successful run. The first observation replaces the declared run
// time, which may be wrong by a factor of 10.
func (k *kind) observeRun(run time.Duration, e *endpoint) {
	seconds := max(run.Seconds(), minWork)
	normalized := seconds * math.Exp(e.logSpeed)
	if k.samples == 0 {
		k.work = normalized
		k.meanLogWork = math.Log(normalized)
	}
	k.samples++
	gain := max(1/float64(k.samples), minWorkGain)
	low := k.work * math.Exp(-maxLogRatio)
	high := k.work * math.Exp(maxLogRatio)
	k.work += gain * (min(max(normalized, low), high) - k.work)
	k.work = max(k.work, minWork)
	logRatio := min(max(math.Log(normalized)-k.meanLogWork, -maxLogRatio), maxLogRatio)
	k.meanLogWork += gain * logRatio
	e.observeSpeed(k.meanLogWork - math.Log(seconds))
}

// observeSpeed moves the endpoint's speed towards an observed logarithm of the
// ratio of the expected to the actual run time.
func (e *endpoint) observeSpeed(logRatio float64) {
	logRatio = min(max(logRatio, -maxLogRatio), maxLogRatio)
	e.speedSamples++
	gain := max(1/float64(e.speedSamples+1), minSpeedGain)
	e.logSpeed += gain * (logRatio - e.logSpeed)
}

// normalizeInterval is the number of observations between normalizations of
// the speeds.
const normalizeInterval = 1024

// normalizeSpeeds counts an observation and, every normalizeInterval, scales
// the speeds to a mean of 1 and the kinds' work to match. Only the quotient of
// work and speed is observed, so both could drift together.
func (s *Scheduler) normalizeSpeeds() {
	s.observations++
	if s.observations%normalizeInterval != 0 {
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
	s.maxLogSpeed = 0
	for _, e := range s.endpointList {
		e.logSpeed -= shift
		s.reindex(e)
	}
	for _, k := range s.kindList {
		if k.hasSamples() {
			k.work = max(k.work*math.Exp(-shift), minWork)
			k.meanLogWork -= shift
		}
	}
}

// expectedRunTime returns the expected run time in seconds of a kind on an
// endpoint.
func expectedRunTime(k *kind, e *endpoint) float64 {
	return k.work * math.Exp(-e.logSpeed)
}
