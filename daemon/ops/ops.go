// Package ops serves a process's HTTP interface for operators: metrics, health,
// status, the events of the timeline, and the drains of data centres. Parent: the root. Restart rule:
// one-for-one. It owns no state.
package ops

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/cicadapulley/cicadapulley/core/intake"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/ingress"
	"github.com/cicadapulley/cicadapulley/daemon/transport"
)

// shutdownTimeout is how long a stop waits for requests in progress.
const shutdownTimeout = time.Second

// Options configures a Server.
type Options struct {
	Log      *events.Log
	Listener net.Listener
	// Gate bounds the clients of this page; nil for one with defaults.
	Gate *ingress.Gate
	// Gates are those of the process's other listeners, for metrics.
	Gates []*ingress.Gate
	// Ready reports whether the process serves requests.
	Ready func() bool
	// Collectors are the role's own metrics.
	Collectors []prometheus.Collector
	// Status returns the role's state, which is encoded as JSON; nil if the role
	// has none.
	Status func() any
	// Drains are the drains of data centres; nil if the role has none.
	Drains DrainControl
}

// defaultGate bounds the clients of an operations page: Prometheus, a balancer and operators.
var defaultGate = ingress.Options{
	Name:          "ops",
	Limits:        intake.NewLimits(64, 16<<20, intake.DefaultSharePercent, metricsBytes).WithStreams(128, intake.DefaultSharePercent),
	HeaderTimeout: transport.HeaderTimeout, IdleTimeout: transport.IdleTimeout, BodyStallTimeout: 4 * time.Second, BodyTimeout: 15 * time.Second,
	WaitTimeout: 500 * time.Millisecond, WriteTimeout: 5 * time.Second, ReceiveBytes: 16 << 10,
}

// Server is the operations server of one process.
type Server struct {
	opts     Options
	registry *prometheus.Registry
}

// New returns a server, which Run starts.
func New(o Options) *Server {
	s := &Server{opts: o, registry: prometheus.NewRegistry()}
	s.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	s.registry.MustRegister(eventCollector{o.Log})
	s.registry.MustRegister(o.Collectors...)
	if o.Gate == nil {
		s.opts.Gate = ingress.New(defaultGate)
	}
	s.registry.MustRegister(ingress.Collectors(append(slices.Clone(o.Gates), s.opts.Gate)...)...)
	return s
}

// Run serves until ctx is done.
func (s *Server) Run(ctx context.Context) error {
	srv := transport.NewServer(transport.Recover(s.opts.Log, s.Handler()), nil)
	s.opts.Gate.Configure(srv)
	transport.KeepConns(srv)
	return transport.Serve(ctx, srv, s.opts.Gate.Listener(s.opts.Listener), shutdownTimeout)
}

// Memory that an answer takes until it is written.
const (
	metricsBytes = 512 << 10
	statusBytes  = 512 << 10
	// eventsBytes is for all buffered events in both forms, about 600 bytes each.
	eventsBytes = 10 << 20
)

// sizeFraction is the part of that memory which is the size of the answer.
const sizeFraction = 4

// holding counts the memory of an answer. A request that finds none in time is refused.
func holding(bytes int, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held := ingress.Begin(w, r)
		defer held.End()
		if err := held.Answer(bytes, bytes/sizeFraction); err != nil {
			w.Header().Set("Retry-After", "1")
			writeText(w, http.StatusServiceUnavailable, err.Error())
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Handler returns the handler of all routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", holding(metricsBytes, promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", s.ready)
	mux.Handle("GET /v1/events", holding(eventsBytes, http.HandlerFunc(s.events)))
	mux.Handle("GET /v1/status", holding(statusBytes, http.HandlerFunc(s.status)))
	if s.opts.Drains != nil {
		s.handleDataCentres(mux)
	}
	return mux
}

func writeText(w http.ResponseWriter, code int, text string) {
	w.WriteHeader(code)
	_, _ = w.Write([]byte(text + "\n")) // an error means that the client has disconnected
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.opts.Ready() {
		writeText(w, http.StatusOK, "ready")
		return
	}
	writeText(w, http.StatusServiceUnavailable, "not ready")
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	if s.opts.Status == nil {
		http.NotFound(w, nil)
		return
	}
	writeJSON(w, s.opts.Status())
}

// Event is the JSON form of an event, which the timeline reads.
type Event struct {
	Process string `json:"process"`
	Clock   uint64 `json:"clock"`
	ID      uint16 `json:"event"`
	Name    string `json:"name"`
	Caller  string `json:"caller,omitempty"`
	Job     string `json:"job,omitempty"`
	// Task is the task's index plus one.
	Task   int    `json:"task,omitempty"`
	Ticket uint64 `json:"ticket,omitempty"`
	Peer   string `json:"peer,omitempty"`
	Text   string `json:"text,omitempty"`
	Error  string `json:"error,omitempty"`
}

// events responds with the buffered events that match the query parameters job,
// caller, ticket and since (a clock value).
func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	filter, err := parseFilter(r)
	if err != nil {
		writeText(w, http.StatusBadRequest, err.Error())
		return
	}
	list := []Event{}
	for _, e := range s.opts.Log.Select(filter) {
		list = append(list, eventJSON(s.opts.Log.Process(), e))
	}
	writeJSON(w, list)
}

func parseFilter(r *http.Request) (events.Filter, error) {
	q := r.URL.Query()
	f := events.Filter{Job: job.Key{Caller: q.Get("caller"), ID: q.Get("job")}}
	var err error
	if v := q.Get("ticket"); v != "" {
		if f.Ticket, err = strconv.ParseUint(v, 10, 64); err != nil {
			return f, err
		}
	}
	if v := q.Get("since"); v != "" {
		f.Since, err = strconv.ParseUint(v, 10, 64)
	}
	return f, err
}

func eventJSON(process string, e events.Event) Event {
	out := Event{
		Process: process,
		Clock:   e.Clock,
		ID:      uint16(e.ID),
		Name:    e.ID.Name(),
		Caller:  e.Job.Caller,
		Job:     e.Job.ID,
		Task:    e.Task,
		Ticket:  e.Ticket,
		Peer:    e.Peer,
		Text:    e.Text,
	}
	if e.Err != nil {
		out.Error = e.Err.Error()
	}
	return out
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a write error means that the client has disconnected
}

// eventCollector exports the counts of a process's events by name and of its
// requests by method.
type eventCollector struct{ log *events.Log }

var eventCountDesc = prometheus.NewDesc("cicadapulley_events_total", "Events since the start, by catalogue name.", []string{"event"}, nil)

var requestCountDesc = prometheus.NewDesc("cicadapulley_requests_received_total",
	"Requests of other processes since the start, by method; each has one answer.", []string{"method"}, nil)

// Describe implements prometheus.Collector.
func (c eventCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- eventCountDesc
	ch <- requestCountDesc
}

// Collect implements prometheus.Collector.
func (c eventCollector) Collect(ch chan<- prometheus.Metric) {
	for _, d := range events.Catalogue {
		n := c.log.Count(d.ID)
		ch <- prometheus.MustNewConstMetric(eventCountDesc, prometheus.CounterValue, float64(n), d.Name)
	}
	c.log.EachRequestCount(func(method string, n uint64) {
		ch <- prometheus.MustNewConstMetric(requestCountDesc, prometheus.CounterValue, float64(n), method)
	})
}
