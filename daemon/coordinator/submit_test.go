package coordinator

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// TestRecordedMeanwhileIsNotRefused guards against a submission that is refused as one that never runs, although
// another submission of the same job was recorded between its look-up and its admission.
func TestRecordedMeanwhileIsNotRefused(t *testing.T) {
	for _, short := range []bool{true, false} {
		t.Run(fmt.Sprintf("memory-short-%t", short), func(t *testing.T) {
			c := newCluster(t, 3)
			version := uint64(0)
			c.withStableLeader(func(t testing.TB, leader int) {
				version++
				c.configure(leader, version)
				if short {
					agent, _ := c.joinAgent(leader)
					defer agent.Close()
				}
				s := c.managers[leader].service.Load()
				id := fmt.Sprintf("%016x", 0xa0+version)
				second := submission(id, false)
				found, outcome := s.resolve(second)
				assert.Equal(t, outcome, mesh.Outcome(0))
				if short {
					assert.Equal(t, s.submitOrCancel(t.Context(), submission(id, false)).Outcome, mesh.Accepted)
					s.memory.short.Store(true)
				} else {
					// Recorded by its first submission, when there was room; by now there is no endpoint left.
					_, err := s.propose(t.Context(), acceptCommand(second.Job, found))
					assert.NilError(t, err)
				}
				r := &mesh.Response{}
				s.submit(t.Context(), found, second, r)
				s.memory.short.Store(false)
				found, _ = s.resolve(second)
				assert.Assert(t, found.known && found.state != work.Cancelled)
				assert.Assert(t, !r.Outcome.NotRun(), "outcome %d, retry after %d ms, for a job that is recorded", r.Outcome, r.RetryAfterMS)
			})
		})
	}
}

func acceptCommand(j *work.Job, found target) ledger.Command {
	job := *j
	job.AssignQueue(&found.queue, found.id)
	return ledger.Command{Accept: &job}
}
