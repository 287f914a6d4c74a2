package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cicadapulley/cicadapulley/api/operators"
	"github.com/cicadapulley/cicadapulley/client/internal/exit"
	"github.com/cicadapulley/cicadapulley/client/internal/output"
)

const (
	// attemptTimeout bounds one attempt. A control VM gives an order up after 0.9 s, so that none
	// takes effect after the next was sent.
	attemptTimeout = time.Second
	maxAnswerBytes = 1 << 20
)

// ErrNoDataCentres is returned for an address that has no interface for data centres.
var ErrNoDataCentres = errors.New("is not the operations page of a control VM that drains data centres")

// DataCentres reads and changes the drains of data centres through the operations pages of
// control VMs.
type DataCentres struct {
	HTTP *http.Client
	// Scheme is "http" or "https".
	Scheme    string
	Addresses []string
}

// Read returns the data centres. The error wraps ErrNoDataCentres if the first address that
// answers has no interface for them.
func (c *DataCentres) Read(ctx context.Context) (*operators.DataCentres, error) {
	answer, err := c.do(ctx, http.MethodGet, operators.PathDataCentres)
	var coded *exit.Error
	if err != nil && !errors.As(err, &coded) {
		return nil, exit.Errorf(exit.Unreachable, "read data centres: no control VM that leads has answered: %w", err)
	}
	return answer, err
}

// SetDrain drains a data centre or withdraws that, and returns the data centres.
func (c *DataCentres) SetDrain(ctx context.Context, dataCentre string, drained bool) (*operators.DataCentres, error) {
	method, action := http.MethodPut, "drain"
	if !drained {
		method, action = http.MethodDelete, "withdraw the drain of"
	}
	answer, err := c.do(ctx, method, operators.PathDrain(dataCentre))
	var coded *exit.Error
	if err != nil && !errors.As(err, &coded) {
		return nil, exit.Errorf(exit.Unreachable,
			"%s data centre %q: no control VM that leads has confirmed the order, so that nothing is known to have changed; it is safe to send it again: %w", action, dataCentre, err)
	}
	return answer, err
}

// do sends a request to one control VM after the other until one answers it or ctx ends. An error
// with an exit code is an answer.
func (c *DataCentres) do(ctx context.Context, method, path string) (*operators.DataCentres, error) {
	last := errors.New("no time for an attempt")
	for attempt := 0; ctx.Err() == nil; attempt++ {
		address := c.Addresses[attempt%len(c.Addresses)]
		answer, err := c.attempt(ctx, method, address, path)
		var coded *exit.Error
		if err == nil || errors.As(err, &coded) {
			return answer, err
		}
		if attempt == 0 || ctx.Err() == nil { // an attempt that ctx cuts off doesn't tell the reason
			last = err
		}
		if (attempt+1)%len(c.Addresses) == 0 {
			select {
			case <-ctx.Done():
			case <-time.After(pollInterval):
			}
		}
	}
	return nil, last
}

// attempt sends a request to one control VM. An error with an exit code is an answer.
func (c *DataCentres) attempt(ctx context.Context, method, address, path string) (*operators.DataCentres, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.Scheme+"://"+address+path, http.NoBody)
	if err != nil {
		return nil, exit.Errorf(exit.Usage, "--control: %w", err)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, err
	}
	text := output.Clean(strings.TrimSpace(string(data)))
	switch {
	case response.StatusCode == http.StatusBadRequest:
		return nil, exit.Errorf(exit.Failure, "%s: %s", address, text)
	case response.StatusCode/100 == 4:
		return nil, exit.Errorf(exit.Failure, "%s %w: %s", address, ErrNoDataCentres, response.Status)
	case response.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("%s: %s: %s", address, response.Status, text)
	}
	var answer operators.DataCentres
	if err := json.Unmarshal(data, &answer); err != nil {
		return nil, err
	}
	return &answer, nil
}
