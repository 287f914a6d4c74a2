package load

import (
	"context"
	"fmt"
	"net/url"
)

// callPrefix is what the daemon puts before the ids of calls.
const callPrefix = "call:"

// Truth is the comparison of the answers with the starts at the endpoints.
type Truth struct {
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
	Resubmitted     int `json:"resubmitted"`
	ResubmitDiffers int `json:"resubmit_differs"`
	// Differing names each such submission: the job, when it was submitted
	// again, and the end.
	Differing []string `json:"differing,omitempty"`
	// NotRun counts the tasks whose not_run was checked.
	NotRun int `json:"not_run_checked"`
}

// Faults is the number of findings that must be zero.
func (t Truth) Faults() int {
	return t.FalseNotRun + t.StartedTwice + t.NeverStarted + t.Partial + t.ResubmitDiffers
}

// verify compares all samples with the starts and notes their workers.
func verify(ctx context.Context, dev *devClient, samples []*Sample) (Truth, error) {
	var t Truth
	starts := map[string]map[string][]int{}
	workers := map[string]map[string][]string{}
	for _, s := range samples {
		caller := s.Request.Stream.Caller
		if starts[caller] == nil {
			query := "?caller=" + url.QueryEscape(caller)
			if err := readOf(ctx, dev, "/dev/starts"+query, starts, caller); err != nil {
				return t, err
			}
			if err := readOf(ctx, dev, "/dev/workers"+query, workers, caller); err != nil {
				return t, err
			}
		}
		t.check(s, starts[caller][s.key()])
		if list := workers[caller][s.key()]; len(list) > 0 {
			s.Worker = list[len(list)-1]
		}
	}
	return t, nil
}

func readOf[T any](ctx context.Context, dev *devClient, path string, into map[string]map[string][]T, caller string) error {
	list := map[string][]T{}
	if err := dev.get(ctx, path, &list); err != nil {
		return err
	}
	into[caller] = list
	return nil
}

// key is the id under which the endpoints saw the request.
func (s *Sample) key() string {
	if s.Request.Stream.Form == FormCall {
		return callPrefix + s.Request.ID
	}
	return s.Request.ID
}

func (t *Truth) check(s *Sample, starts []int) {
	if s.partial {
		t.Partial++
	}
	t.checkAgain(s)
	if s.Request.Stream.Form == FormCall && !s.Request.Stream.Once {
		t.checkCall(s, starts)
		return
	}
	for i := range s.Request.Tasks {
		n := 0
		if i < len(starts) {
			n = starts[i]
		}
		t.checkTask(s.taskVerdict(i), n)
	}
}

// checkCall checks a call whose tries have task numbers of their own.
func (t *Truth) checkCall(s *Sample, starts []int) {
	total := 0
	for _, n := range starts {
		total += n
	}
	t.RepeatedCalls += max(0, total-1)
	t.checkTask(s.taskVerdict(0), min(total, 1))
}

func (t *Truth) checkTask(verdict string, starts int) {
	if starts > 1 {
		t.StartedTwice++
	}
	if verdict == notRun {
		t.NotRun++
		t.FalseNotRun += min(starts, 1)
	}
	if verdict == ran && starts == 0 {
		t.NeverStarted++
	}
}

// checkAgain checks that further submissions had the end of the first. A job
// that a submission brought to a start may be refused to another one only with
// a verdict that does not deny the start.
func (t *Truth) checkAgain(s *Sample) {
	for i, a := range s.again {
		t.Resubmitted++
		if a.partial {
			t.Partial++
		}
		if s.state == Complete && a.state != Complete {
			t.ResubmitDiffers++
			when := [...]string{"while it ran", "after its answer"}[min(i, 1)]
			t.Differing = append(t.Differing, fmt.Sprintf("%s %s: %s %s (%s)", s.Request.ID, when, a.state, a.code, a.verdict))
		}
	}
}

// taskVerdict is what the caller was told of a task over all submissions: a
// not_run holds only if no submission says otherwise.
func (s *Sample) taskVerdict(task int) string {
	verdict := s.verdictOf(task)
	for _, a := range s.again {
		if other := a.verdictOf(task); other != verdict {
			return ""
		}
	}
	return verdict
}

func (o outcome) verdictOf(task int) string {
	if task < len(o.tasks) {
		return o.tasks[task]
	}
	return o.verdict
}
