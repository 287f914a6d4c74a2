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
	// callPrefix is how an entry keeps the ids of calls apart from those of jobs.
	callPrefix = "call:"
	// burstJobs is the size of a burst.
	burstJobs = 12
)

func isCall(t *Tracked) bool { return strings.HasPrefix(t.Key.ID, callPrefix) }

// startLoad runs the callers until ctx ends; each job goes on to its answer.
func (s *soak) startLoad(ctx context.Context) {
	for i := range soakCallers {
		caller := s.cluster.Caller(fmt.Sprintf("caller-%d", i))
		s.callers = append(s.callers, caller)
		s.work.Go(func() { s.load(ctx, caller, s.random("load", i)) })
	}
}

func (s *soak) callerOf(t *Tracked) *Caller {
	for _, c := range s.callers {
		if c.Name == t.Key.Caller {
			return c
		}
	}
	return nil
}

func (s *soak) load(ctx context.Context, c *Caller, r *rand.Rand) {
	for i := 0; pause(ctx, time.Duration(40+r.IntN(260))*time.Millisecond); i++ {
		burst := 1
		if r.IntN(60) == 0 {
			burst = burstJobs
		}
		for n := range burst {
			id := fmt.Sprintf("%d-%d", i, n)
			own := rand.New(rand.NewPCG(r.Uint64(), 0))
			s.work.Go(func() { s.oneRequest(c, id, own) })
		}
	}
}

func (s *soak) oneRequest(c *Caller, id string, r *rand.Rand) {
	switch r.IntN(6) {
	case 0:
		s.quote(c, id, r)
	case 1:
		s.hold(c, id, r)
	default:
		s.job(c, id, r)
	}
}

// kinds of a job: mostly sleeps; some jobs hold tasks that fail, lie or can't run.
func (s *soak) submission(c *Caller, id string, r *rand.Rand) callers.Submission {
	special := map[int]string{0: standin.KindFail, 1: KindHuge, 2: KindOrphan, 3: KindLiar, 4: KindLiar}[r.IntN(30)]
	sub := callers.Submission{ID: id, Caller: c.Name, Service: ServiceName, DeadlineMS: int64(1000 + r.IntN(4000))}
	for i := range 1 + r.IntN(8) {
		kind := standin.KindSleep
		if i == 0 && special != "" {
			kind = special
		}
		sub.Tasks = append(sub.Tasks, echoTask(kind, workMS(r), echoOf(c.Name, id, i)))
	}
	return sub
}

// workMS is mostly short; one task in 40 is a straggler.
func workMS(r *rand.Rand) int {
	if r.IntN(40) == 0 {
		return 1500
	}
	return 5 + r.IntN(120)
}

// job submits a job until it has a final answer, or gives up after not_run.
func (s *soak) job(c *Caller, id string, r *rand.Rand) {
	sub := s.submission(c, id, r)
	t := &Tracked{Key: c.Key(id), Tasks: sub.Tasks, Deadline: time.Duration(sub.DeadlineMS) * time.Millisecond}
	s.ledger.Track(t)
	if r.IntN(8) == 0 {
		// The same submission comes at the same time through another entry.
		other := s.entry(r.IntN(soakSize.Entries))
		s.work.Go(func() { s.submitOnce(c, t, other, 3*time.Second) })
	}
	for s.ctx.Err() == nil {
		patience := time.Duration(200+r.IntN(6000)) * time.Millisecond
		reply := s.submitOnce(c, t, s.pick(r), patience)
		if reply.Final() {
			s.checkTime(t)
			return
		}
		if refusedForGood(reply) && !s.ledger.Accepted(t) && r.IntN(2) == 0 {
			return
		}
		pause(s.ctx, time.Duration(10+r.IntN(300))*time.Millisecond)
	}
}

func refusedForGood(r *Reply) bool {
	return r != nil && r.Refusal != nil && r.Refusal.Verdict == verdict.NotRun.String()
}

// submitOnce makes one try and records the answer.
func (s *soak) submitOnce(c *Caller, t *Tracked, entry string, patience time.Duration) *Reply {
	ctx, cancel := context.WithTimeout(s.ctx, patience)
	defer cancel()
	before := s.ledger.Sending(t)
	sub := callers.Submission{
		ID: t.Key.ID, Caller: c.Name, Service: ServiceName,
		DeadlineMS: t.Deadline.Milliseconds(), Tasks: t.Tasks,
	}
	reply, err := s.observed(entry, func() (*Reply, error) { return c.Submit(ctx, entry, sub, true) })
	if err != nil {
		return nil
	}
	s.checkNeverRuns(t, reply)
	s.ledger.Reply(t, reply, before)
	return reply
}

