package cli

import (
	"errors"
	"fmt"

	"github.com/cicadapulley/cicadapulley/api/callers"
	"github.com/cicadapulley/cicadapulley/client/internal/entryclient"
	"github.com/cicadapulley/cicadapulley/client/internal/exit"
	"github.com/cicadapulley/cicadapulley/client/internal/output"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/verdict"
)

// answerView is a job as its caller sees it.
type answerView callers.Answer

// Print implements output.Printable.
func (v *answerView) Print(w *output.Writer) {
	w.Linef("job %s of %s: %s (%s)", output.Clean(v.ID), output.Clean(v.Caller), v.State, v.Verdict)
	if v.Error != nil {
		w.Linef("%s: %s", v.Error.Code, output.Clean(v.Error.Message))
	}
	tasks := append(append([]callers.TaskResult{}, v.Results...), v.Tasks...)
	if len(tasks) == 0 {
		return
	}
	rows := make([][]string, len(tasks))
	for i, t := range tasks {
		rows[i] = []string{fmt.Sprint(t.Task), t.State, t.Verdict, string(t.Output)}
	}
	w.Table([]string{"TASK", "STATE", "VERDICT", "OUTPUT"}, rows)
}

// jobFailure returns an error for a job that failed or was cancelled.
func jobFailure(a *callers.Answer) error {
	if a.State == job.Running.String() || a.State == job.Complete.String() {
		return nil
	}
	reason := a.State
	if a.Error != nil {
		reason = a.Error.Code + ": " + a.Error.Message
	}
	v, err := verdict.Parse(a.Verdict)
	if err != nil {
		v = verdict.MayHaveRun
	}
	return exit.Errorf(exit.CodeOfVerdict(v), "job %s is %s (%s): %s", a.ID, a.State, a.Verdict, reason)
}

// entryFailure adds the exit code to a refusal by an entry or to a lost answer.
func entryFailure(err error) error {
	var refusal *verdict.Error
	if errors.As(err, &refusal) {
		if refusal.RetryAfter > 0 {
			return exit.Errorf(exit.CodeOfVerdict(refusal.Verdict), "%w; try again after %s", refusal, refusal.RetryAfter)
		}
		return exit.Errorf(exit.CodeOfVerdict(refusal.Verdict), "%w", refusal)
	}
	var noAnswer *entryclient.NoAnswerError
	if !errors.As(err, &noAnswer) {
		return err
	}
	if noAnswer.Sent {
		return exit.Errorf(exit.MayHaveRun, "%w; the request may have run", noAnswer)
	}
	return exit.Errorf(exit.Unreachable, "%w; the request was not sent", noAnswer)
}
