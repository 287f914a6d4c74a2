package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Values of a small deployment, as the pages give them for dala-coop.
const (
	heartbeat   = 1500 * time.Millisecond
	resend      = 1300 * time.Millisecond
	cancelBound = 3000 * time.Millisecond
	stopBound   = 50 * time.Millisecond
	maxHold     = time.Second
	pool        = "gourd-desk"
	host        = "nony24.example"
)

var zones = []string{"shymkent", "almaty", "taraz"}

// process is one process of the system.
type process struct {
	sys        *system
	role, name string
	ip         string
	settings   string
	command    []string
	environ    []string
	log        string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// system is the project's programs on loopback addresses, with the stand-ins around them.
type system struct {
	root, dir string
	rec       *record
	base      string
	run       map[string]string
	template  string
	controls  []*process
	retired   []*process
	// proxied is set if the connections to control VMs and agents go through a proxy.
	proxied   bool
	cuts      cuts
	listeners []net.Listener
	entries   []*process
	agents    []*process
	workers   []*worker
	runs      *runs
	version   int
}

// newSystem chooses free loopback addresses and reads the deploy file.
func newSystem(root string, rec *record) (*system, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	s := &system{root: root, dir: dir, rec: rec, run: map[string]string{}, runs: &runs{rec: rec}}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return s, err
	}
	for _, m := range regexp.MustCompile(`(?s)\[roles\.(\w+)\]\s+run = "([^"]+)"`).FindAllStringSubmatch(string(deploy), -1) {
		s.run[m[1]] = m[2]
	}
	template, err := os.ReadFile(filepath.Join(root, "deploy/settings.json.tmpl"))
	if err != nil {
		return s, err
	}
	s.template = string(template)
	for range 50 {
		s.base = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if s.free() {
			return s, nil
		}
	}
	return s, errors.New("no free addresses")
}

