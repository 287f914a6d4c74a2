package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// workerOptions are those of all workers.
type workerOptions struct {
	cpu, memMB int
}

// run is a task that a worker has begun.
type run struct {
	task, worker string
	number       uint64
	began, ended time.Time
	how          string
	// noted is set once last_seen has reached the end, unless the lease lapsed in between.
	noted bool
}

// runs has all runs of all workers.
type runs struct {
	rec  *record
	mu   sync.Mutex
	list []*run
	// breaks are broken rules that the search has found.
	breaks []string
}

func (r *runs) begin(task, worker string, number uint64) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := &run{task: task, worker: worker, number: number, began: time.Now()}
	r.list = append(r.list, n)
	r.rec.notef("%s begins %s run %d", worker, task, number)
	return n
}

func (r *runs) note(n *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n.noted = true
}

func (r *runs) end(n *run, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n.ended, n.how = time.Now(), how
	r.rec.notef("%s ends %s run %d %s", n.worker, n.task, n.number, how)
}

// of returns the runs of a job's tasks.
func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []run
	for _, n := range r.list {
		if strings.HasPrefix(n.task, id+".") {
			list = append(list, *n)
		}
	}
	return list
}

// twice returns pairs of runs of one task that overlap.
func (r *runs) twice() [][2]run {
	r.mu.Lock()
	defer r.mu.Unlock()
	byTask := map[string][]*run{}
	for _, n := range r.list {
		byTask[n.task] = append(byTask[n.task], n)
	}
	var pairs [][2]run
	for _, list := range byTask {
		for i, a := range list {
			for _, b := range list[i+1:] {
				if (a.ended.IsZero() || b.began.Before(a.ended)) && (b.ended.IsZero() || a.began.Before(b.ended)) {
					pairs = append(pairs, [2]run{*a, *b})
				}
			}
		}
	}
	return pairs
}

// worker is a stand-in of a worker, as PROTOCOL.md describes it. The spec of a job is the
// duration of each of its tasks in milliseconds, separated by commas for several steps.
type worker struct {
	sys            *system
	ip, id         string
	zone, rack     string
	opts           workerOptions
	server         *http.Server
	stop           chan struct{}
	startedAt      time.Time
	lateShare      atomic.Int64 // share of the starts and stops that get no answer and are carried out late, in thousandths
	lateHolds      atomic.Int64 // the same for holds
	mu             sync.Mutex
	unguarded      bool
	speed          float64 // multiple of the nominal run time; 0 for 1
	kind           string
	down           bool
	unnoted        []*run
	lapsed         bool
	sequence       int
	fence          uint64
	lease          int64
	held           bool
	freeCPU        int
	active         map[string]*active
	highest        map[string]uint64
	finished       [][]any
	nextEnd        uint64
	changed        chan struct{}
	ordersAnswered int
	ordersLate     int
}

type active struct {
	run      *run
	cpu      int
	timer    *time.Timer
	began    time.Time
	duration time.Duration
}

func newWorker(s *system, ip, id, zone, rack string, o workerOptions) (*worker, error) {
	w := &worker{
		sys: s, ip: ip, id: id, zone: zone, rack: rack, opts: o, kind: "a", stop: make(chan struct{}), startedAt: time.Now(), freeCPU: o.cpu,
		active: map[string]*active{}, highest: map[string]uint64{}, nextEnd: 1, changed: make(chan struct{}),
	}
	l, err := net.Listen("tcp", ip+":8165")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cicadapulley/run-start", w.order(&w.lateShare, w.startRun))
	mux.HandleFunc("POST /cicadapulley/run-stop", w.order(&w.lateShare, w.stopRun))
	mux.HandleFunc("POST /cicadapulley/hold", w.order(&w.lateHolds, w.hold))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }()
	go w.heartbeats()
	go w.expire()
	return w, nil
}

func (w *worker) close() {
	close(w.stop)
	_ = w.server.Close()
}

func (w *worker) wasHeld() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.held
}

func (w *worker) clock() int64 { return time.Since(w.startedAt).Milliseconds() }

