package harness

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/callers"
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/verdict"
	"github.com/cicadapulley/cicadapulley/daemon/dev/standin"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/transport"
)

// scenario is a cluster with one caller and a checker.
type scenario struct {
	*testing.T
	ctx     context.Context
	cluster *Cluster
	caller  *Caller
	checker *Checker
}

func runScenario(t *testing.T, fn func(s *scenario)) {
	t.Helper()
	t.Parallel()
	runCluster(t, smallSize, func(t *testing.T, ctx context.Context, c *Cluster) {
		s := &scenario{t, ctx, c, c.Caller("a"), NewChecker(c)}
		defer s.caller.Close()
		fn(s)
		s.checker.CheckStarts()
		for _, v := range s.checker.Violations() {
			t.Errorf("%s\n%s", v.Text, c.Timeline(v.Job))
		}
	})
}

// startJob submits a job to an entry and returns once some of its tasks run.
func (s *scenario) startJob(entry string, sub callers.Submission) *TrackedJob {
	t := &TrackedJob{Key: s.caller.Key(sub.ID), Tasks: sub.Tasks, Deadline: time.Duration(sub.DeadlineMS) * time.Millisecond}
	s.checker.Track(t)
	reply := s.submit(entry, t, false)
	assert.Equal(s, reply.Status, http.StatusAccepted)
	time.Sleep(50 * time.Millisecond)
	assert.Assert(s, len(s.cluster.Starts.OfJob(t.Key)) > 0, "no task started")
	return t
}

// submit sends a job once and checks the answer.
func (s *scenario) submit(entry string, t *TrackedJob, wait bool) *Reply {
	before := s.checker.RecordSubmission(t)
	reply, err := s.caller.Submit(s.ctx, entry, callers.Submission{
		ID: t.Key.ID, Caller: t.Key.Caller, Service: ServiceName, DeadlineMS: t.Deadline.Milliseconds(), Tasks: t.Tasks,
	}, wait)
	assert.NilError(s, err)
	s.checker.CheckReply(t, reply, before)
	return reply
}

// awaitFinal resubmits a job to each running entry until its answer is final, and
// fails the test if that takes longer than within. The checker compares the answers.
func (s *scenario) awaitFinal(t *TrackedJob, within time.Duration) *callers.Answer {
	began := time.Now()
	var answer *callers.Answer
	for i := range s.cluster.size.Entries {
		if s.cluster.Process(EntryID(i)).Current() == nil {
			continue
		}
		for {
			reply := s.submit(EntryID(i), t, true)
			if reply.Final() {
				answer = reply.Answer
				break
			}
			assert.Assert(s, time.Since(began) < within, "no answer after %s: %+v", within, reply)
			time.Sleep(50 * time.Millisecond)
		}
		assert.Assert(s, time.Since(began) < within, "the answer took %s", time.Since(began))
	}
	return answer
}

func (s *scenario) kill(ids ...string) {
	for _, id := range ids {
		s.cluster.Process(id).Kill()
	}
}

// leader waits for a leading control VM and returns its ID.
func (s *scenario) leader() string {
	for {
		for i := range s.cluster.size.Controls {
			if incarnation := s.cluster.Process(ControlID(i)).Current(); incarnation != nil && incarnation.Control.Replica().Leading() {
				return ControlID(i)
			}
		}
		assert.Assert(s, sleepContext(s.ctx, operatorRetryDelay))
	}
}

func (s *scenario) otherControls(id string) []string {
	var list []string
	for i := range s.cluster.size.Controls {
		if ControlID(i) != id {
			list = append(list, ControlID(i))
		}
	}
	return list
}

// TestKilledProcessSendsNothing guards against a harness fault that would make the
// other tests meaningless: a killed process that still sends, answers or writes.
func TestKilledProcessSendsNothing(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.kill(EntryID(1))
		s.startJob(EntryID(0), sleepJob("a", "1", 100, 200, 30*time.Second))
		s.kill(EntryID(0))
		time.Sleep(2 * LinkDelay)
		before := len(s.cluster.Starts.All())
		time.Sleep(time.Minute)
		assert.Equal(s, len(s.cluster.Starts.All()), before)
	})
}

