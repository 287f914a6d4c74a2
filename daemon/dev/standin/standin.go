// Package standin implements simulated endpoints for development and measurements.
// They sleep instead of working, at different speeds, and count each start.
package standin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cicadapulley/cicadapulley/api/callers"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/daemon/dev/precise"
	"github.com/cicadapulley/cicadapulley/daemon/transport"
)

// Kinds that the stand-in endpoints serve. KindSleep and KindHold sleep for the time
// in the payload and return its echo; KindFail sleeps and then fails.
const (
	KindSleep = "sleep"
	KindFail  = "fail"
	KindHold  = "hold"
)

// Mode is how an endpoint behaves.
type Mode string

// Modes. A silent endpoint accepts requests and never answers.
const (
	Normal Mode = "normal"
	Fail   Mode = "fail"
	Silent Mode = "silent"
)

// stopTimeout bounds the shutdown of an endpoint.
const stopTimeout = time.Second

// payload is the input of all kinds.
type payload struct {
	// MS is the time of the request at speed 1, in milliseconds.
	MS   float64         `json:"ms"`
	Echo json.RawMessage `json:"echo"`
}

// Behaviour holds the settings of an endpoint that can change while it runs.
type Behaviour struct {
	Mode Mode `json:"mode"`
	// Speed divides the time of each request.
	Speed float64 `json:"speed"`
}

// Valid reports whether the mode exists and the speed is positive.
func (b Behaviour) Valid() bool {
	validMode := b.Mode == Normal || b.Mode == Fail || b.Mode == Silent
	return validMode && b.Speed > 0
}

// Endpoint is one stand-in endpoint.
type Endpoint struct {
	listener net.Listener
	starts   *Starts
	// Worker is the ID under which starts are recorded. Set it before Run.
	Worker string

	mu        sync.Mutex
	behaviour Behaviour
}

// New returns an endpoint that counts its starts in s.
func New(l net.Listener, s *Starts, b Behaviour) *Endpoint {
	return &Endpoint{listener: l, starts: s, behaviour: b}
}

// Set changes the behaviour for later requests.
func (e *Endpoint) Set(b Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviour = b
}

// Behaviour returns the current behaviour.
func (e *Endpoint) Behaviour() Behaviour {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.behaviour
}

// Run serves until ctx ends.
func (e *Endpoint) Run(ctx context.Context) error {
	return transport.Serve(ctx, transport.NewServer(e, nil), e.listener, stopTimeout)
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var p payload
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, &p)
	}
	if err != nil {
		http.Error(w, "payload: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := e.starts.Add(taskKey(r), e.Worker); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	e.work(w, r, p)
}

func taskKey(r *http.Request) job.TaskKey {
	task, _ := strconv.Atoi(r.Header.Get(callers.HeaderTask)) // the agent always sends a number
	return job.TaskKey{
		Job:  job.Key{Caller: r.Header.Get(callers.HeaderCaller), ID: r.Header.Get(callers.HeaderJob)},
		Task: task,
	}
}

func (e *Endpoint) work(w http.ResponseWriter, r *http.Request, p payload) {
	b := e.Behaviour()
	switch {
	case b.Mode == Silent:
		<-r.Context().Done()
		return
	case b.Mode == Fail:
		http.Error(w, "this endpoint fails everything", http.StatusInternalServerError)
		return
	}
	if !precise.SleepContext(r.Context(), time.Duration(p.MS/b.Speed*float64(time.Millisecond))) {
		return
	}
	if r.Header.Get(callers.HeaderKind) == KindFail {
		http.Error(w, "this kind always fails", http.StatusUnprocessableEntity)
		return
	}
	if len(p.Echo) == 0 {
		p.Echo = json.RawMessage("null")
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(p.Echo) // the agent notices a broken connection
}
