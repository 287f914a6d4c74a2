package placement

import (
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

const (
	// learnRate is the weight of one run in an endpoint's slowdown, and kindRate in
	// that of its kind. They are small because estimates are off by 40%.
	learnRate = 0.1
	kindRate  = 0.02
	// decayRate is the fraction of a suspected slowdown that is removed each
	// second; slow phases last several seconds.
	decayRate = 0.15
	// Bounds of one observed ratio, as some estimates are far off.
	maxRatio = 20.0
	minRatio = 0.1
	// defaultEstimate stands in for a missing estimate.
	defaultEstimate = 100 * time.Millisecond
)

// slowdown is the learned ratio of run times on an endpoint to their estimates.
// Higher is slower.
type slowdown struct {
	ratio float64
	// kind is the ratio of all endpoints of its kind.
	kind *float64
}

// slowdowns has the slowdown of each endpoint, by VM and instance, and the ratio of
// each kind of endpoint.
type slowdowns struct {
	vms   map[string]*slowdown
	kinds map[string]*float64
}

func newSlowdowns() slowdowns {
	return slowdowns{vms: map[string]*slowdown{}, kinds: map[string]*float64{}}
}

// forEndpoint returns the slowdown of an endpoint; a new one starts with the ratio of
// its kind.
func (s slowdowns) forEndpoint(e Endpoint) *slowdown {
	name := e.VM + "/" + e.Instance
	if known := s.vms[name]; known != nil {
		return known
	}
	kind := ""
	if len(e.Labels) > 0 {
		kind = e.Labels[0]
	}
	if s.kinds[kind] == nil {
		one := 1.0
		s.kinds[kind] = &one
	}
	v := &slowdown{ratio: *s.kinds[kind], kind: s.kinds[kind]}
	s.vms[name] = v
	return v
}

func (s *slowdown) observe(estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	ratio := min(max(float64(took)/float64(estimate), minRatio), maxRatio)
	s.ratio += learnRate * (ratio - s.ratio)
	*s.kind += kindRate * (ratio - *s.kind)
}

// raise sets the ratio to at least factor times that of the kind, because runs are
// slower than expected, so that new runs are placed elsewhere. Later runs that end in
// time lower it again.
func (s *slowdown) raise(factor float64) {
	s.ratio = min(max(s.ratio, *s.kind*factor), maxRatio)
}

// decay moves the ratio back towards that of the kind, because an endpoint that is
// rated slow gets few runs that could correct the rating.
// Endpoints that are not rated far slower than their kind keep their learned ratio. It
// reports whether the ratio has changed.
func (s *slowdown) decay(elapsed time.Duration) bool {
	if s.ratio <= slowFactor**s.kind {
		return false
	}
	s.ratio += min(elapsed.Seconds()*decayRate, 1) * (*s.kind - s.ratio)
	return true
}

// expectedRunTime returns the expected run time of a task of the step on the endpoint.
func (e *endpoint) expectedRunTime(s *work.Step) time.Duration {
	return expectedRunTime(s, e.slowdown.ratio, s.PreferredRack != "" && !slices.Contains(e.Labels, s.PreferredRack))
}

// expectedRunTime returns the expected run time of a task of the step at a slowdown,
// half as long again outside the preferred rack.
func expectedRunTime(s *work.Step, ratio float64, outsideRack bool) time.Duration {
	estimate := s.Estimate
	if estimate <= 0 {
		estimate = defaultEstimate
	}
	expected := time.Duration(float64(estimate) * ratio)
	if outsideRack {
		expected += expected / 2
	}
	return expected
}
