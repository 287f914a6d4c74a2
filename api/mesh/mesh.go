// Package mesh defines the messages between entries, agents and control VMs for
// jobs with steps, and their encoding. Messages are CBOR maps keyed by field
// names, so that a process ignores fields that it does not know.
package mesh

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"github.com/fxamacker/cbor/v2"

	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// MaxMessageBytes bounds one message. Snapshots are the largest: at the target
// load, the open jobs and the final jobs of 120 s take about 40 MB.
const MaxMessageBytes = 64 << 20

// Role is the role of the process that opens a connection.
type Role uint8

// Roles of processes.
const (
	RoleEntry Role = iota + 1
	RoleAgent
	RoleControl
	// RoleRelay is that of an entry that relays an agent: after its Hello, the connection
	// carries what the agent and a control VM send each other.
	RoleRelay
)

// Hello is the first message from the process that opens a connection.
type Hello struct {
	Role Role
	// VM is the name of the sender's VM.
	VM string
	// Address is where entries connect to an agent.
	Address string
	// Period identifies a period without a leader in which an entry places jobs
	// itself.
	Period uint64
	// Server is set by control VMs: the identity and address of the sender.
	Server *raft.Server
	// Relays, for an entry, is the number of agents that it relays at most.
	Relays int `cbor:",omitempty"`
	// RelayedBy, for an agent, is the VM of the entry that relays the connection; empty
	// for a direct one.
	RelayedBy string `cbor:",omitempty"`
}

// Welcome answers Hello, and follows each change of the sender's leadership.
type Welcome struct {
	// Leading is set while the sender leads Term.
	Leading bool
	Term    uint64
	// Members are the addresses of all control VMs.
	Members []string
	// Session identifies an agent's next session; one from a leader is also the
	// fencing token. Entries that place jobs themselves send one to agents while
	// there is no leader.
	Session placement.SessionID
	// Queues, for entries, are the queues in force, and Version is the
	// configuration's version. The leader sends them again with each change of the
	// configuration. From another control VM they are what it has applied.
	Queues  []work.Queue
	Version uint64
	// Agents, for entries, are the agents whose endpoints may run tasks.
	Agents []ledger.Agent
	// Incarnation, for an agent, is the latest recorded incarnation of its
	// endpoint; nil if none is recorded.
	Incarnation *work.Incarnation `cbor:"Life"`
	// EndpointDraining is set if that incarnation is recorded as draining.
	EndpointDraining bool `cbor:",omitempty"`
}

// Members is sent to entries and agents when the group of control VMs changes, and to a
// control VM that has left it.
type Members struct {
	// Addresses are the addresses of all control VMs.
	Addresses []string
	// Leading is set if the sender is the leader, whose list is the latest.
	Leading bool
}

// Enrolled is sent to entries when another agent's endpoint may run tasks, before
// the first start there.
type Enrolled struct {
	Agent ledger.Agent
}

// SessionEnded is sent by an agent to an entry when a leader has taken over the
// agent's endpoint. It ends the session with the entry; the leader decides about
// the session's runs.
type SessionEnded struct {
	Session placement.SessionID
}

// NewSession requests another session from the leader, or from an entry that
// places jobs itself, for example when the endpoint has restarted. An entry requests
// with it the configuration that a control VM has applied. Welcome answers it.
type NewSession struct{}

// Ping keeps a connection and an agent's lease alive.
type Ping struct {
	Sequence uint64
	// Session is the session whose lease is to be renewed, 0 if there is none.
	Session placement.SessionID
	// Running is the progress of an agent's runs as of AgeMS milliseconds ago.
	Running []placement.ListedRun
	AgeMS   int64
	// UsedByOthers, in a session with an entry, is what the runs of other owners
	// take.
	UsedByOthers work.Resources `cbor:"Others"`
}

// Pong answers Ping.
type Pong struct {
	Sequence uint64
	// Renewed is set if the sender has renewed the session's lease.
	Renewed bool
	// ConfigurationVersion, for entries, is the version that the sender has applied.
	ConfigurationVersion uint64 `cbor:",omitempty"`
	// Slowdown, for agents, is the slowdown that a leader has learned of the session's endpoint, in
	// thousandths; 0 if it is unknown or the agent has it.
	Slowdown int `cbor:",omitempty"`
}