// TestRefusalWithoutControl guards against a refusal with a false not_run: without
// control, an entry can't find out whether a job with the same ID runs at another
// entry (soak seed 1049, jobs caller-0/128-0 and caller-1/114-0).
func TestRefusalWithoutControl(t *testing.T) {
	runScenario(t, func(s *scenario) {
		j := s.startJob(EntryID(0), sleepJob("a", "1", 6, 20_000, 60*time.Second))
		for i := range s.cluster.size.Controls {
			for other := range i {
				s.cluster.Cut(ControlID(i), ControlID(other))
			}
		}
		time.Sleep(3 * time.Second) // the old leader steps down
		reply := s.submit(EntryID(1), j, false)
		assert.Assert(s, reply.Refusal != nil, "status %d", reply.Status)
		assert.Equal(s, reply.Refusal.Verdict, verdict.MayHaveRun.String())
	})
}

// setQuota limits the caller's tasks at each entry.
func (s *scenario) setQuota(tasks int64) {
	o := s.cluster.Operator("operator")
	defer o.Close()
	quota := &rpc.Ticket{Number: 7, Author: "ann", Quotas: []*rpc.Quota{{Caller: s.caller.Name, Weight: 1, MaxTasks: tasks}}}
	_, err := o.ApplyTicket(s.ctx, &rpc.ApplyTicketRequest{Ticket: quota})
	assert.NilError(s, err)
	time.Sleep(time.Second) // in force everywhere
}

// TestRefusalDuringRecording guards against a refusal while another entry is still
// recording a job with the same ID: entry 1 waits for control, and entry 2, whose
// quota is used up, must answer for the job that is then recorded.
func TestRefusalDuringRecording(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.setQuota(6)
		s.startJob(EntryID(1), sleepJob("a", "fills-quota", 6, 2_000, 60*time.Second))
		for i := range s.cluster.size.Controls {
			s.cluster.Silence(EntryID(0), ControlID(i))
		}
		sub := sleepJob("a", "both", 3, 100, 60*time.Second)
		recording := make(chan *Reply, 1)
		go func() {
			reply, _ := s.caller.Submit(s.ctx, EntryID(0), sub, true)
			recording <- reply
		}()
		time.Sleep(50 * time.Millisecond)
		joined, err := s.caller.Submit(s.ctx, EntryID(1), sub, true)
		assert.NilError(s, err)
		first := <-recording
		assert.Assert(s, first.Answer != nil && joined.Answer != nil, "status %d and %d", first.Status, joined.Status)
		assert.Equal(s, first.Answer.State, "complete")
		assert.Equal(s, joined.Answer.State, "complete")
	})
}

// TestConcurrentRefusalsDoNotBlock guards against entries that refuse the same ID
// and wait for each other's submission.
func TestConcurrentRefusalsDoNotBlock(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.setQuota(2)
		sub := sleepJob("a", "both", 3, 100, time.Minute)
		answers := make(chan *Reply, 2)
		began := time.Now()
		for i := range 2 {
			go func() {
				reply, _ := s.caller.Submit(s.ctx, EntryID(i), sub, false)
				answers <- reply
			}()
		}
		for range 2 {
			reply := <-answers
			assert.Assert(s, reply.Refusal != nil)
			assert.Equal(s, reply.Refusal.Verdict, verdict.NotRun.String())
		}
		assert.Assert(s, time.Since(began) < time.Second, "took %s", time.Since(began))
	})
}

// TestEntryKilled guards against a takeover that starts a task twice or loses
// results that the agents hold, before and after the job's deadline.
func TestEntryKilled(t *testing.T) {
	for _, deadline := range []time.Duration{time.Second, 30 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				// Few enough that all start at once: long tasks may not use all slots, so that
				// short ones do not wait.
				j := s.startJob(EntryID(0), sleepJob("a", "1", 6, 300, deadline))
				s.kill(EntryID(0))
				assert.Equal(s, s.awaitFinal(j, answerBound).State, "complete")
			})
		})
	}
}

// TestEntryKilledWithQueue guards against tasks that are lost with their entry's queue.
func TestEntryKilledWithQueue(t *testing.T) {
	runScenario(t, func(s *scenario) {
		j := s.startJob(EntryID(0), sleepJob("a", "1", 60, 300, 30*time.Second))
		s.kill(EntryID(0))
		assert.Equal(s, s.awaitFinal(j, answerBound).State, "complete")
		assert.Equal(s, len(s.cluster.Starts.OfJob(j.Key)), 60)
	})
}

// TestAgentKilled guards against a task that starts again after its agent was
// killed, and against a resubmission with another answer.
func TestAgentKilled(t *testing.T) {
	for name, restart := range map[string]bool{"killed": false, "restarted on the same address": true} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				j := s.startJob(EntryID(0), sleepJob("a", "1", 20, 700, 10*time.Second))
				s.kill(AgentID(0))
				if restart {
					assert.NilError(s, s.cluster.Process(AgentID(0)).Start())
				}
				answer := s.awaitFinal(j, answerBound)
				assert.Equal(s, answer.State, "failed")
				assert.Equal(s, answer.Verdict, verdict.MayHaveRun.String())
			})
		})
	}
}

