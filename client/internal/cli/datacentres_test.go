package cli

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/cicadapulley/cicadapulley/client/internal/exit"
)

// TestDataCentreDrain guards against an order that is not sent on to a control VM that knows the
// leader, a failure that looks like a change, and a JSON form that scripts don't know.
func TestDataCentreDrain(t *testing.T) {
	var requests []string
	start := func(status int, body string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests = append(requests, r.Method+" "+r.URL.EscapedPath())
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	leads := start(http.StatusOK, `{"data_centres":[{"name":"a b","drained":true},{"name":"east","drained":false}]}`)
	leaderless := start(http.StatusServiceUnavailable, "no leader is known")
	unknown := start(http.StatusBadRequest, `"x" is none of a b, east`)
	other := start(http.StatusNotFound, "404 page not found")
	check := func(code exit.Code, want string, args ...string) result {
		t.Helper()
		requests = nil
		got := run(t, nil, "", append(args, "--timeout", "300ms")...)
		assert.Equal(t, got.code, code, got.stdout+got.stderr)
		assert.Check(t, cmp.Contains(got.stdout+got.stderr, want))
		return got
	}

	got := check(exit.OK, "", "drain", "--data-centre", "a b", "--json", "--control", "127.0.0.1:1,"+leaderless+","+leads)
	assert.Equal(t, strings.Join(strings.Fields(got.stdout), " "), `{ "data_centres": [ { "name": "a b", "drained": true }, `+
		`{ "name": "east", "drained": false } ], "wrong": [ "data centre a b is drained" ] }`)
	assert.DeepEqual(t, requests, []string{"PUT /v1/data-centres/a%20b/drain", "PUT /v1/data-centres/a%20b/drain"})
	check(exit.OK, "east", "drain", "--data-centre", "east", "--undo", "--control", leads)
	assert.DeepEqual(t, requests, []string{"DELETE /v1/data-centres/east/drain"})
	check(exit.OK, "- data centre a b is drained", "status", "--control", leaderless+","+leads)
	assert.DeepEqual(t, requests, []string{"GET /v1/data-centres", "GET /v1/data-centres"})

	check(exit.Failure, "none of a b, east", "drain", "--data-centre", "x", "--control", unknown+","+leads)
	assert.Equal(t, len(requests), 1)
	got = check(exit.Unreachable, "nothing is known to have changed", "drain", "--data-centre", "east", "--control", leaderless)
	assert.Assert(t, len(requests) > 1)
	assert.Check(t, cmp.Contains(got.stderr, "no leader is known"))
	check(exit.Unreachable, "no leader is known", "status", "--control", leaderless)
	check(exit.Failure, "not the operations page", "drain", "--data-centre", "east", "--control", other)
	for _, args := range [][]string{{}, {"worker-2", "--data-centre", "east"}, {"--data-centre", "east", "--wait"}, {"--data-centre", "east"}} {
		check(exit.Usage, "", append([]string{"drain"}, args...)...)
	}
}
