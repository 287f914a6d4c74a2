package harness

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cicadapulley/cicadapulley/api/callers"
	"github.com/cicadapulley/cicadapulley/core/verdict"
	"github.com/cicadapulley/cicadapulley/daemon/dev/standin"
)

const (
	soakCallers = 3
	// callPrefix distinguishes the IDs of calls from those of jobs at an entry.
	callPrefix = "call:"
	// burstJobs is the number of requests in a burst.
	burstJobs = 12
)

func isCall(t *TrackedJob) bool { return strings.HasPrefix(t.Key.ID, callPrefix) }

// startLoad starts the callers. They begin requests until ctx ends; each request
// runs until its end.
func (s *soak) startLoad(ctx context.Context) {
	for i := range soakCallers {
		caller := s.cluster.Caller(fmt.Sprintf("caller-%d", i))
		s.callers = append(s.callers, caller)
		s.work.Go(func() { s.runCaller(ctx, caller, s.newRand("load", i)) })
	}
}

func (s *soak) callerOf(t *TrackedJob) *Caller {
	for _, c := range s.callers {
		if c.Name == t.Key.Caller {
			return c
		}
	}
	return nil
}

func (s *soak) runCaller(ctx context.Context, c *Caller, r *rand.Rand) {
	for i := 0; sleepContext(ctx, time.Duration(40+r.IntN(260))*time.Millisecond); i++ {
		burst := 1
		if r.IntN(60) == 0 {
			burst = burstJobs
		}
		for n := range burst {
			id := fmt.Sprintf("%d-%d", i, n)
			own := rand.New(rand.NewPCG(r.Uint64(), 0))
			s.work.Go(func() { s.request(c, id, own) })
		}
	}
}

func (s *soak) request(c *Caller, id string, r *rand.Rand) {
	switch r.IntN(6) {
	case 0:
		s.callQuote(c, id, r)
	case 1:
		s.callHold(c, id, r)
	default:
		s.runJob(c, id, r)
	}
}

// submission returns a job of sleep tasks. In some jobs, the first task fails, has a
// wrong estimate or can't run.
func (s *soak) submission(c *Caller, id string, r *rand.Rand) callers.Submission {
	special := map[int]string{0: standin.KindFail, 1: KindHuge, 2: KindOrphan, 3: KindWrongEstimate, 4: KindWrongEstimate}[r.IntN(30)]
	sub := callers.Submission{ID: id, Caller: c.Name, Service: ServiceName, DeadlineMS: int64(1000 + r.IntN(4000))}
	for i := range 1 + r.IntN(8) {
		kind := standin.KindSleep
		if i == 0 && special != "" {
			kind = special
		}
		sub.Tasks = append(sub.Tasks, echoTask(kind, taskMS(r), echoOf(c.Name, id, i)))
	}
	return sub
}

// taskMS returns the run time of a task. One task in 40 is a straggler.
func taskMS(r *rand.Rand) int {
	if r.IntN(40) == 0 {
		return 1500
	}
	return 5 + r.IntN(120)
}

// runJob submits a job until it has a final answer, or gives up after not_run.
func (s *soak) runJob(c *Caller, id string, r *rand.Rand) {
	sub := s.submission(c, id, r)
	t := &TrackedJob{Key: c.Key(id), Tasks: sub.Tasks, Deadline: time.Duration(sub.DeadlineMS) * time.Millisecond}
	s.checker.Track(t)
	if r.IntN(8) == 0 {
		// Send the same submission at the same time through another entry.
		other := s.entryID(r.IntN(soakSize.Entries))
		s.work.Go(func() { s.submitOnce(c, t, other, 3*time.Second) })
	}
	for s.ctx.Err() == nil {
		timeout := time.Duration(200+r.IntN(6000)) * time.Millisecond
		reply := s.submitOnce(c, t, s.pickEntry(r), timeout)
		if reply.Final() {
			s.checkAnswerTime(t)
			return
		}
		if refusedNotRun(reply) && !s.checker.Accepted(t) && r.IntN(2) == 0 {
			return
		}
		sleepContext(s.ctx, time.Duration(10+r.IntN(300))*time.Millisecond)
	}
}

func refusedNotRun(r *Reply) bool {
	return r != nil && r.Refusal != nil && r.Refusal.Verdict == verdict.NotRun.String()
}

// submitOnce submits a job once and checks the answer. It returns nil without an answer.
func (s *soak) submitOnce(c *Caller, t *TrackedJob, entry string, timeout time.Duration) *Reply {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	before := s.checker.RecordSubmission(t)
	sub := callers.Submission{
		ID: t.Key.ID, Caller: c.Name, Service: ServiceName,
		DeadlineMS: t.Deadline.Milliseconds(), Tasks: t.Tasks,
	}
	reply, err := s.checkedRequest(entry, func() (*Reply, error) { return c.Submit(ctx, entry, sub, true) })
	if err != nil {
		return nil
	}
	s.checkNeverRuns(t, reply)
	s.checker.CheckReply(t, reply, before)
	return reply
}

