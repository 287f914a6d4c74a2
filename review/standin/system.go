package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployment (dala-coop): DEPLOY.md and SYSTEM.md.
const (
	maxHold      = 1000 * time.Millisecond
	stopTimeout  = 50 * time.Millisecond
	cancelBound  = 3000 * time.Millisecond
	visibleBound = 3000 * time.Millisecond
	finishBound  = 14 * time.Second
	resendDelay  = 1300 * time.Millisecond
	heartbeat    = 1500 * time.Millisecond
	statusS      = 120
	callTimeout  = 1500 * time.Millisecond
	clientHost   = "shop.example"
	serviceName  = "desk"
)

// errCannotRun means that the case could not be carried out.
type errCannotRun struct{ text string }

func (e errCannotRun) Error() string { return e.text }

func cannotRun(format string, args ...any) { panic(errCannotRun{fmt.Sprintf(format, args...)}) }

// program is the platform's program, which the deploy file builds.
const program = "target/cicadapulley-platform"

// process is one process of the system on a machine of its own.
type process struct {
	sys      *system
	role     string
	ip       string
	dir      string
	settings map[string]any
	cmd      *exec.Cmd
	exited   chan struct{}
	// proxy forwards the connections of the system's other processes.
	proxy *proxy
	// expected is set while the script ends the process itself.
	expected bool
}

// ports are the same on all machines.
type ports struct{ mesh, callers, readiness, control, app, metrics, meshListen int }

type system struct {
	root     string
	dir      string
	rec      *recorder
	check    *checker
	ports    ports
	controls []*process
	entries  []*process
	agents   []*process
	workers  []*worker
	clients  []*http.Client
	version  int
}

// workerKind describes the workers of a case.
type workerKind struct {
	cpu, mem int
	guards   bool
}

// newSystem starts 3 control processes and the given numbers of entries and agents,
// with a worker beside each agent.
func newSystem(rec *recorder, entries int, kinds []workerKind, proxies bool) *system {
	root, err := os.Getwd()
	if err != nil {
		cannotRun("%v", err)
	}
	if _, err := os.Stat(filepath.Join(root, program)); err != nil {
		cannotRun("%s is not built", program)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun("%v", err)
	}
	folders.Store(dir, true)
	s := &system{root: root, dir: dir, rec: rec, check: newChecker(rec)}
	a, b := 20+rand.IntN(200), 1+rand.IntN(250)
	base := 12000 + 10*rand.IntN(1800)
	s.ports = ports{mesh: base, callers: base + 1, readiness: base + 2, control: base + 3, app: base + 4, metrics: base + 5, meshListen: base + 6}
	total := 3 + entries + len(kinds)
	ip := func(i int) string { return fmt.Sprintf("127.%d.%d.%d", a, b, i+1) }
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip(i), s.ports.control))
	}
	for i := range total {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip(i), s.ports.mesh))
		if err != nil {
			cannotRun("address is not free: %v", err)
		}
		_ = l.Close()
		p := &process{sys: s, role: "agent", ip: ip(i)}
		switch {
		case i < 3:
			p.role = "control"
			s.controls = append(s.controls, p)
		case i < 3+entries:
			p.role = "entry"
			s.entries = append(s.entries, p)
		default:
			s.agents = append(s.agents, p)
		}
		p.dir = filepath.Join(dir, fmt.Sprintf("%s-%d", p.role, i+1))
		if err := os.MkdirAll(filepath.Join(p.dir, "data"), 0o755); err != nil {
			cannotRun("%v", err)
		}
		p.settings = s.settingsOf(p, seeds)
		if proxies && p.role != "entry" {
			listen := fmt.Sprintf("%s:%d", p.ip, s.ports.meshListen)
			p.settings["mesh_listen"] = listen
			p.proxy = newProxy(fmt.Sprintf("%s:%d", p.ip, s.ports.mesh), listen)
		}
	}
	for i, p := range s.agents {
		s.workers = append(s.workers, newWorker(s, fmt.Sprintf("w-%02d", i+1), p.ip, kinds[i]))
	}
	for _, p := range s.all() {
		p.start()
	}
	for range s.entries {
		s.clients = append(s.clients, &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}})
	}
	return s
}

// settingsOf fills in the template of the deploy file.
func (s *system) settingsOf(p *process, seeds []string) map[string]any {
	m := map[string]any{
		"vm": filepath.Base(p.dir), "ip": p.ip, "mesh_port": s.ports.mesh, "mesh_listen": "", "seeds": seeds, "bootstrap": true, "tolerated": 1,
		"data_dir": "", "callers": "", "readiness": "", "control": "", "endpoint": "", "pool": "", "memory_mb": 284,
		"metrics": fmt.Sprintf("%s:%d", p.ip, s.ports.metrics), "max_hold_ms": maxHold.Milliseconds(), "keep_final_s": statusS,
	}
	switch p.role {
	case "control":
		m["data_dir"] = filepath.Join(p.dir, "data")
		m["control"] = fmt.Sprintf("%s:%d", p.ip, s.ports.control)
		m["memory_mb"] = 280
	case "entry":
		m["callers"] = fmt.Sprintf("%s:%d", p.ip, s.ports.callers)
		m["readiness"] = fmt.Sprintf("%s:%d", p.ip, s.ports.readiness)
	case "agent":
		m["control"] = fmt.Sprintf("%s:%d", p.ip, s.ports.control)
		m["endpoint"] = fmt.Sprintf("%s:%d", p.ip, s.ports.app)
		m["pool"] = serviceName
		m["memory_mb"] = 152
	}
	return m
}

