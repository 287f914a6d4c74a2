package dev

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/daemon/dev/standin"
	"github.com/cicadapulley/cicadapulley/daemon/ops"
)

// serveAPI serves the interface that only a development system has, in addition to
// the callers': starts, the endpoints' behaviour, network faults, profiles, the
// processes' operations servers, and the operators' API.
func (s *System) serveAPI(w http.ResponseWriter, r *http.Request) {
	s.apiRoutes().ServeHTTP(w, r)
}

func (s *System) apiRoutes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dev/starts", s.showStarts)
	mux.HandleFunc("GET /dev/workers", s.showWorkers)
	mux.HandleFunc("GET /dev/endpoints", s.showEndpoints)
	mux.HandleFunc("PUT /dev/endpoints/{id}", s.setEndpoint)
	mux.HandleFunc("POST /dev/links", s.setLink)
	mux.HandleFunc("GET /dev/processes/{id}/", s.serveProcess)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	for _, c := range s.controls {
		if c.Replica().Leading() {
			operator := c.Operator()
			mux.Handle(operator.PathPrefix(), operator)
			break
		}
	}
	return mux
}

// showStarts returns the number of starts of each task of one job, or of all jobs
// of a caller.
func (s *System) showStarts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	key := job.Key{Caller: q.Get("caller"), ID: q.Get("job")}
	if key.Caller == "" {
		http.Error(w, "caller: is required", http.StatusBadRequest)
		return
	}
	if key.ID == "" {
		writeJSON(w, s.starts.OfCaller(key.Caller))
		return
	}
	writeJSON(w, s.starts.OfJob(key, s.taskCount(key)))
}

// showWorkers returns the worker of each started task of a caller, by job.
func (s *System) showWorkers(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.starts.WorkersOfCaller(r.URL.Query().Get("caller")))
}

// taskCount returns the number of tasks of a recorded job, or zero if it is unknown.
func (s *System) taskCount(k job.Key) int {
	leader := s.leader()
	if leader == nil {
		return 0
	}
	tasks := 0
	// If the leader can't be read, the counted starts alone give the length of the
	// answer.
	_ = leader.service.Read(func(m *state.Machine) {
		if record, ok := m.Job(k); ok {
			tasks = len(record.Tasks)
		}
	})
	return tasks
}

func (s *System) showEndpoints(w http.ResponseWriter, _ *http.Request) {
	all := map[string]standin.Behaviour{}
	for id, e := range s.endpoints {
		all[id] = e.Behaviour()
	}
	writeJSON(w, all)
}

// setEndpoint changes how a worker's endpoint behaves.
func (s *System) setEndpoint(w http.ResponseWriter, r *http.Request) {
	e, ok := s.endpoints[r.PathValue("id")]
	if !ok {
		http.Error(w, "no such worker", http.StatusNotFound)
		return
	}
	b := e.Behaviour()
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || !b.Valid() {
		http.Error(w, "body: mode or speed is not valid", http.StatusBadRequest)
		return
	}
	e.Set(b)
	writeJSON(w, b)
}

// linkChange sets the state of the link between two processes.
type linkChange struct {
	A string `json:"a"`
	B string `json:"b"`
	// State is "cut", "healed" or "silent".
	State string `json:"state"`
}

func (s *System) setLink(w http.ResponseWriter, r *http.Request) {
	var l linkChange
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	switch l.State {
	case "cut":
		s.net.Cut(l.A, l.B)
	case "healed":
		s.net.Heal(l.A, l.B)
	case "silent":
		s.net.Silence(l.A, l.B)
	default:
		http.Error(w, "state: is none of cut, healed, silent", http.StatusBadRequest)
		return
	}
	writeJSON(w, l)
}

// serveProcess serves the paths of one process's operations server.
func (s *System) serveProcess(w http.ResponseWriter, r *http.Request) {
	log, ok := s.logs[r.PathValue("id")]
	if !ok {
		http.Error(w, "no such process", http.StatusNotFound)
		return
	}
	prefix := "/dev/processes/" + r.PathValue("id")
	options := ops.Options{Log: log, Ready: func() bool { return true }}
	s.addRoleOptions(r.PathValue("id"), &options)
	server := ops.New(options)
	http.StripPrefix(strings.TrimSuffix(prefix, "/"), server.Handler()).ServeHTTP(w, r)
}

// addRoleOptions adds the status and metrics of a process's role.
func (s *System) addRoleOptions(id string, o *ops.Options) {
	for i, c := range s.controls {
		if id == controlID(i) {
			o.Status = func() any { return c.Replica().Status() }
			o.Collectors, o.Gates = c.Collectors(), c.Gates()
		}
	}
	for i, e := range s.entries {
		if id == entryID(i) {
			o.Status = func() any { return e.Status() }
			o.Collectors, o.Gates = e.Collectors(), e.Gates()
		}
	}
	for i, a := range s.agents {
		if id == agentID(i) {
			o.Collectors, o.Gates = a.Collectors(), a.Gates()
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client notices a broken connection
}
