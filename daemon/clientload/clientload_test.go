package clientload_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/daemon/clientload"
)

// The tests of this file start one process of cicadapulleyd for each role with lowered limits
// and load one of them from clients that no balancer holds back. They check what does not
// depend on the machine's speed: the process lives, its memory and descriptors stay under the
// bounds of its settings, and an ordinary request is answered while the load's connections are
// open.
const (
	// requestMemory is the setting request_memory_bytes of all processes. maxBodyBytes and
	// maxConnections are the settings max_body_bytes and max_connections of the entry.
	requestMemory  = 8 << 20
	maxBodyBytes   = 1 << 20
	maxConnections = 450
	// memoryBound is the bound for resident memory and unread bytes: 64 MiB for the process, the
	// buffers of its connections and its operations page, and the requests' memory of two
	// listeners, each doubled by garbage.
	memoryBound = 64<<20 + 4*requestMemory
	// descriptorLimit is the limit of the operating system on the descriptors of each process.
	// Clients may take four fifths.
	descriptorLimit = 700
	descriptorBound = descriptorLimit * 4 / 5
	// processBodyBytes is the size of large bodies that are sent as those of another process.
	processBodyBytes = 16 << 20
)

const (
	jsonType  = "application/json"
	protoType = "application/protobuf"
	// Paths of methods with lists in their requests, and of methods with large answers.
	pathFate   = "/twirp/cicadapulley.rpc.Agent/Fate"
	pathFinish = "/twirp/cicadapulley.rpc.Control/FinishJob"
	pathGetJob = "/twirp/cicadapulley.rpc.Control/GetJob"
	pathAwait  = "/twirp/cicadapulley.rpc.Entry/Await"
)

// underLoad runs loads of one process and checks the bounds.
func underLoad(t *testing.T, s *system, n *node, loads ...clientload.Load) {
	t.Helper()
	peak := clientload.Run(n.Process, func() {
		s.eventually("a job is served", s.serves)
		s.eventually("the operations page answers", func() bool { return s.answers(n, "/metrics") })
	}, loads...)
	assert.Assert(t, !peak.Ended, "%s has ended", n.name)
	t.Logf("%s: %v; bounds %d MB and %d descriptors", n.name, peak, memoryBound>>20, descriptorBound)
	assert.Check(t, peak.Memory+peak.Unread < memoryBound, "%s: memory %d MB and %d MB unread, bound %d MB", n.name, peak.Memory>>20, peak.Unread>>20, memoryBound>>20)
	assert.Check(t, peak.Descriptors < descriptorBound, "%s: %d descriptors, bound %d", n.name, peak.Descriptors, descriptorBound)
}

func header(path, contentType, framing string) string {
	return clientload.Header("POST", path, "Content-Type: "+contentType, framing)
}

func encode(t *testing.T, m proto.Message) []byte {
	t.Helper()
	data, err := proto.Marshal(m)
	assert.NilError(t, err)
	return data
}

// listOf returns a list of n empty messages.
func listOf[T any](n int) []*T {
	list := make([]*T, n)
	for i := range list {
		list[i] = new(T)
	}
	return list
}

// processListener is a listener for other processes, with a method that it serves.
type processListener struct {
	node *node
	path string
}

func (s *system) processListeners() []processListener {
	return []processListener{{s.entry, pathAwait}, {s.control, pathFinish}, {s.agent, pathFate}}
}