func (s *system) all() []*process {
	return append(append(append([]*process(nil), s.controls...), s.entries...), s.agents...)
}

func (p *process) name() string { return filepath.Base(p.dir) }

// start starts the process with the command of the deploy file.
func (p *process) start() {
	data, err := json.Marshal(p.settings)
	if err != nil {
		cannotRun("%v", err)
	}
	path := filepath.Join(p.dir, "settings.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		cannotRun("%v", err)
	}
	log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	defer log.Close()
	p.cmd = exec.Command(filepath.Join(p.sys.root, program), p.role)
	p.cmd.Dir = p.sys.root
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.dir, "LANG=C", "CICADAPULLEY_SETTINGS=" + path}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		cannotRun("%v", err)
	}
	p.expected = false
	p.settings["bootstrap"] = false
	p.exited = make(chan struct{})
	cmd, exited := p.cmd, p.exited
	started.Store(cmd, true)
	go func() {
		_ = cmd.Wait()
		started.Delete(cmd)
		close(exited)
	}()
}

// started holds the processes that this script has started and that may still run.
var started sync.Map

// endProcesses ends all of them, if the script can't go on.
func endProcesses() {
	started.Range(func(cmd, _ any) bool {
		_ = cmd.(*exec.Cmd).Process.Kill()
		return true
	})
}

// folders are the temporary folders of this script.
var folders sync.Map

func removeFolders() {
	folders.Range(func(dir, _ any) bool {
		_ = os.RemoveAll(dir.(string))
		return true
	})
}

func (p *process) signal(sig syscall.Signal) {
	p.sys.rec.note("platform: %s of %s", sig, p.name())
	_ = p.cmd.Process.Signal(sig)
}

// kill sends SIGKILL and waits until the process has ended.
func (p *process) kill() {
	p.expected = true
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// term sends SIGTERM, and SIGKILL after the grace period of 6 s.
func (p *process) term() {
	p.expected = true
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(6 * time.Second):
		p.kill()
	}
}

func (p *process) restart() {
	p.sys.rec.note("platform: start of %s", p.name())
	p.start()
}

// close ends all processes and removes the temporary folder.
func (s *system) close() {
	for _, p := range s.all() {
		if p.cmd == nil || p.cmd.Process == nil {
			continue
		}
		select {
		case <-p.exited:
			if !p.expected {
				s.check.violate("FAULT", "%s ended by itself: %v", p.name(), p.cmd.ProcessState)
			}
		default:
			p.expected = true
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			<-p.exited
		}
	}
	for _, w := range s.workers {
		w.close()
	}
	for _, p := range s.all() {
		if p.proxy != nil {
			p.proxy.close()
		}
	}
	if keep := os.Getenv("REVIEW_KEEP"); keep != "" {
		_ = os.Rename(s.dir, keep)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// route is a queue of the configuration.
type route struct {
	name        string
	priority    int
	maxAttempts int
	targetMS    int
	stretch     float64
}

// configure sends a configuration until a control machine acknowledges it.
func (s *system) configure(routes ...route) {
	s.version += 3
	list := []map[string]any{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": "r-" + r.name, "host": clientHost, "path_prefix": "/" + r.name + "/", "kind": "non_idempotent", "timeout_ms": 1500,
			"target_completion_ms": r.targetMS, "priority": r.priority, "backend": serviceName, "max_attempts": r.maxAttempts, "stretch": r.stretch,
		})
	}
	body, _ := json.Marshal(map[string]any{
		"version": s.version, "routes": list,
		"services": []map[string]any{{"name": serviceName, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": true, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		for _, p := range s.controls {
			r, _ := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/cicadapulley/config", p.ip, s.ports.control), strings.NewReader(string(body)))
			r.Header.Set("Content-Type", "application/json")
			resp, err := client.Do(r)
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				s.rec.note("operator: version %d is acknowledged by %s", s.version, p.name())
				return
			}
		}
	}
	cannotRun("no configuration was acknowledged within 15 s")
}

// awaitReady waits until all entries are ready.
func (s *system) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	for _, p := range s.entries {
		ready := false
		for deadline := time.Now().Add(15 * time.Second); !ready && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/cicadapulley/ready", p.ip, s.ports.readiness))
			if err == nil {
				_ = resp.Body.Close()
				ready = resp.StatusCode == http.StatusOK
			}
		}
		if !ready {
			cannotRun("%s is not ready after 15 s", p.name())
		}
	}
}

// leader returns the control process whose metrics say that it leads, nil if none does.
func (s *system) leader() *process {
	client := &http.Client{Timeout: 300 * time.Millisecond}
	for _, p := range s.controls {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/metrics", p.ip, s.ports.metrics))
		if err != nil {
			continue
		}
		data, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if strings.Contains(string(data), "\ncicadapulley_leads 1") {
			return p
		}
	}
	return nil
}