// Operation is the kind of a caller's request.
type Operation uint8

// Operations of callers.
const (
	Submit Operation = iota + 1
	Inspect
	Cancel
)

// Request is one caller's request, forwarded by an entry.
type Request struct {
	Sequence  uint64
	Operation Operation
	Host      string
	Path      string
	// PriorState is what the entry has recorded of a job that it sent to another
	// leader, or placed itself, before.
	PriorState placement.PriorState `cbor:"Earlier"`
	// Job is set for Submit; the leader fills in the policy of the queue.
	Job *work.Job
}

// Abandon reports that the entry no longer waits for the answer to a request.
type Abandon struct {
	Sequence uint64
}

// Outcome is the kind of an answer.
type Outcome uint8

// Outcomes of requests.
const (
	// Accepted: the job is stored, or the cancellation is.
	Accepted Outcome = iota + 1
	// Found: State or Pending is set.
	Found
	// NoQueue: no queue has the host and path.
	NoQueue
	// NoJob: the job is unknown.
	NoJob
	// NotReady: there is no configuration yet; the job was not accepted.
	NotReady
	// Overloaded: the job was not accepted; RetryAfterMS is set.
	Overloaded
	// Uncertain: the job may or may not have been accepted.
	Uncertain
	// Invalid: the job is not valid; Detail is set.
	Invalid
	// NoLeader: no leader has received the request; it is set by entries.
	NoLeader
	// GivenUp: the job may have run, and won't be completed, since its result would come too
	// late; Detail is set. The entry must not send the request again.
	GivenUp
)

// NotRun reports whether the outcome states that the job has not run and will not
// run.
func (o Outcome) NotRun() bool {
	return o == NoQueue || o == NotReady || o == Overloaded || o == NoLeader
}

// Response answers a Request.
type Response struct {
	Sequence uint64
	Outcome  Outcome
	State    work.State
	// Pending is the number of the queue's jobs that have not started. Counted is
	// set if Pending is.
	Pending      int
	Counted      bool
	RetryAfterMS int
	Detail       string
	// Version is the version of the configuration that the leader applied.
	Version uint64
}

// NumberedEnd is an end with its number in the endpoint's list. The number is 0 if
// the endpoint no longer lists the end.
type NumberedEnd struct {
	Number uint64
	End    work.End
	// BestEffort is set if the end need not be recorded.
	BestEffort bool
}

// Inventory is the complete state of an endpoint at the start of a session.
type Inventory struct {
	Endpoint placement.Endpoint
	// Incarnation is the endpoint's announcement.
	Incarnation work.Incarnation `cbor:"Life"`
	Running     []placement.ListedRun
	Ends        []NumberedEnd
	// EndpointDraining is set if the endpoint has announced that it is draining.
	EndpointDraining bool `cbor:",omitempty"`
}

// PossibleRuns lists the runs that may exist at an endpoint that does not answer its
// agent. It is sent in place of an Inventory, which needs the endpoint's answer.
type PossibleRuns struct {
	Session placement.SessionID
	Runs    []work.Run
	// Ends are recent ends of best-effort runs, which may have been lost with an
	// earlier leader.
	Ends []NumberedEnd
}

// Orders carries starts and stops to an agent.
type Orders struct {
	Orders []placement.Order
}

// RefusedStart is a start that was not carried out.
type RefusedStart struct {
	Run    work.Run
	Reason placement.Refusal `cbor:"Why"`
}

// Report carries changes at an agent's endpoint.
type Report struct {
	Session placement.SessionID
	Ends    []NumberedEnd
	Refused []RefusedStart
	// Vanished lists runs that the endpoint lists neither as running nor as ended.
	Vanished []work.Run
	// Draining is set once the endpoint or its agent accepts no more runs.
	Draining bool
	// Reachability is a change in whether the agent can reach its endpoint.
	Reachability Reachability `cbor:"Reach"`
	// UsedByOthers, in a session with an entry, is what the runs of other owners
	// take.
	UsedByOthers work.Resources `cbor:"Others"`
	// EndpointDraining is set with Draining if it is the endpoint, and not only its
	// agent, that accepts no more runs.
	EndpointDraining bool `cbor:",omitempty"`
}

