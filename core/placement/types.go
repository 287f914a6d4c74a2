// Package placement decides which endpoint runs which task, and when. The leader
// uses it, and so does an entry that places its own jobs while there is no leader.
// A Planner tracks the free resources of every endpoint, the runs that may exist,
// and the queue of tasks that are ready to run. It takes typed values and times
// and returns orders; it reads no clock and sends nothing. The caller serialises
// all methods.
package placement

import (
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/core/interference"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// SessionID identifies one session of an agent with the leader. It is also the
// fencing token that the agent's endpoint receives, so it increases with each
// session.
type SessionID uint64

// Endpoint describes an agent's endpoint at the start of a session.
type Endpoint struct {
	Session SessionID
	// VM names the agent's machine, and Instance the incarnation of its endpoint.
	VM       string
	Instance string
	Pool     string
	// DataCentre is that of the agent's VM; empty if it is not known.
	DataCentre string `cbor:",omitempty"`
	// Labels are the endpoint's kind (first), its rack, and others that jobs may
	// require.
	Labels   []string
	Capacity work.Resources
	// Draining is set if the endpoint accepts no new runs.
	Draining bool
	// Fence is the fencing token of the agent's latest session with a leader. It
	// equals Session unless the planner is shared.
	Fence SessionID
	// UsedByOthers is what the runs of other planners take.
	UsedByOthers work.Resources `cbor:"Others"`
	// LastRun is the highest run number that the agent has received.
	LastRun uint64
	// Slowdown is the ratio of run times to their estimates that a leader has learned for this
	// incarnation, in thousandths; 0 if it is unknown.
	Slowdown int `cbor:",omitempty"`
}

// Order instructs an agent to start or stop a run.
type Order struct {
	Session SessionID
	Run     work.Run
	// Stop is set if the run must be stopped; otherwise it must be started.
	Stop bool
	// Spec and Checkpoint are set for a start.
	Spec       string
	Checkpoint string
	// Need is the amount of resources that a start takes of its endpoint.
	Need work.Resources
	// BestEffort is set if the end of a started run need not be recorded.
	BestEffort bool
}

// Refusal is the reason why a run was not started.
type Refusal uint8

// Reasons of refused starts.
const (
	// RefusedCapacity means that the endpoint lacks the resources for the task.
	RefusedCapacity Refusal = iota + 1
	// RefusedUnhealthy means that the endpoint does not accept work.
	RefusedUnhealthy
	// RefusedStale means that the endpoint has already received this or a later
	// run.
	RefusedStale
	// RefusedLease means that the agent's lease or session has ended.
	RefusedLease
	// RefusedDraining means that the endpoint is draining.
	RefusedDraining
	// RefusedUnanswered means that the endpoint did not answer, and that the run
	// has since been stopped and can no longer begin.
	RefusedUnanswered
	// RefusedInvalid means that the endpoint could not decode the order.
	RefusedInvalid
	// RefusedDrained means that the agent's data centre is drained by order of the
	// operator, as far as the agent knows. Unlike RefusedDraining it may end.
	RefusedDrained
)

var refusalNames = [...]string{"", "room", "unhealthy", "stale", "lease", "draining", "unanswered", "invalid", "data centre drained"}

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
	// Checkpoint is where the task can be resumed from.
	Checkpoint string
	// OwnerSilence is for how long the entry that ordered the run had been out of contact with the
	// agent when a leader took the agent over. It is 0 for other runs.
	OwnerSilence time.Duration `cbor:",omitempty"`
}

// phase is the state of a task.
type phase uint8

const (
	// blocked tasks wait for an earlier step, or belong to a held job.
	blocked phase = iota
	// waiting tasks are in the queue.
	waiting
	// placed tasks have a run that may exist.
	placed
	// ended tasks have a run that was reported as Done.
	ended
)

// task is the planner's view of one task.
type task struct {
	phase phase
	// recorded is set once the end Done is durable.
	recorded bool
	// moves counts how often a run was stopped to restart the task elsewhere.
	moves int
	// lastRun is the task's highest known run number.
	lastRun uint64
	// failures counts reported runs that failed, recorded or not. failedRuns has their
	// numbers, without those that a former version recorded, which are at most
	// countedUpTo.
	failures    int
	failedRuns  []uint64
	countedUpTo uint64
	// failedOn lists the VMs of failed, lost or moved runs; others are preferred.
	failedOn   []string
	checkpoint string
}

// countFailure counts the failure of a run, once. Failures arrive in any order after a
// change of the leader: the agent with a later run may join first.
func (t *task) countFailure(run uint64) {
	if run <= t.countedUpTo || slices.Contains(t.failedRuns, run) {
		return
	}
	t.failedRuns = append(t.failedRuns, run)
	t.failures++
}

