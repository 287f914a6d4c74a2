package placement

import (
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

const (
	// learnRate is the weight of one run in an endpoint's speed, and kindRate in
	// that of its kind. Estimates are off by 40%, so single runs tell little.
	learnRate = 0.1
	kindRate  = 0.02
	// recoverRate is the part of a suspected slowness that is forgotten each
	// second; slow phases last several seconds.
	decayRate = 0.15
	// Bounds of one observed ratio, against estimates that are far off.
	maxRatio = 20.0
	minRatio = 0.1
	// defaultEstimate stands in for a missing estimate.
	defaultEstimate = 100 * time.Millisecond
)

// speed is the learned run time of an endpoint over the estimates.
type slowdown struct {
	// ratio is the run time over the estimate.
	ratio float64
	kind  *float64
}

// speeds keeps what was learned of each VM and each kind of endpoint.
type slowdowns struct {
	vms   map[string]*slowdown
	kinds map[string]*float64
}

func newSlowdowns() slowdowns {
	return slowdowns{vms: map[string]*slowdown{}, kinds: map[string]*float64{}}
}

// of returns the speed of an endpoint; a new one starts as others of its kind.
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

// slowed notes that runs go slower than expected, so that new ones go elsewhere.
// It is unlearned as runs end in time.
func (s *slowdown) raise(factor float64) {
	s.ratio = min(max(s.ratio, *s.kind*factor), maxRatio)
}

// recover brings the speed back towards that of the kind; an endpoint that looks
// slow gets few runs that could show otherwise.
func (s *slowdown) decay(elapsed time.Duration) {
	share := min(elapsed.Seconds()*decayRate, 1)
	s.ratio += share * (*s.kind - s.ratio) * decayWeight(s.ratio, *s.kind)
}

// recoverShare is 1 for an endpoint that looks far slower than its kind, and 0
// for one that is about as fast: what was learned of it stays.
func decayWeight(ratio, kind float64) float64 {
	if ratio > slowFactor*kind {
		return 1
	}
	return 0
}

// expect returns the expected run time of a task of the step.
func (e *endpoint) expectedRunTime(s work.Step) time.Duration {
	estimate := s.Estimate
	if estimate <= 0 {
		estimate = defaultEstimate
	}
	expected := time.Duration(float64(estimate) * e.slowdown.ratio)
	if s.PreferredRack != "" && !slices.Contains(e.Labels, s.PreferredRack) {
		expected += expected / 2
	}
	return expected
}
