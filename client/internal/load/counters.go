package load

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
)

// Metric names of the daemon.
const (
	metricEvents   = "cicadapulley_events_total"
	metricRequests = "cicadapulley_requests_received_total"
)

// counters holds sums over all processes: events by name, requests by method.
type counters struct {
	events   map[string]float64
	requests map[string]float64
}

var metricLine = regexp.MustCompile(`^(\w+)\{(?:event|method)="([^"]+)"\} ([0-9.e+]+)$`)

// readCounters sums the counters over all processes of a development system.
func readCounters(ctx context.Context, dev *devClient) (counters, error) {
	c := counters{events: map[string]float64{}, requests: map[string]float64{}}
	for _, role := range []string{"control", "entry", "worker"} {
		for i := 1; ; i++ {
			err := c.addProcess(ctx, dev, fmt.Sprintf("/dev/processes/%s-%d/metrics", role, i))
			var status *statusError
			if errors.As(err, &status) && status.code == http.StatusNotFound {
				break
			}
			if err != nil {
				return c, err
			}
		}
	}
	return c, nil
}

func (c counters) addProcess(ctx context.Context, dev *devClient, path string) error {
	return dev.fetch(ctx, path, c.parse)
}

// parse adds the metrics of one process, in the Prometheus text format.
func (c counters) parse(text io.Reader) error {
	scanner := bufio.NewScanner(text)
	for scanner.Scan() {
		match := metricLine.FindStringSubmatch(scanner.Text())
		if match == nil {
			continue
		}
		value, err := strconv.ParseFloat(match[3], 64)
		if err != nil {
			return fmt.Errorf("metric %s: %w", match[1], err)
		}
		switch match[1] {
		case metricEvents:
			c.events[match[2]] += value
		case metricRequests:
			c.requests[match[2]] += value
		}
	}
	return scanner.Err()
}

// since returns the increases since an earlier reading.
func (c counters) since(before counters) counters {
	return counters{events: difference(c.events, before.events), requests: difference(c.requests, before.requests)}
}

func difference(after, before map[string]float64) map[string]float64 {
	d := map[string]float64{}
	for name, n := range after {
		if n > before[name] {
			d[name] = n - before[name]
		}
	}
	return d
}

// messagesPerExchange counts a request and its answer.
const messagesPerExchange = 2

// Messages are the numbers of messages between processes per started task.
type Messages struct {
	// Tasks is the number of starts.
	Tasks float64 `json:"tasks"`
	// PerTask counts all messages, ByMethod the messages of each method.
	PerTask  float64            `json:"per_task"`
	ByMethod map[string]float64 `json:"by_method"`
	// WastedPerTask counts wasted messages, WastedByCause splits them by cause.
	WastedPerTask float64            `json:"wasted_per_task"`
	WastedByCause map[string]float64 `json:"wasted_by_cause"`
}

// perTask divides the messages of a run by the number of started tasks.
func (c counters) perTask() Messages {
	m := Messages{Tasks: c.events["task_started"], ByMethod: map[string]float64{}, WastedByCause: map[string]float64{}}
	if m.Tasks == 0 {
		return m
	}
	for method, n := range c.requests {
		m.ByMethod[method] = n * messagesPerExchange / m.Tasks
		m.PerTask += m.ByMethod[method]
	}
	for cause, exchanges := range c.wastedExchanges() {
		m.WastedByCause[cause] = exchanges * messagesPerExchange / m.Tasks
		m.WastedPerTask += m.WastedByCause[cause]
	}
	return m
}

// wastedExchanges counts, by cause, the exchanges that carried neither a start that
// ran, nor an answer that was used, nor state that was new to the receiver.
func (c counters) wastedExchanges() map[string]float64 {
	return map[string]float64{
		"refused_starts":  c.events["task_refused"],
		"fate_questions":  c.requests["cicadapulley.rpc.Agent/Fate"],
		"late_cancels":    c.events["job_cancel_late"],
		"empty_watches":   c.events["watch_unchanged"],
		"lost_answers":    max(0, c.requests["cicadapulley.rpc.Agent/Run"]-c.events["task_answered"]-c.events["task_refused"]),
		"repeated_finish": max(0, c.requests["cicadapulley.rpc.Control/FinishJob"]-c.events["job_finished"]),
	}
}
