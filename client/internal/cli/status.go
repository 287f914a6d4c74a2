package cli

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/cicadapulley/cicadapulley/api/codec"
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/client/internal/exit"
	"github.com/cicadapulley/cicadapulley/client/internal/operator"
	"github.com/cicadapulley/cicadapulley/client/internal/output"
	"github.com/cicadapulley/cicadapulley/core/state"
)

// statusView is the output of the status command.
type statusView struct {
	Leader        string        `json:"leader"`
	Term          uint64        `json:"term"`
	Applied       uint64        `json:"applied"`
	Revision      uint64        `json:"revision"`
	HighestTicket uint64        `json:"highest_ticket"`
	RunningJobs   uint64        `json:"running_jobs"`
	FinishedJobs  uint64        `json:"finished_jobs"`
	Control       []controlView `json:"control"`
	Members       []memberView  `json:"members"`
	Problems      []string      `json:"wrong"`
}

type controlView struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	Voter      bool   `json:"voter"`
	Leader     bool   `json:"leader"`
	MatchIndex uint64 `json:"match_index"`
	SilentMS   int64  `json:"silent_ms"`
}

type memberView struct {
	ID          string `json:"id"`
	Role        string `json:"role"`
	State       string `json:"state"`
	DataCentre  string `json:"data_centre"`
	Rack        string `json:"rack"`
	Address     string `json:"address"`
	LeaseLeftMS int64  `json:"lease_left_ms"`
	Revision    uint64 `json:"revision"`
	// Ticket is the highest ticket number in force in the process.
	Ticket uint64 `json:"ticket"`
	Ops    string `json:"ops,omitempty"`
}

func (a *app) statusCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show control VMs, members and current problems",
		Long: "status shows control VMs, members and current problems. If --control has the addresses of the\n" +
			"operations pages of control VMs of the platform, it shows the data centres and which are drained.\n\n" + exit.Help,
		Example: "  cicadapulley status --control 10.0.0.1:7000,10.0.0.2:7000\n  cicadapulley status --json",
		Args:    cobra.NoArgs,
		RunE: a.queryRunE(func(ctx context.Context, client *operator.Client) error {
			dataCentres, err := a.readDataCentres(ctx)
			if err != nil {
				return err
			}
			if dataCentres != nil {
				return a.print(dataCentres)
			}
			view, err := readStatus(ctx, client)
			if err != nil {
				return err
			}
			return a.print(view)
		}),
	}
	a.addJSONFlag(cmd)
	return cmd
}

func readStatus(ctx context.Context, client *operator.Client) (*statusView, error) {
	config, err := client.Config(ctx)
	if err != nil {
		return nil, err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return nil, err
	}
	tickets, err := client.Tickets(ctx)
	if err != nil {
		return nil, err
	}
	return newStatusView(status, config, tickets), nil
}

func newStatusView(status *rpc.StatusResponse, config operator.Config, tickets []state.AppliedTicket) *statusView {
	v := &statusView{
		Leader:        status.Id,
		Term:          status.Term,
		Applied:       status.Applied,
		Revision:      status.ConfigRevision,
		HighestTicket: status.HighestTicket,
		RunningJobs:   status.RunningJobs,
		FinishedJobs:  status.FinishedJobs,
		Control:       []controlView{},
		Members:       []memberView{},
		Problems:      append([]string{}, operator.Problems(status, config)...),
	}
	for _, vm := range status.Group {
		v.Control = append(v.Control, controlView{vm.Id, vm.Address, vm.Voter, vm.Leader, vm.MatchIndex, vm.SilentMs})
	}
	for _, m := range status.Members {
		v.Members = append(v.Members, newMemberView(m, tickets))
	}
	slices.SortFunc(v.Members, func(a, b memberView) int {
		return cmp.Or(cmp.Compare(b.Role, a.Role), cmp.Compare(a.ID, b.ID))
	})
	return v
}

func newMemberView(status *rpc.MemberStatus, tickets []state.AppliedTicket) memberView {
	m := codec.MemberFromRPC(status.Member)
	view := memberView{
		ID:         m.ID,
		Role:       string(m.Role),
		State:      m.State.String(),
		DataCentre: m.DataCentre,
		Rack:       m.Rack,
		Address:    m.Address,
		Ops:        m.Ops,
	}
	if !m.Active() {
		return view
	}
	view.LeaseLeftMS = max(0, status.LeaseLeftMs)
	view.Revision = status.Revision
	for _, t := range tickets {
		if t.Revision <= status.Revision {
			view.Ticket = max(view.Ticket, t.Ticket.Number)
		}
	}
	return view
}

// Print implements output.Printable.
func (v *statusView) Print(w *output.Writer) {
	w.Linef("leader %s  term %d  applied %d  revision %d  ticket %d  jobs %d running, %d finished",
		v.Leader, v.Term, v.Applied, v.Revision, v.HighestTicket, v.RunningJobs, v.FinishedJobs)
	w.Linef("\nControl VMs")
	rows := make([][]string, len(v.Control))
	for i, vm := range v.Control {
		rows[i] = []string{vm.ID, vm.Address, vm.role(), fmt.Sprint(vm.MatchIndex), fmt.Sprintf("%d ms", vm.SilentMS)}
	}
	w.Table([]string{"ID", "ADDRESS", "ROLE", "SYNCED", "SILENT"}, rows)
	w.Linef("\nMembers")
	rows = make([][]string, len(v.Members))
	for i, m := range v.Members {
		lease := (time.Duration(m.LeaseLeftMS) * time.Millisecond).String()
		rows[i] = []string{m.ID, m.Role, m.State, m.DataCentre, m.Rack, lease, fmt.Sprint(m.Revision), fmt.Sprint(m.Ticket), m.Address}
	}
	w.Table([]string{"ID", "ROLE", "STATE", "DATA CENTRE", "RACK", "LEASE LEFT", "REVISION", "TICKET", "ADDRESS"}, rows)
	printProblems(w, v.Problems)
}

func printProblems(w *output.Writer, problems []string) {
	w.Linef("\nWhat is wrong now")
	for _, line := range problems {
		w.Linef("- %s", output.Clean(line))
	}
	if len(problems) == 0 {
		w.Linef("nothing")
	}
}

func (v controlView) role() string {
	switch {
	case v.Leader:
		return "leader"
	case v.Voter:
		return "voter"
	}
	return "learner"
}