// TestClientLoadWholeBodies guards against processes that run out of memory on many bodies of legal
// size at once, whose decoded form is many times as large.
func TestClientLoadWholeBodies(t *testing.T) {
	s := newSystem(t, 190)
	emptyTasks := []byte(`{"tasks":[` + strings.Repeat("{},", maxBodyBytes/3-10) + `{}]}`)
	const empty = 1 << 19
	results := encode(t, &rpc.FinishJobRequest{Outcome: &rpc.Outcome{Results: listOf[rpc.TaskResult](empty)}})
	resultsJSON := []byte(`{"outcome":{"results":[` + strings.Repeat("{},", empty) + `{}]}}`)
	tasks := encode(t, &rpc.FateRequest{Tasks: listOf[rpc.TaskRef](empty)})
	send := func(path, contentType string, body []byte) func(net.Conn, int) error {
		return func(c net.Conn, _ int) error {
			return clientload.SendWhole(c, header(path, contentType, clientload.LengthOf(len(body))), body, 4)
		}
	}
	underLoad(t, s, s.entry,
		clientload.Load{Address: s.entry.callers(), Connections: 60, Send: send("/v1/jobs", jsonType, emptyTasks)})
	underLoad(t, s, s.control,
		clientload.Load{Address: s.control.listen(), Connections: 16, Send: send(pathFinish, protoType, results)},
		clientload.Load{Address: s.control.listen(), Connections: 16, Send: send(pathFinish, jsonType, resultsJSON)})
	underLoad(t, s, s.agent,
		clientload.Load{Address: s.agent.listen(), Connections: 16, Send: send(pathFate, protoType, tasks)})
}

// TestClientLoadPieces guards against processes that run out of memory on bodies that are sent piece
// by piece and stop short of their end.
func TestClientLoadPieces(t *testing.T) {
	s := newSystem(t, 191)
	send := func(path, contentType string, size int) func(net.Conn, int) error {
		body := clientload.ShortOf(size)
		return func(c net.Conn, _ int) error {
			if _, err := io.WriteString(c, header(path, contentType, clientload.LengthOf(size))); err != nil {
				return err
			}
			return clientload.SendPieces(c, body, 16<<10)
		}
	}
	underLoad(t, s, s.entry,
		clientload.Load{Address: s.entry.callers(), Connections: 400, Send: send("/v1/jobs", jsonType, maxBodyBytes)})
	for _, l := range s.processListeners() {
		underLoad(t, s, l.node, clientload.Load{Address: l.node.listen(), Connections: 60, Send: send(l.path, protoType, processBodyBytes)})
	}
}

// TestClientLoadChunks guards against processes that run out of memory on chunked bodies, in large
// or in very small chunks, that stop short of their end.
func TestClientLoadChunks(t *testing.T) {
	s := newSystem(t, 192)
	load := func(address, path string, connections, size, chunk int) clientload.Load {
		body := clientload.ShortOf(size)
		return clientload.Load{Address: address, Connections: connections, Send: func(c net.Conn, _ int) error {
			if _, err := io.WriteString(c, header(path, protoType, clientload.Chunked)); err != nil {
				return err
			}
			return clientload.SendChunks(c, body, chunk)
		}}
	}
	underLoad(t, s, s.entry,
		load(s.entry.callers(), "/v1/jobs", 400, maxBodyBytes, 64<<10), load(s.entry.callers(), "/v1/jobs", 400, maxBodyBytes, 4))
	for _, l := range s.processListeners() {
		underLoad(t, s, l.node,
			load(l.node.listen(), l.path, 60, processBodyBytes, 64<<10), load(l.node.listen(), l.path, 400, 256<<10, 4))
	}
}

// TestClientLoadStreams guards against processes that run out of memory on bodies that stop short of
// their end on many HTTP/2 streams of a few connections.
func TestClientLoadStreams(t *testing.T) {
	s := newSystem(t, 193)
	load := func(address, path string, size int) clientload.Load {
		body := clientload.ShortOf(size)
		return clientload.Load{Address: address, Connections: 40, Send: func(c net.Conn, _ int) error {
			return clientload.Streams(c, 50, "POST", path, protoType, body)
		}}
	}
	underLoad(t, s, s.entry, load(s.entry.callers(), "/v1/jobs", maxBodyBytes))
	for _, l := range s.processListeners() {
		underLoad(t, s, l.node, load(l.node.listen(), l.path, processBodyBytes))
	}
}

// TestClientLoadHeaders guards against processes that keep headers that never end.
func TestClientLoadHeaders(t *testing.T) {
	s := newSystem(t, 194)
	load := func(address string) clientload.Load {
		return clientload.Load{Address: address, Connections: 400, Send: func(c net.Conn, _ int) error {
			return clientload.SendEndlessHeader(c, 512<<10)
		}}
	}
	underLoad(t, s, s.entry, load(s.entry.callers()), load(s.entry.listen()), load(s.entry.ops()))
	underLoad(t, s, s.control, load(s.control.listen()), load(s.control.ops()))
	underLoad(t, s, s.agent, load(s.agent.listen()), load(s.agent.ops()))
}

