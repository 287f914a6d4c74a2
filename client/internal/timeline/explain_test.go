package timeline

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const sampleLogs = `
  3.0220 frontend-1 {"level":"warn","ts":"2026-12-04T10:00:02.900000000Z","msg":"request_refused","process":"frontend-1","event":443,"caller":"","job":"a1","detail":"come back in 1000ms"}
not a log line
{"level":"info","ts":"2026-12-04T10:00:01.000000000Z","msg":"leader_lost","process":"core-1","event":311}
{"level":"info","ts":"2026-12-04T10:00:01.000000000Z","msg":"leader_lost","process":"other","event":311}
{"level":"info","ts":"2026-12-04T10:00:03.100000000Z","msg":"work_refused","process":"core-1","event":351,"caller":"","job":"a1","detail":"queue q expected 255ms limit 226ms"}
{"level":"info","ts":"2026-12-04T10:00:03.000000000Z","msg":"run_ordered","process":"core-1","event":356,"caller":"","job":"b2","task":0,"peer":"side-1"}
{"level":"info","ts":"2026-12-04T09:00:03.000000000Z","msg":"leader_lost","process":"core-1","event":311}
`

// TestExplainOrdersByCause guards against an answer listed before the decision
// that caused it, because one clock is behind, and against events of other jobs.
func TestExplainOrdersByCause(t *testing.T) {
	events, skipped, err := ReadLogs(strings.NewReader(sampleLogs))
	assert.NilError(t, err)
	assert.Equal(t, skipped, 2)
	explanation := Explain("a1", events)
	var names []string
	for _, e := range explanation.Events {
		names = append(names, e.Process+" "+e.Name)
	}
	assert.DeepEqual(t, names, []string{"core-1 leader_lost", "core-1 work_refused", "frontend-1 request_refused"})
	assert.Equal(t, explanation.ClockSkew["frontend-1"], 200*time.Millisecond)
}

// TestExplainUnknownJob guards against events of other jobs in the explanation.
func TestExplainUnknownJob(t *testing.T) {
	events, _, err := ReadLogs(strings.NewReader(sampleLogs))
	assert.NilError(t, err)
	assert.Equal(t, len(Explain("c3", events).Events), 0)
}

// FuzzReadLogs guards against a crash on damaged logs.
func FuzzReadLogs(f *testing.F) {
	f.Add(sampleLogs)
	f.Fuzz(func(t *testing.T, text string) {
		events, _, err := ReadLogs(strings.NewReader(text))
		if err == nil {
			Explain("a1", events)
		}
	})
}
