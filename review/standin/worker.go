package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// taskSpec is the spec of the jobs of the stand-in clients. It tells the stand-in
// workers how a task behaves.
type taskSpec struct {
	MS  int `json:"ms"`
	CPU int `json:"cpu"`
	Mem int `json:"mem"`
	// FailPercent of the tasks always fail, selected by a hash of the task's name.
	FailPercent int `json:"fail,omitempty"`
}

func (t taskSpec) fails(task string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	return int(h.Sum32()%100) < t.FailPercent
}

// workerRun is a run of a task at a worker.
type workerRun struct {
	task    string
	run     uint64
	spec    taskSpec
	started time.Time
	ends    time.Time
	record  *runRecord
}

// workerEnd is a row of the list of ends.
type workerEnd struct {
	number uint64
	task   string
	run    uint64
	how    string
	record *runRecord
}

// worker is a stand-in for the platform's worker on a side machine, as PROTOCOL.md
// describes it.
type worker struct {
	sys    *system
	id     string
	ip     string
	kind   workerKind
	server *http.Server
	stop   chan struct{}

	mu       sync.Mutex
	up       bool
	born     time.Time
	sequence uint64
	fence    uint64
	// deadline is the lease's end on the worker's clock, in milliseconds.
	deadline int64
	lapsed   bool
	runs     map[string]*workerRun
	highest  map[string]uint64
	ended    []*workerEnd
	nextEnd  uint64
	changed  chan struct{}
	// beatNow makes the worker send its next heartbeat at once.
	beatNow chan struct{}
	// unhealthy makes the worker answer starts with 503, as an unhealthy worker.
	unhealthy bool
	// failShare is the share of the calls that the worker fails: it resets their
	// connection and does nothing. Its health check stays good, and its tasks go on.
	failShare float64
	// lateShare of the calls are not answered and carried out later, and the answers of
	// lostShare of the calls are lost.
	lateShare, lostShare float64
	// draining is set once the worker says that it leaves.
	draining bool
	// drainAcked is when that was acknowledged; 0 if it has not been.
	drainAcked time.Duration
	// onStart, if set, is called after a start.
	onStart func(task string)
}

func newWorker(s *system, id, ip string, kind workerKind) *worker {
	w := &worker{
		sys: s, id: "i-" + id, ip: ip, kind: kind, stop: make(chan struct{}), up: true, born: time.Now(), runs: map[string]*workerRun{},
		highest: map[string]uint64{}, nextEnd: 1, changed: make(chan struct{}), beatNow: make(chan struct{}, 4),
	}
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, s.ports.app))
	if err != nil {
		cannotRun("%v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cicadapulley/run-start", w.orFail(w.startRun))
	mux.HandleFunc("POST /cicadapulley/run-stop", w.orFail(w.stopRun))
	mux.HandleFunc("POST /cicadapulley/hold", w.orFail(w.hold))
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }()
	go w.beat()
	go w.tick()
	return w
}

// orFail fails a share of the calls.
func (w *worker) orFail(handle http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		share, lateShare, lostShare, born := w.failShare, w.lateShare, w.lostShare, w.born
		w.mu.Unlock()
		switch {
		case rand.Float64() < lateShare:
			w.carryOutLate(handle, r, born)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case rand.Float64() < lostShare:
			handle(httptest.NewRecorder(), r)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case rand.Float64() >= share:
			handle(rw, r)
			return
		}
		if conn, _, err := rw.(http.Hijacker).Hijack(); err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}
}

// carryOutLate carries out a call 2 to 12 s later, unless the worker has crashed since.
func (w *worker) carryOutLate(handle http.HandlerFunc, r *http.Request, born time.Time) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.Clone(context.Background())
	time.AfterFunc(time.Duration(2000+rand.IntN(10000))*time.Millisecond, func() {
		w.mu.Lock()
		same := w.born.Equal(born)
		w.mu.Unlock()
		if same {
			q.Body = io.NopCloser(bytes.NewReader(body))
			handle(httptest.NewRecorder(), q)
		}
	})
}

func (w *worker) setFailShare(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failShare = share
	w.sys.rec.note("worker %s fails %.0f%% of its calls", w.id, 100*share)
}

func (w *worker) close() {
	close(w.stop)
	_ = w.server.Close()
}

// clock returns the worker's steady clock in milliseconds. The caller holds mu.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1000 }

