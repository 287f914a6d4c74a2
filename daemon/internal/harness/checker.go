package harness

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cicadapulley/cicadapulley/api/callers"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/verdict"
	"github.com/cicadapulley/cicadapulley/daemon/dev/standin"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// Checker compares the answers that callers received with the starts that the
// endpoints recorded. I1 to I8 are the invariants of docs/design.md. Its methods
// are safe for concurrent use.
type Checker struct {
	cluster *Cluster
	starts  *Starts

	mu         sync.Mutex
	jobs       map[job.Key]*TrackedJob
	violations []Violation
}

// Violation is a violated invariant.
type Violation struct {
	Text string
	// Job is zero if the violation concerns no job.
	Job job.Key
}

// TrackedJob is one job, or one call of a kind that may not be repeated.
type TrackedJob struct {
	Key   job.Key
	Tasks []callers.Task
	// LastSent is when the job was last submitted. Deadline is the deadline of
	// each submission, relative to the time of submission.
	LastSent time.Time
	Deadline time.Duration

	// accepted is set once an entry answered that the job is recorded.
	accepted bool
	// cancelled is set before the first cancel is sent.
	cancelled bool
	// endedNotRun is set once a recorded call ended with not_run.
	endedNotRun bool
	final       *callers.Answer
	finalAt     time.Time
}

// NewChecker returns a checker without jobs.
func NewChecker(c *Cluster) *Checker {
	return &Checker{cluster: c, starts: c.Starts, jobs: map[job.Key]*TrackedJob{}}
}

// AddViolation records a violated invariant. The last argument that is a job key
// becomes the job of the violation, whose events are reported with it.
func (c *Checker) AddViolation(name string, format string, args ...any) {
	v := Violation{Text: name + ": " + fmt.Sprintf(format, args...)}
	for _, a := range args {
		if k, ok := a.(job.Key); ok {
			v.Job = k
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, v)
}

// Violations returns the violations in the order in which they were recorded.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// Track adds a job before its first submission.
func (c *Checker) Track(t *TrackedJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[t.Key] = t
}

// Jobs returns all jobs in no particular order.
func (c *Checker) Jobs() []*TrackedJob {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*TrackedJob, 0, len(c.jobs))
	for _, t := range c.jobs {
		list = append(list, t)
	}
	return list
}

// Unfinished returns the jobs without a final answer.
func (c *Checker) Unfinished() []*TrackedJob {
	return slices.DeleteFunc(c.Jobs(), func(t *TrackedJob) bool { return c.Final(t) != nil })
}

// Final returns the job's final answer, nil if its caller has not received one.
func (c *Checker) Final(t *TrackedJob) *callers.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return t.final
}

// Accepted reports whether an entry answered that the job is recorded.
func (c *Checker) Accepted(t *TrackedJob) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return t.accepted
}

// RecordSubmission records the time of a submission and returns the number of
// earlier starts of the job.
func (c *Checker) RecordSubmission(t *TrackedJob) int {
	c.mu.Lock()
	t.LastSent = time.Now()
	c.mu.Unlock()
	return len(c.starts.OfJob(t.Key))
}

// RecordCancel records that a cancel is about to be sent.
func (c *Checker) RecordCancel(t *TrackedJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.cancelled = true
}

// CheckReply checks a reply to a submission or cancel. startsBefore is the number
// of the job's starts before the request was sent.
func (c *Checker) CheckReply(t *TrackedJob, r *Reply, startsBefore int) {
	if r.Refusal != nil {
		c.checkRefusal(t, r, startsBefore)
		return
	}
	c.mu.Lock()
	t.accepted = true
	c.mu.Unlock()
	if r.Status == http.StatusAccepted {
		return
	}
	c.checkAnswer(t, r.Answer)
}

// checkRefusal checks that a job refused with not_run had not started.
func (c *Checker) checkRefusal(t *TrackedJob, r *Reply, startsBefore int) {
	if r.Refusal.Verdict == verdict.NotRun.String() && startsBefore > 0 {
		c.AddViolation("I4", "job %s was refused with not_run (%s) after %d starts", t.Key, r.Refusal.Error.Code, startsBefore)
	}
}

// recordCallEnd records whether a recorded call ended with not_run. A refusal
// before the call is recorded has no verdict in its header.
func (c *Checker) recordCallEnd(t *TrackedJob, r *Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.endedNotRun = t.endedNotRun || r.Verdict == verdict.NotRun.String()
}

func (c *Checker) checkAnswer(t *TrackedJob, a *callers.Answer) {
	c.checkFinal(t, a)
	c.mu.Lock()
	first := t.final
	if first == nil {
		t.final = a
		t.finalAt = time.Now()
	}
	c.mu.Unlock()
	if first != nil && (first.State != a.State || first.Verdict != a.Verdict) && !c.unrecordedAnswerLost(t.Key, a) {
		c.AddViolation("I3", "job %s was answered %s (%s), then %s (%s)", t.Key, first.State, first.Verdict, a.State, a.Verdict)
	}
}

