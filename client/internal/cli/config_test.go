package cli

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/cicadapulley/cicadapulley/client/internal/exit"
)

const platformConfig = `{"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/","timeout_ms":1500,"target_completion_ms":60,` +
	`"backend":"b","max_attempts":4,"stretch":1.6}],"services":[{"name":"b"}]}`

// TestConfigCheck guards against exit codes and a JSON form that scripts don't know, and
// against a check that uses the network unasked.
func TestConfigCheck(t *testing.T) {
	answers := map[string]int{"/cicadapulley/config": http.StatusOK}
	control := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(answers[r.URL.Path])
		_, _ = w.Write([]byte(platformConfig))
	}))
	defer control.Close()
	address := strings.TrimPrefix(control.URL, "http://")
	file := filepath.Join(t.TempDir(), "force.json")
	assert.NilError(t, os.WriteFile(file, []byte(platformConfig), 0o600))
	env := map[string]string{"CICADAPULLEY_CONTROL": "127.0.0.1:1"}
	check := func(code exit.Code, in string, args ...string) result {
		t.Helper()
		got := run(t, env, in, append([]string{"config", "check", "-"}, args...)...)
		assert.Equal(t, got.code, code, got.stdout+got.stderr)
		return got
	}

	next := strings.NewReplacer(`:7`, `:8`, `1.6`, `0.9`).Replace(platformConfig)
	got := check(exit.OK, next, "--json", "--against", file)
	assert.Equal(t, strings.Join(strings.Fields(strings.ReplaceAll(got.stdout, file, "FILE")), " "), `{ "valid": true, "version": 8, "findings": [ `+
		`{ "severity": "warning", "path": "routes[0].stretch", "code": "stretch_below_one", "text": "route \"r\": with the stretch 0.9 `+
		`the objective of a long job is below its run time, so that it is late even on an idle endpoint" } ], `+
		`"compared_with": "FILE", "compared_version": 7, "differences": [ `+
		`{ "kind": "version", "name": "", "old": "7", "new": "8", "effect": "callers see the differences below once it is in force" }, `+
		`{ "kind": "route_stretch", "name": "r", "old": "1.6", "new": "0.9", "effect": "a shorter objective: under load, more new jobs of callers of h /p/ are refused" } ] }`)
	got = check(exit.OK, platformConfig, "--output", "json")
	assert.Check(t, cmp.Contains(got.stdout, `"findings": [],`))
	assert.Check(t, cmp.Contains(got.stdout, `"differences": []`))

	got = check(exit.OK, next, "--control", "127.0.0.1:1,"+address)
	assert.Check(t, cmp.Contains(got.stdout, "differences from version 7 of "+address))
	answers["/cicadapulley/config"] = http.StatusServiceUnavailable
	check(exit.Unreachable, next, "--control", address)
	check(exit.Unreachable, next, "--control", "127.0.0.1:1")
	answers["/cicadapulley/config"] = http.StatusNotFound
	check(exit.Failure, next, "--control", address)
	check(exit.Usage, next, "--control", address, "--against", file)
	check(exit.Usage, next, "--against", file+"x")

	// All errors are listed, those of wrong types with their index.
	got = check(exit.Usage, `{"version":7,"routes":[{"name":1},{"host":2},null],"services":[{}]}`)
	for _, path := range []string{"routes[0].name ", "routes[1].host "} {
		assert.Check(t, cmp.Contains(got.stdout, path))
	}
	got = check(exit.Usage, `{"routes":[{"name":"a"},{"name":"b","host":"h","path_prefix":"/","backend":"z","timeout_ms":0}],"services":[{}]}`)
	for _, path := range []string{"version ", "services[0].name ", "routes[0].host ", "routes[1].backend ", "routes[1].timeout_ms "} {
		assert.Check(t, cmp.Contains(got.stdout, path))
	}
}
