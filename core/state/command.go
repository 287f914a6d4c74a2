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

// FinishJob records a job's outcome. It is refused unless Epoch is the job's
// current epoch.
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

// RegisterMember registers a process under its incarnation.
type RegisterMember struct{ Member Member }

// EndMember marks a member that left or whose lease expired as ended. It has no
// effect on another incarnation of the member.
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
	// Conflicting means that the ID belongs to another submission.
	Conflicting
	// UnknownOwner means that the proposer's lease has ended.
	UnknownOwner
)

// Result is the result of Apply; the fields of the command's type are set.
type Result struct {
	Index    uint64
	Accept   AcceptStatus
	Record   *job.Record
	Finished bool
	TookOver bool
	Ticket   *TicketResult
	// Registered is false for an incarnation older than the recorded one.
	Registered bool
	// Ended is set if EndMember or DrainMember changed the member.
	Ended bool
}
