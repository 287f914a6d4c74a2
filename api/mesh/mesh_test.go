package mesh

import (
	"bytes"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// sampleMessages has one message of each kind, with its fields set.
func sampleMessages() []Message {
	run := work.Run{Task: work.TaskID{Job: "5c0e7a21d94b36f8", Step: 1, Index: 2}, Number: 7}
	job := &work.Job{ID: "j", Spec: "text", BestEffort: true, Steps: []work.Step{{Tasks: 2, Need: work.Resources{CPU: 1600}, Estimate: time.Second, After: []int{0}}}}
	return []Message{
		&Hello{Role: RoleAgent, VM: "side-1", Address: "a:1", Period: 8, Server: &raft.Server{ID: "id", Address: "a"}},
		&Welcome{Leading: true, Term: 3, Members: []string{"a"}, Session: 9, Queues: []work.Queue{{Name: "q", Timeout: time.Second, Stretch: 1.6}}, Version: 7, Agents: []ledger.Agent{{VM: "side-1", Address: "a:1"}},
			Incarnation: &work.Incarnation{Instance: "i", StartTimeMS: 5, Pool: "p", Labels: []string{"a"}, Capacity: work.Resources{CPU: 1}}},
		&Ping{Sequence: 1, Session: 2, Running: []placement.ListedRun{{Run: run, Percent: 41, Checkpoint: "c"}}, UsedByOthers: work.Resources{CPU: 5}},
		&Pong{Sequence: 1, Renewed: true},
		&Request{Sequence: 1, Operation: Submit, Host: "h", Path: "/p", Job: job, PriorState: placement.PriorState{
			SentToLeader: true, Done: []work.TaskID{run.Task}, Unconfirmed: []placement.UnconfirmedRuns{{VM: "side-1", Fence: 9, Remaining: time.Second}},
		}},
		&Response{Sequence: 1, Outcome: Overloaded, State: work.Running, Pending: 3, Counted: true, RetryAfterMS: 5, Detail: "d", Version: 7},
		&Inventory{Incarnation: work.Incarnation{Instance: "i", StartTimeMS: 5}, Endpoint: placement.Endpoint{Session: 1, VM: "v", Labels: []string{"a"}, Fence: 3, UsedByOthers: work.Resources{CPU: 5}, LastRun: 9}, Ends: []NumberedEnd{{Number: 1, End: work.End{Run: run, Reason: work.Done}, BestEffort: true}}},
		&Orders{Orders: []placement.Order{{Session: 1, Run: run, Spec: "s", Need: work.Resources{CPU: 5}, BestEffort: true}}},
		&Report{Session: 1, Refused: []RefusedStart{{Run: run, Reason: placement.RefusedCapacity}}, Vanished: []work.Run{run}, Draining: true, Reachability: Reachable, UsedByOthers: work.Resources{CPU: 5}},
		&Acknowledge{Session: 1, UpTo: 4},
		&RaftMessages{Messages: []raft.Message{{Type: raft.MsgAppend, Term: 2, Entries: []raft.Entry{{Term: 2, Index: 1, Data: []byte("x")}}}}},
		&Join{Server: raft.Server{ID: "id", Address: "a"}},
		&Abandon{Sequence: 5},
		&NewSession{},
		&Enrolled{Agent: ledger.Agent{VM: "side-1", Address: "a:1"}},
		&SessionEnded{Session: 4},
		&Members{Addresses: []string{"a:1"}, Leading: true},
		&OperatorRequest{Sequence: 1, Configure: &work.Configuration{Version: 7, Document: []byte("{}")}},
		&OperatorResponse{Sequence: 1, Done: true, Detail: "d", Document: []byte("{}")},
		&PossibleRuns{Session: 1, Runs: []work.Run{run}, Ends: []NumberedEnd{{End: work.End{Run: run, Reason: work.Done}, BestEffort: true}}},
	}
}

// encoded returns an encoded message.
func encoded(m Message) ([]byte, error) {
	var buffer bytes.Buffer
	err := Encode(&buffer, m)
	return buffer.Bytes(), err
}

// TestMessagesRoundTrip guards against a message kind or a field that is lost in
// encoding or decoding.
func TestMessagesRoundTrip(t *testing.T) {
	var stream bytes.Buffer
	for _, m := range sampleMessages() {
		assert.NilError(t, Encode(&stream, m))
	}
	for _, want := range sampleMessages() {
		got, err := Read(&stream, MaxMessageBytes, nil)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	}
}

// TestCommandsRoundTrip guards against commands or snapshots that lose fields in
// encoding or decoding.
func TestCommandsRoundTrip(t *testing.T) {
	c := ledger.Command{Accept: &work.Job{ID: "a", Steps: []work.Step{{Tasks: 1}}}}
	data, err := EncodeCommand(c)
	assert.NilError(t, err)
	got, err := DecodeCommand(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, c)
	s := ledger.Snapshot{Applied: 3, Enrolled: []ledger.Agent{{VM: "v", Address: "a", Incarnation: work.Incarnation{Instance: "i", Labels: []string{"a"}}}}, Jobs: []ledger.Record{{Job: work.Job{ID: "a"}, State: work.Running, Tasks: []ledger.Task{{Done: true, LastRun: 1 << 40}}, Open: 1}}}
	data, err = EncodeSnapshot(s)
	assert.NilError(t, err)
	decoded, err := DecodeSnapshot(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, s)
}

// TestUnknownFieldsAreIgnored guards against a control VM that ends because a newer one has added a field to
// a command or to the snapshot.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	newer, err := cbor.Marshal(map[string]any{"Cancel": "a", "Applied": 3, "AddedLater": []any{map[string]any{"Job": "a", "Index": 1}}})
	assert.NilError(t, err)
	c, err := DecodeCommand(newer)
	assert.NilError(t, err)
	assert.DeepEqual(t, c, ledger.Command{Cancel: "a"})
	s, err := DecodeSnapshot(newer)
	assert.NilError(t, err)
	assert.DeepEqual(t, s, ledger.Snapshot{Applied: 3})
}

