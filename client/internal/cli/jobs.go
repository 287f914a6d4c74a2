package cli

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/client/internal/operator"
	"github.com/cicadapulley/cicadapulley/client/internal/output"
	"github.com/cicadapulley/cicadapulley/core/job"
)

type jobsView struct {
	Jobs []jobView `json:"jobs"`
}

type jobView struct {
	Caller   string    `json:"caller"`
	ID       string    `json:"id"`
	Service  string    `json:"service"`
	Tasks    int       `json:"tasks"`
	State    string    `json:"state"`
	Owner    string    `json:"owner"`
	Epoch    uint64    `json:"epoch"`
	Accepted time.Time `json:"accepted"`
	Deadline time.Time `json:"deadline"`
	Error    string    `json:"error,omitempty"`
}

func (a *app) jobsCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "jobs",
		Short:   "List the recorded jobs, running and finished",
		Example: "  cicadapulley jobs\n  cicadapulley jobs --output json",
		Args:    cobra.NoArgs,
		RunE: a.queryRunE(func(ctx context.Context, client *operator.Client) error {
			records, err := client.Jobs(ctx)
			if err != nil {
				return err
			}
			return a.print(newJobsView(records))
		}),
	}
}

func newJobsView(records []*rpc.JobRecord) *jobsView {
	v := &jobsView{Jobs: []jobView{}}
	for _, r := range records {
		view := jobView{
			Caller:   r.Key.GetCaller(),
			ID:       r.Key.GetId(),
			Service:  r.Service,
			Tasks:    len(r.Tasks),
			State:    job.State(r.State).String(),
			Owner:    r.Owner,
			Epoch:    r.Epoch,
			Accepted: time.UnixMilli(r.AcceptedUnixMs).UTC(),
			Deadline: time.UnixMilli(r.DeadlineUnixMs).UTC(),
		}
		if code := r.Outcome.GetCode(); code != "" {
			view.Error = code + ": " + r.Outcome.GetMessage()
		}
		v.Jobs = append(v.Jobs, view)
	}
	slices.SortFunc(v.Jobs, func(a, b jobView) int {
		return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.Caller, b.Caller), cmp.Compare(a.ID, b.ID))
	})
	return v
}

// Print implements output.Printable.
func (v *jobsView) Print(w *output.Writer) {
	rows := make([][]string, len(v.Jobs))
	for i, j := range v.Jobs {
		rows[i] = []string{
			j.Caller, j.ID, j.Service, fmt.Sprint(j.Tasks), j.State, j.Owner, fmt.Sprint(j.Epoch),
			j.Accepted.Format(time.RFC3339), j.Deadline.Sub(j.Accepted).String(), j.Error,
		}
	}
	w.Table([]string{"CALLER", "ID", "SERVICE", "TASKS", "STATE", "OWNER", "EPOCH", "ACCEPTED", "DEADLINE", "ERROR"}, rows)
}
