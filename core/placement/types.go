// Package placement decides on the leader which endpoint runs which task, and
// when. It keeps the exact room of every endpoint, the runs that may exist, and
// the queue of tasks whose turn has come. It takes typed values and times and
// returns orders; it reads no clock and sends nothing. The caller serialises
// all methods.
package placement

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// SessionID names one session of an agent with the leader. It is also the
// fencing token that the agent's endpoint sees, so it rises with each session.
type SessionID uint64

// Endpoint is what an agent says of its endpoint when a session begins.
type Endpoint struct {
	Session SessionID
	// VM names the agent's machine, and Instance the life of its endpoint.
	VM       string
	Instance string
	Pool     string
	// Labels are the endpoint's kind, its rack, and what else jobs may require.
	Labels   []string
	Capacity work.Resources
	// Draining endpoints get no new runs.
	Draining bool
	// Fence is the fencing token of the agent's latest session with a leader. It
	// equals Session unless the board is a shared one.
	Fence SessionID
	// Others is the room taken by runs of other boards.
	UsedByOthers work.Resources `cbor:"Others"`
	// LastRun is the highest run number that the agent knows.
	LastRun uint64
}

// Order is what an agent must do.
type Order struct {
	Session SessionID
	Run     work.Run
	// Stop ends the run; otherwise it starts.
	Stop bool
	// Spec and Checkpoint go with a start.
	Spec       string
	Checkpoint string
	// Need is what a start takes of its endpoint.
	Need work.Resources
	// BestEffort tells that the end of a start needn't be recorded.
	BestEffort bool
}

// Refusal is the reason for which a start didn't happen.
type Refusal uint8

// Reasons of refused starts.
const (
	// RefusedRoom means that the endpoint has no room for the task.
	RefusedCapacity Refusal = iota + 1
	// RefusedUnhealthy means that the endpoint turned work away.
	RefusedUnhealthy
	// RefusedStale means that the endpoint knows this or a later run.
	RefusedStale
	// RefusedLease means that the agent's lease or session is over.
	RefusedLease
	// RefusedDraining means that the endpoint leaves.
	RefusedDraining
	// RefusedUnanswered means that the endpoint gave no answer, and that the run
	// has since been stopped, so that it can't begin any more.
	RefusedUnanswered
	// RefusedInvalid means that the endpoint can't read the order.
	RefusedInvalid
)

var refusalNames = [...]string{"", "room", "unhealthy", "stale", "lease", "draining", "unanswered", "invalid"}

// String returns the reason's name.
func (r Refusal) String() string {
	if int(r) < len(refusalNames) {
		return refusalNames[r]
	}
	return "unknown"
}

// ListedRun is a run that an endpoint lists as running.
type ListedRun struct {
	work.Run
	// Percent is the progress, 0 to 100.
	Percent int
	// Checkpoint resumes the task.
	Checkpoint string
}

// phase is how far a task has come.
type phase uint8

const (
	// blocked tasks wait for an earlier step.
	blocked phase = iota
	// waiting tasks are in the queue.
	waiting
	// placed tasks have a run that may exist.
	placed
	// ended tasks have a reported end Done.
	ended
)

// task is the leader's view of one task.
type task struct {
	phase phase
	// recorded is set once the end Done is durable.
	recorded bool
	// moves counts how often the task was stopped to restart elsewhere.
	moves int
	// lastRun is the highest run number known.
	lastRun uint64
	// failures counts reported runs that failed, recorded or not.
	failures int
	// failedOn lists the VMs of failed runs; others are preferred.
	failedOn   []string
	checkpoint string
}

// job is the leader's view of an open job.
type job struct {
	spec    *work.Job
	arrived time.Time
	// due is when the objective is reached; expired is when a result is worth
	// nothing any more.
	due       time.Time
	expiresAt time.Time
	started   bool
	// held is set while runs of an earlier holder of the job may go on unseen.
	// None of its tasks is queued then.
	held  bool
	tasks [][]task
	// undone counts the tasks of each step whose end isn't recorded as Done.
	undone []int
	// groups holds the queued group of each step, nil if none waits.
	groups []*group
	// trail is what happened to the job's first runs, for explaining its end.
	history []RunRecord
}

// maxTrail bounds the runs that a job's trail has.
const maxHistory = 12

// Passage is one run in a job's trail. Times count from the job's arrival.
type RunRecord struct {
	Task    work.TaskID
	Run     uint64
	VM      string
	Ordered time.Duration
	// Ended is zero while the run goes on.
	Ended time.Duration
	// Outcome is the way of the end or the reason of a refusal.
	Outcome string
}

// run is a run that may exist.
type run struct {
	work.Run
	job      *job
	need     work.Resources
	endpoint *endpoint
	// since is when it was ordered or found.
	since time.Time
	// expected is how long it should take.
	expected time.Duration
	stopping bool
	// percent is the progress; progressAt is when a listing showed it first, and
	// listedAt when one showed the run last.
	percent    int
	progressAt time.Time
	listedAt   time.Time
}

// stranger is a listed run of no known job.
type unknownRun struct {
	listed   ListedRun
	since    time.Time
	stopping bool
}

// Settled is a best-effort job that has ended.
type FinishedJob struct {
	ID    work.JobID
	State work.State
	// Account tells how the job fared.
	Summary Summary
}

// Account is how a job fared, for explaining its end.
type Summary struct {
	Queue string
	// Took is the time since the job's arrival, and Objective what it should take.
	Took, Objective time.Duration
	// Waiting counts the tasks that never started.
	Waiting int
	// Trail has the job's first runs.
	History []RunRecord
}

// endpoint is the leader's view of an endpoint.
type endpoint struct {
	Endpoint
	free work.Resources
	runs map[work.Run]*run
	// unknown are runs of no known job. They are stopped unless the job is
	// submitted again first.
	unknown map[work.Run]*unknownRun
	// goneAt is when nothing can run there any more; zero while in contact.
	leaseExpiry time.Time
	// unreachable is set while the endpoint doesn't answer its agent.
	unreachable bool
	slowdown    *slowdown
	health      health
	// fullUntil holds starts back after the endpoint denied having room.
	fullUntil time.Time
}
