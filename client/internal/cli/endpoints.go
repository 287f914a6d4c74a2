package cli

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/cicadapulley/cicadapulley/api/codec"
	"github.com/cicadapulley/cicadapulley/client/internal/operator"
	"github.com/cicadapulley/cicadapulley/client/internal/output"
	"github.com/cicadapulley/cicadapulley/core/state"
)

type endpointsView struct {
	Endpoints []endpointView `json:"endpoints"`
}

type endpointView struct {
	ID           string   `json:"id"`
	State        string   `json:"state"`
	DataCentre   string   `json:"data_centre"`
	Rack         string   `json:"rack"`
	Slots        int      `json:"slots"`
	Connections  int      `json:"connections"`
	MilliCPU     int64    `json:"milli_cpu"`
	MemoryMB     int64    `json:"memory_mb"`
	Accelerators int64    `json:"accelerators"`
	Drained      bool     `json:"drained"`
	TakesWork    bool     `json:"takes_work"`
	Serves       []string `json:"serves"`
}

func (a *app) endpointsCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "endpoints",
		Short:   "List the registered endpoints",
		Example: "  cicadapulley endpoints\n  cicadapulley endpoints --output json",
		Args:    cobra.NoArgs,
		RunE: a.queryRunE(func(ctx context.Context, client *operator.Client) error {
			view, err := readEndpoints(ctx, client)
			if err != nil {
				return err
			}
			return a.print(view)
		}),
	}
}

func readEndpoints(ctx context.Context, client *operator.Client) (*endpointsView, error) {
	config, err := client.Config(ctx)
	if err != nil {
		return nil, err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return nil, err
	}
	view := &endpointsView{Endpoints: []endpointView{}}
	for _, s := range status.Members {
		m := codec.MemberFromRPC(s.Member)
		if m.Role == state.RoleAgent {
			view.Endpoints = append(view.Endpoints, newEndpointView(m, config))
		}
	}
	slices.SortFunc(view.Endpoints, func(a, b endpointView) int { return cmp.Compare(a.ID, b.ID) })
	return view, nil
}

func newEndpointView(m state.Member, config operator.Config) endpointView {
	v := endpointView{
		ID:           m.ID,
		State:        m.State.String(),
		DataCentre:   m.DataCentre,
		Rack:         m.Rack,
		Slots:        m.Slots,
		Connections:  m.Connections,
		MilliCPU:     m.Resources.MilliCPU,
		MemoryMB:     m.Resources.MemoryMB,
		Accelerators: m.Resources.Accelerators,
		Drained:      config.Drains[m.ID].Drain,
		TakesWork:    operator.TakesWork(m, config.Config),
		Serves:       []string{},
	}
	for _, k := range m.Serves {
		v.Serves = append(v.Serves, k.Service+"/"+k.Kind)
	}
	return v
}

// Print implements output.Printable.
func (v *endpointsView) Print(w *output.Writer) {
	rows := make([][]string, len(v.Endpoints))
	for i, endpoint := range v.Endpoints {
		rows[i] = []string{
			endpoint.ID, endpoint.State, yesNo(endpoint.Drained), yesNo(endpoint.TakesWork), endpoint.DataCentre, endpoint.Rack,
			fmt.Sprint(endpoint.Slots), fmt.Sprint(endpoint.Connections), endpoint.resources(), strings.Join(endpoint.Serves, " "),
		}
	}
	w.Table([]string{"ID", "STATE", "DRAINED", "TAKES WORK", "DATA CENTRE", "RACK", "SLOTS", "CONNECTIONS", "RESOURCES", "SERVES"}, rows)
}

func (v endpointView) resources() string {
	if v.MilliCPU == 0 && v.MemoryMB == 0 && v.Accelerators == 0 {
		return "undeclared"
	}
	return fmt.Sprintf("%d mCPU, %d MB, %d accelerators", v.MilliCPU, v.MemoryMB, v.Accelerators)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
