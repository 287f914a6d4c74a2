// Package mesh has the messages between entries, agents and control VMs on the
// path of jobs with steps, and their encoding. Messages are CBOR maps with the
// names of their fields, so that a process passes over fields it doesn't know.
package mesh

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// MaxMessageBytes bounds one message. Snapshots are the largest: the target's
// open jobs and 120 s of final ones take about 40 MB.
const MaxMessageBytes = 64 << 20

// Role tells what the process at the other end of a connection does.
type Role uint8

// Roles of processes.
const (
	RoleEntry Role = iota + 1
	RoleAgent
	RoleControl
)

// Hello is the first message of whoever opens a connection.
type Hello struct {
	Role Role
	// VM names the sender's machine.
	VM string
	// Address is where entries reach an agent.
	Address string
	// Period tells apart the times in which an entry places jobs itself.
	Period uint64
	// Server is set by control VMs: the identity and address of the sender.
	Server *raft.Server
}

// Welcome answers Hello, and follows each change of the sender's leadership.
type Welcome struct {
	// Leading is set while the sender leads Term.
	Leading bool
	Term    uint64
	// Members are the addresses of all control VMs.
	Members []string
	// Session names an agent's next session; a leader's is its fencing token too.
	// Entries that place jobs send one to agents while there is no leader.
	Session placement.SessionID
	// Queues tells entries the queues in force, and Version the configuration's
	// version. They come with each change of the configuration.
	Queues  []work.Queue
	Version uint64
	// Agents tells entries the agents whose endpoints may run tasks.
	Agents []ledger.Agent
	// Incarnation tells an agent the latest life of its endpoint that is known; nil for
	// none.
	Incarnation *work.Incarnation `cbor:"Life"`
}

// Members tells entries and agents that the group of control VMs has changed.
type Members struct {
	// Addresses are those of all control VMs.
	Addresses []string
	// Leading is set if the sender leads, so that it knows of all changes.
	Leading bool
}

// Enrolled tells entries of another agent whose endpoint may run tasks. It comes
// before the first start there.
type Enrolled struct {
	Agent ledger.Agent
}

// SessionEnded tells an entry that a leader has taken over an agent's endpoint. It
// ends the session with the entry; the leader decides about its runs.
type SessionEnded struct {
	Session placement.SessionID
}

// NewSession asks the leader for another session, as when the endpoint began
// another life. Welcome answers it.
type NewSession struct{}

// Ping keeps a connection and an agent's lease alive.
type Ping struct {
	Sequence uint64
	// Session is the session whose lease is to be renewed; 0 for none.
	Session placement.SessionID
	// Running is the progress of an agent's runs, AgeMS milliseconds ago.
	Running []placement.ListedRun
	AgeMS   int64
	// UsedByOthers is the room that runs of others take, for a session with an entry.
	UsedByOthers work.Resources `cbor:"Others"`
}

// Pong answers Ping.
type Pong struct {
	Sequence uint64
	// Renewed tells that the sender leads and has renewed the session's lease.
	Renewed bool
}

// Operation is what a caller asks for.
type Operation uint8

// Operations of callers.
const (
	Submit Operation = iota + 1
	Inspect
	Cancel
)

// Request is one caller's request, passed on by an entry.
type Request struct {
	Sequence  uint64
	Operation Operation
	Host      string
	Path      string
	// PriorState is what the entry knows of a job that another leader, or the entry
	// itself, had before.
	PriorState placement.PriorState `cbor:"Earlier"`
	// Job is set for Submit; the policy of the queue is filled in by the leader.
	Job *work.Job
}

// Abandon tells that nobody waits for the answer to a request any more.
type Abandon struct {
	Sequence uint64
}

// Outcome is the answer's kind.
type Outcome uint8

// Outcomes of requests.
const (
	// Accepted: the job is stored. Also for a cancelled job.
	Accepted Outcome = iota + 1
	// Found: State or Pending is set.
	Found
	// NoQueue: no queue has the place.
	NoQueue
	// NoJob: the job is unknown.
	NoJob
	// NotReady: there is no configuration yet; the job was not accepted.
	NotReady
	// Overloaded: the job was not accepted; RetryAfterMS is set.
	Overloaded
	// Uncertain: the job may or may not have been accepted.
	Uncertain
	// Invalid: the job can't be read.
	Invalid
	// NoLeader: no leader has had the request; it is set by entries.
	NoLeader
)

