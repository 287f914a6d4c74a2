package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/callers"
	"github.com/cicadapulley/cicadapulley/daemon/dev/standin"
)

var smallSize = Size{Controls: 3, Entries: 2, Agents: 3, Slots: 4}

// runCluster runs fn with a started cluster in a synctest bubble.
func runCluster(t *testing.T, s Size, fn func(t *testing.T, ctx context.Context, c *Cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
		defer cancel()
		c := New(s)
		defer c.Close()
		assert.NilError(t, c.Start(ctx))
		fn(t, ctx, c)
	})
}

// echoTask returns a task that outputs echo.
func echoTask(kind string, ms int, echo string) callers.Task {
	return callers.Task{Kind: kind, Payload: json.RawMessage(fmt.Sprintf(`{"ms":%d,"echo":%q}`, ms, echo))}
}

// sleepJob returns a job whose tasks have distinct outputs.
func sleepJob(caller, id string, tasks, ms int, deadline time.Duration) callers.Submission {
	s := callers.Submission{ID: id, Caller: caller, Service: ServiceName, DeadlineMS: deadline.Milliseconds()}
	for i := range tasks {
		s.Tasks = append(s.Tasks, echoTask(standin.KindSleep, ms, echoOf(caller, id, i)))
	}
	return s
}

func echoOf(caller, id string, task int) string { return fmt.Sprintf("%s/%s/%d", caller, id, task) }

// TestJobCompletes guards against a cluster that cannot complete a job although no
// fault is injected.
func TestJobCompletes(t *testing.T) {
	runCluster(t, smallSize, func(t *testing.T, ctx context.Context, c *Cluster) {
		caller := c.Caller("a")
		defer caller.Close()
		r, err := caller.Submit(ctx, EntryID(0), sleepJob("a", "1", 20, 50, 5*time.Second), true)
		assert.NilError(t, err)
		assert.Assert(t, r.Final())
		assert.Equal(t, r.Answer.State, "complete")
		assert.Equal(t, len(c.Starts.OfJob(caller.Key("1"))), 20)
	})
}
