package load

import (
	"context"
	"fmt"
	"net/url"
)

// callPrefix is what the daemon puts before the ids of calls.
const callPrefix = "call:"

// Truth is the comparison of the answers with the starts at the endpoints.
type Verification struct {
	// FalseNotRun counts tasks that started although their answer said not_run.
	FalseNotRun int `json:"false_not_run"`
	// StartedTwice counts tasks with more than one start, calls of repeatable
	// kinds apart.
	StartedTwice int `json:"started_twice"`
	// NeverStarted counts tasks without a start although they were answered as ran.
	NeverStarted int `json:"never_started"`
	// Partial counts answers that lack an output or have a wrong one.
	Partial int `json:"partial_answers"`
	// RepeatedCalls counts further starts of repeatable calls, which are allowed.
	RepeatedCalls int `json:"repeated_calls"`
	// Resubmitted counts further submissions, ResubmitDiffers those with
	// another end than the first.
	Resubmissions           int `json:"resubmitted"`
	MismatchedResubmissions int `json:"resubmit_differs"`
	// Differing names each such submission: the job, when it was submitted
	// again, and the end.
	Mismatches []string `json:"differing,omitempty"`
	// NotRun counts the tasks whose not_run was checked.
	NotRunChecked int `json:"not_run_checked"`
}

// Faults is the number of findings that must be zero.
func (t Verification) Findings() int {
	return t.FalseNotRun + t.StartedTwice + t.NeverStarted + t.Partial + t.MismatchedResubmissions
}

// verify compares all samples with the starts and notes their workers.
func verify(ctx context.Context, dev *devClient, samples []*Sample) (Verification, error) {
	var t Verification
	starts := map[string]map[string][]int{}
	workers := map[string]map[string][]string{}
	for _, s := range samples {
		caller := s.Request.Stream.Caller
		if starts[caller] == nil {
			query := "?caller=" + url.QueryEscape(caller)
			if err := fetchForCaller(ctx, dev, "/dev/starts"+query, starts, caller); err != nil {
				return t, err
			}
			if err := fetchForCaller(ctx, dev, "/dev/workers"+query, workers, caller); err != nil {
				return t, err
			}
		}
		t.checkSample(s, starts[caller][s.endpointRequestID()])
		if list := workers[caller][s.endpointRequestID()]; len(list) > 0 {
			s.Worker = list[len(list)-1]
		}
	}
	return t, nil
}

func fetchForCaller[T any](ctx context.Context, dev *devClient, path string, into map[string]map[string][]T, caller string) error {
	list := map[string][]T{}
	if err := dev.get(ctx, path, &list); err != nil {
		return err
	}
	into[caller] = list
	return nil
}

// key is the id under which the endpoints saw the request.
func (s *Sample) endpointRequestID() string {
	if s.Request.Stream.Form == FormCall {
		return callPrefix + s.Request.ID
	}
	return s.Request.ID
}

func (t *Verification) checkSample(s *Sample, starts []int) {
	if s.partial {
		t.Partial++
	}
	t.checkResubmissions(s)
	if s.Request.Stream.Form == FormCall && !s.Request.Stream.AtMostOnce {
		t.checkCall(s, starts)
		return
	}
	for i := range s.Request.Tasks {
		n := 0
		if i < len(starts) {
			n = starts[i]
		}
		t.checkTask(s.combinedVerdict(i), n)
	}
}

// checkCall checks a call whose tries have task numbers of their own.
func (t *Verification) checkCall(s *Sample, starts []int) {
	total := 0
	for _, n := range starts {
		total += n
	}
	t.RepeatedCalls += max(0, total-1)
	t.checkTask(s.combinedVerdict(0), min(total, 1))
}

func (t *Verification) checkTask(verdict string, starts int) {
	if starts > 1 {
		t.StartedTwice++
	}
	if verdict == verdictNotRun {
		t.NotRunChecked++
		t.FalseNotRun += min(starts, 1)
	}
	if verdict == verdictRan && starts == 0 {
		t.NeverStarted++
	}
}

// checkAgain checks that further submissions had the end of the first. A job
// that a submission brought to a start may be refused to another one only with
// a verdict that does not deny the start.
func (t *Verification) checkResubmissions(s *Sample) {
	for i, a := range s.resubmissions {
		t.Resubmissions++
		if a.partial {
			t.Partial++
		}
		if s.state == Complete && a.state != Complete {
			t.MismatchedResubmissions++
			when := [...]string{"while it ran", "after its answer"}[min(i, 1)]
			t.Mismatches = append(t.Mismatches, fmt.Sprintf("%s %s: %s %s (%s)", s.Request.ID, when, a.state, a.code, a.verdict))
		}
	}
}

// taskVerdict is what the caller was told of a task over all submissions: a
// not_run holds only if no submission says otherwise.
func (s *Sample) combinedVerdict(task int) string {
	verdict := s.taskVerdict(task)
	for _, a := range s.resubmissions {
		if other := a.taskVerdict(task); other != verdict {
			return ""
		}
	}
	return verdict
}

func (o outcome) taskVerdict(task int) string {
	if task < len(o.taskVerdicts) {
		return o.taskVerdicts[task]
	}
	return o.verdict
}