// Reachability is a change of an endpoint's reachability.
type Reachability uint8

// Changes of reachability.
const (
	// ReachabilityUnchanged is set in reports about other changes.
	ReachabilityUnchanged Reachability = iota
	// Unreachable endpoints get no new runs.
	Unreachable
	// Reachable endpoints answer again.
	Reachable
	// LeaseExpired endpoints were unreachable until their lease expired: nothing
	// runs there any more.
	LeaseExpired
)

// Acknowledge permits an agent's endpoint to forget its ends up to a number.
type Acknowledge struct {
	Session placement.SessionID
	UpTo    uint64
}

// RaftMessages carries messages of the replicated log.
type RaftMessages struct {
	Messages []raft.Message
}

// Drains is sent by every control VM to entries and agents, before the first Welcome of
// a connection and after each change that it has applied. A control VM that is behind
// sends an older revision.
type Drains struct {
	State work.DataCentreDrains
}

// Relay is sent by the leader to an entry that has announced Relays. The entry opens a
// connection to the agent and one to the sender, and relays between them.
type Relay struct {
	// VM and Address are those of the agent, as enrolled.
	VM      string
	Address string
}

// Join asks the leader to add Server to the group of control VMs.
type Join struct {
	Server raft.Server
	// Leaving is set while Server stops as planned: the leader removes it from the group if a
	// caught-up learner can take its place, and then answers with Members.
	Leaving bool `cbor:",omitempty"`
}

// Message is one of the messages of this package.
type Message any

const (
	kindHello = iota + 1
	kindWelcome
	kindPing
	kindPong
	kindRequest
	kindResponse
	kindInventory
	kindOrders
	kindReport
	kindAcknowledge
	kindRaftMessages
	kindJoin
	kindAbandon
	kindNewSession
	kindEnrolled
	kindSessionEnded
	kindMembers
	kindOperatorRequest
	kindOperatorResponse
	kindPossibleRuns
	kindDrains
	kindRelay
)

func kindOf(m Message) byte {
	switch m.(type) {
	case *Hello:
		return kindHello
	case *Welcome:
		return kindWelcome
	case *Ping:
		return kindPing
	case *Pong:
		return kindPong
	case *Request:
		return kindRequest
	case *Response:
		return kindResponse
	case *Inventory:
		return kindInventory
	case *Orders:
		return kindOrders
	case *Report:
		return kindReport
	case *Acknowledge:
		return kindAcknowledge
	case *RaftMessages:
		return kindRaftMessages
	case *Join:
		return kindJoin
	case *Abandon:
		return kindAbandon
	case *NewSession:
		return kindNewSession
	case *Enrolled:
		return kindEnrolled
	case *SessionEnded:
		return kindSessionEnded
	case *Members:
		return kindMembers
	case *OperatorRequest:
		return kindOperatorRequest
	case *OperatorResponse:
		return kindOperatorResponse
	case *PossibleRuns:
		return kindPossibleRuns
	case *Drains:
		return kindDrains
	case *Relay:
		return kindRelay
	}
	return 0
}

func newMessage(kind byte) Message {
	switch kind {
	case kindHello:
		return &Hello{}
	case kindWelcome:
		return &Welcome{}
	case kindPing:
		return &Ping{}
	case kindPong:
		return &Pong{}
	case kindRequest:
		return &Request{}
	case kindResponse:
		return &Response{}
	case kindInventory:
		return &Inventory{}
	case kindOrders:
		return &Orders{}
	case kindReport:
		return &Report{}
	case kindAcknowledge:
		return &Acknowledge{}
	case kindRaftMessages:
		return &RaftMessages{}
	case kindJoin:
		return &Join{}
	case kindAbandon:
		return &Abandon{}
	case kindNewSession:
		return &NewSession{}
	case kindEnrolled:
		return &Enrolled{}
	case kindSessionEnded:
		return &SessionEnded{}
	case kindMembers:
		return &Members{}
	case kindOperatorRequest:
		return &OperatorRequest{}
	case kindOperatorResponse:
		return &OperatorResponse{}
	case kindPossibleRuns:
		return &PossibleRuns{}
	case kindDrains:
		return &Drains{}
	case kindRelay:
		return &Relay{}
	}
	return nil
}