// NotRun tells whether the outcome says that the job has not run and won't.
func (o Outcome) NotRun() bool {
	return o == NoQueue || o == NotReady || o == Overloaded || o == NoLeader
}

// Response answers a Request.
type Response struct {
	Sequence uint64
	Outcome  Outcome
	State    work.State
	// Pending counts the queue's jobs that haven't begun; Counted tells that it
	// was asked for.
	Pending      int
	Counted      bool
	RetryAfterMS int
	Detail       string
	// Version is that of the configuration that the leader went by.
	Version uint64
}

// NumberedEnd is an end with its number in the endpoint's list, which is 0 if the
// endpoint has forgotten it.
type NumberedEnd struct {
	Number uint64
	End    work.End
	// BestEffort tells that the end needn't be recorded.
	BestEffort bool
}

// Inventory is all that an endpoint lists at the start of a session.
type Inventory struct {
	Endpoint placement.Endpoint
	// Incarnation is what the endpoint announced.
	Incarnation work.Incarnation `cbor:"Life"`
	Running     []placement.ListedRun
	Ends        []NumberedEnd
}

// Orders are starts and stops for an agent.
type Orders struct {
	Orders []placement.Order
}

// RefusedStart is a start that didn't happen.
type RefusedStart struct {
	Run    work.Run
	Reason placement.Refusal `cbor:"Why"`
}

// Report is news of an agent's endpoint.
type Report struct {
	Session placement.SessionID
	Ends    []NumberedEnd
	Refused []RefusedStart
	// Vanished lists runs that the endpoint neither runs nor lists as ended.
	Vanished []work.Run
	// Draining is set once the endpoint or its agent takes no more work.
	Draining bool
	// Reachability tells a change of the endpoint's reachability by its agent.
	Reachability Reachability `cbor:"Reach"`
	// UsedByOthers is the room that runs of others take, for a session with an entry.
	UsedByOthers work.Resources `cbor:"Others"`
}

// Reachability is a change of an endpoint's reachability.
type Reachability uint8

// Changes of reachability.
const (
	// ReachabilityUnchanged says nothing.
	ReachabilityUnchanged Reachability = iota
	// Unreachable endpoints get no new runs.
	Unreachable
	// Reachable endpoints answer again.
	Reachable
	// LeaseExpired endpoints were unreachable for so long that nothing runs there.
	LeaseExpired
)

// Acknowledge lets an agent's endpoint forget its ends up to a number.
type Acknowledge struct {
	Session placement.SessionID
	UpTo    uint64
}

// RaftMessages carries messages of the replicated log.
type RaftMessages struct {
	Messages []raft.Message
}

// Join asks the leader to take the sender into the group.
type Join struct {
	Server raft.Server
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
	}
	return nil
}

// headerBytes are the length of the body, 4 bytes big-endian, and the kind.
const headerBytes = 5

// Encode returns a message with its header.
func Encode(m Message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", m, err)
	}
	if len(body) > MaxMessageBytes {
		return nil, fmt.Errorf("encode %T: %d bytes, must be at most %d", m, len(body), MaxMessageBytes)
	}
	data := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(data, uint32(len(body)))
	data[4] = kindOf(m)
	return append(data, body...), nil
}

// Read reads one message.
func Read(r io.Reader) (Message, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	m := newMessage(header[4])
	if m == nil || size > MaxMessageBytes {
		return nil, fmt.Errorf("message of kind %d with %d bytes is not valid", header[4], size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	if err := cbor.Unmarshal(body, m); err != nil {
		return nil, fmt.Errorf("decode %T: %w", m, err)
	}
	return m, nil
}

// EncodeCommand returns a command for the log.
func EncodeCommand(c ledger.Command) ([]byte, error) { return cbor.Marshal(c) }

// DecodeCommand reads a command of the log.
func DecodeCommand(data []byte) (ledger.Command, error) {
	var c ledger.Command
	err := cbor.Unmarshal(data, &c)
	return c, err
}

// EncodeSnapshot returns the content of a snapshot.
func EncodeSnapshot(s ledger.Snapshot) ([]byte, error) { return cbor.Marshal(s) }

// DecodeSnapshot reads the content of a snapshot.
func DecodeSnapshot(data []byte) (ledger.Snapshot, error) {
	var s ledger.Snapshot
	err := cbor.Unmarshal(data, &s)
	return s, err
}
