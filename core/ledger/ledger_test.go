package ledger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadapulley/cicadapulley/core/testseed"
	"github.com/cicadapulley/cicadapulley/core/work"
)

func TestMain(m *testing.M) { testseed.Main(m) }

func job(id string, tasks int) *work.Job {
	return &work.Job{ID: work.JobID(id), Queue: "q", MaxAttempts: 2, Spec: "text", Steps: []work.Step{{Tasks: tasks}}}
}

func end(id string, index int, run uint64, reason work.EndReason) work.End {
	return work.End{Run: work.Run{Task: work.TaskID{Job: work.JobID(id), Index: index}, Number: run}, Reason: reason}
}

func ends(list ...work.End) Command { return Command{Ends: list} }

// TestResentJobIsOneJob guards against a job that runs again because its
// submission is resent after the answer.
func TestResentJobIsOneJob(t *testing.T) {
	m := New()
	assert.Assert(t, m.Apply(1, Command{Accept: job("a", 1)}).Changed)
	m.Apply(2, ends(end("a", 0, 1, work.Done)))
	assert.Assert(t, !m.Apply(3, Command{Accept: job("a", 1)}).Changed)
	assert.Equal(t, m.Job("a").State, work.Completed)
}

// TestCompletedNeedsAllTasks guards against a job that is reported as completed
// while a task is not done.
func TestCompletedNeedsAllTasks(t *testing.T) {
	m := New()
	m.Apply(1, Command{Accept: job("a", 2)})
	assert.Equal(t, len(m.Apply(2, ends(end("a", 0, 1, work.Done), end("a", 0, 1, work.Done))).Closed), 0)
	assert.Equal(t, m.Job("a").State, work.Running)
	assert.DeepEqual(t, m.Apply(3, ends(end("a", 1, 2, work.Done))).Closed, []work.JobID{"a"})
}

// TestRepeatedFailureCountsOnce guards against one failure that two leaders
// report and that counts as two attempts.
func TestRepeatedFailureCountsOnce(t *testing.T) {
	m := New()
	m.Apply(1, Command{Accept: job("a", 1)})
	m.Apply(2, ends(end("a", 0, 1, work.Failed)))
	m.Apply(3, ends(end("a", 0, 1, work.Failed)))
	assert.Equal(t, m.Job("a").State, work.Running)
	assert.DeepEqual(t, m.Apply(4, ends(end("a", 0, 2, work.Failed))).Closed, []work.JobID{"a"})
	assert.Equal(t, m.Job("a").State, work.JobFailed)
}

// TestFailuresCountInAnyOrder guards against an attempt that is not counted because the
// failure of a later run is recorded first, as after a change of the leader, so that a
// task starts more often than its attempts allow.
func TestFailuresCountInAnyOrder(t *testing.T) {
	m := New()
	m.Apply(1, Command{Accept: job("a", 1)})
	m.Apply(2, ends(end("a", 0, 7, work.Failed)))
	s := m.Snapshot()
	m = New()
	m.Restore(s)
	m.Apply(3, ends(end("a", 0, 7, work.Failed)))
	assert.Equal(t, m.Job("a").State, work.Running, "a failure that is reported again counts once")
	assert.DeepEqual(t, m.Apply(4, ends(end("a", 0, 3, work.Failed))).Closed, []work.JobID{"a"})
	assert.Equal(t, m.Job("a").State, work.JobFailed)
}

// TestFormerFailuresCountOnce guards against a failure that a former version recorded,
// without its run number, and that counts again when it is reported again.
func TestFormerFailuresCountOnce(t *testing.T) {
	m := New()
	m.Restore(Snapshot{Jobs: []Record{{Job: *job("a", 1), State: work.Running, Tasks: []Task{{Failures: 1, LastRun: 5}}, Open: 1}}})
	m.Apply(1, ends(end("a", 0, 5, work.Failed)))
	assert.Equal(t, m.Job("a").State, work.Running)
	m.Apply(2, ends(end("a", 0, 6, work.Failed)))
	assert.Equal(t, m.Job("a").State, work.JobFailed)
}

// TestRemovalKeepsLaterEnrolment guards against an agent that is no longer enrolled
// although its endpoint runs tasks: it enrolled again while its removal was being
// committed. Replay and snapshots must keep the distinction.
func TestRemovalKeepsLaterEnrolment(t *testing.T) {
	agent := Agent{VM: "side-1", Address: "127.0.0.1:1"}
	for _, restore := range []bool{false, true} {
		m := New()
		m.Apply(1, Command{Enrol: &agent})
		absent := m.Enrolment("side-1")
		m.Apply(2, Command{Enrol: &agent})
		if restore {
			s := m.Snapshot()
			m = New()
			m.Restore(s)
		}
		assert.Assert(t, !m.Apply(3, Command{RemoveEnrolment: &absent}).Changed)
		assert.DeepEqual(t, m.EnrolledVMs(), []string{"side-1"})
		current := m.Enrolment("side-1")
		assert.Assert(t, m.Apply(4, Command{RemoveEnrolment: &current}).Changed)
		assert.Equal(t, len(m.EnrolledVMs()), 0)
		assert.Equal(t, m.Enrolment("side-1").Index, uint64(0))
	}
}