// headerBytes is the size of the header: the length of the body, 4 bytes
// big-endian, and the kind, 1 byte.
const headerBytes = 5

// encMode encodes into a buffer of the caller.
var encMode = newEncMode()

func newEncMode() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Encode appends a message with its header to a buffer. After an error the buffer
// is as before.
func Encode(buffer *bytes.Buffer, m Message) error {
	start := buffer.Len()
	buffer.Write([]byte{0, 0, 0, 0, kindOf(m)})
	if err := encMode.MarshalToBuffer(m, buffer); err != nil {
		buffer.Truncate(start)
		return fmt.Errorf("encode %T: %w", m, err)
	}
	size := buffer.Len() - start - headerBytes
	if size > MaxMessageBytes {
		buffer.Truncate(start)
		return fmt.Errorf("encode %T: %d bytes, must be at most %d", m, size, MaxMessageBytes)
	}
	binary.BigEndian.PutUint32(buffer.Bytes()[start:], uint32(size))
	return nil
}

// Read reads one message of at most maxBytes. The error is io.EOF if r ends before
// the header. Before it uses more than smallBytes of memory, it calls grow, unless that is
// nil, with all the memory that the message is going to use, and fails if grow does.
func Read(r io.Reader, maxBytes int, grow func(bytes int) error) (Message, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	m := newMessage(header[4])
	if m == nil || int64(size) > int64(min(maxBytes, MaxMessageBytes)) {
		return nil, fmt.Errorf("invalid message header: kind %d, body of %d bytes", header[4], size)
	}
	if grow == nil || size <= smallBytes {
		grow = func(int) error { return nil }
	}
	body, err := readBody(r, int(size), grow)
	if err != nil {
		return nil, err
	}
	if size > smallBytes {
		decoded := decodedBytes(body)
		if decoded > maxGrowth*int(size) {
			return nil, fmt.Errorf("invalid message: %d bytes, decoded up to %d", size, decoded)
		}
		// The decoded form also has copies of the body's strings.
		if err := grow(2*int(size) + decoded); err != nil {
			return nil, err
		}
	}
	if err := cbor.Unmarshal(body, m); err != nil {
		return nil, fmt.Errorf("decode %T: %w", m, err)
	}
	return m, nil
}

// smallBytes is the size up to which the memory for a body is allocated before the
// body has arrived, and is not counted.
const smallBytes = 4 << 10

// readBody reads a body. The memory for a large one grows with what has arrived, so
// that a header with a wrong size takes none.
func readBody(r io.Reader, size int, grow func(int) error) ([]byte, error) {
	body := make([]byte, min(size, smallBytes))
	for read := 0; ; {
		n, err := io.ReadFull(r, body[read:])
		read += n
		if err != nil || read == size {
			return body, err
		}
		larger := min(2*read, size)
		if err := grow(read + larger); err != nil {
			return nil, err
		}
		body = append(make([]byte, 0, larger), body...)[:larger]
	}
}

// EncodeCommand encodes a command for the log.
func EncodeCommand(c ledger.Command) ([]byte, error) { return cbor.Marshal(c) }

// DecodeCommand decodes a command from the log.
func DecodeCommand(data []byte) (ledger.Command, error) {
	var c ledger.Command
	err := cbor.Unmarshal(data, &c)
	return c, err
}

// EncodeSnapshot encodes the content of a snapshot.
func EncodeSnapshot(s ledger.Snapshot) ([]byte, error) { return cbor.Marshal(s) }

// DecodeSnapshot decodes the content of a snapshot.
func DecodeSnapshot(data []byte) (ledger.Snapshot, error) {
	var s ledger.Snapshot
	err := snapshotDecMode.Unmarshal(data, &s)
	return s, err
}

// snapshotDecMode accepts as many jobs as a snapshot may hold. The usual limit of the library,
// 131,072 elements, is reached by 900 jobs a second that are kept for 150 s.
var snapshotDecMode = newSnapshotDecMode()

func newSnapshotDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}
