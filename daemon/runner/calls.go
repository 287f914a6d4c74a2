package runner

import (
	"context"
	"time"

	"github.com/cicadapulley/cicadapulley/core/retry"
	"github.com/cicadapulley/cicadapulley/core/runtable"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
)

const (
	// minLateAfter is the lowest time after which an answer of the endpoint counts as
	// late. Answers take 1 to 3 ms; a process that shares a small VM may wait some
	// milliseconds for the processor.
	minLateAfter = 20 * time.Millisecond
	// maxAttempts is how often an order is sent, with the first time.
	maxAttempts = 3
	// repeatShare bounds the repetitions as a share of the orders, and repeatBurst the
	// repetitions at a time.
	repeatShare = 0.5
	repeatBurst = 20
)

// calls repeats orders to the endpoint whose answers are late. An endpoint may leave an
// order unanswered and carry it out seconds later, or not at all; its next orders are
// answered at once. Orders to start or stop a run may be repeated: the endpoint carries
// out each once, and refuses a start that is not newer than a run that has ended.
type calls struct {
	latency *retry.Latency
	budget  *retry.Budget
}

func newCalls() *calls {
	return &calls{latency: retry.NewLatency(minLateAfter, callTimeout), budget: retry.NewBudget(repeatShare, repeatBurst)}
}

// order calls send until one call shows the result, callTimeout has passed, or ctx ends.
// Further attempts run beside the earlier ones, whose answers are still welcome, and all
// are cancelled when order returns. A refusal is the result only if every attempt was
// refused: one without an answer may be carried out later.
func (c *calls) order(ctx context.Context, send func(context.Context) (runtable.Answer, error)) (runtable.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.budget.Called()
	attempts := orderAttempts{results: make(chan orderResult, maxAttempts)}
	attempts.start(ctx, c.latency, send)
	late := time.NewTimer(c.latency.LateAfter())
	defer late.Stop()
	for {
		select {
		case r := <-attempts.results:
			if attempts.settles(r) {
				return r.answer, r.err
			}
			if attempts.open > 0 {
				continue
			}
			if !attempts.unanswered || attempts.sent == maxAttempts || !c.budget.Take() {
				return attempts.last()
			}
			attempts.start(ctx, c.latency, send)
		case <-late.C:
			if attempts.sent < maxAttempts && c.budget.Take() {
				attempts.start(ctx, c.latency, send)
			}
			late.Reset(c.latency.LateAfter())
		case <-ctx.Done():
			return runtable.Answer{}, ctx.Err()
		}
	}
}

// orderAttempts are the calls that carry one order.
type orderAttempts struct {
	results chan orderResult
	// sent counts the calls, and open those without a result yet.
	sent, open int
	// unanswered is set once a call has failed without an answer.
	unanswered bool
	refusal    runtable.Answer
	err        error
}

type orderResult struct {
	answer runtable.Answer
	err    error
}

// start makes one more call.
func (a *orderAttempts) start(ctx context.Context, latency *retry.Latency, send func(context.Context) (runtable.Answer, error)) {
	a.sent++
	a.open++
	go func() {
		var r orderResult
		begun := time.Now()
		r.err = supervisor.CatchPanic(nil, "", func() (err error) { // the caller logs the error
			r.answer, err = send(ctx)
			return err
		})
		if r.err == nil {
			latency.Observe(time.Since(begun))
		}
		a.results <- r // buffered for all attempts
	}()
}

// settles reports whether a result is that of the order, and records it otherwise.
func (a *orderAttempts) settles(r orderResult) bool {
	a.open--
	switch {
	case r.err != nil:
		a.unanswered = true
		a.err = r.err
		return false
	case r.answer.Verdict == runtable.Refused:
		a.refusal = r.answer
		return false
	}
	return true
}

// last returns the result when no call is open and none has settled the order.
func (a *orderAttempts) last() (runtable.Answer, error) {
	if a.unanswered {
		return runtable.Answer{}, a.err
	}
	return a.refusal, nil
}
