package cli

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/cicadapulley/cicadapulley/api/controlclient"
	"github.com/cicadapulley/cicadapulley/client/internal/connect"
	"github.com/cicadapulley/cicadapulley/client/internal/entryclient"
	"github.com/cicadapulley/cicadapulley/client/internal/exit"
	"github.com/cicadapulley/cicadapulley/client/internal/operator"
	"github.com/cicadapulley/cicadapulley/client/internal/output"
)

// Defaults of the global flags.
const (
	// defaultTimeout is longer than an election and a restart of a control VM.
	defaultTimeout = 10 * time.Second
	// defaultGroupTimeout leaves a new control VM time to load a snapshot.
	defaultGroupTimeout = 2 * time.Minute
)

// flags are the global flags.
type flags struct {
	flagSet *pflag.FlagSet
	control []string
	entry   string
	output  output.Format
	timeout time.Duration
	tls     connect.TLSFiles
}

func (f *flags) register(set *pflag.FlagSet, env func(string) string) {
	f.flagSet = set
	var control []string
	if list := env("CICADAPULLEY_CONTROL"); list != "" {
		control = strings.Split(list, ",")
	}
	set.StringSliceVar(&f.control, "control", control, "addresses of the control VMs, such as 10.0.0.1:7000,10.0.0.2:7000 (CICADAPULLEY_CONTROL)")
	set.StringVar(&f.entry, "entry", env("CICADAPULLEY_ENTRY"), "URL of an entry or of its load balancer (CICADAPULLEY_ENTRY)")
	set.StringVar((*string)(&f.output), "output", string(output.Table), "output format: table or json")
	set.DurationVar(&f.timeout, "timeout", defaultTimeout, "time limit of the whole command; for jobs and calls, in addition to their deadline")
	set.StringVar(&f.tls.Cert, "cert", env("CICADAPULLEY_CERT"), "certificate file for TLS (CICADAPULLEY_CERT)")
	set.StringVar(&f.tls.Key, "key", env("CICADAPULLEY_KEY"), "key file of the certificate (CICADAPULLEY_KEY)")
	set.StringVar(&f.tls.CA, "ca", env("CICADAPULLEY_CA"), "file of the certificate authorities for server certificates (CICADAPULLEY_CA)")
}

func (f *flags) validate() error {
	if !f.output.Valid() {
		return fmt.Errorf("--output: %q is not one of table, json", f.output)
	}
	if f.timeout <= 0 {
		return fmt.Errorf("--timeout: must be greater than zero")
	}
	return nil
}

// timeoutOr returns the value of --timeout, or fallback if the flag was not given.
func (f *flags) timeoutOr(fallback time.Duration) time.Duration {
	if f.flagSet.Changed("timeout") {
		return f.timeout
	}
	return fallback
}

// withTimeout limits ctx to the global timeout.
func (a *app) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, a.flags.timeout)
}

func errNoControl() error {
	return exit.Errorf(exit.Usage, "--control or CICADAPULLEY_CONTROL is required")
}

// addJSONFlag adds --json, which is the same as --output json.
func (a *app) addJSONFlag(cmd *cobra.Command) {
	cmd.Flags().BoolFunc("json", "the same as --output json", func(value string) error {
		on, err := strconv.ParseBool(value)
		if on {
			a.flags.output = output.JSON
		}
		return err
	})
}

// operatorClient returns a client of the control VMs.
func (a *app) operatorClient() (*operator.Client, error) {
	if a.control != nil {
		return &operator.Client{Control: a.control, Progress: a.progress}, nil
	}
	if len(a.flags.control) == 0 {
		return nil, errNoControl()
	}
	httpClient, err := connect.NewClient(a.flags.tls)
	if err != nil {
		return nil, exit.Errorf(exit.Usage, "%w", err)
	}
	client := controlclient.New(httpClient, a.flags.tls.Scheme(), a.flags.control)
	return &operator.Client{Control: client, Progress: a.progress}, nil
}

// entryClient returns a client of an entry.
func (a *app) entryClient() (*entryclient.Client, error) {
	parsed, err := url.Parse(a.flags.entry)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return nil, exit.Errorf(exit.Usage, "--entry or CICADAPULLEY_ENTRY must be a URL such as http://10.0.0.1:8080")
	}
	httpClient, err := connect.NewClient(a.flags.tls)
	if err != nil {
		return nil, exit.Errorf(exit.Usage, "%w", err)
	}
	return &entryclient.Client{HTTP: httpClient, URL: a.flags.entry}, nil
}
