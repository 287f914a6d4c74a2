package cli

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/cicadapulley/cicadapulley/api/callers"
	"github.com/cicadapulley/cicadapulley/client/internal/exit"
)

const jobFile = `{"id":"j","caller":"c","service":"s","deadline_ms":1000,"tasks":[{"kind":"k","payload":{"a":1,"a":2}}]}`

func startFakeEntry(t *testing.T, h http.HandlerFunc) map[string]string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return map[string]string{"CICADAPULLEY_ENTRY": s.URL}
}

// Scripts decide from the exit code whether to resend a request: not_run must
// never be reported for work that may have run.
func TestExitCodesOfRefusalsAndFailures(t *testing.T) {
	for _, c := range []struct {
		status int
		body   string
		code   exit.Code
	}{
		{200, `{"id":"j","state":"complete","verdict":"ran","results":[{"task":0,"state":"done","verdict":"ran","output":1}]}`, exit.OK},
		{202, `{"id":"j","state":"running","verdict":"may_have_run"}`, exit.OK},
		{200, `{"id":"j","state":"failed","verdict":"ran","error":{"code":"endpoint_failed","message":"m"}}`, exit.Failure},
		{200, `{"id":"j","state":"failed","verdict":"not_run","error":{"code":"deadline_exceeded","message":"m"}}`, exit.NotRun},
		{200, `{"id":"j","state":"failed","verdict":"may_have_run","error":{"code":"endpoint_lost","message":"m"}}`, exit.MayHaveRun},
		{200, `{"id":"j","state":"failed","verdict":"new_word"}`, exit.MayHaveRun},
		{429, `{"verdict":"not_run","error":{"code":"overloaded","message":"m"}}`, exit.NotRun},
		{503, `{"verdict":"may_have_run","error":{"code":"unavailable","message":"m"}}`, exit.MayHaveRun},
		{502, `<html>bad gateway</html>`, exit.MayHaveRun},
	} {
		env := startFakeEntry(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "3")
			w.WriteHeader(c.status)
			_, _ = io.WriteString(w, c.body)
		})
		got := run(t, env, jobFile, "job", "submit", "-", "--wait")
		assert.Equal(t, got.code, c.code, c.body+got.stderr)
		if c.status == http.StatusTooManyRequests {
			assert.Check(t, cmp.Contains(got.stderr, "try again after 3s"))
		}
	}
}

// After a lost answer the request may have run; without a connection it was not
// sent. The exit codes must differ.
func TestExitCodesOfLostAnswers(t *testing.T) {
	for _, args := range [][]string{
		{"job", "submit", "-"},
		{"call", "s", "k", "--caller", "c", "--payload", "1"},
	} {
		ctx, cancel := context.WithCancel(t.Context())
		aborting := startFakeEntry(t, func(http.ResponseWriter, *http.Request) {
			cancel()
			panic(http.ErrAbortHandler)
		})
		assert.Equal(t, runApp(ctx, app{}, aborting, jobFile, args...).code, exit.MayHaveRun)
		unreachable := map[string]string{"CICADAPULLEY_ENTRY": "http://127.0.0.1:1"}
		assert.Equal(t, run(t, unreachable, jobFile, append(args, "--timeout", "10ms")...).code, exit.Unreachable)
	}
}

// A job whose answer is lost must be resent with its id. A call must be sent
// only once, because the user has not allowed it to run twice.
func TestLostAnswersAreResentForJobsOnly(t *testing.T) {
	bodies := make(chan string, 4)
	var requests atomic.Int32
	env := startFakeEntry(t, func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		bodies <- string(data)
		if requests.Add(1) == 1 || r.URL.Path != "/v1/jobs" {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, `{"id":"j","state":"complete","verdict":"ran"}`)
	})
	assert.Equal(t, run(t, env, jobFile, "job", "submit", "-").code, exit.OK)
	assert.Equal(t, <-bodies, jobFile)
	assert.Equal(t, <-bodies, jobFile)
	assert.Equal(t, run(t, env, "", "call", "s", "k", "--caller", "c").code, exit.MayHaveRun)
	assert.Equal(t, requests.Load(), int32(3))
}

// A call without its caller, id and deadline in the headers could run more than once
// when it is repeated.
func TestCallSendsItsIdentity(t *testing.T) {
	env := startFakeEntry(t, func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, cmp.Equal(r.URL.Path, "/v1/call/shop/hold"))
		assert.Check(t, cmp.Equal(r.Header.Get(callers.HeaderCaller), "web"))
		assert.Check(t, cmp.Equal(r.Header.Get(callers.HeaderRequestID), "h1"))
		assert.Check(t, cmp.Equal(r.Header.Get(callers.HeaderDeadlineMS), "1500"))
		_, _ = io.Copy(w, r.Body)
	})
	got := run(t, env, `{"sku":1}`, "call", "shop", "hold", "--caller", "web", "--id", "h1", "--deadline", "1500ms", "--payload", "@-")
	assert.Equal(t, got.code, exit.OK, got.stderr)
	assert.Equal(t, got.stdout, "{\"sku\":1}\n")
}

// A usage error must not be reported as a failure of the system, and no request
// may be sent.
func TestUsageErrors(t *testing.T) {
	env := startFakeEntry(t, func(http.ResponseWriter, *http.Request) { t.Error("a request was sent") })
	for _, args := range [][]string{
		{"nosuch"}, {"job"}, {"ticket", "nosuch"}, {"status", "--nope"}, {"status", "extra"}, {"status"},
		{"endpoints", "--control", "a:1", "--output", "xml"}, {"job", "show", "j"}, {"job", "submit", "/nonexistent"},
		{"job", "submit", "-", "--entry", "10.0.0.1"}, {"call", "s", "k", "--caller", "c", "--payload", "{"},
		{"timeline"}, {"timeline", "--job", "j", "--format", "pdf"}, {"timeline", "--caller", "c", "--ticket", "1"},
		{"ticket", "show", "0"}, {"status", "--control", "a:1", "--cert", "x"}, {"status", "--control", "a:1", "--timeout", "0s"},
		{"job", "submit", "-"},
	} {
		got := run(t, env, `{"id":"j","caller":"c","service":"s","task":[]}`, args...)
		assert.Equal(t, got.code, exit.Usage, "%v: %s", args, got.stderr)
	}
}