func (w *worker) beat() {
	client := &http.Client{Timeout: time.Second}
	for {
		w.mu.Lock()
		w.sequence++
		state := "ready"
		if w.draining {
			state = "draining"
		}
		id := w.id
		body, _ := json.Marshal(map[string]any{
			"backend": serviceName, "address": fmt.Sprintf("%s:%d", w.ip, w.sys.ports.app), "zone": "z1", "version": "v1", "slots": 8, "state": state,
			"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": w.kind.cpu, "mem_mb": w.kind.mem, "gpu": 0}, "labels": []string{"a", "r1-1"},
			"clock_ms": w.clock(), "sequence": w.sequence, "born": w.born.UnixMilli(),
		})
		w.mu.Unlock()
		acked := false
		r, _ := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/cicadapulley/instances/%s", w.ip, w.sys.ports.control, id), strings.NewReader(string(body)))
		r.Header.Set("Content-Type", "application/json")
		if resp, err := client.Do(r); err == nil {
			acked = resp.StatusCode/100 == 2
			_ = resp.Body.Close()
		}
		w.mu.Lock()
		if acked && state == "draining" && w.drainAcked == 0 {
			w.drainAcked = w.sys.rec.at()
		}
		w.mu.Unlock()
		pause := heartbeat
		if !acked {
			pause = 250 * time.Millisecond
		}
		select {
		case <-w.stop:
			return
		case <-w.beatNow:
		case <-time.After(pause):
		}
	}
}

// leave announces that the worker leaves, ends it 6.5 s later, and starts a successor
// with another id at the same address.
func (w *worker) leave() {
	w.mu.Lock()
	w.draining = true
	id := w.id
	w.mu.Unlock()
	w.sys.rec.note("worker %s leaves", id)
	w.beatNow <- struct{}{}
	time.Sleep(6500 * time.Millisecond)
	r, _ := http.NewRequest(http.MethodDelete, fmt.Sprintf("http://%s:%d/cicadapulley/instances/%s", w.ip, w.sys.ports.control, id), nil)
	client := &http.Client{Timeout: time.Second}
	if resp, err := client.Do(r); err == nil {
		_ = resp.Body.Close()
	}
	w.mu.Lock()
	w.id += "x"
	w.draining, w.drainAcked = false, 0
	w.mu.Unlock()
	w.crash()
	w.beatNow <- struct{}{}
}

// tick ends the runs that are over, and all runs when the lease expires.
func (w *worker) tick() {
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		now := time.Now()
		for _, r := range w.runs {
			if !now.Before(r.ends) {
				how := "done"
				if r.spec.fails(r.task) {
					how = "failed"
				}
				w.finish(r, how)
			}
		}
		if !w.lapsed && w.clock() >= w.deadline {
			w.lapsed = true
			for _, r := range w.runs {
				w.finish(r, "lapsed")
			}
			for _, e := range w.ended {
				w.sys.check.lapsed(e.record)
			}
		}
		w.mu.Unlock()
	}
}

func runKey(task string, run uint64) string { return fmt.Sprintf("%s/%d", task, run) }

// finish ends a run. The caller holds mu.
func (w *worker) finish(r *workerRun, how string) {
	delete(w.runs, runKey(r.task, r.run))
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.sys.check.ended(r.record, how)
	w.ended = append(w.ended, &workerEnd{number: w.nextEnd, task: r.task, run: r.run, how: how, record: r.record})
	w.nextEnd++
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) used() (cpu, mem int) {
	for _, r := range w.runs {
		cpu += r.spec.CPU
		mem += r.spec.Mem
	}
	return cpu, mem
}

func (w *worker) answer(rw http.ResponseWriter, status int, fields map[string]any) {
	fields["clock_ms"] = w.clock()
	fields["born"] = w.born.UnixMilli()
	data, _ := json.Marshal(fields)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}

// begin checks the instance and the fencing token of a call. The caller holds mu.
func (w *worker) begin(rw http.ResponseWriter, r *http.Request, token uint64) bool {
	if want := r.Header.Get("X-Cicadapulley-Expect-Instance"); want != "" && want != w.id {
		w.answer(rw, http.StatusMisdirectedRequest, map[string]any{})
		return false
	}
	if token < w.fence {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return false
	}
	w.fence = token
	return true
}

// extend applies a deadline: it never shortens the lease, which is at most maxHold.
func (w *worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+maxHold.Milliseconds()))
	if w.clock() < w.deadline {
		w.lapsed = false
	}
}