// FuzzRead guards against a damaged message that makes Read panic or allocate
// without bound.
func FuzzRead(f *testing.F) {
	for _, m := range sampleMessages() {
		data, err := encoded(m)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Read(bytes.NewReader(data), MaxMessageBytes, nil)
		if err == nil && m == nil {
			t.Fatal("Read returned neither a message nor an error")
		}
		if decodedBytes(data) < 0 { // Read counts only large messages
			t.Fatal("the decoded size is negative")
		}
	})
}

// TestSnapshotOfManyJobs guards against a control VM that can't read its own snapshot: the usual
// limit of the library is 131,072 elements of a list.
func TestSnapshotOfManyJobs(t *testing.T) {
	s := ledger.Snapshot{Applied: 7, Jobs: make([]ledger.Record, 200_000)}
	for i := range s.Jobs {
		s.Jobs[i].Job.ID = work.JobID(strconv.Itoa(i))
	}
	data, err := EncodeSnapshot(s)
	assert.NilError(t, err)
	got, err := DecodeSnapshot(data)
	assert.NilError(t, err)
	assert.Equal(t, len(got.Jobs), len(s.Jobs))
	assert.Equal(t, got.Jobs[199_999].Job.ID, s.Jobs[199_999].Job.ID)
}

// TestLongestConfigurationRoundTrips guards against a permitted configuration that can be encoded and
// not decoded, wherever one is stored or sent.
func TestLongestConfigurationRoundTrips(t *testing.T) {
	c := &work.Configuration{Version: 7, Queues: make([]work.Queue, work.MaxQueues), Pools: make([]string, work.MaxPools)}
	for i := range c.Pools {
		c.Pools[i] = strconv.Itoa(i)
	}
	for i := range c.Queues {
		c.Queues[i] = work.Queue{Host: "h", Prefix: strconv.Itoa(i), Pool: "0", Timeout: time.Second}
	}
	assert.NilError(t, c.Validate())
	data, err := EncodeCommand(ledger.Command{Configure: c})
	assert.NilError(t, err)
	command, err := DecodeCommand(data)
	assert.NilError(t, err, "command of the log")
	assert.DeepEqual(t, command.Configure, c)
	data, err = EncodeSnapshot(ledger.Snapshot{Configuration: c})
	assert.NilError(t, err)
	snapshot, err := DecodeSnapshot(data)
	assert.NilError(t, err, "snapshot")
	assert.DeepEqual(t, snapshot.Configuration, c)
	for _, m := range []Message{&OperatorRequest{Configure: c}, &Welcome{Queues: c.Queues}} {
		data, err := encoded(m)
		assert.NilError(t, err)
		got, err := Read(bytes.NewReader(data), MaxMessageBytes, nil)
		assert.NilError(t, err, "%T", m)
		assert.DeepEqual(t, got, m)
	}
}
