package cli

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/cicadapulley/cicadapulley/api/callers"
	"github.com/cicadapulley/cicadapulley/api/strictjson"
	"github.com/cicadapulley/cicadapulley/client/internal/entryclient"
	"github.com/cicadapulley/cicadapulley/client/internal/exit"
	"github.com/cicadapulley/cicadapulley/core/job"
)

func (a *app) jobCommand() *cobra.Command {
	return parentCommand("job", "Submit, show or cancel a job", a.jobSubmitCommand(), a.jobShowCommand(), a.jobCancelCommand())
}

func (a *app) jobSubmitCommand() *cobra.Command {
	wait := false
	cmd := &cobra.Command{
		Use:   "submit FILE|-",
		Short: "Submit a job from a file or standard input",
		Long: "submit sends a job, and resends it with the same id as long as answers are lost;\n" +
			"the job runs once. With --wait the exit code depends on how the job ended.\n\n" + exit.Help,
		Example: "  cicadapulley job submit prices.json --wait\n" +
			`  echo '{"id":"j1","caller":"shop","service":"demo","deadline_ms":5000,"tasks":[{"kind":"sleep","payload":{"ms":50}}]}' |` + "\n" +
			"    cicadapulley job submit - --wait",
		Args: cobra.ExactArgs(1),
		RunE: a.runE(func(ctx context.Context, args []string) error { return a.submitJob(ctx, args[0], wait) }),
	}
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until the job ends")
	return cmd
}

// submission is a job file. Only required fields are checked here; the entry
// checks the rest.
type submission struct{ callers.Submission }

// Validate implements strictjson.Validator.
func (s *submission) Validate(report func(path, message string)) {
	for path, empty := range map[string]bool{"id": s.ID == "", "caller": s.Caller == "", "service": s.Service == "", "tasks": len(s.Tasks) == 0} {
		if empty {
			report(path, "is required")
		}
	}
}

func (a *app) submitJob(ctx context.Context, file string, wait bool) error {
	data, err := a.readInput(file)
	if err != nil {
		return err
	}
	var s submission
	if err := strictjson.Decode(inputName(file), data, &s); err != nil {
		return exit.Errorf(exit.Usage, "%w", err)
	}
	client, err := a.entryClient()
	if err != nil {
		return err
	}
	timeout := a.flags.timeout
	if wait {
		timeout += time.Duration(s.DeadlineMS) * time.Millisecond
		a.progress("waiting for job " + s.ID + " of " + s.Caller)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := client.Submit(ctx, data, wait)
	if err != nil {
		return entryFailure(err)
	}
	return a.printAnswer(answer)
}

// readInput reads a file, or standard input for "-".
func (a *app) readInput(file string) ([]byte, error) {
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(a.streams.In)
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, exit.Errorf(exit.Usage, "read %s: %w", file, err)
	}
	return data, nil
}

// inputName returns the name of an input for error messages.
func inputName(file string) string {
	if file == "-" {
		return "standard input"
	}
	return file
}

// printAnswer prints a job and returns an error if it failed or was cancelled.
func (a *app) printAnswer(answer *callers.Answer) error {
	if err := a.print((*answerView)(answer)); err != nil {
		return err
	}
	return jobFailure(answer)
}

func (a *app) jobShowCommand() *cobra.Command {
	caller := ""
	cmd := &cobra.Command{
		Use:     "show ID",
		Short:   "Show a job",
		Long:    "show prints a job as its caller sees it. The exit code is 0 whatever the job's state.\n\n" + exit.Help,
		Example: "  cicadapulley job show j1 --caller shop",
		Args:    cobra.ExactArgs(1),
		RunE: a.runE(func(ctx context.Context, args []string) error {
			answer, err := a.jobRequest(ctx, job.Key{Caller: caller, ID: args[0]}, (*entryclient.Client).Show)
			if err != nil {
				return err
			}
			return a.print((*answerView)(answer))
		}),
	}
	requireCaller(cmd, &caller)
	return cmd
}

func (a *app) jobCancelCommand() *cobra.Command {
	caller := ""
	cmd := &cobra.Command{
		Use:   "cancel ID",
		Short: "Cancel a job",
		Long: "cancel cancels a job: none of its remaining tasks start. The exit code is 0 if the job\n" +
			"is cancelled and 1 if it had already ended in another way.\n\n" + exit.Help,
		Example: "  cicadapulley job cancel j1 --caller shop",
		Args:    cobra.ExactArgs(1),
		RunE: a.runE(func(ctx context.Context, args []string) error {
			answer, err := a.jobRequest(ctx, job.Key{Caller: caller, ID: args[0]}, (*entryclient.Client).Cancel)
			if err != nil {
				return err
			}
			if err := a.print((*answerView)(answer)); err != nil {
				return err
			}
			if answer.State != job.Cancelled.String() {
				return exit.Errorf(exit.Failure, "job %s was not cancelled: it is %s", answer.ID, answer.State)
			}
			return nil
		}),
	}
	requireCaller(cmd, &caller)
	return cmd
}

func requireCaller(cmd *cobra.Command, caller *string) {
	cmd.Flags().StringVar(caller, "caller", "", "the job's caller")
	_ = cmd.MarkFlagRequired("caller") // fails only for an unknown flag
}

// jobRequest sends a request about one job to an entry.
func (a *app) jobRequest(ctx context.Context, key job.Key, send func(*entryclient.Client, context.Context, job.Key) (*callers.Answer, error)) (*callers.Answer, error) {
	client, err := a.entryClient()
	if err != nil {
		return nil, err
	}
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	answer, err := send(client, ctx, key)
	if err != nil {
		return nil, entryFailure(err)
	}
	return answer, nil
}