// TestSilentAgentRestarts guards against a restarted agent that has lost its task
// table and denies the starts of its earlier incarnation.
func TestSilentAgentRestarts(t *testing.T) {
	runScenario(t, func(s *scenario) {
		j := s.startJob(EntryID(0), sleepJob("a", "1", 12, 3000, 20*time.Second))
		s.cluster.Silence(EntryID(0), AgentID(0))
		s.kill(AgentID(0))
		assert.NilError(s, s.cluster.Process(AgentID(0)).Start())
		assert.Equal(s, s.awaitFinal(j, answerBound).State, "failed")
	})
}

// TestEntryAndAnotherKilled guards against jobs that get no answer or a wrong one
// when two processes are killed at once.
func TestEntryAndAnotherKilled(t *testing.T) {
	for name, want := range map[string]string{"agent": "failed", "leader": "complete"} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				j := s.startJob(EntryID(0), sleepJob("a", "1", 12, 400, 20*time.Second))
				other := AgentID(1)
				if name == "leader" {
					other = s.leader()
				}
				s.kill(EntryID(0), other)
				assert.Equal(s, s.awaitFinal(j, 20*time.Second+answerBound).State, want)
			})
		})
	}
}

// TestLeaderKilled guards against running jobs that stop when the control leader is
// killed, and against an acceptance of new jobs that takes longer than an election.
func TestLeaderKilled(t *testing.T) {
	for name, agent := range map[string]bool{"alone": false, "with an agent": true} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				j := s.startJob(EntryID(0), sleepJob("a", "1", 20, 400, 10*time.Second))
				s.kill(s.leader())
				want := "complete"
				if agent {
					s.kill(AgentID(2))
					want = "failed"
				}
				assert.Equal(s, s.awaitFinal(j, answerBound).State, want)
				next := &TrackedJob{Key: s.caller.Key("2"), Tasks: sleepJob("a", "2", 2, 50, 0).Tasks, Deadline: 5 * time.Second}
				s.checker.Track(next)
				assert.Equal(s, s.awaitFinal(next, 8*time.Second).State, "complete")
			})
		})
	}
}

// TestSilentConnection guards against an answer that is lost with its connection,
// and against a second start to replace it.
func TestSilentConnection(t *testing.T) {
	runScenario(t, func(s *scenario) {
		// Few enough that all start at once: long tasks may not use all slots, so that
		// short ones do not wait.
		j := s.startJob(EntryID(0), sleepJob("a", "1", 6, 2500, 20*time.Second))
		for i := range s.cluster.size.Agents {
			s.cluster.Silence(EntryID(0), AgentID(i))
		}
		began := time.Now()
		assert.Equal(s, s.awaitFinal(j, answerBound).State, "complete")
		assert.Assert(s, time.Since(began) < 4*time.Second, "answers took %s over new connections", time.Since(began))
		assert.Assert(s, s.cluster.CountEvents(events.TaskFateLearned) >= 6)
	})
}

// TestAgentWithExpiredLease guards against a start after the agent's lease has
// expired on its own clock, when control may have reported the agent as ended.
func TestAgentWithExpiredLease(t *testing.T) {
	runScenario(t, func(s *scenario) {
		for i := range s.cluster.size.Controls {
			s.cluster.Cut(AgentID(0), ControlID(i))
		}
		time.Sleep(4100 * time.Millisecond)
		h := transport.NewClient(transport.ClientOptions{Network: s.cluster.Host("probe")})
		defer h.CloseIdleConnections()
		resp, err := rpc.NewAgentProtobufClient("http://"+address(AgentID(0)), h).Run(s.ctx, &rpc.RunRequest{
			Job: &rpc.JobKey{Caller: "a", Id: "1"}, Epoch: 1, Attempt: 1, Service: ServiceName,
			Kind: standin.KindSleep, Payload: []byte(`{"ms":1}`), TimeoutMs: 1000,
		})
		assert.NilError(s, err)
		assert.Equal(s, resp.Refusal.GetCode(), string(verdict.CodeLeaseExpired))
		assert.Equal(s, len(s.cluster.Starts.All()), 0)
	})
}