// unrecordedAnswerLost reports whether a later answer may differ from the first:
// control could not record the outcome in time, so the entry answered without a
// record and emitted an event, and entry and agent were lost before control was
// available again. In seed 184, two control VMs, the entry and the agent are lost
// at once.
func (c *Checker) unrecordedAnswerLost(k job.Key, later *callers.Answer) bool {
	unknown := later.State == job.Failed.String() && later.Verdict == verdict.MayHaveRun.String()
	return unknown && c.cluster.HasEvent(events.AnsweredUnrecorded, k)
}

// checkFinal checks the content of one final answer.
func (c *Checker) checkFinal(t *TrackedJob, a *callers.Answer) {
	switch {
	case a.ID != t.Key.ID || a.Caller != t.Key.Caller:
		c.AddViolation("I3", "job %s got the answer of %s/%s", t.Key, a.Caller, a.ID)
	case a.State == job.Complete.String():
		c.checkComplete(t, a)
	case a.State == job.Failed.String(), a.State == job.Cancelled.String():
		c.checkFailed(t, a)
	default:
		c.AddViolation("I2", "job %s has the final state %q", t.Key, a.State)
	}
}

func (c *Checker) checkComplete(t *TrackedJob, a *callers.Answer) {
	if len(a.Results) != len(t.Tasks) {
		c.AddViolation("I2", "complete job %s has %d results for %d tasks", t.Key, len(a.Results), len(t.Tasks))
		return
	}
	for i, r := range a.Results {
		if r.State != job.TaskDone.String() || r.Verdict != verdict.Ran.String() {
			c.AddViolation("I2", "complete job %s has task %d %s (%s)", t.Key, i, r.State, r.Verdict)
		}
		if t.Tasks[i].Kind == standin.KindFail {
			c.AddViolation("I2", "job %s is complete with the failing task %d", t.Key, i)
		}
		if want := expectedOutput(t.Tasks[i]); string(r.Output) != want {
			c.AddViolation("I3", "job %s task %d answered %s, not %s", t.Key, i, r.Output, want)
		}
	}
}

// expectedOutput returns the output that a task must have.
func expectedOutput(t callers.Task) string {
	var p struct {
		Echo json.RawMessage `json:"echo"`
	}
	_ = json.Unmarshal(t.Payload, &p) // the test wrote the payload
	return string(p.Echo)
}

func (c *Checker) checkFailed(t *TrackedJob, a *callers.Answer) {
	if len(a.Results) > 0 {
		c.AddViolation("I2", "%s job %s shows results", a.State, t.Key)
	}
	for _, r := range a.Tasks {
		if len(r.Output) > 0 {
			c.AddViolation("I2", "%s job %s shows an output of task %d", a.State, t.Key, r.Task)
		}
	}
	c.mu.Lock()
	cancelled := t.cancelled
	c.mu.Unlock()
	if a.State == job.Cancelled.String() && !cancelled {
		c.AddViolation("I2", "job %s is cancelled without a cancel request", t.Key)
	}
}

// CheckStarts checks all jobs against the recorded starts. Call it after all jobs have ended.
func (c *Checker) CheckStarts() {
	for _, t := range c.Jobs() {
		counts := make([]int, len(t.Tasks))
		for _, s := range c.starts.OfJob(t.Key) {
			counts[s.Key.Task]++
		}
		for i, n := range counts {
			if n > 1 {
				c.AddViolation("I1", "task %d of job %s started %d times", i, t.Key, n)
			}
		}
		if t.endedNotRun && len(c.starts.OfJob(t.Key)) > 0 {
			c.AddViolation("I4", "call %s ended with not_run and started", t.Key)
		}
		c.checkVerdicts(t, counts)
	}
}

// checkVerdicts compares the verdicts of a final answer with the recorded starts.
func (c *Checker) checkVerdicts(t *TrackedJob, counts []int) {
	a := c.Final(t)
	if a == nil {
		return
	}
	total := 0
	for _, n := range counts {
		total += n
	}
	if a.Verdict == verdict.NotRun.String() && total > 0 {
		c.AddViolation("I4", "job %s ended with not_run and has %d starts", t.Key, total)
	}
	for _, r := range slices.Concat(a.Results, a.Tasks) {
		n := counts[r.Task]
		if r.Verdict == verdict.NotRun.String() && n > 0 {
			c.AddViolation("I4", "task %d of job %s ended with not_run and has %d starts", r.Task, t.Key, n)
		}
		if r.Verdict == verdict.Ran.String() && n != 1 {
			c.AddViolation("I1", "task %d of job %s ended with ran and has %d starts", r.Task, t.Key, n)
		}
	}
}