// checkNeverRuns checks that a job with a part that can't run is not accepted.
func (s *soak) checkNeverRuns(t *Tracked, r *Reply) {
	kind := t.Tasks[0].Kind
	if r.Refusal == nil && (kind == KindHuge || kind == KindOrphan) {
		s.ledger.Violate("refusal", "job %s can never run and was accepted", t.Key)
	}
}

// observed checks that a planned stop alone breaks no request (I7): an entry
// that was ready when the request was sent, and that nothing but a planned
// stop happens to, must answer.
func (s *soak) observed(entry string, fn func() (*Reply, error)) (*Reply, error) {
	p := s.cluster.Process(entry)
	life := p.Life()
	ready := life != nil && life.Entry.Ready()
	sent := time.Now()
	reply, err := fn()
	if err == nil || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return reply, err
	}
	undisturbed := ready && !life.Killed() && p.Disturbed().Before(sent) && !s.faults.isCut(entry)
	if undisturbed && time.Since(sent) < DrainBound {
		s.ledger.Violate("I7", "a request to %s failed without a fault: %v", entry, err)
	}
	return reply, err
}

// checkTime checks that an answer came in time while a majority of control VMs
// and an entry were up.
func (s *soak) checkTime(t *Tracked) {
	s.ledger.mu.Lock()
	due := t.LastSent.Add(t.Deadline)
	s.ledger.mu.Unlock()
	if late := time.Since(due); late > answerBound && s.config.healthySince().Before(due) {
		s.ledger.Violate("liveness", "job %s was answered %s after its deadline", t.Key, late)
	}
}

func (s *soak) entry(i int) string { return EntryID(i) }

// pick chooses an entry as a balancer would, most of the time.
func (s *soak) pick(r *rand.Rand) string {
	id := s.entry(r.IntN(soakSize.Entries))
	for range 4 {
		if s.cluster.Ready(id) {
			return id
		}
		id = s.entry(r.IntN(soakSize.Entries))
	}
	return id
}

// quote makes a repeatable call: it may start again, but its answer is its own.
func (s *soak) quote(c *Caller, id string, r *rand.Rand) {
	task := echoTask(KindQuote, workMS(r), echoOf(c.Name, id, 0))
	ctx, cancel := context.WithTimeout(s.ctx, 3*time.Second)
	defer cancel()
	entry := s.pick(r)
	reply, err := s.observed(entry, func() (*Reply, error) {
		return c.Call(ctx, entry, KindQuote, id, task.Payload, 2*time.Second)
	})
	if err == nil && reply.Status == http.StatusOK && string(reply.Body) != echoed(task) {
		s.ledger.Violate("I3", "call %s/%s answered %s", c.Name, id, reply.Body)
	}
}

// hold makes a call that may run once at most, and repeats it after lost answers.
func (s *soak) hold(c *Caller, id string, r *rand.Rand) {
	task := echoTask(standin.KindHold, workMS(r), echoOf(c.Name, id, 0))
	t := &Tracked{Key: c.Key(callPrefix + id), Tasks: []callers.Task{task}, Deadline: 2 * time.Second}
	s.ledger.Track(t)
	for range 1 + r.IntN(4) {
		entry := s.pick(r)
		ctx, cancel := context.WithTimeout(s.ctx, time.Duration(100+r.IntN(4000))*time.Millisecond)
		before := s.ledger.Sending(t)
		reply, err := s.observed(entry, func() (*Reply, error) {
			return c.Call(ctx, entry, standin.KindHold, id, task.Payload, t.Deadline)
		})
		cancel()
		if err == nil {
			s.holdReply(t, reply, before)
		}
		pause(s.ctx, time.Duration(r.IntN(500))*time.Millisecond)
	}
}

// holdReply checks the answer to a call that may run once at most.
func (s *soak) holdReply(t *Tracked, r *Reply, before int) {
	if r.Refusal != nil {
		s.ledger.refusal(t, r, before)
		s.ledger.callEnded(t, r)
		return
	}
	if string(r.Body) != echoed(t.Tasks[0]) {
		s.ledger.Violate("I3", "call %s answered %s", t.Key, r.Body)
	}
	if len(s.cluster.Starts.Of(t.Key)) != 1 {
		s.ledger.Violate("I5", "answered call %s has %d starts", t.Key, len(s.cluster.Starts.Of(t.Key)))
	}
}

// cancelWave cancels many open jobs at once, each through any entry.
func (s *soak) cancelWave(r *rand.Rand) {
	for _, t := range s.ledger.Open() {
		if isCall(t) || r.IntN(2) == 0 {
			continue
		}
		entry := s.pick(r)
		s.ledger.Cancelling(t)
		s.work.Go(func() {
			ctx, cancel := context.WithTimeout(s.ctx, 4*time.Second)
			defer cancel()
			reply, err := s.callerOf(t).Cancel(ctx, entry, t.Key.ID)
			if err == nil && reply.Answer != nil {
				s.ledger.Reply(t, reply, 0)
			}
		})
	}
}
