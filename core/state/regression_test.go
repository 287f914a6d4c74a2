package state

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// script applies commands at given times to one machine.
type script struct {
	*Machine
}

func (s script) at(seconds int64, c Command) Result {
	c.Now = time.Unix(seconds, 0)
	return s.Apply(s.Applied()+1, c)
}

func register(id string, role Role) Command {
	return Command{Register: &RegisterMember{Member{ID: id, Role: role, Incarnation: 1}}}
}

func expire(id string) Command {
	return Command{EndMember: &EndMember{id, 1, MemberExpired}}
}

func accept(id string, deadline int64) Command {
	return Command{AcceptJob: &AcceptJob{job.Record{
		Key: job.Key{Caller: "c", ID: id}, Owner: "e", OwnerIncarnation: 1,
		Tasks: make([]job.Task, 1), Deadline: time.Unix(deadline, 0),
	}}}
}

func fail(id string) Command {
	return Command{FinishJob: &FinishJob{job.Key{Caller: "c", ID: id}, 1, job.Outcome{State: job.Failed}}}
}

// Guards against a finished job with a distant deadline that prevents all later
// jobs from being forgotten.
func TestDistantDeadlineHoldsBackNoOtherJob(t *testing.T) {
	s := script{New(testRetention)}
	s.at(0, register("e", RoleEntry))
	s.at(0, accept("distant", 1_000_000))
	s.at(0, fail("distant"))
	s.at(0, accept("other", 1))
	s.at(0, fail("other"))
	s.at(100, Command{})
	_, kept := s.Job(job.Key{Caller: "c", ID: "other"})
	assert.Assert(t, !kept)
	_, kept = s.Job(job.Key{Caller: "c", ID: "distant"})
	assert.Assert(t, kept)
}

// Guards against a takeover that misses an agent that ran tasks of the job,
// because the agent's record was pruned while the job was running.
func TestEndedMemberIsKeptForRunningJob(t *testing.T) {
	s := script{New(Retention{EndedMembers: time.Second, EndedBatch: 1, Tickets: 1})}
	s.at(0, register("e", RoleEntry))
	s.at(0, register("agent", RoleAgent))
	job1 := s.at(0, accept("long", 1000)).Record
	s.at(1, expire("agent"))
	s.at(500, register("other", RoleAgent))
	agent, kept := s.Member("agent")
	assert.Assert(t, kept && agent.MayHaveLostStarts(job1.AcceptedIndex))
	s.at(500, fail("long"))
	s.at(501, expire("other"))
	_, kept = s.Member("agent")
	assert.Assert(t, !kept)
}

// Guards against a watcher that keeps an ended member after the machine has
// forgotten it: the watcher's list of members would grow without bound.
func TestWatcherForgetsPrunedMember(t *testing.T) {
	s := script{New(Retention{EndedMembers: time.Second, EndedBatch: 1, Tickets: 1})}
	s.at(0, register("agent", RoleAgent))
	s.at(0, expire("agent"))
	watcher, _ := NewReplica().Merge(s.View(0, ""))
	s.at(10, register("other", RoleAgent))
	watcher, _ = watcher.Merge(s.View(watcher.Revision, ""))
	assert.DeepEqual(t, watcher.Members, s.members)
}

// Guards against one ticket with a mistakenly huge number that makes every later
// ticket stale once it leaves the history.
func TestHugeTicketNumberBlocksNoOtherObject(t *testing.T) {
	s := script{New(testRetention)}
	apply := func(number uint64, caller string) TicketStatus {
		tk := Ticket{Number: number, Quotas: []Quota{{Caller: caller}}}
		return s.at(0, Command{ApplyTicket: &ApplyTicket{Ticket: tk, Digest: [32]byte{byte(number)}}}).Ticket.Status
	}
	assert.Equal(t, apply(math.MaxUint64, "typo"), TicketApplied)
	for n := uint64(1); n <= 20; n++ {
		assert.Equal(t, apply(n, "c"), TicketApplied)
	}
	assert.Equal(t, apply(math.MaxUint64, "c"), TicketStale)
	assert.Equal(t, apply(3, "fresh"), TicketStale)
	assert.Equal(t, s.HighestTicket(), uint64(math.MaxUint64))
}

// Guards against a committed outcome that is not final or lacks results and makes
// every replica panic, again at each replay of the log.
func TestUnfinishedOutcomeIsRefused(t *testing.T) {
	for _, out := range []job.Outcome{
		{State: job.Running},
		{State: 77},
		{State: job.Complete},
		{State: job.Complete, Results: make([]job.TaskResult, 1)},
	} {
		t.Run(fmt.Sprint(uint8(out.State), len(out.Results)), func(t *testing.T) {
			s := script{New(testRetention)}
			s.at(0, register("e", RoleEntry))
			r := s.at(0, accept("j", 9)).Record
			res := s.at(0, Command{FinishJob: &FinishJob{r.Key, 1, out}})
			assert.Assert(t, !res.Finished)
		})
	}
}

// Guards against a second run of a job whose answer was dropped to limit memory:
// its key must be kept, also in a snapshot.
func TestDroppedAnswerKeepsItsKey(t *testing.T) {
	s := script{New(Retention{FinishedJobs: time.Minute, FinishedBytes: 1, DroppedJobs: 1, Tickets: 1})}
	s.at(0, register("e", RoleEntry))
	s.at(0, accept("first", 1))
	s.at(0, fail("first"))
	s.at(10, accept("second", 1))
	assert.Equal(t, s.at(11, accept("first", 1)).Accept, Existing)
	s.Machine = Restore(s.retention, s.Snapshot())
	res := s.at(12, accept("first", 1))
	assert.Equal(t, res.Accept, Existing)
	assert.Assert(t, res.Record.AnswerDropped)
	s.at(100, Command{})
	assert.Equal(t, s.at(101, accept("first", 1)).Accept, Accepted)
}
