package runner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/runtable"
)

// scriptedCalls answers the n-th call of an order after a delay.
type scriptedCalls struct {
	made    atomic.Int64
	answers []scriptedAnswer
}

type scriptedAnswer struct {
	after  time.Duration
	answer runtable.Answer
	err    error
}

func (s *scriptedCalls) send(ctx context.Context) (runtable.Answer, error) {
	n := int(s.made.Add(1)) - 1
	a := s.answers[min(n, len(s.answers)-1)]
	select {
	case <-time.After(a.after):
		return a.answer, a.err
	case <-ctx.Done():
		return runtable.Answer{}, ctx.Err()
	}
}

// warmCalls returns calls to an endpoint that has answered within 2 ms so far.
func warmCalls() *calls {
	c := newCalls()
	for range 50 {
		c.latency.Observe(2 * time.Millisecond)
	}
	return c
}

// never is the delay of an answer that does not arrive.
const never = time.Hour

var (
	done        = scriptedAnswer{after: time.Millisecond, answer: runtable.Answer{Verdict: runtable.Done}}
	noRoom      = scriptedAnswer{after: time.Millisecond, answer: runtable.Answer{Verdict: runtable.Refused, Reason: placement.RefusedCapacity}}
	unansweredA = scriptedAnswer{after: never}
	reset       = scriptedAnswer{after: time.Millisecond, err: errors.New("connection reset")}
)

// TestLostOrdersAreRepeatedAtOnce guards against a task that waits for the whole time-out
// of an order that the endpoint left unanswered (single trouble late-0.055: one order in
// eighteen, one job in five late).
func TestLostOrdersAreRepeatedAtOnce(t *testing.T) {
	for name, first := range map[string]scriptedAnswer{"unanswered": unansweredA, "reset": reset} {
		synctest.Test(t, func(t *testing.T) {
			script := &scriptedCalls{answers: []scriptedAnswer{first, done}}
			start := time.Now()
			answer, err := warmCalls().order(context.Background(), script.send)
			assert.NilError(t, err, name)
			assert.Equal(t, answer.Verdict, runtable.Done)
			assert.Assert(t, time.Since(start) <= 2*minLateAfter, "%s: %s", name, time.Since(start))
		})
	}
}

// TestRefusalsBesideLostOrdersAreNoResult guards against a second run of a task: a start
// without an answer may be carried out after a later attempt was refused.
func TestRefusalsBesideLostOrdersAreNoResult(t *testing.T) {
	for _, first := range []scriptedAnswer{unansweredA, reset} {
		synctest.Test(t, func(t *testing.T) {
			script := &scriptedCalls{answers: []scriptedAnswer{first, noRoom}}
			_, err := warmCalls().order(context.Background(), script.send)
			assert.Assert(t, err != nil)
		})
	}
	synctest.Test(t, func(t *testing.T) {
		script := &scriptedCalls{answers: []scriptedAnswer{noRoom}}
		answer, err := warmCalls().order(context.Background(), script.send)
		assert.NilError(t, err)
		assert.Equal(t, answer.Reason, placement.RefusedCapacity)
		assert.Equal(t, script.made.Load(), int64(1), "a refused order is not repeated")
	})
}

// TestSilentEndpointsGetFewCalls guards against repeated orders that add to the load of an
// endpoint that answers none.
func TestSilentEndpointsGetFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const orders = 200
		c := warmCalls()
		script := &scriptedCalls{answers: []scriptedAnswer{unansweredA}}
		for range orders {
			_, err := c.order(context.Background(), script.send)
			assert.Assert(t, err != nil)
		}
		assert.Assert(t, script.made.Load() <= orders*(1+repeatShare)+repeatBurst, "%d calls", script.made.Load())
	})
}
