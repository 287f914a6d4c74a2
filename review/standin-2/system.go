package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	meshPort   = 7720
	listenPort = 7721
	hostName   = "shop.example"
	poolName   = "desk"
)

// system is a small deployment: the project's own processes, each with a loopback address
// of its own, and the stand-ins around them.
type system struct {
	rec     *record
	dir     string
	network network
	client  *http.Client
	nodes   []*node
	workers []*worker
	version int

	mu    sync.Mutex
	needs map[string]int // cpu of the tasks of a job
	// inRotation are the entries to which the balancer sends new connections.
	inRotation map[*node]bool
	misses     map[*node]int
}

// node is one process of the project.
type node struct {
	name, role, ip string
	dir            string
	command        []string
	cmd            *exec.Cmd
	waited         chan struct{}
}

// sizes are the numbers of machines.
type sizes struct{ controls, entries, agents int }

func newSystem(rec *record, n sizes, label func(i int) (kind, rack string), cpu int) (*system, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &system{
		rec: rec, dir: dir, client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100}},
		needs: map[string]int{}, inRotation: map[*node]bool{}, misses: map[*node]int{},
	}
	commands, err := deployCommands("deploy/system.toml")
	if err != nil {
		return s, err
	}
	template, err := os.ReadFile("deploy/settings.json.tmpl")
	if err != nil {
		return s, err
	}
	prefix, err := freeNetwork()
	if err != nil {
		return s, err
	}
	var seeds []string
	for i := range min(n.controls, 3) {
		seeds = append(seeds, fmt.Sprintf("%s.1.%d:%s", prefix, i+1, controlPort))
	}
	add := func(role string, count, third int) error {
		for i := range count {
			v := &node{name: fmt.Sprintf("%s-%d", role, i+1), role: role, ip: fmt.Sprintf("%s.%d.%d", prefix, third, i+1), command: commands[role]}
			v.dir = filepath.Join(dir, v.name)
			if err := os.Mkdir(v.dir, 0o755); err != nil {
				return err
			}
			if err := s.writeSettings(v, template, seeds); err != nil {
				return err
			}
			if role != "entry" {
				if _, err := newProxy(fmt.Sprintf("%s:%d", v.ip, meshPort), fmt.Sprintf("%s:%d", v.ip, listenPort), v.name, &s.network); err != nil {
					return err
				}
			}
			s.nodes = append(s.nodes, v)
		}
		return nil
	}
	if err := add("control", n.controls, 1); err != nil {
		return s, err
	}
	if err := add("entry", n.entries, 2); err != nil {
		return s, err
	}
	if err := add("agent", n.agents, 3); err != nil {
		return s, err
	}
	for i, v := range s.byRole("agent") {
		kind, rack := label(i)
		w, err := newWorker(v.ip, fmt.Sprintf("i-%04d", i+1), kind, rack, cpu, rec, s.need)
		if err != nil {
			return s, err
		}
		s.workers = append(s.workers, w)
	}
	for _, v := range s.nodes {
		if err := s.start(v); err != nil {
			return s, err
		}
	}
	go s.balance()
	return s, nil
}

