package load

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/callers"
)

func readTestProfile(t *testing.T, name string) *Profile {
	t.Helper()
	p, err := ReadProfile("../../../examples/profiles/" + name + ".json")
	assert.NilError(t, err)
	return p
}

// Guards against a plan whose work differs from the load factor, whose order or
// ids depend on anything but the seed, or with requests outside the duration.
func TestPlanMatchesLoadFactor(t *testing.T) {
	for _, name := range []string{"dala", "hsinchu"} {
		p := readTestProfile(t, name)
		o := PlanOptions{LoadFactor: 0.7, Duration: 60 * time.Second, Seed: 7, RunID: "r", MaxRequests: maxRequests, ResubmitShare: 0.1}
		plan, err := NewPlan(p, o)
		assert.NilError(t, err)
		again, err := NewPlan(p, o)
		assert.NilError(t, err)
		work := 0.0
		ids := map[string]bool{}
		for i, r := range plan {
			assert.Assert(t, r.SendOffset >= 0 && r.SendOffset <= o.Duration)
			assert.Assert(t, i == 0 || plan[i-1].SendOffset <= r.SendOffset)
			assert.Assert(t, !ids[r.ID], "id %s is used twice", r.ID)
			assert.Equal(t, r.ID, again[i].ID)
			assert.Equal(t, r.SendOffset, again[i].SendOffset)
			ids[r.ID] = true
			work += r.WorkSeconds()
		}
		offered := work / (p.Capacity() * o.Duration.Seconds())
		assert.Assert(t, math.Abs(offered-0.7) < 0.05, "%s offers %.3f", name, offered)
	}
}

// Guards against an ideal response time below the longest task or below the total
// work spread over all slots: the ratio would hide waiting.
func TestIdealSeconds(t *testing.T) {
	p := &Profile{Speeds: []float64{1, 3}, Slots: 2}
	one := &Request{Tasks: []Task{{WorkMS: 100}}}
	assert.Equal(t, one.IdealSeconds(p), 0.05)
	many := &Request{Tasks: []Task{{WorkMS: 400}, {WorkMS: 400}, {WorkMS: 400}, {WorkMS: 400}, {WorkMS: 400}, {WorkMS: 400}, {WorkMS: 400}, {WorkMS: 400}}}
	assert.Equal(t, math.Round(many.IdealSeconds(p)*1000), 400.0)
}

func newRequest(form string, once bool, tasks int) *Request {
	r := &Request{ID: "x", Stream: &Stream{Form: form, AtMostOnce: once, Caller: "c"}}
	for range tasks {
		r.Tasks = append(r.Tasks, Task{Kind: "k", WorkMS: 50})
	}
	return r
}

// Guards against a verification that misses a finding that a report must count,
// or that counts what is allowed.
func TestVerification(t *testing.T) {
	complete := outcome{state: Complete, verdict: verdictRan}
	refused := outcome{state: Refused, verdict: verdictNotRun}
	cases := []struct {
		name   string
		sample Sample
		starts []int
		want   Verification
	}{
		{"each task once", Sample{Request: newRequest(FormJob, false, 2), outcome: complete}, []int{1, 1}, Verification{}},
		{"second start", Sample{Request: newRequest(FormJob, false, 2), outcome: complete}, []int{1, 2}, Verification{StartedTwice: 1}},
		{"no start", Sample{Request: newRequest(FormJob, false, 2), outcome: complete}, []int{1}, Verification{NeverStarted: 1}},
		{"false refusal", Sample{Request: newRequest(FormJob, false, 2), outcome: refused}, []int{0, 1}, Verification{NotRunChecked: 2, FalseNotRun: 1}},
		{"correct refusal", Sample{Request: newRequest(FormCall, true, 1), outcome: refused}, nil, Verification{NotRunChecked: 1}},
		{"hold twice", Sample{Request: newRequest(FormCall, true, 1), outcome: complete}, []int{2}, Verification{StartedTwice: 1}},
		{"repeated quote", Sample{Request: newRequest(FormCall, false, 1), outcome: complete}, []int{1, 1}, Verification{RepeatedCalls: 1}},
		{"refused quote that ran", Sample{Request: newRequest(FormCall, false, 1), outcome: refused}, []int{0, 1}, Verification{NotRunChecked: 1, FalseNotRun: 1}},
		{"failed job by task", Sample{Request: newRequest(FormJob, false, 2), outcome: outcome{state: Failed, taskVerdicts: []string{verdictNotRun, verdictRan}}}, []int{1, 1}, Verification{NotRunChecked: 1, FalseNotRun: 1}},
		{"different outcome", Sample{Request: newRequest(FormJob, false, 1), outcome: complete, resubmissions: []outcome{refused}}, []int{1}, Verification{Resubmissions: 1, MismatchedResubmissions: 1, Mismatches: []string{"x while it ran: refused  (not_run)"}}},
		{"refused, then accepted", Sample{Request: newRequest(FormJob, false, 1), outcome: refused, resubmissions: []outcome{complete}}, []int{1}, Verification{Resubmissions: 1}},
		{"partial", Sample{Request: newRequest(FormJob, false, 1), outcome: outcome{state: Complete, verdict: verdictRan, partial: true}}, []int{1}, Verification{Partial: 1}},
	}
	for _, c := range cases {
		var got Verification
		got.checkSample(&c.sample, c.starts)
		assert.DeepEqual(t, got, c.want)
	}
}

// Guards against an answer that passes as valid although an output is missing,
// belongs to another request, is out of order or superfluous.
func TestInvalidOutputsArePartial(t *testing.T) {
	r := newRequest(FormJob, false, 2)
	answer := func(outputs ...string) reply {
		a := callers.Answer{State: jobStateComplete, Verdict: verdictRan}
		for i, o := range outputs {
			text, err := json.Marshal(o)
			assert.NilError(t, err)
			a.Results = append(a.Results, callers.TaskResult{Task: i, State: taskStateDone, Verdict: verdictRan, Output: text})
		}
		body, err := json.Marshal(a)
		assert.NilError(t, err)
		return reply{status: 200, body: body}
	}
	assert.Assert(t, !answer("x/0", "x/1").classify(r).partial)
	for _, wrong := range []reply{answer("x/0"), answer("x/1", "x/0"), answer("x/0", "y/1"), answer("x/0", "x/1", "x/2"), {status: 200, body: []byte("{")}} {
		assert.Assert(t, wrong.classify(r).partial)
	}
}

// Guards against counters that are parsed from the wrong lines or lost in the
// difference of two readings.
func TestMessagesPerTask(t *testing.T) {
	c := counters{events: map[string]float64{}, requests: map[string]float64{}}
	text := `# HELP x
cicadapulley_events_total{event="task_started"} 100
cicadapulley_events_total{event="task_refused"} 5
cicadapulley_requests_received_total{method="cicadapulley.rpc.Agent/Run"} 1.05e+02
go_goroutines 7
`
	assert.NilError(t, c.parse(strings.NewReader(text)))
	c.events["task_answered"] = 100
	m := c.since(counters{}).perTask()
	assert.Equal(t, m.Tasks, 100.0)
	assert.Equal(t, m.PerTask, 2.1)
	assert.Equal(t, m.WastedPerTask, 0.1)
}
