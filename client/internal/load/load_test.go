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

// Guards against a plan whose work misses the factor, whose order or ids
// depend on anything but the seed, or that leaves the time of arrivals.
func TestPlanOffersTheFactor(t *testing.T) {
	for _, name := range []string{"dala", "hsinchu"} {
		p := readTestProfile(t, name)
		o := PlanOptions{Factor: 0.7, Duration: 60 * time.Second, Seed: 7, RunID: "r", MaxRequests: maxRequests, ResubmitShare: 0.1}
		plan, err := NewPlan(p, o)
		assert.NilError(t, err)
		again, err := NewPlan(p, o)
		assert.NilError(t, err)
		work := 0.0
		ids := map[string]bool{}
		for i, r := range plan {
			assert.Assert(t, r.At >= 0 && r.At <= o.Duration)
			assert.Assert(t, i == 0 || plan[i-1].At <= r.At)
			assert.Assert(t, !ids[r.ID], "id %s is used twice", r.ID)
			assert.Equal(t, r.ID, again[i].ID)
			assert.Equal(t, r.At, again[i].At)
			ids[r.ID] = true
			work += r.Work()
		}
		offered := work / (p.Capacity() * o.Duration.Seconds())
		assert.Assert(t, math.Abs(offered-0.7) < 0.05, "%s offers %.3f", name, offered)
	}
}

// Guards against an ideal that is below the longest task or below the total
// work over all slots: the ratio would hide waiting.
func TestIdeal(t *testing.T) {
	p := &Profile{Speeds: []float64{1, 3}, Slots: 2}
	one := &Request{Tasks: []Task{{WorkMS: 100}}}
	assert.Equal(t, one.Ideal(p), 0.05)
	many := &Request{Tasks: []Task{{WorkMS: 400}, {WorkMS: 400}, {WorkMS: 400}, {WorkMS: 400}, {WorkMS: 400}, {WorkMS: 400}, {WorkMS: 400}, {WorkMS: 400}}}
	assert.Equal(t, math.Round(many.Ideal(p)*1000), 400.0)
}

func job(form string, once bool, tasks int) *Request {
	r := &Request{ID: "x", Stream: &Stream{Form: form, Once: once, Caller: "c"}}
	for range tasks {
		r.Tasks = append(r.Tasks, Task{Kind: "k", WorkMS: 50})
	}
	return r
}

// Guards against a check that misses one of the faults that a report must
// count, or that counts what is allowed.
func TestTruth(t *testing.T) {
	complete := outcome{state: Complete, verdict: ran}
	refused := outcome{state: Refused, verdict: notRun}
	cases := []struct {
		name   string
		sample Sample
		starts []int
		want   Truth
	}{
		{"each task once", Sample{Request: job(FormJob, false, 2), outcome: complete}, []int{1, 1}, Truth{}},
		{"second start", Sample{Request: job(FormJob, false, 2), outcome: complete}, []int{1, 2}, Truth{StartedTwice: 1}},
		{"no start", Sample{Request: job(FormJob, false, 2), outcome: complete}, []int{1}, Truth{NeverStarted: 1}},
		{"false refusal", Sample{Request: job(FormJob, false, 2), outcome: refused}, []int{0, 1}, Truth{NotRun: 2, FalseNotRun: 1}},
		{"true refusal", Sample{Request: job(FormCall, true, 1), outcome: refused}, nil, Truth{NotRun: 1}},
		{"hold twice", Sample{Request: job(FormCall, true, 1), outcome: complete}, []int{2}, Truth{StartedTwice: 1}},
		{"repeated quote", Sample{Request: job(FormCall, false, 1), outcome: complete}, []int{1, 1}, Truth{RepeatedCalls: 1}},
		{"refused quote that ran", Sample{Request: job(FormCall, false, 1), outcome: refused}, []int{0, 1}, Truth{NotRun: 1, FalseNotRun: 1}},
		{"failed job by task", Sample{Request: job(FormJob, false, 2), outcome: outcome{state: Failed, tasks: []string{notRun, ran}}}, []int{1, 1}, Truth{NotRun: 1, FalseNotRun: 1}},
		{"other end", Sample{Request: job(FormJob, false, 1), outcome: complete, again: []outcome{refused}}, []int{1}, Truth{Resubmitted: 1, ResubmitDiffers: 1, Differing: []string{"x while it ran: refused  (not_run)"}}},
		{"refused, then taken", Sample{Request: job(FormJob, false, 1), outcome: refused, again: []outcome{complete}}, []int{1}, Truth{Resubmitted: 1}},
		{"partial", Sample{Request: job(FormJob, false, 1), outcome: outcome{state: Complete, verdict: ran, partial: true}}, []int{1}, Truth{Partial: 1}},
	}
	for _, c := range cases {
		var got Truth
		got.check(&c.sample, c.starts)
		assert.DeepEqual(t, got, c.want)
	}
}

// Guards against an answer that is taken for whole although an output is
// missing, foreign or out of order.
func TestWholeAnswers(t *testing.T) {
	r := job(FormJob, false, 2)
	answer := func(outputs ...string) reply {
		a := callers.Answer{State: jobComplete, Verdict: ran}
		for i, o := range outputs {
			text, err := json.Marshal(o)
			assert.NilError(t, err)
			a.Results = append(a.Results, callers.TaskResult{Task: i, State: taskDone, Verdict: ran, Output: text})
		}
		body, err := json.Marshal(a)
		assert.NilError(t, err)
		return reply{status: 200, body: body}
	}
	assert.Assert(t, !answer("x/0", "x/1").read(r).partial)
	for _, wrong := range []reply{answer("x/0"), answer("x/1", "x/0"), answer("x/0", "y/1"), answer("x/0", "x/1", "x/2"), {status: 200, body: []byte("{")}} {
		assert.Assert(t, wrong.read(r).partial)
	}
}

// Guards against counters that are read from the wrong lines or lost between
// two readings.
func TestCounters(t *testing.T) {
	c := counters{events: map[string]float64{}, requests: map[string]float64{}}
	text := `# HELP x
cicadapulley_events_total{event="task_started"} 100
cicadapulley_events_total{event="task_refused"} 5
cicadapulley_requests_received_total{method="cicadapulley.rpc.Agent/Run"} 1.05e+02
go_goroutines 7
`
	assert.NilError(t, c.parse(strings.NewReader(text)))
	c.events["task_answered"] = 100
	m := c.since(counters{}).messages()
	assert.Equal(t, m.Tasks, 100.0)
	assert.Equal(t, m.PerTask, 2.1)
	assert.Equal(t, m.WastedPerTask, 0.1)
}
