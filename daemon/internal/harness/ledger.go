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

// Ledger compares what callers were told with what the endpoints saw. Its
// methods are safe for concurrent use.
type Ledger struct {
	cluster *Cluster
	starts  *Starts

	mu         sync.Mutex
	jobs       map[job.Key]*Tracked
	violations []Violation
}

// Violation is a broken invariant.
type Violation struct {
	Text string
	// Job is zero if no job is concerned.
	Job job.Key
}

// Tracked is one job, or one call of a kind that may not be repeated.
type Tracked struct {
	Key job.Key
	// Tasks are the submitted ones.
	Tasks []callers.Task
	// LastSent is when the job was last submitted; Deadline is the time that
	// each submission allowed.
	LastSent time.Time
	Deadline time.Duration

	// accepted is set once an entry said that the job is recorded.
	accepted bool
	// cancelled is set before the first cancel is sent.
	cancelled bool
	// neverStarts is set once a recorded call ended with not_run.
	neverStarts bool
	final       *callers.Answer
	finalAt     time.Time
}

// NewLedger returns an empty ledger.
func NewLedger(c *Cluster) *Ledger {
	return &Ledger{cluster: c, starts: c.Starts, jobs: map[job.Key]*Tracked{}}
}

// Violate records a broken invariant; the first argument that is a job's key
// selects the events that explain it.
func (l *Ledger) Violate(name string, format string, args ...any) {
	v := Violation{Text: name + ": " + fmt.Sprintf(format, args...)}
	for _, a := range args {
		if k, ok := a.(job.Key); ok {
			v.Job = k
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, v)
}

// Violations returns the broken invariants in the order in which they were seen.
func (l *Ledger) Violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.violations)
}

// Track adds a job before its first submission.
func (l *Ledger) Track(t *Tracked) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[t.Key] = t
}

// All lists the jobs in no particular order.
func (l *Ledger) All() []*Tracked {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*Tracked, 0, len(l.jobs))
	for _, t := range l.jobs {
		list = append(list, t)
	}
	return list
}

// Open lists the accepted or unanswered jobs without a final answer.
func (l *Ledger) Open() []*Tracked {
	return slices.DeleteFunc(l.All(), func(t *Tracked) bool { return l.Final(t) != nil })
}

// Final returns the job's final answer, nil if its caller has none yet.
func (l *Ledger) Final(t *Tracked) *callers.Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return t.final
}

// Accepted reports whether an entry said that the job is recorded.
func (l *Ledger) Accepted(t *Tracked) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return t.accepted
}

// Sending notes a submission; it returns the starts that were seen before it.
func (l *Ledger) Sending(t *Tracked) int {
	l.mu.Lock()
	t.LastSent = time.Now()
	l.mu.Unlock()
	return len(l.starts.Of(t.Key))
}

// Cancelling notes that a cancel is about to be sent.
func (l *Ledger) Cancelling(t *Tracked) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.cancelled = true
}

// Reply checks an answer to a job. startsBefore is the number of its starts
// before the request was sent.
func (l *Ledger) Reply(t *Tracked, r *Reply, startsBefore int) {
	if r.Refusal != nil {
		l.refusal(t, r, startsBefore)
		return
	}
	l.mu.Lock()
	t.accepted = true
	l.mu.Unlock()
	if r.Status == http.StatusAccepted {
		return
	}
	l.answer(t, r.Answer)
}

// refusal checks that a job refused with not_run had not started.
func (l *Ledger) refusal(t *Tracked, r *Reply, startsBefore int) {
	if r.Refusal.Verdict == verdict.NotRun.String() && startsBefore > 0 {
		l.Violate("I4", "job %s was refused with not_run (%s) after %d starts", t.Key, r.Refusal.Error.Code, startsBefore)
	}
}

// callEnded notes the end of a recorded call that did not run. A refusal
// before the record has no verdict in its header.
func (l *Ledger) callEnded(t *Tracked, r *Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.neverStarts = t.neverStarts || r.Verdict == verdict.NotRun.String()
}

func (l *Ledger) answer(t *Tracked, a *callers.Answer) {
	l.checkWhole(t, a)
	l.mu.Lock()
	first := t.final
	if first == nil {
		t.final = a
		t.finalAt = time.Now()
	}
	l.mu.Unlock()
	if first != nil && (first.State != a.State || first.Verdict != a.Verdict) && !l.unrecordedAnswerLost(t.Key, a) {
		l.Violate("I3", "job %s was answered %s (%s), then %s (%s)", t.Key, first.State, first.Verdict, a.State, a.Verdict)
	}
}

