package cli

import (
	"context"

	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/cicadapulley/cicadapulley/client/internal/connect"
	"github.com/cicadapulley/cicadapulley/client/internal/exit"
	"github.com/cicadapulley/cicadapulley/client/internal/output"
	"github.com/cicadapulley/cicadapulley/core/configcheck"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/platform/configjson"
)

func (a *app) configCommand() *cobra.Command {
	return parentCommand("config", "Check configurations of the platform", a.configCheckCommand())
}

func (a *app) configCheckCommand() *cobra.Command {
	against := ""
	cmd := &cobra.Command{
		Use:   "check FILE|-",
		Short: "Check a configuration before it is sent",
		Long: "check lists all errors, for which control VMs refuse the configuration, and warnings, with\n" +
			"which they accept it. With --against or --control it also lists what the configuration changes\n" +
			"for callers. CICADAPULLEY_CONTROL is not used. The exit code is 2 if there are errors.\n\n" + exit.Help,
		Example: "  cicadapulley config check next.json --control 10.0.0.1:8166",
		Args:    cobra.ExactArgs(1),
		RunE: a.runE(func(ctx context.Context, args []string) error {
			ctx, cancel := a.withTimeout(ctx)
			defer cancel()
			return a.checkConfig(ctx, args[0], against)
		}),
	}
	cmd.Flags().StringVar(&against, "against", "", "compare with the configuration in this file")
	a.addJSONFlag(cmd)
	return cmd
}

func (a *app) checkConfig(ctx context.Context, file, against string) error {
	fromControl := a.flags.flagSet.Changed("control")
	if against != "" && fromControl {
		return exit.Errorf(exit.Usage, "--against and --control can't be given together")
	}
	data, err := a.readInput(file)
	if err != nil {
		return err
	}
	next, findings := configjson.Judge(data)
	view := &configCheckView{Valid: next != nil, Findings: append([]configjson.Finding{}, findings...), Differences: []differenceView{}}
	if next == nil {
		if err := a.print(view); err != nil {
			return err
		}
		return exit.Errorf(exit.Usage, "%s: control VMs would refuse the configuration", inputName(file))
	}
	view.Version = next.Version
	var compareErr error
	if against != "" || fromControl {
		compareErr = a.compareConfig(ctx, view, next, against)
	}
	if err := a.print(view); err != nil {
		return err
	}
	return compareErr
}

// compareConfig adds the differences from the configuration in a file or, without a file,
// of the control VMs.
func (a *app) compareConfig(ctx context.Context, v *configCheckView, next *work.Configuration, file string) error {
	name, code := file, exit.Usage
	var data []byte
	var err error
	if file != "" {
		data, err = a.readInput(file)
	} else {
		code = exit.Failure
		name, data, err = a.fetchConfig(ctx)
	}
	if err != nil {
		return err
	}
	current, err := configjson.Decode(data)
	if err != nil {
		return exit.Errorf(code, "compare with %s: %w", name, err)
	}
	v.ComparedWith, v.ComparedVersion = name, current.Version
	for _, d := range configcheck.Compare(current, next) {
		v.Differences = append(v.Differences, differenceView(d))
	}
	return nil
}

// fetchConfig reads the configuration from the first control VM that has it.
func (a *app) fetchConfig(ctx context.Context) (address string, data []byte, err error) {
	client, err := connect.NewClient(a.flags.tls)
	if err != nil {
		return "", nil, exit.Errorf(exit.Usage, "%w", err)
	}
	if len(a.flags.control) == 0 {
		return "", nil, exit.Errorf(exit.Usage, "--control: no address")
	}
	limit := a.flags.timeout / time.Duration(len(a.flags.control))
	for _, address := range a.flags.control {
		data, err = getConfig(ctx, client, a.flags.tls.Scheme()+"://"+address+"/cicadapulley/config", limit)
		if err == nil {
			return address, data, nil
		}
	}
	return "", nil, err
}

func getConfig(ctx context.Context, client *http.Client, url string, limit time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, exit.Errorf(exit.Usage, "--control: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, exit.Errorf(exit.Unreachable, "read the configuration in force: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, configjson.MaxBytes))
	switch {
	case err != nil:
		return nil, exit.Errorf(exit.Unreachable, "read the configuration in force: %w", err)
	case response.StatusCode == http.StatusServiceUnavailable:
		return nil, exit.Errorf(exit.Unreachable, "%s: %s: %s", url, response.Status, output.Clean(string(data)))
	case response.StatusCode != http.StatusOK:
		return nil, exit.Errorf(exit.Failure, "%s: %s", url, response.Status)
	}
	return data, nil
}

// configCheckView is the result of config check. Scripts read its JSON form.
type configCheckView struct {
	Valid bool `json:"valid"`
	// Version is 0 if the configuration is not valid.
	Version  uint64               `json:"version"`
	Findings []configjson.Finding `json:"findings"`
	// ComparedWith is the file or address of the other configuration, empty without one.
	ComparedWith    string           `json:"compared_with"`
	ComparedVersion uint64           `json:"compared_version"`
	Differences     []differenceView `json:"differences"`
}

type differenceView struct {
	Kind   configcheck.Kind `json:"kind"`
	Name   string           `json:"name"`
	Old    string           `json:"old"`
	New    string           `json:"new"`
	Effect string           `json:"effect"`
}

// Print implements output.Printable.
func (v *configCheckView) Print(w *output.Writer) {
	if v.Valid {
		w.Linef("version %d is valid", v.Version)
	}
	if len(v.Findings) > 0 {
		rows := make([][]string, len(v.Findings))
		for i, f := range v.Findings {
			rows[i] = []string{string(f.Severity), f.Path, string(f.Code), f.Text}
		}
		w.Table([]string{"SEVERITY", "PATH", "CODE", "TEXT"}, rows)
	}
	if v.ComparedWith == "" {
		return
	}
	w.Linef("\ndifferences from version %d of %s:", v.ComparedVersion, output.Clean(v.ComparedWith))
	rows := make([][]string, len(v.Differences))
	for i, d := range v.Differences {
		rows[i] = []string{string(d.Kind), d.Name, d.Old, d.New, d.Effect}
	}
	w.Table([]string{"KIND", "NAME", "OLD", "NEW", "EFFECT"}, rows)
}