// job is the planner's view of an open job.
type job struct {
	spec    *work.Job
	arrived time.Time
	// due is the time of the objective; after expiresAt the caller has no use for
	// the result.
	due       time.Time
	expiresAt time.Time
	// criticalPath is that of spec.
	criticalPath time.Duration
	// started is set once a task was ordered to start, and begun once one is known to
	// have begun. pending is set while the job counts as one of which none has.
	started, begun, pending bool
	// mayHaveRun is set if an earlier planner may have started a task, also one that no
	// endpoint has listed since.
	mayHaveRun bool
	// held is set while unconfirmed runs from an earlier planner of the job may
	// exist. None of its tasks is queued then.
	held  bool
	tasks [][]task
	// undone counts the tasks of each step whose end isn't recorded as Done.
	undone []int
	// outcomes has what the runs of each step say about the endpoints.
	outcomes []stepOutcomes
	// groups holds the queued group of each step, nil if no task of it waits.
	groups []*group
	// history records the job's first runs, to explain its end.
	history []RunRecord
	queueID interference.QueueID
	// share is that of the job's queue, nil if it has none.
	share *queueShare
}

// maxHistory bounds the runs in a job's history.
const maxHistory = 12

// RunRecord is one run in a job's history. Times count from the job's arrival.
type RunRecord struct {
	Task    work.TaskID
	Run     uint64
	VM      string
	Ordered time.Duration
	// Ended is zero while the run has not ended.
	Ended time.Duration
	// Outcome is how the run ended or why it was refused; empty until then.
	Outcome string
}

// run is a run that may exist.
type run struct {
	work.Run
	job      *job
	need     work.Resources
	endpoint *endpoint
	// since is when it was ordered, or when an endpoint first listed it.
	since time.Time
	// adopted is set if an endpoint listed the run: it began at an unknown time before since.
	adopted bool
	// expected is the expected run time.
	expected time.Duration
	stopping bool
	// percent is the progress, progressAt the time of the first listing with that
	// progress, and listedAt the time of the latest listing with the run.
	percent    int
	progressAt time.Time
	listedAt   time.Time
	// queueID is the job's queue when the run was added to its endpoint, and neighbours
	// what ran there when the run started. observable is set if this planner started it.
	queueID    interference.QueueID
	neighbours interference.Neighbours
	observable bool
	// share is the share in which the run is counted, nil if there is none.
	share *queueShare
	// slowdown is the factor by which neighbours slow the run, as known at its start; 0 if
	// none does.
	slowdown float64
}

// unknownRun is a listed run whose job the planner does not have.
type unknownRun struct {
	endpoint *endpoint
	listed   ListedRun
	// claimUntil is when the run is stopped unless its job was added before.
	claimUntil time.Time
	stopping   bool
}

// FinishedJob is a best-effort job that has reached a final state.
type FinishedJob struct {
	ID    work.JobID
	State work.State
	// Summary describes the job's course.
	Summary Summary
}

// Summary describes the course of a job, to explain its end.
type Summary struct {
	Queue string
	// Took is the time since the job's arrival, and Objective the time within which
	// it should have completed.
	Took, Objective time.Duration
	// Waiting counts the tasks without a run: those that never started and those
	// that are queued again.
	Waiting int
	// History has the job's first runs.
	History []RunRecord
}

// endpoint is the planner's view of an endpoint.
type endpoint struct {
	Endpoint
	free work.Resources
	runs map[work.Run]*run
	// unknown has the listed runs without a job. They are stopped unless the job
	// is submitted again within unknownRunTimeout.
	unknown map[work.Run]*unknownRun
	// leaseExpiry is the time by which all of its runs have ended after contact was
	// lost; zero while the agent is connected.
	leaseExpiry time.Time
	// unreachable is set while the endpoint does not answer its agent.
	unreachable bool
	// drained is set while the endpoint's data centre is drained.
	drained  bool
	slowdown *slowdown
	health   health
	// fullUntil delays starts after a refusal for lack of capacity or of a lease, or because
	// the agent knows of a drain that this planner doesn't know.
	fullUntil time.Time
	// leaves has the endpoint's leaf in each index that contains it.
	leaves map[*endpointIndex]int
	// counted is the CPU that counts in the capacity of the endpoint's pool.
	counted int
	// dirty is set while the indexes do not reflect the endpoint's latest state.
	dirty bool
	// reopening is set while the endpoint is in Planner.reopening.
	reopening bool
	// ramp limits the endpoint for some time after a drain; nil for no limit.
	ramp *ramp
	// neighbours is the endpoint's state for the detection of interference; nil without it.
	neighbours *interference.Endpoint
}
