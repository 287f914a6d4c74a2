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
	settle = time.Second
	// resubmitMin is the shortest wait before a job is submitted again.
	resubmitMin = 20 * time.Millisecond
)

// Sample is one request with its end.
type Sample struct {
	Request *Request
	outcome
	// Late is how long after the intended time the tool sent the request.
	Late time.Duration
	// Response is the time from the intended send time to the first byte of
	// the answer; zero without an answer.
	Response time.Duration
	// Worker ran the last task of the request, if known.
	Worker string
	// again holds the answers to further submissions of the same job.
	again []outcome
}

// Run is a measurement in progress.
type Run struct {
	profile *Profile
	client  *client
	faults  *faults
	// warmup is the time at the start whose requests are not in the figures.
	warmup time.Duration

	// started is set by Do.
	started time.Time

	mu      sync.Mutex
	samples []*Sample
}

// Do sends the plan and returns when every request has ended. Arrivals don't
// wait for answers, so a stalled system can't slow the load down.
func (r *Run) Do(ctx context.Context, plan []*Request) []*Sample {
	start := time.Now()
	r.started = start
	var requests conc.WaitGroup
	requests.Go(func() { r.faults.inject(ctx, start.Add(r.warmup)) })
	for i, request := range plan {
		if !sleepUntil(ctx, start.Add(request.At)) {
			break
		}
		requests.Go(func() { r.one(ctx, request, start.Add(request.At), i) })
	}
	requests.Wait()
	return r.samples
}

// one sends a request and notes its end.
func (r *Run) one(ctx context.Context, q *Request, intended time.Time, number int) {
	s := &Sample{Request: q, Late: time.Since(intended)}
	var early conc.WaitGroup
	if q.Resubmit {
		early.Go(func() { s.again = append(s.again, r.whileRunning(ctx, q, intended, number)) })
	}
	answer := r.client.send(ctx, q, number)
	s.outcome = answer.read(q)
	if !answer.firstByte.IsZero() {
		s.Response = answer.firstByte.Sub(intended)
	}
	early.Wait()
	if q.Resubmit && s.state == Complete {
		s.again = append(s.again, r.client.send(ctx, q, number+1).read(q))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, s)
}

// whileRunning submits a job a second time to the next entry, at half of the
// job's ideal time.
func (r *Run) whileRunning(ctx context.Context, q *Request, intended time.Time, number int) outcome {
	half := time.Duration(q.Ideal(r.profile) / 2 * float64(time.Second))
	sleepUntil(ctx, intended.Add(max(half, resubmitMin)))
	return r.client.send(ctx, q, number+1).read(q)
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
