package load

import (
	"context"
	"fmt"
	"net/url"
)

// callPrefix is the prefix that the daemon adds to the ids of calls.
const callPrefix = "call:"

// Verification compares the answers with the starts at the endpoints.
type Verification struct {
	// FalseNotRun counts tasks that started although their verdict is not_run.
	FalseNotRun int `json:"false_not_run"`
	// StartedTwice counts tasks with more than one start, except for calls of
	// repeatable kinds.
	StartedTwice int `json:"started_twice"`
	// NeverStarted counts tasks without a start although their verdict is ran.
	NeverStarted int `json:"never_started"`
	// Partial counts complete answers with a missing or wrong output, and failed
	// ones with any output.
	Partial int `json:"partial_answers"`
	// RepeatedCalls counts the starts of repeatable calls after the first, which
	// are allowed.
	RepeatedCalls int `json:"repeated_calls"`
	// Resubmissions counts further submissions, MismatchedResubmissions those
	// that did not end complete although the first did.
	Resubmissions           int `json:"resubmitted"`
	MismatchedResubmissions int `json:"resubmit_differs"`
	// Mismatches describes each mismatched submission: the job, when it was
	// submitted again, and the outcome.
	Mismatches []string `json:"differing,omitempty"`
	// NotRunChecked counts the tasks whose verdict not_run was checked.
	NotRunChecked int `json:"not_run_checked"`
}

// Findings is the number of findings that must be zero.
func (v Verification) Findings() int {
	return v.FalseNotRun + v.StartedTwice + v.NeverStarted + v.Partial + v.MismatchedResubmissions
}

// verify compares all samples with the starts and sets their Worker.
func verify(ctx context.Context, dev *devClient, samples []*Sample) (Verification, error) {
	var v Verification
	starts := map[string]map[string][]int{}
	workers := map[string]map[string][]string{}
	for _, s := range samples {
		caller := s.Request.Stream.Caller
		if starts[caller] == nil {
			query := "?caller=" + url.QueryEscape(caller)
			if err := fetchForCaller(ctx, dev, "/dev/starts"+query, starts, caller); err != nil {
				return v, err
			}
			if err := fetchForCaller(ctx, dev, "/dev/workers"+query, workers, caller); err != nil {
				return v, err
			}
		}
		v.checkSample(s, starts[caller][s.endpointRequestID()])
		if list := workers[caller][s.endpointRequestID()]; len(list) > 0 {
			s.Worker = list[len(list)-1]
		}
	}
	return v, nil
}

func fetchForCaller[T any](ctx context.Context, dev *devClient, path string, into map[string]map[string][]T, caller string) error {
	list := map[string][]T{}
	if err := dev.get(ctx, path, &list); err != nil {
		return err
	}
	into[caller] = list
	return nil
}

// endpointRequestID is the id of the request at the endpoints.
func (s *Sample) endpointRequestID() string {
	if s.Request.Stream.Form == FormCall {
		return callPrefix + s.Request.ID
	}
	return s.Request.ID
}

func (v *Verification) checkSample(s *Sample, starts []int) {
	if s.partial {
		v.Partial++
	}
	v.checkResubmissions(s)
	if s.Request.Stream.Form == FormCall && !s.Request.Stream.AtMostOnce {
		v.checkCall(s, starts)
		return
	}
	for i := range s.Request.Tasks {
		n := 0
		if i < len(starts) {
			n = starts[i]
		}
		v.checkTask(s.combinedVerdict(i), n)
	}
}

// checkCall checks a repeatable call, each attempt of which has its own task number.
func (v *Verification) checkCall(s *Sample, starts []int) {
	total := 0
	for _, n := range starts {
		total += n
	}
	v.RepeatedCalls += max(0, total-1)
	v.checkTask(s.combinedVerdict(0), min(total, 1))
}

func (v *Verification) checkTask(verdict string, starts int) {
	if starts > 1 {
		v.StartedTwice++
	}
	if verdict == verdictNotRun {
		v.NotRunChecked++
		v.FalseNotRun += min(starts, 1)
	}
	if verdict == verdictRan && starts == 0 {
		v.NeverStarted++
	}
}

// checkResubmissions checks that further submissions of a complete job also ended
// complete. If one submission of a job led to a start, another one may be refused
// only with a verdict that does not deny the start.
func (v *Verification) checkResubmissions(s *Sample) {
	for i, a := range s.resubmissions {
		v.Resubmissions++
		if a.partial {
			v.Partial++
		}
		if s.state == Complete && a.state != Complete {
			v.MismatchedResubmissions++
			when := [...]string{"while it ran", "after its answer"}[min(i, 1)]
			v.Mismatches = append(v.Mismatches, fmt.Sprintf("%s %s: %s %s (%s)", s.Request.ID, when, a.state, a.code, a.verdict))
		}
	}
}

// combinedVerdict is the verdict on a task over all submissions, empty if they
// differ: not_run counts only if no submission contradicts it.
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
