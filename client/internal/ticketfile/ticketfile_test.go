package ticketfile

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/cicadapulley/cicadapulley/core/state"
)

const completeTicket = `{
  "number": 7, "author": "ana",
  "services": [
    {"name": "shop", "kinds": [
      {"name": "quote", "repeatable": true, "expected_ms": 50, "needs": {"milli_cpu": 500, "memory_mb": 64, "accelerators": 1}},
      {"name": "hold"}]},
    {"name": "old", "removed": true}],
  "quotas": [{"caller": "web", "max_tasks": 10, "weight": 2}],
  "drains": [{"endpoint": "worker-1", "drain": true}],
  "limits": {"max_queued": 100}
}`

// A field that is read into the wrong place, or not at all, would put a
// configuration in force that differs from the file.
func TestParseReadsEveryField(t *testing.T) {
	got, err := Parse("t.json", []byte(completeTicket))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, state.Ticket{
		Number: 7, Author: "ana",
		Services: []state.Service{
			{Name: "shop", Kinds: []state.Kind{
				{Name: "quote", Repeatable: true, ExpectedMS: 50, Needs: state.Resources{MilliCPU: 500, MemoryMB: 64, Accelerators: 1}},
				{Name: "hold"},
			}},
			{Name: "old", Removed: true},
		},
		Quotas: []state.Quota{{Caller: "web", MaxTasks: 10, Weight: 2}},
		Drains: []state.DrainMark{{Endpoint: "worker-1", Drain: true}},
		Limits: &state.Limits{MaxQueued: 100},
	})
}

// A misspelt or repeated field, or a value of a wrong type, must not be ignored,
// and the error must tell the operator where it is.
func TestParseErrorsHavePathAndLine(t *testing.T) {
	for _, c := range []struct{ file, want string }{
		{"{\"number\":1,\n\"repeatabel\":true,\"limits\":{}}", "t.json:2: repeatabel: unknown field"},
		{"{\"number\":1,\"limits\":{},\n\n\"number\":2}", "t.json:3: number: field appears twice"},
		{"{\"number\":1,\"services\":[{\"name\":\"a\",\"kinds\":[{\"name\":\"k\"},\n{\"name\":3}]}]}", "t.json:2: services[0].kinds[1].name: 3 is not a string"},
		{"{\"number\":1,\"services\":[{\"name\":\"a\",\"kinds\":[\n{\"name\":\"k\",\"Repeatable\":true}]}]}", "t.json:2: services[0].kinds[0].Repeatable: unknown field"},
		{"{\"number\":1.5,\"limits\":{}}", "t.json:1: number: 1.5 is not a whole number from 0"},
		{"{\"number\":-1,\"limits\":{}}", "t.json:1: number: -1 is not a whole number from 0"},
		{"{\"number\":1,\"quotas\":\n{}}", "t.json:2: quotas: an object is not a list"},
		{"{\"number\":1,\"drains\":[{\"endpoint\":\"a\",\n\"drain\":null}]}", "t.json:2: drains[0].drain: null is not true or false"},
		{"{\"number\":1,\"quotas\":[{\"caller\":\"a\"},\n{\"caller\":\"a\"}]}", "t.json:2: quotas[1].caller: \"a\" appears twice"},
		{"{\"number\":1,\"quotas\":[{\"caller\":\"a\",\n\"weight\":-2}]}", "t.json:2: quotas[0].weight: is negative"},
		{"{\"number\":1}", "t.json:1: the ticket touches nothing"},
		{"{\"number\":1,\n\"limits\":{}} {}", "t.json:2: unexpected data after the end"},
		{"{\"number\":1,\n\"limits\":{}", "t.json:2: unexpected end of the file"},
		{"[]", "t.json:1: a list is not an object"},
		{"null", "t.json:1: null is not an object"},
		{strings.Repeat("[", 100000), "nested deeper than 100 levels"},
	} {
		_, err := Parse("t.json", []byte(c.file))
		assert.Check(t, cmp.ErrorContains(err, c.want), c.file[:min(len(c.file), 80)])
	}
}

// FuzzParseTicket guards against a panic on a damaged file, and against a
// field that Encode loses: a ticket that is shown, saved and applied again
// must be the same one.
func FuzzParseTicket(f *testing.F) {
	for _, seed := range []string{
		completeTicket, `{"number":1,"limits":{}}`, `{"number":1,"limits":null}`, `{"number":18446744073709551615,"limits":{"max_queued":0}}`,
		`{"number":1,"services":[{"name":"a","removed":true,"kinds":[]}],"quotas":[]}`, `{"number":1,"drains":[{"endpoint":"\ud800","drain":false}]}`,
		`{"number":1,"number":1}`, `{"number":1e3}`, `{"a":{"b":[{"c":null}]}}`, `[[[[`, `{"number":1,"limits":{}}]`, "", "\xff", `"`, `{"number":1,"services":[null]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := Parse("t.json", data)
		if err != nil {
			return
		}
		written, err := Encode(first)
		assert.NilError(t, err)
		second, err := Parse("t.json", written)
		assert.NilError(t, err)
		assert.DeepEqual(t, first, second)
	})
}
