package clientload_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/controlclient"
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/daemon/app"
	"github.com/cicadapulley/cicadapulley/daemon/clientload"
	"github.com/cicadapulley/cicadapulley/daemon/dev/standin"
	"github.com/cicadapulley/cicadapulley/daemon/settings"
	"github.com/cicadapulley/cicadapulley/daemon/transport"
)

const (
	// roleVariable makes the test binary run the role that it names, with the settings file of
	// settingsVariable, instead of tests.
	roleVariable     = "CICADAPULLEY_TEST_ROLE"
	settingsVariable = "CICADAPULLEY_TEST_SETTINGS"
)

func TestMain(m *testing.M) {
	role := os.Getenv(roleVariable)
	if role == "" {
		os.Exit(m.Run())
	}
	if err := runRole(role, os.Getenv(settingsVariable)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runRole runs a role of cicadapulleyd with the descriptors of a small VM.
func runRole(role, file string) error {
	limit := syscall.Rlimit{Cur: descriptorLimit, Max: descriptorLimit}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	switch role {
	case "control":
		return load(file, func(s settings.Control) error { return app.RunControl(ctx, s) })
	case "entry":
		return load(file, func(s settings.Entry) error { return app.RunEntry(ctx, s) })
	}
	return load(file, func(s settings.Agent) error { return app.RunAgent(ctx, s) })
}

func load[T any, P interface {
	*T
	Validate(func(path, message string))
}](file string, run func(T) error) error {
	var s T
	if err := settings.Load(file, P(&s)); err != nil {
		return err
	}
	return run(s)
}

// node is one process of cicadapulleyd with its own IP address.
type node struct {
	clientload.Process
	t    *testing.T
	name string
	cmd  *exec.Cmd
	log  string
}

func (n *node) listen() string  { return n.IP + ":7000" }
func (n *node) ops() string     { return n.IP + ":7001" }
func (n *node) callers() string { return n.IP + ":8080" }

// system is one process of each role, with an endpoint in the test's process.
type system struct {
	t                     *testing.T
	control, entry, agent *node
	client                *http.Client
	jobs                  int
}

// newSystem starts a system on loopback addresses with the given second octet.
func newSystem(t *testing.T, network int) *system {
	t.Helper()
	s := &system{t: t, client: &http.Client{Timeout: 5 * time.Second}}
	ip := func(i int) string { return fmt.Sprintf("127.%d.0.%d", network, i) }
	dir := t.TempDir()
	endpoint := s.startEndpoint(ip(4))
	control := []string{ip(1) + ":7000"}
	s.control = s.start("control", ip(1), dir, map[string]any{"data_dir": filepath.Join(dir, "data"), "bootstrap": true})
	s.entry = s.start("entry", ip(2), dir, map[string]any{
		"control": control, "callers": ip(2) + ":8080", "max_body_bytes": maxBodyBytes, "max_connections": maxConnections, "balancer_wait_ms": 1,
	})
	s.agent = s.start("agent", ip(3), dir, map[string]any{
		"control": control, "endpoint": "http://" + endpoint + "/", "slots": 4, "connections": 8,
		"serves": []settings.ServedKind{{Service: "demo", Kind: standin.KindSleep}},
	})
	operator := controlclient.New(transport.NewClient(transport.ClientOptions{Network: transport.TCP{}}), "http", control)
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	_, err := operator.ApplyTicket(ctx, &rpc.ApplyTicketRequest{Ticket: &rpc.Ticket{Number: 1, Author: "test", Services: []*rpc.ServiceConfig{
		{Name: "demo", Kinds: []*rpc.Kind{{Name: standin.KindSleep}}},
	}}})
	assert.NilError(t, err)
	s.eventually("a job is served", s.serves)
	return s
}

// startEndpoint starts the endpoint and returns its address.
func (s *system) startEndpoint(ip string) string {
	l, err := net.Listen("tcp", ip+":9000")
	assert.NilError(s.t, err)
	starts, err := standin.OpenStarts("")
	assert.NilError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- standin.New(l, starts, standin.Behaviour{Mode: standin.Normal, Speed: 1}).Run(ctx) }()
	s.t.Cleanup(func() {
		cancel()
		<-done
	})
	return l.Addr().String()
}

// start writes the settings file of a process and starts it.
func (s *system) start(role, ip, dir string, fields map[string]any) *node {
	n := &node{t: s.t, name: role, log: filepath.Join(dir, role+".log"), Process: clientload.Process{IP: ip}}
	all := map[string]any{"id": role, "data_centre": "east", "listen": n.listen(), "ops": n.ops(), "request_memory_bytes": requestMemory}
	maps.Copy(all, fields)
	data, err := json.Marshal(all)
	assert.NilError(s.t, err)
	file := filepath.Join(dir, role+".json")
	assert.NilError(s.t, os.WriteFile(file, data, 0o600))
	log, err := os.Create(n.log)
	assert.NilError(s.t, err)
	defer log.Close()
	n.cmd = exec.Command(os.Args[0])
	n.cmd.Env = append(os.Environ(), roleVariable+"="+role, settingsVariable+"="+file)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	assert.NilError(s.t, n.cmd.Start())
	n.PID = n.cmd.Process.Pid
	s.t.Cleanup(n.stop)
	return n
}

// stop kills the process, and prints the end of its log if the test has failed.
func (n *node) stop() {
	const shown = 3000
	_ = n.cmd.Process.Kill()
	_ = n.cmd.Wait()
	if data, err := os.ReadFile(n.log); err == nil && n.t.Failed() {
		n.t.Logf("%s:\n%s", n.name, data[max(0, len(data)-shown):])
	}
}

// submit submits a job with a payload, which the endpoint returns, and returns its ID and the answer.
func (s *system) submit(echo string) (id, answer string) {
	s.jobs++
	id = fmt.Sprintf("job-%d", s.jobs)
	body := fmt.Sprintf(`{"id":%q,"caller":"test","service":"demo","deadline_ms":4000,"tasks":[{"kind":%q,"payload":{"ms":1,"echo":%q}}]}`, id, standin.KindSleep, echo)
	resp, err := s.client.Post("http://"+s.entry.callers()+"/v1/jobs?wait=1", "application/json", strings.NewReader(body))
	if err != nil {
		return id, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return id, string(data)
}

// serves reports whether a job is submitted at the entry, stored by control and run by the agent.
func (s *system) serves() bool {
	_, answer := s.submit("")
	return strings.Contains(answer, `"state":"complete"`)
}

// answers reports whether a process's operations page answers.
func (s *system) answers(n *node, path string) bool {
	resp, err := s.client.Get("http://" + n.ops() + path)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

func (s *system) eventually(what string, check func() bool) {
	s.t.Helper()
	const timeout = 15 * time.Second
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if check() {
			return
		}
	}
	s.t.Fatalf("condition not met within %s: %s", timeout, what)
}
