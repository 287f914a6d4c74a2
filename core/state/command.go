package state

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/job"
)

// Command is one entry of the replicated log. Exactly one pointer is set; a
// command with none is a no-op.
type Command struct {
	// Now is the leader's clock when it proposed the command. Replicas use it
	// in place of their own clocks.
	Now time.Time

	AcceptJob   *AcceptJob
	FinishJob   *FinishJob
	TakeOverJob *TakeOverJob
	ApplyTicket *ApplyTicket
	Register    *RegisterMember
	EndMember   *EndMember
	DrainMember *DrainMember
}

// AcceptJob records a job before any of its tasks is sent.
type AcceptJob struct{ Record job.Record }

// FinishJob records a job's outcome. It is refused under an older epoch.
type FinishJob struct {
	Key     job.Key
	Epoch   uint64
	Outcome job.Outcome
}

// TakeOverJob gives a running job to another entry under the next epoch.
type TakeOverJob struct {
	Key       job.Key
	FromEpoch uint64
	Owner     string
}

// ApplyTicket changes the configuration.
type ApplyTicket struct {
	Ticket Ticket
	Digest [32]byte
}

// RegisterMember announces a process under its incarnation.
type RegisterMember struct{ Member Member }

// EndMember removes a member that left or whose lease lapsed. Another
// incarnation of the member is untouched.
type EndMember struct {
	ID          string
	Incarnation uint64
	State       MemberState
}

// DrainMember marks a member that announced its own planned stop.
type DrainMember struct {
	ID          string
	Incarnation uint64
}

// AcceptStatus is the result of AcceptJob.
type AcceptStatus uint8

// Results of AcceptJob.
const (
	// Accepted means that the proposer owns the job and may send its tasks.
	Accepted AcceptStatus = iota
	// Existing means that the same submission is already recorded.
	Existing
	// Conflicting means that the id belongs to another submission.
	Conflicting
	// UnknownOwner means that the proposer's lease has ended.
	UnknownOwner
)

// Result is the answer of Apply; the field of the command's type is set.
type Result struct {
	Index    uint64
	Accept   AcceptStatus
	Record   *job.Record
	Finished bool
	TookOver bool
	Ticket   *TicketResult
	// Registered is false for an incarnation older than the recorded one.
	Registered bool
	Ended      bool
}
