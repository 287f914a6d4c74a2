package placement

import (
	"math"
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
	// learnedRate is the least weight of one run in the slowdown that is sent to agents, and
	// learnedStart the number of runs that the start value counts for. With learnRate the value
	// follows the latest runs: in the simulation its correlation with the endpoints' speeds is
	// at most 0.42, and about 0.9 with this weight and logarithms.
	learnedRate  = 0.02
	learnedStart = 5
	// maxRunsForReports is the number of ended runs of a kind from which reported
	// slowdowns no longer change its ratio: its own runs then outweigh the start.
	maxRunsForReports = 1 / kindRate
	// defaultEstimate stands in for a missing estimate.
	defaultEstimate = 100 * time.Millisecond
)

// slowdown is the learned ratio of run times on an endpoint to their estimates.
// Higher is slower.
type slowdown struct {
	// ratio is the ratio that placement uses: the learned one, or a higher one while the
	// endpoint is suspected to be slow.
	ratio float64
	// learned is the mean of the logarithms of the ratios of ended runs; in logarithms the few
	// runs that take many times their estimate don't outweigh the others. weight is the number
	// of runs that it counts for.
	learned, weight float64
	// known is set once a run has ended on the endpoint, or its agent has reported a slowdown.
	known bool
	kind  *kindSlowdown
}

// kindSlowdown is the ratio of all endpoints of a kind.
type kindSlowdown struct {
	ratio float64
	// reports and runs count the slowdowns of agents and the ends of runs in ratio.
	reports, runs int
}

// slowdowns has the slowdown of each endpoint, by VM and instance, and of each kind of
// endpoint.
type slowdowns struct {
	vms   map[string]*slowdown
	kinds map[string]*kindSlowdown
}

func newSlowdowns() slowdowns {
	return slowdowns{vms: map[string]*slowdown{}, kinds: map[string]*kindSlowdown{}}
}

// forEndpoint returns the slowdown of an endpoint. A new one starts with the slowdown that
// its agent reports or, if that is unknown, with the ratio of its kind.
func (s slowdowns) forEndpoint(e Endpoint) *slowdown {
	name := e.VM + "/" + e.Instance
	v := s.vms[name]
	if v == nil {
		kind := s.forKind(e)
		v = &slowdown{ratio: kind.ratio, learned: math.Log(kind.ratio), weight: learnedStart, kind: kind}
		s.vms[name] = v
	}
	if reported := reportedRatio(e.Slowdown); reported > 0 && !v.known {
		v.start(reported)
	}
	return v
}

func (s slowdowns) forKind(e Endpoint) *kindSlowdown {
	kind := ""
	if len(e.Labels) > 0 {
		kind = e.Labels[0]
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = &kindSlowdown{ratio: 1}
	}
	return s.kinds[kind]
}

// reportedRatio returns the ratio of a slowdown that an agent reports in thousandths, 0 if it
// is unknown. A value that no planner can have learned counts as unknown.
func reportedRatio(thousandths int) float64 {
	if ratio := float64(thousandths) / 1000; ratio >= minRatio && ratio <= maxRatio {
		return ratio
	}
	return 0
}

// start sets the ratio to one that an earlier planner has learned.
func (s *slowdown) start(reported float64) {
	s.ratio, s.learned, s.weight, s.known = reported, math.Log(reported), 1/learnedRate, true
	if s.kind.runs < maxRunsForReports {
		s.kind.reports++
		s.kind.ratio += (reported - s.kind.ratio) / float64(s.kind.reports)
	}
}

// Slowdown returns the learned slowdown of a session's endpoint in thousandths, 0 if it is
// unknown. It leaves out what is only suspected of runs that have not ended.
func (p *Planner) Slowdown(id SessionID) int {
	e := p.endpoints[id]
	if e == nil || !e.slowdown.known {
		return 0
	}
	return int(math.Round(math.Exp(e.slowdown.learned) * 1000))
}

func (s *slowdown) observe(estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	ratio := min(max(float64(took)/float64(estimate), minRatio), maxRatio)
	s.ratio += learnRate * (ratio - s.ratio)
	s.weight = min(s.weight+1, 1/learnedRate)
	s.learned += (math.Log(ratio) - s.learned) / s.weight
	s.known = true
	s.kind.ratio += kindRate * (ratio - s.kind.ratio)
	s.kind.runs++
}

// raise sets the ratio to at least factor times that of the kind, because runs are
// slower than expected, so that new runs are placed elsewhere. Later runs that end in
// time lower it again.
func (s *slowdown) raise(factor float64) {
	s.ratio = min(max(s.ratio, s.kind.ratio*factor), maxRatio)
}

// decay moves the ratio back towards that of the kind, because an endpoint that is
// rated slow gets few runs that could correct the rating.
// Endpoints that are not rated far slower than their kind keep their learned ratio. It
// reports whether the ratio has changed.
func (s *slowdown) decay(elapsed time.Duration) bool {
	if s.ratio <= slowFactor*s.kind.ratio {
		return false
	}
	s.ratio += min(elapsed.Seconds()*decayRate, 1) * (s.kind.ratio - s.ratio)
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