func (w *worker) startRun(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		Task       string `json:"task"`
		Run        uint64 `json:"run"`
		Spec       string `json:"spec"`
		DeadlineMS int64  `json:"deadline_ms"`
		Fence      uint64 `json:"fencing_token"`
	}
	decodeErr := json.NewDecoder(r.Body).Decode(&q)
	w.mu.Lock()
	defer w.mu.Unlock()
	var spec taskSpec
	if decodeErr != nil || json.Unmarshal([]byte(q.Spec), &spec) != nil {
		w.answer(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	if w.unhealthy {
		w.sys.rec.note("worker %s: start of %s run %d is answered 503", w.id, q.Task, q.Run)
		w.answer(rw, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	if !w.begin(rw, r, q.Fence) {
		return
	}
	if w.runs[runKey(q.Task, q.Run)] != nil {
		w.answer(rw, http.StatusOK, map[string]any{})
		return
	}
	w.extend(q.DeadlineMS)
	cpu, mem := w.used()
	reason := ""
	switch {
	case q.DeadlineMS <= w.clock():
		reason = "late"
	case q.Run <= w.highest[q.Task]:
		reason = "old"
	case w.kind.guards && (cpu+spec.CPU > w.kind.cpu || mem+spec.Mem > w.kind.mem):
		reason = "room"
	}
	if reason != "" {
		w.sys.rec.note("worker %s: start of %s run %d is refused: %s", w.id, q.Task, q.Run, reason)
		w.answer(rw, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	now := time.Now()
	if w.drainAcked > 0 && w.sys.rec.at() > w.drainAcked+2*time.Second {
		w.sys.check.violate("DRAIN", "%s starts %s %.1f s after draining was acknowledged", w.id, q.Task, (w.sys.rec.at() - w.drainAcked).Seconds())
	}
	run := &workerRun{task: q.Task, run: q.Run, spec: spec, started: now, ends: now.Add(time.Duration(spec.MS) * time.Millisecond)}
	w.runs[runKey(q.Task, q.Run)] = run
	run.record = w.sys.check.started(w.id, q.Task, q.Run, q.Spec)
	if cpu+spec.CPU > w.kind.cpu || mem+spec.Mem > w.kind.mem {
		w.sys.check.violate("LIMIT", "%s run %d brings %s over its capacity", q.Task, q.Run, w.id)
	}
	w.answer(rw, http.StatusOK, map[string]any{})
	if w.onStart != nil {
		w.onStart(q.Task)
	}
}

func (w *worker) stopRun(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		Task  string `json:"task"`
		Run   uint64 `json:"run"`
		Fence uint64 `json:"fencing_token"`
	}
	decodeErr := json.NewDecoder(r.Body).Decode(&q)
	w.mu.Lock()
	defer w.mu.Unlock()
	if decodeErr != nil {
		w.answer(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	if !w.begin(rw, r, q.Fence) {
		return
	}
	if run := w.runs[runKey(q.Task, q.Run)]; run != nil {
		w.finish(run, "stopped")
	}
	w.highest[q.Task] = max(w.highest[q.Task], q.Run)
	w.answer(rw, http.StatusOK, map[string]any{})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		DeadlineMS int64  `json:"deadline_ms"`
		Fence      uint64 `json:"fencing_token"`
		LastSeen   uint64 `json:"last_seen"`
		WaitMS     int64  `json:"wait_ms"`
	}
	decodeErr := json.NewDecoder(r.Body).Decode(&q)
	w.mu.Lock()
	defer w.mu.Unlock()
	if decodeErr != nil {
		w.answer(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	if !w.begin(rw, r, q.Fence) {
		return
	}
	w.extend(q.DeadlineMS)
	for len(w.ended) > 0 && w.ended[0].number <= q.LastSeen {
		w.sys.check.noted(w.ended[0].record)
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 && q.WaitMS > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-w.stop:
		case <-r.Context().Done():
		case <-time.After(time.Duration(min(q.WaitMS, 2000)) * time.Millisecond):
		}
		w.mu.Lock()
		if q.Fence < w.fence {
			w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
			return
		}
	}
	running := [][]any{}
	for _, run := range w.runs {
		percent := int(min(100*time.Since(run.started)/max(run.ends.Sub(run.started), 1), 100))
		running = append(running, []any{run.task, run.run, "", percent, run.spec.CPU})
	}
	finished := [][]any{}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	w.answer(rw, http.StatusOK, map[string]any{"running": running, "finished": finished})
}

// crash ends all runs and begins a new life with the same id, which knows nothing of
// before.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sys.rec.note("worker %s crashes and starts again", w.id)
	for _, r := range w.runs {
		w.sys.check.ended(r.record, "crashed")
	}
	w.runs, w.highest, w.ended, w.nextEnd = map[string]*workerRun{}, map[string]uint64{}, nil, 1
	w.born, w.sequence, w.fence, w.deadline, w.lapsed = time.Now(), 0, 0, 0, true
}