// free reports whether the ports that the system needs are free.
func (s *system) free() bool {
	for i := 1; i <= 60; i++ {
		for _, port := range []int{7720, 7721, 8161, 8165, 8166, 8167, 9464} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", s.base, i, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// start starts control VMs, entries, agents and their workers, and waits until all of them serve.
func (s *system) start(controls, entries, agents int, o workerOptions) error {
	for i := range controls {
		s.controls = append(s.controls, s.newProcess("control", fmt.Sprintf("core-%d", i+1), fmt.Sprintf("%s%d", s.base, 1+i), zones[i%3]))
	}
	for i := range entries {
		s.entries = append(s.entries, s.newProcess("entry", fmt.Sprintf("frontend-%d", i+1), fmt.Sprintf("%s%d", s.base, 11+i), zones[i%3]))
	}
	for i := range agents {
		p := s.newProcess("agent", fmt.Sprintf("side-%d", i+1), fmt.Sprintf("%s%d", s.base, 21+i), zones[i%3])
		s.agents = append(s.agents, p)
		w, err := newWorker(s, p.ip, fmt.Sprintf("i-%08x", rand.Uint32()), zones[i%3], fmt.Sprintf("r%d-1", i%3+1), o)
		if err != nil {
			return err
		}
		s.workers = append(s.workers, w)
	}
	for _, p := range s.all() {
		if s.proxied && p.role != "entry" {
			if err := s.serveProxy(p, p.ip+":7720", p.ip+":7721"); err != nil {
				return err
			}
		}
		if err := p.start(true); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) all() []*process {
	return slices.Concat(s.controls, s.entries, s.agents)
}

func (s *system) newProcess(role, name, ip, zone string) *process {
	p := &process{sys: s, role: role, name: name, ip: ip, command: strings.Fields(s.run[role])}
	p.settings = filepath.Join(s.dir, name+".json")
	p.log = filepath.Join(s.dir, name+".log")
	all := map[string]string{}
	for _, z := range zones {
		all[z] = "south-kz"
	}
	p.environ = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "LANG=C",
		"CICADAPULLEY_SETTINGS=" + p.settings, "CICADAPULLEY_GRACE_PERIOD=6s", "CICADAPULLEY_DATA_CENTRE=" + zone,
	}
	if role == "control" {
		data, _ := json.Marshal(all)
		p.environ = append(p.environ, "CICADAPULLEY_DATA_CENTRES="+string(data))
	}
	return p
}

// render fills in the template of the deploy file.
func (p *process) render(bootstrap bool) string {
	s := p.sys
	seeds := make([]string, 0, 3)
	for _, c := range s.controls[:min(3, len(s.controls))] {
		seeds = append(seeds, c.ip+":8166")
	}
	values := map[string]any{
		"node_name": p.name, "ip": p.ip, "internal_ports.0": 7720, "seeds": seeds, "bootstrap": bootstrap,
		"fault_tolerance.machines": 1, "limits.memory_mb": 280, "bounds.max_hold_ms": maxHold.Milliseconds(), "bounds.status_s": 120,
	}
	switch p.role {
	case "control":
		values["data_dir"] = filepath.Join(s.dir, p.name+"-data")
		values["listen.control"] = p.ip + ":8166"
	case "entry":
		values["listen.frontend_addr"] = p.ip + ":8161"
		values["listen.readiness"] = p.ip + ":8167"
		values["limits.memory_mb"] = 284
	case "agent":
		values["listen.control"] = p.ip + ":8166"
		values["app"] = p.ip + ":8165"
		values["backend"] = pool
		values["limits.memory_mb"] = 152
	}
	template := s.template
	if s.proxied && p.role != "entry" {
		template = strings.Replace(template, `"mesh_listen": ""`, `"mesh_listen": "`+p.ip+`:7721"`, 1)
	}
	return regexp.MustCompile(`\{\{[a-z_.0-9]+(\|json)?\}\}`).ReplaceAllStringFunc(template, func(m string) string {
		name, isJSON := strings.CutSuffix(strings.Trim(m, "{}"), "|json")
		v, ok := values[name]
		switch {
		case !ok && isJSON:
			return "null"
		case !ok:
			return ""
		case isJSON:
			data, _ := json.Marshal(v)
			return string(data)
		}
		return fmt.Sprint(v)
	})
}

func (p *process) start(bootstrap bool) error {
	if err := os.WriteFile(p.settings, []byte(p.render(bootstrap)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Dir, cmd.Env, cmd.Stdout, cmd.Stderr = p.sys.root, p.environ, log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd != nil && p.running() {
		p.sys.rec.notef("signal %v to %s", sig, p.name)
		_ = cmd.Process.Signal(sig)
	}
}

// kill ends the process and waits for that.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

// close ends all processes and removes the folder, unless KEEP is set.
func (s *system) close() {
	for _, p := range slices.Concat(s.all(), s.retired) {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	for _, w := range s.workers {
		w.close()
	}
	for _, l := range s.listeners {
		_ = l.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
}

// route is a queue of the configuration.
func route(name string, timeoutMS, attempts int) map[string]any {
	return map[string]any{
		"name": "r-" + name, "host": host, "path_prefix": "/" + name + "/", "kind": "non_idempotent", "timeout_ms": timeoutMS,
		"target_completion_ms": 60, "priority": 0, "backend": pool, "max_attempts": attempts, "stretch": 1.6,
	}
}

// configure sends a configuration until a control VM acknowledges it.
func (s *system) configure(routes ...map[string]any) error {
	s.version += 3
	body, _ := json.Marshal(map[string]any{
		"version": s.version, "routes": routes,
		"services": []any{map[string]any{"name": pool, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": true, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	end := time.Now().Add(20 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		c := s.controls[i%len(s.controls)]
		if a := call(http.MethodPut, "http://"+c.ip+":8166/cicadapulley/config", "", body, time.Second, 0); a.status == http.StatusOK {
			s.rec.notef("configuration %d acknowledged by %s", s.version, c.name)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("no control VM acknowledged the configuration")
}

// awaitService waits until every entry runs a small job and all workers are known.
func (s *system) awaitService(prefix string) error {
	end := time.Now().Add(30 * time.Second)
	for _, e := range s.entries {
		for {
			a := s.post(e, prefix, newID(), job{spec: "50", tasks: []int{len(s.workers)}, estimate: 50, cpu: 1600, bestEffort: true}, 1500*time.Millisecond)
			if a.status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return errors.New("no service through " + e.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	for {
		held := 0
		for _, w := range s.workers {
			if w.wasHeld() {
				held++
			}
		}
		if held == len(s.workers) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d workers are in use", held, len(s.workers))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// job is a submission. tasks has the number of tasks of each step; each step waits for the one
// before it.
type job struct {
	spec       string
	tasks      []int
	estimate   int
	estimates  []int
	cpu        int
	bestEffort bool
	// anti is anti_affinity and requires the label of all steps.
	anti     int
	requires string
}

func (j job) body() []byte {
	var steps []any
	for i, n := range j.tasks {
		step := map[string]any{"count": n, "cpu": j.cpu, "mem_mb": 64, "estimated_ms": j.estimate}
		if j.estimates != nil {
			step["estimated_ms"] = j.estimates[i]
		}
		if j.anti > 0 {
			step["anti_affinity"] = j.anti
		}
		if j.requires != "" {
			step["requires"] = j.requires
		}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		steps = append(steps, step)
	}
	m := map[string]any{"spec": j.spec, "steps": steps}
	if j.bestEffort {
		m["best_effort"] = true
	}
	data, _ := json.Marshal(m)
	return data
}

// answer is what a caller got; status 0 means no complete answer.
type answer struct {
	status int
	body   string
	at     time.Time
}

// call makes one request on a connection of its own.
func call(method, url, hostName string, body []byte, timeout time.Duration, deadline time.Duration) answer {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return answer{at: time.Now()}
	}
	if hostName != "" {
		r.Host = hostName
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	if deadline > 0 {
		r.Header.Set("X-Cicadapulley-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	}
	resp, err := client.Do(r)
	if err != nil {
		return answer{at: time.Now()}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{at: time.Now()}
	}
	return answer{status: resp.StatusCode, body: strings.TrimSpace(string(data)), at: time.Now()}
}

// post submits a job through an entry. The client waits for as long as its deadline says.
func (s *system) post(e *process, prefix, id string, j job, deadline time.Duration) answer {
	return call(http.MethodPost, "http://"+e.ip+":8161/"+prefix+"/"+id, host, j.body(), deadline, deadline)
}

// request makes a GET or DELETE for a job.
func (s *system) request(e *process, method, prefix, id string, deadline time.Duration) answer {
	return call(method, "http://"+e.ip+":8161/"+prefix+"/"+id, host, nil, deadline, deadline)
}