// TestNoMajority guards against a job that is accepted without a majority of control
// VMs, and against running jobs that stop when the majority is lost.
func TestNoMajority(t *testing.T) {
	runScenario(t, func(s *scenario) {
		j := s.startJob(EntryID(0), sleepJob("a", "1", 4, 2000, 10*time.Second))
		s.kill(ControlID(0), ControlID(1))
		reply := s.submit(EntryID(0), j, true)
		assert.Equal(s, reply.Answer.State, "complete")
		fresh := &TrackedJob{Key: s.caller.Key("2"), Tasks: sleepJob("a", "2", 2, 50, 0).Tasks, Deadline: 5 * time.Second}
		s.checker.Track(fresh)
		reply = s.submit(EntryID(0), fresh, true)
		assert.Equal(s, reply.Status, http.StatusServiceUnavailable)
		assert.Assert(s, reply.RetryAfter > 0)
		assert.Equal(s, len(s.cluster.Starts.OfJob(fresh.Key)), 0)
		for _, id := range []string{ControlID(0), ControlID(1)} {
			assert.NilError(s, s.cluster.Process(id).Start())
		}
		time.Sleep(10 * time.Second)
		assert.Equal(s, s.awaitFinal(fresh, answerBound).State, "failed")
		assert.Equal(s, len(s.cluster.Starts.OfJob(fresh.Key)), 0)
	})
}

// TestRepeatableCallWithoutMajority guards against repeatable calls, such as price
// checks, that fail while control has no majority.
func TestRepeatableCallWithoutMajority(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.kill(ControlID(0), ControlID(1))
		for i := range 20 {
			payload := echoTask(KindQuote, 20, "x").Payload
			reply, err := s.caller.Call(s.ctx, EntryID(0), KindQuote, fmt.Sprint(i), payload, 2*time.Second)
			assert.NilError(s, err)
			assert.Equal(s, reply.Status, http.StatusOK, "call %d after %d s: %+v", i, i, reply.Refusal)
			time.Sleep(time.Second)
		}
	})
}

// TestIsolatedLeader guards against an isolated leader that still answers, and
// against one that forces a new election when it reconnects.
func TestIsolatedLeader(t *testing.T) {
	runScenario(t, func(s *scenario) {
		old := s.leader()
		s.cluster.Isolate(old)
		time.Sleep(2 * time.Second)
		assert.Assert(s, !s.cluster.Process(old).Current().Control.Replica().Leading())
		next := s.leader()
		assert.Assert(s, slices.Contains(s.otherControls(old), next))
		time.Sleep(time.Minute)
		term := s.cluster.Process(next).Current().Control.Replica().Term()
		s.cluster.Reconnect(old)
		time.Sleep(20 * time.Second)
		assert.Equal(s, s.leader(), next)
		assert.Equal(s, s.cluster.Process(next).Current().Control.Replica().Term(), term)
	})
}

// TestFailedDisk guards against a control VM that keeps running after a failed sync.
func TestFailedDisk(t *testing.T) {
	runScenario(t, func(s *scenario) {
		leader := s.leader()
		p := s.cluster.Process(leader)
		incarnation := p.Current()
		p.disk.FailSyncs()
		j := &TrackedJob{Key: s.caller.Key("1"), Tasks: sleepJob("a", "1", 4, 50, 0).Tasks, Deadline: 10 * time.Second}
		s.checker.Track(j)
		assert.Equal(s, s.awaitFinal(j, answerBound).State, "complete")
		time.Sleep(DrainTimeout + 5*time.Second)
		assert.Assert(s, incarnation.Ended() && incarnation.Err() != nil, "control VM still runs after a failed sync")
		assert.Assert(s, s.leader() != leader)
	})
}

// TestResubmission guards against a second run of a job that is resubmitted while
// it runs or after its end, and against the answer of one job for another job with
// the same ID.
func TestResubmission(t *testing.T) {
	runScenario(t, func(s *scenario) {
		j := s.startJob(EntryID(0), sleepJob("a", "1", 6, 500, 10*time.Second))
		assert.Equal(s, s.awaitFinal(j, 3*time.Second).State, "complete")
		assert.Equal(s, s.awaitFinal(j, 3*time.Second).State, "complete")
		for _, entry := range []string{EntryID(0), EntryID(1)} {
			reply, err := s.caller.Submit(s.ctx, entry, sleepJob("a", "1", 5, 500, 10*time.Second), true)
			assert.NilError(s, err)
			assert.Equal(s, reply.Status, http.StatusConflict)
		}
		assert.Equal(s, len(s.cluster.Starts.OfJob(job.Key{Caller: "a", ID: "1"})), 6)
	})
}