// checkNeverRuns checks that a job with a task that can't run is not accepted.
func (s *soak) checkNeverRuns(t *TrackedJob, r *Reply) {
	kind := t.Tasks[0].Kind
	if r.Refusal == nil && (kind == KindHuge || kind == KindOrphan) {
		s.checker.AddViolation("refusal", "job %s can never run and was accepted", t.Key)
	}
}

// checkedRequest makes a request and checks that a planned stop does not make it
// fail (I7): an entry that was ready when the request was sent, and had no fault
// other than a planned stop, must answer.
func (s *soak) checkedRequest(entry string, fn func() (*Reply, error)) (*Reply, error) {
	p := s.cluster.Process(entry)
	incarnation := p.Current()
	ready := incarnation != nil && incarnation.Entry.Ready()
	sent := time.Now()
	reply, err := fn()
	if err == nil || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return reply, err
	}
	withoutFault := ready && !incarnation.Killed() && p.LastDisruption().Before(sent) && !s.faults.isCut(entry)
	if withoutFault && time.Since(sent) < DrainTimeout {
		s.checker.AddViolation("I7", "a request to %s failed without a fault: %v", entry, err)
	}
	return reply, err
}

// checkAnswerTime checks that an answer was in time, if a majority of control VMs
// and an entry were up.
func (s *soak) checkAnswerTime(t *TrackedJob) {
	s.checker.mu.Lock()
	due := t.LastSent.Add(t.Deadline)
	s.checker.mu.Unlock()
	if late := time.Since(due); late > answerBound && s.config.healthySince().Before(due) {
		s.checker.AddViolation("liveness", "job %s was answered %s after its deadline", t.Key, late)
	}
}

func (s *soak) entryID(i int) string { return EntryID(i) }

// pickEntry returns a random entry, mostly a ready one, as a load balancer would.
func (s *soak) pickEntry(r *rand.Rand) string {
	id := s.entryID(r.IntN(soakSize.Entries))
	for range 4 {
		if s.cluster.Ready(id) {
			return id
		}
		id = s.entryID(r.IntN(soakSize.Entries))
	}
	return id
}

// callQuote makes a repeatable call. It may start more than once, but must return its
// own output.
func (s *soak) callQuote(c *Caller, id string, r *rand.Rand) {
	task := echoTask(KindQuote, taskMS(r), echoOf(c.Name, id, 0))
	ctx, cancel := context.WithTimeout(s.ctx, 3*time.Second)
	defer cancel()
	entry := s.pickEntry(r)
	reply, err := s.checkedRequest(entry, func() (*Reply, error) {
		return c.Call(ctx, entry, KindQuote, id, task.Payload, 2*time.Second)
	})
	if err == nil && reply.Status == http.StatusOK && string(reply.Body) != expectedOutput(task) {
		s.checker.AddViolation("I3", "call %s/%s answered %s", c.Name, id, reply.Body)
	}
}

// callHold makes a call that may run at most once, and repeats it with the same ID as
// a caller does after a lost answer.
func (s *soak) callHold(c *Caller, id string, r *rand.Rand) {
	task := echoTask(standin.KindHold, taskMS(r), echoOf(c.Name, id, 0))
	t := &TrackedJob{Key: c.Key(callPrefix + id), Tasks: []callers.Task{task}, Deadline: 2 * time.Second}
	s.checker.Track(t)
	for range 1 + r.IntN(4) {
		entry := s.pickEntry(r)
		ctx, cancel := context.WithTimeout(s.ctx, time.Duration(100+r.IntN(4000))*time.Millisecond)
		before := s.checker.RecordSubmission(t)
		reply, err := s.checkedRequest(entry, func() (*Reply, error) {
			return c.Call(ctx, entry, standin.KindHold, id, task.Payload, t.Deadline)
		})
		cancel()
		if err == nil {
			s.checkHoldReply(t, reply, before)
		}
		sleepContext(s.ctx, time.Duration(r.IntN(500))*time.Millisecond)
	}
}

// checkHoldReply checks the answer to a call that may run at most once.
func (s *soak) checkHoldReply(t *TrackedJob, r *Reply, before int) {
	if r.Refusal != nil {
		s.checker.checkRefusal(t, r, before)
		s.checker.recordCallEnd(t, r)
		return
	}
	if string(r.Body) != expectedOutput(t.Tasks[0]) {
		s.checker.AddViolation("I3", "call %s answered %s", t.Key, r.Body)
	}
	if len(s.cluster.Starts.OfJob(t.Key)) != 1 {
		s.checker.AddViolation("I5", "answered call %s has %d starts", t.Key, len(s.cluster.Starts.OfJob(t.Key)))
	}
}

// cancelOpenJobs cancels about half of the unfinished jobs at once, through one random
// entry each.
func (s *soak) cancelOpenJobs(r *rand.Rand) {
	for _, t := range s.checker.Unfinished() {
		if isCall(t) || r.IntN(2) == 0 {
			continue
		}
		entry := s.pickEntry(r)
		s.checker.RecordCancel(t)
		s.work.Go(func() {
			ctx, cancel := context.WithTimeout(s.ctx, 4*time.Second)
			defer cancel()
			reply, err := s.callerOf(t).Cancel(ctx, entry, t.Key.ID)
			if err == nil && reply.Answer != nil {
				s.checker.CheckReply(t, reply, 0)
			}
		})
	}
}
