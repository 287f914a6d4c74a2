package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// submission returns a request to submit a job with one short task.
func submission(id string, bestEffort bool) *mesh.Request {
	step := work.Step{Tasks: 1, Need: work.Resources{CPU: 1000}, Estimate: 10 * time.Millisecond}
	return &mesh.Request{Operation: mesh.Submit, Host: "h", Path: "/q/" + id, Job: &work.Job{BestEffort: bestEffort, Steps: []work.Step{step}}}
}

// TestMemoryBoundsWhatIsAccepted guards against a leader that accepts jobs and larger configurations
// until its process is killed, and against one that then refuses what it has accepted or what
// frees memory.
func TestMemoryBoundsWhatIsAccepted(t *testing.T) {
	c := newCluster(t, 3)
	version := uint64(0)
	c.withStableLeader(func(t testing.TB, leader int) {
		for _, m := range c.managers { // a former attempt may have left it set
			c.eventually("the VM knows a leader", m.Ready)
			m.service.Load().memory.short.Store(false)
		}
		version += 2
		present, next := configuration(version), configuration(version+1)
		c.configure(leader, version)
		agent, _ := c.joinAgent(leader)
		defer agent.Close()
		s := c.managers[leader].service.Load()
		jobID := func(n uint64) string { return fmt.Sprintf("%015x%x", version, n) }
		submit := func(id string) mesh.Outcome { return s.submitOrCancel(t.Context(), submission(id, false)).Outcome }
		known, other := jobID(1), jobID(2)
		assert.Equal(t, submit(known), mesh.Accepted)

		s.memory.short.Store(true)
		r := s.submitOrCancel(t.Context(), submission(other, false))
		assert.Equal(t, r.Outcome, mesh.Overloaded)
		assert.Assert(t, r.RetryAfterMS > 0)
		assert.Equal(t, submit(known), mesh.Accepted, "a job that is stored stays accepted")
		best := submission(jobID(3), true)
		assert.Equal(t, s.placeBestEffort(nil, target{}, best).Outcome, mesh.Overloaded)
		best.PriorState = placement.PriorState{SentToLeader: true}
		best.Job.ID = work.JobID(jobID(3))
		assert.Assert(t, s.placeBestEffort(nil, target{}, best) == nil, "a job that may have run is never refused")
		s.memory.short.Store(false)
		assert.Equal(t, submit(other), mesh.Accepted)

		s.memory.short.Store(true)
		next.Document = fmt.Append(present.Document, " ")
		err := c.managers[(leader+1)%3].Configure(t.Context(), next)
		assert.Assert(t, errors.Is(err, ErrUnavailable), "%v", err)
		assert.ErrorContains(t, err, errMemory.Error())
		next.Document = present.Document
		assert.NilError(t, c.managers[leader].Configure(t.Context(), next), "one of the same size takes no more memory")
		cancel := s.submitOrCancel(t.Context(), &mesh.Request{Operation: mesh.Cancel, Host: "h", Path: "/q/" + known})
		assert.Equal(t, cancel.Outcome, mesh.Accepted)
	})
}

// TestMemoryMonitor guards against a monitor that lets more be accepted between two collections than
// there is memory for, and one that does not notice that memory is free again.
func TestMemoryMonitor(t *testing.T) {
	log := events.NewLog("control", testLogger(), events.NewClock())
	h := heap{}
	m := newMemoryMonitor(100<<20, log)
	m.read = func() heap { return h }
	at := time.Now()
	for _, step := range []struct {
		live  int64
		short bool
	}{{10, false}, {34, false}, {36, true}, {60, true}, {10, false}} {
		h = heap{live: step.live << 20, collections: 1}
		at = at.Add(memoryInterval)
		m.check(at)
		assert.Equal(t, m.isShort(), step.short, "%+v", step)
	}
	large := &work.Job{Steps: []work.Step{{Tasks: 80_000}}}
	m.accept(large)
	assert.Assert(t, !m.isShort(), "25 MB of 35 are free by the last collection")
	m.accept(large)
	assert.Assert(t, m.isShort(), "before a collection shows it")
	h.live, h.collections = 20<<20, 2
	m.check(at.Add(memoryInterval))
	assert.Assert(t, m.isShort(), "the collection may not have seen all of it")
	h.collections = 3
	m.check(at.Add(2 * memoryInterval))
	assert.Assert(t, !m.isShort())
	assert.Equal(t, log.Count(events.MemoryShort), uint64(1))
	assert.Equal(t, log.Count(events.MemoryAvailable), uint64(1))
	unlimited := newMemoryMonitor(0, log)
	unlimited.accept(large)
	unlimited.check(at)
	assert.Assert(t, !unlimited.isShort())
}
