package model

import (
	"slices"
	"time"
)

// shortTaskWork is the mean work in seconds of the kinds that are reported as
// 50 ms tasks.
const shortTaskWork = 0.05

// metrics collects the figures of one run. Requests count if they arrived in the
// measured interval.
type metrics struct {
	run  *run
	from time.Time
	to   time.Time

	requests       int
	refusals       int
	failures       int
	expired        int
	messages       int
	wastedMessages int
	startsSent     int
	refusedStarts  int
	ranTasks       int
	goodWork       float64

	all                 []float64
	shortTasks          []float64
	shortTasksMeanSpeed []float64
	jobs                []float64
}

func (m *metrics) arrivedInInterval(r *request) bool {
	return !r.arrived.Before(m.from) && r.arrived.Before(m.to)
}

func (m *metrics) inInterval() bool {
	now := m.run.sim.now
	return !now.Before(m.from) && now.Before(m.to)
}

// reset clears the counters of messages and tasks after the warm-up.
func (m *metrics) reset() {
	m.messages = 0
	m.wastedMessages = 0
	m.startsSent = 0
	m.refusedStarts = 0
	m.ranTasks = 0
}

func (m *metrics) recordArrival(r *request) {
	if m.arrivedInInterval(r) {
		m.requests++
	}
}

func (m *metrics) recordRefusal(r *request) {
	if m.arrivedInInterval(r) {
		m.refusals++
	}
}

// recordFailure counts a request without a complete answer. ran is false if it
// expired in the queue.
func (m *metrics) recordFailure(r *request, ran bool) {
	if !m.arrivedInInterval(r) {
		return
	}
	if ran {
		m.failures++
		return
	}
	m.expired++
}

func (m *metrics) recordRun(*call, *agent) { m.ranTasks++ }

func (m *metrics) recordCompletion(r *request) {
	now := m.run.sim.now
	if m.inInterval() && !now.After(r.arrived.Add(r.spec.deadline)) {
		m.goodWork += r.totalWork()
	}
	if !m.arrivedInInterval(r) {
		return
	}
	ratio := now.Sub(r.arrived).Seconds() / r.idealTime(m.run.slots())
	m.all = append(m.all, ratio)
	if len(r.work) > 1 {
		m.jobs = append(m.jobs, ratio)
	}
	if r.spec.kind.work == shortTaskWork {
		m.shortTasks = append(m.shortTasks, ratio)
		if !r.atypicalSpeed {
			m.shortTasksMeanSpeed = append(m.shortTasksMeanSpeed, ratio)
		}
	}
}

// quantile sorts values and returns a quantile of them, zero without values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}

// Result holds the figures of one run. Quantiles are of the ratio of the response
// time to the ideal time of the request.
type Result struct {
	Config Config

	Median, P99, P999 float64
	// ShortMedian and ShortP99 are the median and the 99th percentile of 50 ms
	// tasks. ShortMedianMeanSpeed is the median of those that ran on endpoints
	// within 15% of the mean speed.
	ShortMedian, ShortMedianMeanSpeed, ShortP99 float64
	// JobMedian and JobP99 are the median and the 99th percentile of requests
	// with more than one task.
	JobMedian, JobP99 float64
	// WastedPerTask and MessagesPerTask count messages per task that ran.
	WastedPerTask, MessagesPerTask float64
	// Refused, Expired and Failed are shares of the requests.
	Refused, Expired, Failed float64
	// Goodput is the work completed within its deadline relative to the
	// capacity.
	Goodput float64
	Tasks   int
}

func (m *metrics) result() Result {
	tasks := float64(max(m.ranTasks, 1))
	requests := float64(max(m.requests, 1))
	seconds := m.to.Sub(m.from).Seconds()
	return Result{
		Config:               m.run.config,
		Median:               quantile(m.all, 0.5),
		P99:                  quantile(m.all, 0.99),
		P999:                 quantile(m.all, 0.999),
		ShortMedian:          quantile(m.shortTasks, 0.5),
		ShortMedianMeanSpeed: quantile(m.shortTasksMeanSpeed, 0.5),
		ShortP99:             quantile(m.shortTasks, 0.99),
		JobMedian:            quantile(m.jobs, 0.5),
		JobP99:               quantile(m.jobs, 0.99),
		WastedPerTask:        float64(m.wastedMessages) / tasks,
		MessagesPerTask:      float64(m.messages) / tasks,
		Refused:              float64(m.refusals) / requests,
		Expired:              float64(m.expired) / requests,
		Failed:               float64(m.failures) / requests,
		Goodput:              m.goodWork / seconds / m.run.capacity(),
		Tasks:                m.ranTasks,
	}
}
