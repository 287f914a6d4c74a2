package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/placement"
)

// TestNotRunIsReplacedIfJobMayHaveRun guards against an answer that says that a job
// has not run although an earlier leader received it and may have started it.
func TestNotRunIsReplacedIfJobMayHaveRun(t *testing.T) {
	for _, outcome := range []mesh.Outcome{mesh.Overloaded, mesh.NotReady, mesh.NoQueue, mesh.NoLeader} {
		assert.Equal(t, ReplaceNotRun(&mesh.Response{Outcome: outcome}, true).Outcome, mesh.Uncertain)
		assert.Equal(t, ReplaceNotRun(&mesh.Response{Outcome: outcome}, false).Outcome, outcome)
	}
	for _, outcome := range []mesh.Outcome{mesh.Accepted, mesh.Found, mesh.NoJob} {
		assert.Equal(t, ReplaceNotRun(&mesh.Response{Outcome: outcome}, true).Outcome, outcome)
	}
}

// TestMayHaveRunOutlastsPriorState guards against a refusal that says that a job has not run, because the planner that
// had it last reports nothing of what an earlier leader may have started.
func TestMayHaveRunOutlastsPriorState(t *testing.T) {
	for _, prior := range []placement.PriorState{{SentToLeader: true}, {Started: true}, {RunsEnded: true}} {
		f := &forwarding{}
		f.returned(prior)
		f.returned(placement.PriorState{})
		assert.Assert(t, f.mayHaveRun, "%+v", prior)
	}
	f := &forwarding{}
	f.returned(placement.PriorState{})
	assert.Assert(t, !f.mayHaveRun)
}
