package load

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// settle is the wait between the last answer and the check of the starts:
	// a start that an answer denied would show within it.
	settleDelay = time.Second
	// resubmitMin is the shortest wait before a job is submitted again.
	minResubmitDelay = 20 * time.Millisecond
)

// Sample is one request with its end.
type Sample struct {
	Request *Request
	outcome
	// Late is how long after the intended time the tool sent the request.
	SendDelay time.Duration
	// Response is the time from the intended send time to the first byte of
	// the answer; zero without an answer.
	Response time.Duration
	// Worker ran the last task of the request, if known.
	Worker string
	// again holds the answers to further submissions of the same job.
	resubmissions []outcome
}

// Run is a measurement in progress.
type Generator struct {
	profile  *Profile
	client   *client
	injector *faultInjector
	// warmup is the time at the start whose requests are not in the figures.
	warmup time.Duration

	// started is set by Do.
	started time.Time

	mu      sync.Mutex
	samples []*Sample
}

// Do sends the plan and returns when every request has ended. Arrivals don't
// wait for answers, so a stalled system can't slow the load down.
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

// one sends a request and notes its end.
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

// whileRunning submits a job a second time to the next entry, at half of the
// job's ideal time.
func (g *Generator) resubmit(ctx context.Context, q *Request, intended time.Time, entryIndex int) outcome {
	half := time.Duration(q.IdealSeconds(g.profile) / 2 * float64(time.Second))
	sleepUntil(ctx, intended.Add(max(half, minResubmitDelay)))
	return g.client.send(ctx, q, entryIndex+1).classify(q)
}

// sleepUntil blocks until a time; it reports false if ctx ends before.
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