// unrecordedAnswerLost reports whether a later answer may differ: control could
// not record the outcome in time, so an entry answered without a record and said
// so in an event, and entry and agent were lost before control came back. Seed
// 184 showed it with two control VMs, the entry and the agent lost at once.
func (l *Ledger) unrecordedAnswerLost(k job.Key, later *callers.Answer) bool {
	unknown := later.State == job.Failed.String() && later.Verdict == verdict.MayHaveRun.String()
	return unknown && l.cluster.Saw(events.AnsweredUnrecorded, k)
}

// checkWhole checks one final answer by itself.
func (l *Ledger) checkWhole(t *Tracked, a *callers.Answer) {
	switch {
	case a.ID != t.Key.ID || a.Caller != t.Key.Caller:
		l.Violate("I3", "job %s got the answer of %s/%s", t.Key, a.Caller, a.ID)
	case a.State == job.Complete.String():
		l.checkComplete(t, a)
	case a.State == job.Failed.String(), a.State == job.Cancelled.String():
		l.checkFailed(t, a)
	default:
		l.Violate("I2", "job %s has the final state %q", t.Key, a.State)
	}
}

func (l *Ledger) checkComplete(t *Tracked, a *callers.Answer) {
	if len(a.Results) != len(t.Tasks) {
		l.Violate("I2", "complete job %s has %d results for %d tasks", t.Key, len(a.Results), len(t.Tasks))
		return
	}
	for i, r := range a.Results {
		if r.State != job.TaskDone.String() || r.Verdict != verdict.Ran.String() {
			l.Violate("I2", "complete job %s has task %d %s (%s)", t.Key, i, r.State, r.Verdict)
		}
		if t.Tasks[i].Kind == standin.KindFail {
			l.Violate("I2", "job %s is complete with the failing task %d", t.Key, i)
		}
		if want := echoed(t.Tasks[i]); string(r.Output) != want {
			l.Violate("I3", "job %s task %d answered %s, not %s", t.Key, i, r.Output, want)
		}
	}
}

// echoed is the output that a task must have.
func echoed(t callers.Task) string {
	var p struct {
		Echo json.RawMessage `json:"echo"`
	}
	_ = json.Unmarshal(t.Payload, &p) // the test wrote the payload
	return string(p.Echo)
}

func (l *Ledger) checkFailed(t *Tracked, a *callers.Answer) {
	if len(a.Results) > 0 {
		l.Violate("I2", "%s job %s shows results", a.State, t.Key)
	}
	for _, r := range a.Tasks {
		if len(r.Output) > 0 {
			l.Violate("I2", "%s job %s shows an output of task %d", a.State, t.Key, r.Task)
		}
	}
	l.mu.Lock()
	cancelled := t.cancelled
	l.mu.Unlock()
	if a.State == job.Cancelled.String() && !cancelled {
		l.Violate("I2", "job %s is cancelled, and nobody asked for it", t.Key)
	}
}

// CheckStarts checks all jobs against the starts once nothing runs any more.
func (l *Ledger) CheckStarts() {
	for _, t := range l.All() {
		counts := make([]int, len(t.Tasks))
		for _, s := range l.starts.Of(t.Key) {
			counts[s.Key.Task]++
		}
		for i, n := range counts {
			if n > 1 {
				l.Violate("I1", "task %d of job %s started %d times", i, t.Key, n)
			}
		}
		if t.neverStarts && len(l.starts.Of(t.Key)) > 0 {
			l.Violate("I4", "call %s ended with not_run and started", t.Key)
		}
		l.checkVerdicts(t, counts)
	}
}

// checkVerdicts compares a final answer's verdicts with the starts.
func (l *Ledger) checkVerdicts(t *Tracked, counts []int) {
	a := l.Final(t)
	if a == nil {
		return
	}
	total := 0
	for _, n := range counts {
		total += n
	}
	if a.Verdict == verdict.NotRun.String() && total > 0 {
		l.Violate("I4", "job %s ended with not_run and has %d starts", t.Key, total)
	}
	for _, r := range slices.Concat(a.Results, a.Tasks) {
		n := counts[r.Task]
		if r.Verdict == verdict.NotRun.String() && n > 0 {
			l.Violate("I4", "task %d of job %s ended with not_run and has %d starts", r.Task, t.Key, n)
		}
		if r.Verdict == verdict.Ran.String() && n != 1 {
			l.Violate("I1", "task %d of job %s ended with ran and has %d starts", r.Task, t.Key, n)
		}
	}
}
