package cli

import (
	"context"
	"errors"
	"fmt"

	"github.com/cicadapulley/cicadapulley/api/operators"
	"github.com/cicadapulley/cicadapulley/client/internal/connect"
	"github.com/cicadapulley/cicadapulley/client/internal/exit"
	"github.com/cicadapulley/cicadapulley/client/internal/operator"
	"github.com/cicadapulley/cicadapulley/client/internal/output"
)

// dataCentresView is the output of drain for a data centre, and of status for control VMs of the
// platform path. Scripts read its JSON form.
type dataCentresView struct {
	operators.DataCentres
	Problems []string `json:"wrong"`
}

func newDataCentresView(d *operators.DataCentres) *dataCentresView {
	v := &dataCentresView{DataCentres: *d, Problems: []string{}}
	drained := 0
	for _, dc := range d.DataCentres {
		if dc.Drained {
			drained++
			v.Problems = append(v.Problems, fmt.Sprintf("data centre %s is drained", dc.Name))
		}
	}
	if drained > 0 && drained == len(d.DataCentres) {
		v.Problems = append(v.Problems, "all known data centres are drained")
	}
	return v
}

// Print implements output.Printable.
func (v *dataCentresView) Print(w *output.Writer) {
	w.Linef("Data centres")
	rows := make([][]string, len(v.DataCentres.DataCentres))
	for i, dc := range v.DataCentres.DataCentres {
		state := "in use"
		if dc.Drained {
			state = "drained"
		}
		rows[i] = []string{dc.Name, state}
	}
	w.Table([]string{"DATA CENTRE", "STATE"}, rows)
	printProblems(w, v.Problems)
}

// dataCentres returns a client of the operations pages of control VMs.
func (a *app) dataCentres() (*operator.DataCentres, error) {
	if len(a.flags.control) == 0 {
		return nil, errNoControl()
	}
	httpClient, err := connect.NewClient(a.flags.tls)
	if err != nil {
		return nil, exit.Errorf(exit.Usage, "%w", err)
	}
	return &operator.DataCentres{HTTP: httpClient, Scheme: a.flags.tls.Scheme(), Addresses: a.flags.control}, nil
}

// setDataCentreDrain drains a data centre or withdraws that.
func (a *app) setDataCentreDrain(ctx context.Context, dataCentre string, drained bool) error {
	client, err := a.dataCentres()
	if err != nil {
		return err
	}
	answer, err := client.SetDrain(ctx, dataCentre, drained)
	if err != nil {
		return err
	}
	return a.print(newDataCentresView(answer))
}

// readDataCentres returns the view of control VMs of the platform path, nil for others.
func (a *app) readDataCentres(ctx context.Context) (*dataCentresView, error) {
	if a.control != nil {
		return nil, nil
	}
	client, err := a.dataCentres()
	if err != nil {
		return nil, err
	}
	answer, err := client.Read(ctx)
	switch {
	case errors.Is(err, operator.ErrNoDataCentres):
		return nil, nil
	case err != nil:
		return nil, err
	}
	return newDataCentresView(answer), nil
}
