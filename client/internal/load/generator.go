package load

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// settleDelay is the wait between the last answer and the check of the
	// starts, so that a late start of a task answered as not_run is counted.
	settleDelay = time.Second
	// minResubmitDelay is the shortest wait before a job is submitted again.
	minResubmitDelay = 20 * time.Millisecond
)

// Sample is one request with its outcome.
type Sample struct {
	Request *Request
	outcome
	// SendDelay is the time from the intended to the actual sending.
	SendDelay time.Duration
	// Response is the time from the intended send time to the first byte of
	// the answer; zero without an answer.
	Response time.Duration
	// Worker ran the last task of the request, if known.
	Worker string
	// resubmissions holds the outcomes of further submissions of the same job.
	resubmissions []outcome
}

// Generator sends the requests of a plan and records their outcomes.
type Generator struct {
	profile  *Profile
	client   *client
	injector *faultInjector
	// warmup is the initial period whose requests are left out of the
	// statistics. Faults are injected at its end.
	warmup time.Duration

	// started is set by Run.
	started time.Time

	mu      sync.Mutex
	samples []*Sample
}

// Run sends the plan and returns when every request has ended. Requests are sent
// without waiting for answers, so a stalled system does not reduce the load.
func (g *Generator) Run(ctx context.Context, plan []*Request) []*Sample {
	start := time.Now()
	g.started = start
	var wg conc.WaitGroup
	wg.Go(func() { g.injector.inject(ctx, start.Add(g.warmup)) })
	for i, request := range plan {
		if !sleepUntil(ctx, start.Add(request.SendOffset)) {
			break
		}
		wg.Go(func() { g.execute(ctx, request, start.Add(request.SendOffset), i) })
	}
	wg.Wait()
	return g.samples
}

// execute sends a request, with its resubmissions, and records the outcome.
func (g *Generator) execute(ctx context.Context, q *Request, intended time.Time, entryIndex int) {
	s := &Sample{Request: q, SendDelay: time.Since(intended)}
	var resubmission conc.WaitGroup
	if q.Resubmit {
		resubmission.Go(func() { s.resubmissions = append(s.resubmissions, g.resubmit(ctx, q, intended, entryIndex)) })
	}
	answer := g.client.send(ctx, q, entryIndex)
	s.outcome = answer.classify(q)
	if !answer.firstByte.IsZero() {
		s.Response = answer.firstByte.Sub(intended)
	}
	resubmission.Wait()
	if q.Resubmit && s.state == Complete {
		s.resubmissions = append(s.resubmissions, g.client.send(ctx, q, entryIndex+1).classify(q))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.samples = append(g.samples, s)
}

// resubmit submits a running job a second time, to the next entry, at half of
// the job's ideal response time.
func (g *Generator) resubmit(ctx context.Context, q *Request, intended time.Time, entryIndex int) outcome {
	half := time.Duration(q.IdealSeconds(g.profile) / 2 * float64(time.Second))
	sleepUntil(ctx, intended.Add(max(half, minResubmitDelay)))
	return g.client.send(ctx, q, entryIndex+1).classify(q)
}

// sleepUntil blocks until t and returns true, or false if ctx ends first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
