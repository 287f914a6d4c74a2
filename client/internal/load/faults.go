package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// slowFactor divides the speed of a worker with the fault "slow".
const slowFactor = 10

// Behaviour is the setting of a stand-in endpoint.
type Behaviour struct {
	Mode  string  `json:"mode"`
	Speed float64 `json:"speed"`
}

// faultInjector changes the behaviour of endpoints during a run.
type faultInjector struct {
	dev *devClient
	// changes maps a worker to its behaviour under the fault.
	changes map[string]Behaviour
	// original holds the behaviours of all workers before the run.
	original map[string]Behaviour
}

// newFaultInjector parses faults of the form "fail=worker-1".
func newFaultInjector(ctx context.Context, dev *devClient, list []string) (*faultInjector, error) {
	f := &faultInjector{dev: dev, changes: map[string]Behaviour{}}
	if err := dev.get(ctx, "/dev/endpoints", &f.original); err != nil {
		return nil, err
	}
	for _, spec := range list {
		fault, worker, _ := strings.Cut(spec, "=")
		b, found := f.original[worker]
		if !found {
			return nil, fmt.Errorf("--faults: no worker %q", worker)
		}
		switch fault {
		case "fail", "silent":
			b.Mode = fault
		case "slow":
			b.Speed /= slowFactor
		default:
			return nil, fmt.Errorf("--faults: %q is none of fail, slow, silent", fault)
		}
		f.changes[worker] = b
	}
	return f, nil
}

// inject applies the changes at the given time.
func (f *faultInjector) inject(ctx context.Context, at time.Time) {
	if len(f.changes) == 0 || !sleepUntil(ctx, at) {
		return
	}
	for worker, b := range f.changes {
		f.dev.warn("set fault", f.dev.putEndpoint(ctx, worker, b))
	}
}

// undo restores the original behaviours.
func (f *faultInjector) undo(ctx context.Context) {
	for worker := range f.changes {
		f.dev.warn("undo fault", f.dev.putEndpoint(ctx, worker, f.original[worker]))
	}
}

// devClient calls the API of a development system.
type devClient struct {
	base string
	// warn reports an error that does not end the run; it ignores nil.
	warn func(action string, err error)
}

func (d *devClient) get(ctx context.Context, path string, into any) error {
	return d.fetch(ctx, path, func(body io.Reader) error { return json.NewDecoder(body).Decode(into) })
}

// fetch passes the body of the answer to read. It returns a *statusError for any
// status but 200.
func (d *devClient) fetch(ctx context.Context, path string, read func(body io.Reader) error) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.base+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &statusError{path: path, code: resp.StatusCode}
	}
	return read(resp.Body)
}

// statusError is an answer of a development system with a status other than 200.
type statusError struct {
	path string
	code int
}

func (e *statusError) Error() string { return fmt.Sprintf("%s: HTTP status %d", e.path, e.code) }

func (d *devClient) putEndpoint(ctx context.Context, worker string, b Behaviour) error {
	body, err := json.Marshal(b)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, d.base+"/dev/endpoints/"+worker, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &statusError{path: req.URL.Path, code: resp.StatusCode}
	}
	return nil
}
