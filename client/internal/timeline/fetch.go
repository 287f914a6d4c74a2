package timeline

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// maxBodyBytes bounds the answer of one process, which keeps 16384 events of a few
// hundred bytes.
const maxBodyBytes = 64 << 20

// Source is the operations page of one process.
type Source struct {
	// Process is the name shown if the process cannot be reached.
	Process string
	// URL is the base URL, empty if the process has no operations page.
	URL string
}

// Filter selects events. Zero fields select everything.
type Filter struct {
	Job, Caller string
	Ticket      uint64
	Since       Clock
}

func (f Filter) query() url.Values {
	q := url.Values{}
	set := func(name, value string) {
		if value != "" && value != "0" {
			q.Set(name, value)
		}
	}
	set("ticket", strconv.FormatUint(f.Ticket, 10))
	set("since", strconv.FormatUint(uint64(f.Since), 10))
	if f.Job != "" {
		q.Set("job", f.Job)
		q.Set("caller", f.Caller)
	}
	return q
}

// response is the result of fetching the events of one process.
type response struct {
	source Source
	events []Event
	err    error
}

// processName returns the name in the events if there are any: sources given as
// URLs by the user have no name.
func (r response) processName() string {
	if len(r.events) > 0 {
		return r.events[0].Process
	}
	return r.source.Process
}

// Fetch queries all processes concurrently, one goroutine each, and merges the
// events received before ctx ends. Processes that don't answer are listed in
// Timeline.Missing.
func Fetch(ctx context.Context, h *http.Client, sources []Source, f Filter) *Timeline {
	responses := make([]response, len(sources))
	var wg sync.WaitGroup
	for i, s := range sources {
		wg.Go(func() {
			events, err := fetch(ctx, h, s, f)
			responses[i] = response{source: s, events: events, err: err}
		})
	}
	wg.Wait()
	return collect(responses)
}

func collect(responses []response) *Timeline {
	t := &Timeline{Processes: []string{}, Missing: []Missing{}, Events: []Event{}}
	for _, r := range responses {
		if r.err != nil {
			t.Missing = append(t.Missing, Missing{Process: r.source.Process, URL: r.source.URL, Error: r.err.Error()})
			continue
		}
		t.Processes = append(t.Processes, r.processName())
		t.Events = append(t.Events, r.events...)
	}
	slices.Sort(t.Processes)
	t.Processes = slices.Compact(t.Processes)
	t.Events = Merge(t.Events)
	slices.SortFunc(t.Missing, func(a, b Missing) int { return cmp.Compare(a.Process, b.Process) })
	return t
}

// fetch reads the events of one process.
func fetch(ctx context.Context, h *http.Client, s Source, f Filter) ([]Event, error) {
	if s.URL == "" {
		return nil, fmt.Errorf("the process has no operations page")
	}
	target := strings.TrimSuffix(s.URL, "/") + "/v1/events?" + f.query().Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	resp, err := h.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read by then
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("read events: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("HTTP status %s", resp.Status)
	}
	var events []Event
	if err := json.Unmarshal(data, &events); err != nil {
		return nil, fmt.Errorf("decode events: %w", err)
	}
	return events, nil
}