// order lets a share of the orders go unanswered. They are carried out 2 to 12 s later.
func (w *worker) order(share *atomic.Int64, h http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		w.mu.Lock()
		down, life := w.down, w.startedAt
		w.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if rand.Int64N(1000) >= share.Load() {
			w.mu.Lock()
			w.ordersAnswered++
			w.mu.Unlock()
			h(rw, r)
			return
		}
		w.mu.Lock()
		w.ordersLate++
		w.mu.Unlock()
		late := r.Clone(context.Background())
		late.Body = io.NopCloser(bytes.NewReader(body))
		delay := 2*time.Second + time.Duration(rand.Int64N(int64(10*time.Second)))
		w.sys.rec.notef("%s leaves %s unanswered for good, carries it out in %d ms: %s", w.id, r.URL.Path, delay.Milliseconds(), orderText(body))
		time.AfterFunc(delay, func() {
			w.mu.Lock()
			same := w.startedAt.Equal(life) && !w.down
			w.mu.Unlock()
			if same {
				h(httptest.NewRecorder(), late)
			}
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

func orderText(body []byte) string {
	var q orderBody
	_ = json.Unmarshal(body, &q)
	return fmt.Sprintf("%s run %d", q.Task, q.Run)
}

type orderBody struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fencing_token"`
	LastSeen   uint64 `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

// decode reads a call and answers it if it is not for this worker or fenced. The caller holds mu.
func (w *worker) decode(rw http.ResponseWriter, r *http.Request) (q orderBody, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.answer(rw, http.StatusBadRequest, nil)
		return q, false
	}
	if instance := r.Header.Get("X-Cicadapulley-Expect-Instance"); instance != "" && instance != w.id {
		w.answer(rw, http.StatusMisdirectedRequest, nil)
		return q, false
	}
	if q.Fence < w.fence {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return q, false
	}
	w.fence = q.Fence
	return q, true
}

func (w *worker) answer(rw http.ResponseWriter, status int, fields map[string]any) {
	if fields == nil {
		fields = map[string]any{}
	}
	fields["clock_ms"] = w.clock()
	fields["born"] = w.startedAt.UnixMilli()
	data, _ := json.Marshal(fields)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}

func (w *worker) extend(deadline int64) {
	w.lease = max(w.lease, min(deadline, w.clock()+maxHold.Milliseconds()))
}

func key(task string, n uint64) string { return fmt.Sprintf("%s/%d", task, n) }

func (w *worker) startRun(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	q, ok := w.decode(rw, r)
	if !ok {
		return
	}
	if w.active[key(q.Task, q.Run)] != nil {
		w.answer(rw, http.StatusOK, nil)
		return
	}
	cpu := 1600
	fails := false
	j, step := registered(q.Task)
	if j != nil {
		cpu = j.def.cpu
		if q.Spec != j.def.spec {
			w.sys.breakf("UNASKED", "%s with another spec", q.Task)
		}
	}
	reason := ""
	switch {
	case q.DeadlineMS <= w.clock():
		reason = "late"
	case q.Run <= w.highest[q.Task]:
		reason = "old"
	case w.freeCPU < cpu && !w.unguarded:
		reason = "room"
	}
	if reason != "late" {
		w.extend(q.DeadlineMS)
	}
	if reason != "" {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	w.highest[q.Task] = q.Run
	w.freeCPU -= cpu
	if j != nil {
		if w.freeCPU < 0 {
			w.sys.breakf("LIMIT", "%s on %s: %d over", q.Task, w.id, -w.freeCPU)
		}
		if j.def.requires != "" && j.def.requires != w.kind && j.def.requires != w.rack {
			w.sys.breakf("ROUTE", "%s on %s of kind %s", q.Task, w.id, w.kind)
		}
		same := 0
		for _, a := range w.active {
			if o, s := registered(a.run.task); o == j && s == step {
				same++
			}
		}
		if j.def.anti > 0 && same >= j.def.anti {
			w.sys.breakf("ROUTE", "%s on %s beside %d others", q.Task, w.id, same)
		}
		fails = w.sys.runs.fails(q.Spec, q.Task)
	}
	a := &active{run: w.sys.runs.begin(q.Task, w.id, q.Run), cpu: cpu, began: time.Now(), duration: durationOf(q.Spec, q.Task)}
	if w.speed > 0 {
		a.duration = time.Duration(float64(a.duration) * w.speed)
	}
	w.active[key(q.Task, q.Run)] = a
	a.timer = time.AfterFunc(a.duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if fails {
			w.finish(a, "failed")
			return
		}
		w.finish(a, "done")
	})
	w.answer(rw, http.StatusOK, nil)
}

// fails reports whether the next run of a task fails by the spec of its job: with "!N" the first N do.
func (r *runs) fails(spec, task string) bool {
	_, text, found := strings.Cut(spec, "!")
	n, _ := strconv.Atoi(text)
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, o := range r.list {
		if o.task == task && o.how == "failed" {
			count++
		}
	}
	return found && count < n
}

// crash ends all runs and begins a new life under the same id after a while, of another kind.
func (w *worker) crash(down time.Duration) {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return
	}
	w.sys.rec.notef("%s crashes for %d ms", w.id, down.Milliseconds())
	w.down = true
	for _, a := range w.active {
		w.finish(a, "lost")
	}
	w.mu.Unlock()
	time.Sleep(down)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = false
	w.startedAt = time.Now()
	w.sequence, w.fence, w.lease, w.nextEnd = 0, 0, 0, 1
	w.finished, w.unnoted = nil, nil
	w.highest = map[string]uint64{}
	w.kind = map[string]string{"a": "b", "b": "a"}[w.kind]
	w.sys.rec.notef("%s is back as kind %s", w.id, w.kind)
}

// durationOf returns how long a task takes by the spec of its job.
func durationOf(spec, task string) time.Duration {
	spec, _, _ = strings.Cut(spec, "!")
	list := strings.Split(spec, ",")
	step := 0
	if parts := strings.Split(task, "."); len(parts) == 4 {
		step, _ = strconv.Atoi(parts[2])
	}
	ms, _ := strconv.Atoi(list[min(step, len(list)-1)])
	return time.Duration(ms) * time.Millisecond
}

func (w *worker) stopRun(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	q, ok := w.decode(rw, r)
	if !ok {
		return
	}
	w.sys.rec.notef("%s is told to stop %s run %d", w.id, q.Task, q.Run)
	w.highest[q.Task] = max(w.highest[q.Task], q.Run)
	if a := w.active[key(q.Task, q.Run)]; a != nil {
		time.AfterFunc(time.Duration(rand.Int64N(int64(stopBound))), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.finish(a, "stopped")
		})
	}
	w.answer(rw, http.StatusOK, nil)
}

func (w *worker) finish(a *active, how string) {
	k := key(a.run.task, a.run.number)
	if w.active[k] != a {
		return
	}
	delete(w.active, k)
	a.timer.Stop()
	w.freeCPU += a.cpu
	w.finished = append(w.finished, []any{w.nextEnd, a.run.task, a.run.number, how, ""})
	w.nextEnd++
	w.sys.runs.end(a.run, how)
	w.unnoted = append(w.unnoted, a.run)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	q, ok := w.decode(rw, r)
	if !ok {
		return
	}
	w.held = true
	w.extend(q.DeadlineMS)
	for len(w.finished) > 0 && w.finished[0][0].(uint64) <= q.LastSeen {
		w.finished = w.finished[1:]
		if n := w.unnoted[0]; n != nil {
			w.sys.runs.note(n)
		}
		w.unnoted = w.unnoted[1:]
	}
	if len(w.finished) == 0 && q.WaitMS > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(min(q.WaitMS, 2000)) * time.Millisecond):
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for _, a := range w.active {
		percent := min(100*time.Since(a.began)/max(a.duration, 1), 100)
		running = append(running, []any{a.run.task, a.run.number, "", int(percent), a.cpu})
	}
	finished := w.finished[:min(len(w.finished), 500)]
	w.answer(rw, http.StatusOK, map[string]any{"running": running, "finished": append([][]any{}, finished...)})
}

// expire ends everything when the lease expires.
func (w *worker) expire() {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		w.mu.Lock()
		if w.clock() >= w.lease {
			for i := range w.unnoted {
				w.unnoted[i] = nil // the lease lapsed before these ends were noted
			}
			for _, a := range w.active {
				w.finish(a, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) heartbeats() {
	client := &http.Client{Timeout: time.Second}
	for {
		w.mu.Lock()
		if w.down {
			w.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			continue
		}
		w.sequence++
		body, _ := json.Marshal(map[string]any{
			"backend": pool, "address": w.ip + ":8165", "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]int{"cpu": w.opts.cpu, "mem_mb": w.opts.memMB, "gpu": 0}, "labels": []string{w.kind, w.rack},
			"clock_ms": w.clock(), "sequence": w.sequence, "born": w.startedAt.UnixMilli(),
		})
		w.mu.Unlock()
		acknowledged := false
		r, _ := http.NewRequest(http.MethodPut, "http://"+w.ip+":8166/cicadapulley/instances/"+w.id, bytes.NewReader(body))
		r.Header.Set("Content-Type", "application/json")
		if resp, err := client.Do(r); err == nil {
			acknowledged = resp.StatusCode/100 == 2
			_ = resp.Body.Close()
		}
		pause := heartbeat
		if !acknowledged {
			pause = 200 * time.Millisecond
		}
		select {
		case <-w.stop:
			return
		case <-time.After(pause):
		}
	}
}