// freeNetwork returns the first two numbers of loopback addresses that nobody uses.
func freeNetwork() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d", 40+rand.IntN(200))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1.1:%d", prefix, meshPort))
		if err == nil {
			_ = l.Close()
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

var (
	roleLine = regexp.MustCompile(`^\[roles\.(\w+)\]`)
	runLine  = regexp.MustCompile(`^run = "([^"]*)"`)
)

// deployCommands reads the command of each role from the deploy file.
func deployCommands(path string) (map[string][]string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	commands := map[string][]string{}
	role := ""
	for _, line := range strings.Split(string(data), "\n") {
		if m := roleLine.FindStringSubmatch(line); m != nil {
			role = m[1]
		}
		if m := runLine.FindStringSubmatch(line); m != nil {
			commands[role] = strings.Fields(m[1])
		}
	}
	return commands, nil
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// writeSettings renders the project's template with the fields of a small deployment.
func (s *system) writeSettings(v *node, template []byte, seeds []string) error {
	data := ""
	if v.role == "control" {
		data = filepath.Join(v.dir, "data")
	}
	fields := map[string]any{
		"node_name": v.name, "ip": v.ip, "internal_ports.0": meshPort, "seeds": seeds, "bootstrap": true, "fault_tolerance.machines": 1,
		"data_dir": data, "listen.frontend_addr": "", "listen.readiness": "", "listen.control": "", "app": "", "backend": "",
		"limits.memory_mb": 284, "bounds.max_hold_ms": maxHold.Milliseconds(), "bounds.status_s": 120,
	}
	switch v.role {
	case "entry":
		fields["listen.frontend_addr"] = v.ip + ":8161"
		fields["listen.readiness"] = v.ip + ":8167"
	case "agent":
		fields["app"] = net.JoinHostPort(v.ip, workerPort)
		fields["backend"] = poolName
		fields["listen.control"] = net.JoinHostPort(v.ip, controlPort)
	case "control":
		fields["listen.control"] = net.JoinHostPort(v.ip, controlPort)
	}
	var missing error
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		value, ok := fields[m[1]]
		if !ok {
			missing = fmt.Errorf("template field %q is unknown", m[1])
		}
		if m[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, _ := json.Marshal(value)
		return string(encoded)
	})
	if missing != nil {
		return missing
	}
	var settings map[string]any
	if err := json.Unmarshal([]byte(text), &settings); err != nil {
		return err
	}
	if v.role != "entry" {
		settings["mesh_listen"] = fmt.Sprintf("%s:%d", v.ip, listenPort) // the proxy has the other address
	}
	encoded, _ := json.MarshalIndent(settings, "", "  ")
	return os.WriteFile(filepath.Join(v.dir, "settings.json"), encoded, 0o644)
}

func (s *system) byRole(role string) []*node {
	var list []*node
	for _, v := range s.nodes {
		if v.role == role {
			list = append(list, v)
		}
	}
	return list
}

func (s *system) start(v *node) error {
	log, err := os.OpenFile(filepath.Join(v.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(v.command[0], v.command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + v.dir, "LANG=C", "CICADAPULLEY_SETTINGS=" + filepath.Join(v.dir, "settings.json")}
	cmd.Stdout, cmd.Stderr = log, log
	// The processes end with this one, whatever ends it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	v.cmd = cmd
	waited := make(chan struct{})
	v.waited = waited
	go func() {
		_ = cmd.Wait()
		close(waited)
	}()
	return nil
}

// signal sends a signal to the process of a node.
func (s *system) signal(v *node, sig syscall.Signal) {
	s.rec.printf("%s gets %s", v.name, sig)
	_ = v.cmd.Process.Signal(sig)
}

// close ends all processes that were started.
func (s *system) close() {
	for _, v := range s.nodes {
		if v.cmd != nil {
			_ = v.cmd.Process.Kill()
			<-v.waited
		}
	}
	for _, w := range s.workers {
		w.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
}

// balance asks each entry for its readiness once a second, as the platform does: after two
// misses an entry gets no new connections until it answers 200 again.
func (s *system) balance() {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, v := range s.byRole("entry") {
			go func() {
				resp, err := client.Get("http://" + v.ip + ":8167/cicadapulley/ready")
				ready := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					_ = resp.Body.Close()
				}
				s.mu.Lock()
				defer s.mu.Unlock()
				was := s.inRotation[v]
				if ready {
					s.misses[v] = 0
					s.inRotation[v] = true
				} else if s.misses[v]++; s.misses[v] >= 2 {
					s.inRotation[v] = false
				}
				if was != s.inRotation[v] {
					s.rec.printf("balancer: %s in rotation: %t", v.name, s.inRotation[v])
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

// chooseEntry returns an entry in rotation, any entry if there is none.
func (s *system) chooseEntry() *node {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*node
	for _, v := range s.byRole("entry") {
		if s.inRotation[v] {
			list = append(list, v)
		}
	}
	if len(list) == 0 {
		list = s.byRole("entry")
	}
	return list[rand.IntN(len(list))]
}

// need returns the cpu that a task of a job needs.
func (s *system) need(task string) int {
	job, _, _ := strings.Cut(task, ".")
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.needs[job]
}

// call makes one call; status 0 means that there was no complete answer.
func (s *system) call(method, url string, body []byte, deadline time.Duration) (int, []byte) {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = hostName
	r.Header.Set("Content-Type", "application/json")
	if deadline > 0 {
		r.Header.Set("X-Cicadapulley-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	}
	client := *s.client
	if deadline > 0 {
		client.Timeout = deadline
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// route is a queue of the configuration.
func route(name string, priority, attempts int, stretch float64) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "path_prefix": "/" + name + "/", "kind": "non_idempotent", "timeout_ms": 1500,
		"target_completion_ms": 60, "priority": priority, "backend": poolName, "max_attempts": attempts, "stretch": stretch,
	}
}

// configure sends a configuration until a control VM acknowledges it.
func (s *system) configure(routes ...map[string]any) error {
	s.version += 3
	body, _ := json.Marshal(map[string]any{
		"version": s.version, "routes": routes,
		"services": []map[string]any{{"name": poolName, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": true, "standby": false}},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	until := time.Now().Add(20 * time.Second)
	for time.Now().Before(until) {
		for _, v := range s.byRole("control") {
			status, _ := s.call(http.MethodPut, "http://"+net.JoinHostPort(v.ip, controlPort)+"/cicadapulley/config", body, time.Second)
			if status == http.StatusOK {
				s.rec.printf("configuration %d is acknowledged by %s", s.version, v.name)
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("no configuration was acknowledged")
}

// step is a step of a job.
func step(count, cpu, estimatedMS int) map[string]any {
	return map[string]any{"count": count, "cpu": cpu, "mem_mb": 64, "estimated_ms": estimatedMS}
}

// submission is a job as its client sees it.
type submission struct {
	id, queue  string
	bestEffort bool
	accepted   bool
	state      string
}

var lastID struct {
	sync.Mutex
	n uint64
}

func (s *system) newJob(queue string, bestEffort bool, cpu int) *submission {
	lastID.Lock()
	lastID.n++
	id := fmt.Sprintf("%08x%08x", 0xc0de0000+lastID.n%0xffff, lastID.n)
	lastID.Unlock()
	s.mu.Lock()
	s.needs[id] = cpu
	s.mu.Unlock()
	return &submission{id: id, queue: queue, bestEffort: bestEffort}
}

// submit hands a job in at an entry, nil for one in rotation; without a clear answer it
// does so again until the time is over.
func (s *system) submit(j *submission, at *node, spec string, steps []map[string]any, until time.Time) int {
	fields := map[string]any{"spec": spec, "steps": steps}
	if j.bestEffort {
		fields["best_effort"] = true
	}
	body, _ := json.Marshal(fields)
	for {
		v := at
		if v == nil {
			v = s.chooseEntry()
		}
		s.rec.printf("client: POST /%s/%s at %s", j.queue, j.id, v.name)
		status, data := s.call(http.MethodPost, "http://"+v.ip+":8161/"+j.queue+"/"+j.id, body, 1500*time.Millisecond)
		s.rec.printf("client: POST /%s/%s at %s: %d %s", j.queue, j.id, v.name, status, bytes.TrimSpace(data))
		switch {
		case status == http.StatusOK:
			j.accepted = true
			return status
		case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable, status == http.StatusNotFound, time.Now().After(until):
			return status
		}
		time.Sleep(1300 * time.Millisecond) // resend_ms
	}
}

// askState asks for the state of a job.
func (s *system) askState(j *submission) string {
	v := s.chooseEntry()
	status, data := s.call(http.MethodGet, "http://"+v.ip+":8161/"+j.queue+"/"+j.id, nil, 1500*time.Millisecond)
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(data, &body)
	if status != http.StatusOK {
		return fmt.Sprintf("status %d", status)
	}
	return body.State
}

// awaitFinal asks for a job until its state is final or the time is over.
func (s *system) awaitFinal(j *submission, until time.Time) string {
	for {
		j.state = s.askState(j)
		if j.state == "completed" || j.state == "failed" || j.state == "cancelled" || time.Now().After(until) {
			s.rec.printf("client: GET /%s/%s: %s", j.queue, j.id, j.state)
			return j.state
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// warmUp waits until every worker has run a task.
func (s *system) warmUp(queue string) error {
	until := time.Now().Add(20 * time.Second)
	for time.Now().Before(until) {
		j := s.newJob(queue, true, 12000)
		s.submit(j, nil, "ms=30", []map[string]any{step(len(s.workers), 12000, 30)}, time.Now())
		idle := 0
		for _, w := range s.workers {
			w.mu.Lock()
			if len(w.highest) == 0 {
				idle++
			}
			w.mu.Unlock()
		}
		if idle == 0 {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("some worker got no task")
}