// TestFormerEnrolmentsAreRemoved guards against an agent that a former version has
// enrolled, without an index, and that is never removed.
func TestFormerEnrolmentsAreRemoved(t *testing.T) {
	m := New()
	m.Restore(Snapshot{Applied: 7, Enrolled: []Agent{{VM: "side-1"}, {VM: "side-2"}}})
	first, second := m.Enrolment("side-1"), m.Enrolment("side-2")
	m.Apply(8, Command{Enrol: &Agent{VM: "side-2"}})
	m.Apply(9, Command{RemoveEnrolment: &first})
	m.Apply(10, Command{RemoveEnrolment: &second})
	assert.DeepEqual(t, m.EnrolledVMs(), []string{"side-2"})
}

// TestFinalJobsStay guards against a final state that changes, and against a job
// that is forgotten before it is final.
func TestFinalJobsStay(t *testing.T) {
	m := New()
	m.Apply(1, Command{Accept: job("a", 1)})
	m.Apply(2, Command{Forget: []work.JobID{"a"}})
	assert.Assert(t, m.Job("a") != nil)
	assert.DeepEqual(t, m.Apply(3, Command{Cancel: "a"}).Closed, []work.JobID{"a"})
	m.Apply(4, ends(end("a", 0, 1, work.Done)))
	assert.Equal(t, m.Job("a").State, work.Cancelled)
	m.Apply(5, Command{Forget: []work.JobID{"a"}})
	assert.Assert(t, m.Job("a") == nil)
}

// TestHighestVersionWins guards against an older configuration that replaces a
// newer one.
func TestHighestVersionWins(t *testing.T) {
	m := New()
	assert.Assert(t, m.Apply(1, Command{Configure: &work.Configuration{Version: 7, Document: []byte("7")}}).Changed)
	assert.Assert(t, !m.Apply(2, Command{Configure: &work.Configuration{Version: 7, Document: []byte("other")}}).Changed)
	assert.Assert(t, !m.Apply(3, Command{Configure: &work.Configuration{Version: 3}}).Changed)
	assert.Equal(t, string(m.Configuration().Document), "7")
}

// TestSnapshotKeepsEverything guards against state that is lost in a restart: a
// restored machine and the original stay equal under the same commands.
func TestSnapshotKeepsEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New()
		index := uint64(0)
		apply := func(m *Machine, list []Command) {
			for i, c := range list {
				m.Apply(index+uint64(i)+1, c)
			}
		}
		before := commands(t, "before")
		apply(a, before)
		index += uint64(len(before))
		b := New()
		b.Restore(a.Snapshot())
		after := commands(t, "after")
		apply(a, after)
		apply(b, after)
		assert.Equal(t, len(a.jobs), len(b.jobs))
		for id, r := range a.jobs {
			assert.DeepEqual(t, *r, *b.jobs[id])
		}
		assert.DeepEqual(t, a.Agents(), b.Agents())
		assert.Equal(t, a.Applied(), b.Applied())
		assert.DeepEqual(t, a.Drains(), b.Drains())
		for _, name := range dataCentres {
			assert.Equal(t, a.DrainRevision(name), b.DrainRevision(name))
		}
		assert.DeepEqual(t, a.Cancellations(), b.Cancellations())
	})
}

func commands(t *rapid.T, label string) []Command {
	ids := []string{"a", "b", "c"}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Command {
		id := rapid.SampledFrom(ids).Draw(t, "id")
		switch rapid.IntRange(0, 7).Draw(t, "kind") {
		case 0:
			return Command{Accept: job(id, 2)}
		case 1:
			return Command{Cancel: work.JobID(id)}
		case 2:
			return Command{Enrol: &Agent{VM: id, Address: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "address")}}
		case 3:
			return Command{Remove: id}
		case 4:
			return Command{Configure: &work.Configuration{Version: rapid.Uint64Range(1, 5).Draw(t, "version"), Queues: []work.Queue{{Name: id, Timeout: time.Second}}}}
		case 5:
			return Command{Drain: &DrainCommand{
				DataCentre: rapid.SampledFrom(dataCentres).Draw(t, "data centre"), Drained: rapid.Bool().Draw(t, "drained"),
				Revision: rapid.Uint64Range(0, 20).Draw(t, "revision"),
			}}
		case 6:
			return Command{ForgetCancellations: rapid.Uint64Range(1, 20).Draw(t, "up to")}
		}
		reason := rapid.SampledFrom([]work.EndReason{work.Done, work.Failed, work.Stopped}).Draw(t, "how")
		return ends(end(id, rapid.IntRange(0, 2).Draw(t, "index"), rapid.Uint64Range(1, 4).Draw(t, "run"), reason))
	}), 0, 20).Draw(t, label)
}