// largeJob runs a job whose output is large and returns its ID.
func (s *system) largeJob() string {
	id, answer := s.submit(strings.Repeat("a", 600<<10))
	assert.Assert(s.t, strings.Contains(answer, `"state":"complete"`), answer[:min(len(answer), 500)])
	return id
}

// TestClientLoadUnreadAnswers guards against processes that keep the answers to clients that never
// read them.
func TestClientLoadUnreadAnswers(t *testing.T) {
	s := newSystem(t, 195)
	id := s.largeJob()
	load := func(address string, request []byte) clientload.Load {
		return clientload.Load{Address: address, Connections: 200, Send: func(c net.Conn, _ int) error {
			return clientload.SendPieces(c, bytes.Repeat(request, 50), 1024)
		}}
	}
	get := func(path string) []byte {
		return []byte("GET " + path + " HTTP/1.1\r\nHost: shop.example\r\n\r\n")
	}
	post := func(path string, m proto.Message) []byte {
		body := encode(t, m)
		return append([]byte(header(path, protoType, clientload.LengthOf(len(body)))), body...)
	}
	underLoad(t, s, s.entry, load(s.entry.callers(), get("/v1/jobs/"+id+"?caller=test")),
		load(s.entry.ops(), get("/v1/events")), load(s.entry.ops(), get("/metrics")))
	underLoad(t, s, s.control,
		load(s.control.listen(), post(pathGetJob, &rpc.GetJobRequest{Key: &rpc.JobKey{Caller: "test", Id: id}})),
		load(s.control.ops(), get("/v1/status")), load(s.control.ops(), get("/metrics")))
	underLoad(t, s, s.agent,
		load(s.agent.listen(), post(pathFate, &rpc.FateRequest{Tasks: listOf[rpc.TaskRef](10_000)})),
		load(s.agent.ops(), get("/metrics")))
}

// TestClientLoadUnreadStreams guards against processes that keep the answers to clients that take
// nothing of them on many HTTP/2 streams of a few connections.
func TestClientLoadUnreadStreams(t *testing.T) {
	s := newSystem(t, 196)
	id := s.largeJob()
	load := func(address, path string) clientload.Load {
		return clientload.Load{Address: address, Connections: 40, Send: func(c net.Conn, _ int) error {
			return clientload.Streams(c, 50, http.MethodGet, path, jsonType, nil)
		}}
	}
	underLoad(t, s, s.entry, load(s.entry.callers(), "/v1/jobs/"+id+"?caller=test"), load(s.entry.ops(), "/metrics"))
	underLoad(t, s, s.control, load(s.control.ops(), "/metrics"))
	underLoad(t, s, s.agent, load(s.agent.ops(), "/metrics"))
}

// TestClientLoadSilentConnections guards against clients that take all descriptors of a process with
// connections on which they send nothing.
func TestClientLoadSilentConnections(t *testing.T) {
	s := newSystem(t, 197)
	silent := func(address string) clientload.Load {
		return clientload.Load{Address: address, Connections: 800, Send: func(net.Conn, int) error { return nil }}
	}
	underLoad(t, s, s.entry, silent(s.entry.callers()), silent(s.entry.listen()), silent(s.entry.ops()))
	underLoad(t, s, s.control, silent(s.control.listen()), silent(s.control.ops()))
	underLoad(t, s, s.agent, silent(s.agent.listen()), silent(s.agent.ops()))
}

// TestClientLoadReachesMethods guards against loads on processes that check nothing, since their path
// has no method: an empty request to each is answered by it.
func TestClientLoadReachesMethods(t *testing.T) {
	s := newSystem(t, 198)
	for _, l := range s.processListeners() {
		resp, err := s.client.Post(fmt.Sprintf("http://%s%s", l.node.listen(), l.path), protoType, nil)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Assert(t, resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusBadRequest, "%s: %s", l.path, resp.Status)
	}
}
