package dev

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/daemon/dev/standin"
)

// startSystem runs a small system until the test ends.
func startSystem(t *testing.T) *System {
	ctx, cancel := context.WithCancel(context.Background())
	lines, ready := io.Pipe()
	s, err := New(ctx, Options{
		Listen:   []string{"127.0.0.1:0"},
		Data:     t.TempDir(),
		Controls: 1,
		Speeds:   []float64{1},
		Slots:    1,
		Logger:   zap.NewNop(),
		Ready:    ready,
	})
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
	line, err := bufio.NewReader(lines).ReadString('\n')
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(line, "ready http://"), line)
	return s
}

func request(s *System, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.serveAPI(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

// TestEndpointBehaviour guards against an invalid mode or speed that is accepted:
// the experiment would then run without its fault.
func TestEndpointBehaviour(t *testing.T) {
	s := startSystem(t)
	for _, body := range []string{`{"mode":"slow"}`, `{"mode":""}`, `{"speed":0}`, `{"mode":7}`, `{`} {
		w := request(s, http.MethodPut, "/dev/endpoints/worker-1", body)
		assert.Equal(t, w.Code, http.StatusBadRequest, body)
		assert.Equal(t, s.endpoints["worker-1"].Behaviour(), standin.Behaviour{Mode: standin.Normal, Speed: 1}, body)
	}
	for _, mode := range []standin.Mode{standin.Fail, standin.Silent, standin.Normal} {
		w := request(s, http.MethodPut, "/dev/endpoints/worker-1", `{"mode":"`+string(mode)+`"}`)
		assert.Equal(t, w.Code, http.StatusOK, mode)
		assert.Equal(t, s.endpoints["worker-1"].Behaviour().Mode, mode)
	}
}

// TestRoleMetrics guards against a role whose metrics are missing, or can't be
// collected, so that its alerts never fire.
func TestRoleMetrics(t *testing.T) {
	s := startSystem(t)
	expected := map[string][]string{
		"control-1": {
			"cicadapulley_control_leads 1",
			"cicadapulley_control_leader_known 1",
			"cicadapulley_control_voters 1",
			`cicadapulley_control_members{role="entry",state="live"} 1`,
			`cicadapulley_control_members{role="agent",state="live"} 1`,
			`cicadapulley_control_jobs{state="running"} 0`,
		},
		"entry-1":  {"cicadapulley_lease_valid 1", "cicadapulley_entry_quarantined_endpoints 0"},
		"worker-1": {"cicadapulley_lease_valid 1", "cicadapulley_agent_slots 1"},
	}
	for id, lines := range expected {
		w := request(s, http.MethodGet, "/dev/processes/"+id+"/metrics", "")
		assert.Equal(t, w.Code, http.StatusOK)
		for _, line := range lines {
			assert.Assert(t, strings.Contains(w.Body.String(), "\n"+line+"\n"), "%s: %s is missing", id, line)
		}
	}
}

// TestAlertsNameKnownMetrics guards against an example alert on a metric or
// event that no process exports: it would never fire.
func TestAlertsNameKnownMetrics(t *testing.T) {
	s := startSystem(t)
	rules, err := os.ReadFile("../../examples/alerts.yml")
	assert.NilError(t, err)
	exported := ""
	for _, id := range []string{"control-1", "entry-1", "worker-1"} {
		exported += request(s, http.MethodGet, "/dev/processes/"+id+"/metrics", "").Body.String()
	}
	for _, name := range regexp.MustCompile(`cicadapulley_[a-z_]+`).FindAllString(string(rules), -1) {
		assert.Assert(t, strings.Contains(exported, "# TYPE "+name+" "), "no process exports %s", name)
	}
	for _, label := range regexp.MustCompile(`event=~?"([a-z_|]+)"`).FindAllStringSubmatch(string(rules), -1) {
		for name := range strings.SplitSeq(label[1], "|") {
			assert.Assert(t, strings.Contains(exported, `cicadapulley_events_total{event="`+name+`"}`), "no event %s", name)
		}
	}
}
